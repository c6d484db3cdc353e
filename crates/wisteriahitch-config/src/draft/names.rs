//! Names and their locations, collected while a configuration is read.

use std::net::SocketAddr;

use wisteriahitch_types::{
    AdapterName, AvailabilityZone, EndpointId, KeyHash, ModelName, RuleName, ServiceName, StoreId,
    WorkspaceId,
};

use crate::read::Located;

/// The names that a configuration defines, or those that it uses, with their locations.
#[derive(Debug, Default)]
pub(crate) struct NameLocations {
    pub(crate) adapters: Vec<Located<AdapterName>>,
    pub(crate) addresses: Vec<Located<SocketAddr>>,
    pub(crate) availability_zones: Vec<Located<AvailabilityZone>>,
    pub(crate) endpoints: Vec<Located<EndpointId>>,
    pub(crate) key_hashes: Vec<Located<KeyHash>>,
    pub(crate) models: Vec<Located<ModelName>>,
    pub(crate) rules: Vec<Located<RuleName>>,
    pub(crate) services: Vec<Located<ServiceName>>,
    pub(crate) stores: Vec<Located<StoreId>>,
    pub(crate) workspaces: Vec<Located<WorkspaceId>>,
}

/// Returns the values without their locations.
pub(crate) fn values<T: Clone>(located: &[Located<T>]) -> Vec<T> {
    located
        .iter()
        .map(|located| located.value.clone())
        .collect()
}
