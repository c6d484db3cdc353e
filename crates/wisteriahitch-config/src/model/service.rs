//! Services and their endpoints.

use std::net::SocketAddr;

use serde::Serialize;
use wisteriahitch_types::{AvailabilityZone, EndpointId, ModelName, ServiceName, StoreId};

use super::path::{has_prefix, is_plain_path};

/// Says what protocol the endpoints of a service speak.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines.
    Engine,
    /// Plain HTTP services.
    Plain,
}

/// Holds a group of endpoints that do the same work.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Service {
    /// Name.
    pub name: ServiceName,
    /// Protocol of the endpoints.
    pub kind: ServiceKind,
    /// Models that the endpoints are to hold; empty for plain services.
    pub models: Vec<ModelName>,
    /// Store VMs that the endpoints save blocks to.
    pub stores: Vec<StoreId>,
    /// Calls that may be repeated; every other call of a plain service may not.
    pub repeatable: Vec<CallPattern>,
    /// Endpoints.
    pub endpoints: Vec<Endpoint>,
}

/// Matches calls by method and start of the path.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct CallPattern {
    /// Method in capitals, or `*`.
    pub method: String,
    /// Start of the path.
    pub path_prefix: String,
}

impl CallPattern {
    /// Returns whether a call matches; the prefix ends where a segment of the path ends.
    ///
    /// A path that a service may read as another one, such as `/stock/../pull`, never matches:
    /// it would declare a call repeatable that runs as one that is not.
    pub fn is_match(&self, method: &str, path: &str) -> bool {
        let is_method = self.method == "*" || self.method == method;
        is_method && is_plain_path(path) && has_prefix(path, &self.path_prefix)
    }
}

/// Holds one endpoint.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Endpoint {
    /// Name, unique in the site.
    pub id: EndpointId,
    /// Address of its HTTP server.
    pub address: SocketAddr,
    /// Availability zone it is in.
    pub availability_zone: AvailabilityZone,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fence: bool,
}
