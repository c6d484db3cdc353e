//! One incarnation of an endpoint.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use wisteriahitch_types::{AvailabilityZone, EndpointId, ModelName, ServiceName, WeightNumber};

/// One life of an endpoint, as it registered itself.
///
/// A restarted endpoint is another one, with another id; its address may be the same.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Id of this life.
    pub id: EndpointId,
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
    /// Weights that it said it has.
    pub weights: BTreeMap<ModelName, WeightNumber>,
}
