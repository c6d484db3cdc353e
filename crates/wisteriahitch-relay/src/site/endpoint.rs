//! One life of an endpoint.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use wisteriahitch_types::{
    AvailabilityZone, DurationUs, EndpointInstance, ModelName, ServiceName, WeightNumber,
};
use wisteriahitch_wire::object_store::Revision;

/// One life of an endpoint, as it registered itself.
///
/// One that has restarted is another life, with the same address and, where the platform tells
/// starts, the same id.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Which life of which endpoint it is.
    pub instance: EndpointInstance,
    /// Revision of the store at which it registered so. It only grows, and so tells which of two
    /// registrations is the newer one.
    pub revision: Revision,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: AvailabilityZone,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// How much longer it said to stay cold.
    pub remaining_cold_us: DurationUs,
    /// Weights that it said it has.
    pub weights: BTreeMap<ModelName, WeightNumber>,
}
