//! Names and their locations, collected while a configuration is read.

use std::net::SocketAddr;

use wisteriahitch_types::{
    AdapterName, AvailabilityZone, EndpointId, KeyHash, ModelName, RuleName, ServiceName, StoreId,
    WorkspaceId,
};

use crate::read::Placed;

/// The names that a configuration defines, or those that it uses, with their locations.
#[derive(Debug, Default)]
pub(crate) struct Names {
    pub(crate) adapters: Vec<Placed<AdapterName>>,
    pub(crate) addresses: Vec<Placed<SocketAddr>>,
    pub(crate) availability_zones: Vec<Placed<AvailabilityZone>>,
    pub(crate) endpoints: Vec<Placed<EndpointId>>,
    pub(crate) key_hashes: Vec<Placed<KeyHash>>,
    pub(crate) models: Vec<Placed<ModelName>>,
    pub(crate) rules: Vec<Placed<RuleName>>,
    pub(crate) services: Vec<Placed<ServiceName>>,
    pub(crate) stores: Vec<Placed<StoreId>>,
    pub(crate) workspaces: Vec<Placed<WorkspaceId>>,
}

/// Returns the values without their locations.
pub(crate) fn values<T: Clone>(placed: &[Placed<T>]) -> Vec<T> {
    placed.iter().map(|placed| placed.value.clone()).collect()
}
