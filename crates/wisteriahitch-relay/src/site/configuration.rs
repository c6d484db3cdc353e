//! The site's configuration, decoded from the platform's store.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use wisteriahitch_types::{
    AvailabilityZone, ByteCount, ConfigVersion, DurationUs, ModelName, Region, ServiceName,
    TokenCount, WeightNumber, WorkspaceId,
};

use super::RouteTable;
use crate::decide::overload::UrgencyLevels;

/// Properties that all engines of a service share.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
    /// Capacity of the accelerator's memory, in tokens.
    pub memory_tokens: TokenCount,
    /// Size of one token in the accelerator's memory.
    pub token_bytes: ByteCount,
    /// Bandwidth of the link between engines and part stores, in Mbit/s.
    pub link_mbps: f64,
    /// Models that the engines can serve.
    pub models: Vec<ModelName>,
    /// Number of tokens in each event of a stream, if the configuration states it. The first event
    /// comes once that many tokens have been generated.
    pub tokens_per_event: Option<u32>,
}

/// Tokens of memory for each slot from which on an engine is bounded by its reading and its slots. A
/// long prompt with its answer fits into each slot then.
const MIN_SLOT_TOKENS: u64 = 6_000;

impl EngineSpec {
    /// Returns whether what the engine can do follows from its reading rate and its slots, and the
    /// time of a first event from the configuration.
    ///
    /// With less memory for each slot, memory runs out first, and shares of work would divide what isn't
    /// short.
    pub fn is_manageable(&self) -> bool {
        let slot_tokens = self.memory_tokens.get() / u64::from(self.slots.max(1));
        self.tokens_per_event.is_some() && slot_tokens >= MIN_SLOT_TOKENS
    }
}

/// A store VM that caches parts of prompts.
#[derive(Clone, Debug, PartialEq)]
pub struct PartStore {
    /// Address of the store's API.
    pub address: SocketAddr,
    /// Availability zone that the store runs in.
    pub zone: AvailabilityZone,
    /// Maximum number of tokens that the store can hold.
    pub capacity_tokens: TokenCount,
    /// Bandwidth of the store's link, in Mbit/s.
    pub link_mbps: f64,
    /// Latency before the first byte of each transfer.
    pub first_byte_delay: Duration,
    /// Whether the store evicts nothing on its own, so that daemons must free parts.
    pub is_managed: bool,
}

/// A service of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Properties of the service's endpoints if they are model engines.
    pub engine: Option<EngineSpec>,
    /// Path of the health check of its endpoints, whose responses also identify the endpoint; `None` if
    /// the configuration states none.
    pub health_path: Option<String>,
    /// The part store that this service is, if it is one. A store has no endpoints.
    pub store: Option<PartStore>,
    /// Limits on the load of freshly started endpoints, if they bear less than warm ones.
    pub cold: Option<ColdStartSpec>,
}

/// Load that an endpoint bears right after its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStartSpec {
    /// Time after the start during which an endpoint counts as cold.
    pub start_us: DurationUs,
    /// Calls per second that a cold endpoint bears.
    pub calls_per_s: f64,
}

/// A customer of the site.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Workspace {
    /// Identifier, which endpoints receive with each call.
    pub id: WorkspaceId,
    /// Priority of the workspace's calls; overrides the route's priority.
    pub priority: Option<u8>,
    /// Whether the workspace shares no cached parts with other workspaces.
    pub is_isolated: bool,
    /// Regions in which the workspace's calls may run; empty if all are allowed.
    pub permitted_regions: Vec<Region>,
}

/// Limits on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of a request's head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive a request's head.
    pub header_timeout: Duration,
    /// Maximum time that a connection may stay open without a request.
    pub idle_timeout: Duration,
}

/// One version of the site's configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteConfig {
    /// Version number; a higher version replaces a lower one.
    pub version: ConfigVersion,
    /// Routes of all hosts.
    pub routes: RouteTable,
    /// Urgency levels of each service, derived from its routes.
    pub urgency: UrgencyLevels,
    /// Services by name.
    pub services: HashMap<ServiceName, Service>,
    /// Workspaces by API key. `None` if callers need no key.
    pub workspaces_by_key: Option<HashMap<String, Arc<Workspace>>>,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
}

impl SiteConfig {
    /// Returns whether the configuration has engines whose load can be managed.
    pub fn has_manageable_engines(&self) -> bool {
        let services = self.services.values();
        let mut engines = services.filter_map(|service| service.engine.as_ref());
        engines.any(EngineSpec::is_manageable)
    }
}

/// The weight version that the operator wants a model to run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WantedWeights {
    /// Name of the model.
    pub model: ModelName,
    /// Version of its weights.
    pub version: WeightNumber,
}
