//! What one lease is about.

use std::fmt;

use serde::Serialize;
use wisteriahitch_types::{EndpointId, ServiceName};
use xxhash_rust::xxh3::xxh3_64;

/// Names what a lease gives the right to.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseGroup {
    /// Orders to the endpoints of a service that fall into one of its shards.
    Endpoints {
        /// Service.
        service: ServiceName,
        /// Number of the shard.
        shard: u32,
    },
    /// A part of the loads of weights that may run at once at the whole site.
    RolloutSlot(u32),
}

impl LeaseGroup {
    /// Returns the group of an endpoint, where its service has `shards` of them.
    pub fn of_endpoint(service: &ServiceName, endpoint: &EndpointId, shards: u32) -> Self {
        let hash = xxh3_64(endpoint.as_str().as_bytes());
        Self::Endpoints {
            service: service.clone(),
            shard: (hash % u64::from(shards.max(1))) as u32,
        }
    }
}

/// Writes the name of the group's object in the platform.
impl fmt::Display for LeaseGroup {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LeaseGroup::Endpoints { service, shard } => write!(f, "endpoints.{service}.{shard}"),
            LeaseGroup::RolloutSlot(slot) => write!(f, "rollout-slot.{slot}"),
        }
    }
}
