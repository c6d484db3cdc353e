//! Subject of a lease.

use std::fmt;

use serde::Serialize;
use wisteriahitch_types::{EndpointId, ServiceName};
use xxhash_rust::xxh3::xxh3_64;

/// Right that a lease grants.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseGroup {
    /// Giving orders to the endpoints in one shard of a service.
    Endpoints {
        /// Service of the endpoints.
        service: ServiceName,
        /// Index of the shard.
        shard: u32,
    },
    /// Loading weights in one of the slots for concurrent loads at the site.
    RolloutSlot(u32),
}

impl LeaseGroup {
    /// Returns the group of an endpoint whose service has `shards` shards.
    pub fn of_endpoint(service: &ServiceName, endpoint: &EndpointId, shards: u32) -> Self {
        let hash = xxh3_64(endpoint.as_str().as_bytes());
        Self::Endpoints {
            service: service.clone(),
            shard: (hash % u64::from(shards.max(1))) as u32,
        }
    }
}

/// Formats the name of the group's object in the platform.
impl fmt::Display for LeaseGroup {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LeaseGroup::Endpoints { service, shard } => write!(f, "endpoints.{service}.{shard}"),
            LeaseGroup::RolloutSlot(slot) => write!(f, "rollout-slot.{slot}"),
        }
    }
}
