//! Services and their endpoints.

use std::net::SocketAddr;

use serde::Serialize;
use wisteriahitch_types::{AvailabilityZone, EndpointId, ModelName, ServiceName, StoreId};

use super::path::{has_prefix, is_plain_path};

/// Protocol of the endpoints of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines.
    Engine,
    /// Plain HTTP services.
    Plain,
}

/// A group of endpoints that do the same work.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Service {
    /// Name, unique in the site.
    pub name: ServiceName,
    /// Protocol of the endpoints.
    pub kind: ServiceKind,
    /// Models that the endpoints serve; empty for plain services.
    pub models: Vec<ModelName>,
    /// Store VMs that the endpoints save cache blocks to.
    pub stores: Vec<StoreId>,
    /// Calls that may be repeated if their rule doesn't set `may_repeat`; other calls of a plain
    /// service may not.
    pub repeatable: Vec<CallPattern>,
    /// Endpoints that serve requests.
    pub endpoints: Vec<Endpoint>,
}

/// Matches calls by method and path prefix.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct CallPattern {
    /// HTTP method in upper case, or `*` for any.
    pub method: String,
    /// Prefix of the path, which must end at a segment boundary.
    pub path_prefix: String,
}

impl CallPattern {
    /// Returns whether a call matches. The prefix must end at a segment boundary of the path.
    ///
    /// A path that a service may interpret as another one, such as `/stock/../pull`, never matches:
    /// otherwise a call that must not be repeated could count as repeatable.
    pub fn is_match(&self, method: &str, path: &str) -> bool {
        let is_method = self.method == "*" || self.method == method;
        is_method && is_plain_path(path) && has_prefix(path, &self.path_prefix)
    }
}

/// An endpoint of a service.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Endpoint {
    /// Name, unique in the site.
    pub id: EndpointId,
    /// Address of its HTTP server.
    pub address: SocketAddr,
    /// Availability zone of its VM.
    pub availability_zone: AvailabilityZone,
    /// Whether it rejects orders with an outdated fencing number.
    pub checks_fence: bool,
}
