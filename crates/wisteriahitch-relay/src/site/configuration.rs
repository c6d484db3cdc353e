//! A site's configuration as the platform holds it, decoded.

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

/// What all engines of a service have in common.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that the accelerator's memory holds.
    pub memory_tokens: TokenCount,
    /// Size of one token in that memory.
    pub token_bytes: ByteCount,
    /// Rate of the link between engines and stores, in bits a microsecond.
    pub link_mbps: f64,
    /// Models.
    pub models: Vec<ModelName>,
}

/// A store VM that keeps parts of prompts.
#[derive(Clone, Debug, PartialEq)]
pub struct PartStore {
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: AvailabilityZone,
    /// Tokens that it has room for.
    pub capacity_tokens: TokenCount,
    /// Rate of its link, in bits a microsecond.
    pub link_mbps: f64,
    /// Wait before each transfer.
    pub first_byte_delay: Duration,
    /// Whether it frees nothing on its own.
    pub is_managed: bool,
}

/// One service of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: ServiceName,
    /// What its endpoints are, if they are model engines.
    pub engine: Option<EngineSpec>,
    /// The store that it is, if it is one; a store has no endpoints.
    pub store: Option<PartStore>,
    /// What its endpoints bear right after their start, if that is less than later.
    pub cold: Option<ColdStartSpec>,
}

/// What an endpoint bears right after its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStartSpec {
    /// How long it is cold.
    pub start_us: DurationUs,
    /// Calls a second that it bears meanwhile.
    pub calls_per_s: f64,
}

/// A customer of the site.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Workspace {
    /// Name, which endpoints are told.
    pub id: WorkspaceId,
    /// Rank of its calls, which goes before the route's.
    pub priority: Option<u8>,
    /// Whether it shares no cached part with any other.
    pub is_isolated: bool,
    /// Regions in which its calls may run; empty where all may.
    pub permitted_regions: Vec<Region>,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerLimits {
    /// Size of a request's head.
    pub header_bytes: usize,
    /// Size of a request's body.
    pub body_bytes: usize,
    /// Time for a request's head.
    pub header_timeout: Duration,
    /// Time for which a connection may wait for a request.
    pub idle_timeout: Duration,
}

/// One version of a site's configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteConfig {
    /// Version; a higher one replaces a lower one.
    pub version: ConfigVersion,
    /// Routes.
    pub routes: RouteTable,
    /// Ranks of the routes of each service.
    pub urgency: UrgencyLevels,
    /// Services by name.
    pub services: HashMap<ServiceName, Service>,
    /// Workspaces by their callers' keys; without it callers need no key.
    pub workspaces_by_key: Option<HashMap<String, Arc<Workspace>>>,
    /// Bounds on callers.
    pub limits: CallerLimits,
}

/// The weight version that a model is to run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WantedWeights {
    /// Model.
    pub model: ModelName,
    /// Version.
    pub version: WeightNumber,
}
