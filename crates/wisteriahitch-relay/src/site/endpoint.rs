//! A registered instance of an endpoint.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use wisteriahitch_types::{
    AvailabilityZone, DurationUs, EndpointInstance, ModelName, ServiceName, WeightNumber,
};
use wisteriahitch_wire::object_store::Revision;

/// One instance of an endpoint, as described by its registration.
///
/// A restarted endpoint is a new instance at the same address. It keeps its id if the platform
/// reports start times.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Id and start of the instance.
    pub instance: EndpointInstance,
    /// Store revision of the registration. Revisions only grow, so the higher one of two
    /// registrations is the newer one.
    pub revision: Revision,
    /// Service that the endpoint belongs to.
    pub service: ServiceName,
    /// Address that calls are sent to.
    pub address: SocketAddr,
    /// Availability zone that the endpoint runs in.
    pub zone: AvailabilityZone,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it announced that it is shutting down.
    pub is_draining: bool,
    /// Time for which it stays cold after its registration, as it reported.
    pub remaining_cold_us: DurationUs,
    /// Versions of the weights that it reported, by model.
    pub weights: BTreeMap<ModelName, WeightNumber>,
}
