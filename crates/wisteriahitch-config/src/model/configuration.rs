//! The whole configuration of a site.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Serialize;
use wisteriahitch_types::{
    AdapterName, AvailabilityZone, ByteCount, ByteRate, DurationUs, ModelName, ServiceName,
    StoreId, TokenCount, WeightVersion, WorkspaceId,
};

use super::{Lookup, Rule, Service, Workspace};

/// Holds a configuration that has passed every check.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Configuration {
    /// Availability zones that the site declares; empty where it declares none.
    pub availability_zones: Vec<AvailabilityZone>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Models by name.
    pub models: BTreeMap<ModelName, Model>,
    /// Store VMs by name.
    pub stores: BTreeMap<StoreId, Store>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<WorkspaceId, Workspace>,
    /// Rules in the order in which they are tried; the last one has no condition.
    pub rules: Vec<Rule>,
    /// Bounds for the whole site.
    pub limits: Limits,
    /// Tables for quick look-ups, built from the other fields at first use.
    #[serde(skip)]
    pub lookup: Lookup,
}

/// Holds a model that the site serves.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Model {
    /// Name that callers use.
    pub name: ModelName,
    /// Version of the weights that is wanted.
    pub weight_version: WeightVersion,
    /// Adapters that are wanted.
    pub adapters: Vec<AdapterName>,
    /// Tokens in one cache block.
    pub piece_tokens: TokenCount,
    /// Length of the KV cache of one token.
    pub bytes_per_token: ByteCount,
    /// Longest prompt that is taken.
    pub max_prompt_tokens: TokenCount,
}

/// Holds a store VM.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Store {
    /// Name.
    pub id: StoreId,
    /// Address of its HTTP server.
    pub address: SocketAddr,
    /// Availability zone it is in.
    pub availability_zone: AvailabilityZone,
    /// Speed of its link.
    pub link_rate_bytes_per_s: ByteRate,
    /// Room in memory.
    pub memory_bytes: ByteCount,
    /// Room on disk.
    pub disk_bytes: ByteCount,
}

/// Holds the bounds for the whole site.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Limits {
    /// Most models or versions that load at once, since more make each slower.
    pub rollout_parallel: u32,
    /// How long an answer to a keyed request is kept for its repeat.
    pub answer_kept_us: DurationUs,
    /// How long a ticket may be used.
    pub ticket_lifetime_us: DurationUs,
    /// How long callers may keep an answer of `GET /v1/entries`.
    pub entries_ttl_us: DurationUs,
    /// Part of the requests that may be retries.
    pub retry_share: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            rollout_parallel: 2,
            answer_kept_us: DurationUs::from_ms(24 * 3_600_000),
            ticket_lifetime_us: DurationUs::from_ms(60_000),
            entries_ttl_us: DurationUs::from_ms(10_000),
            retry_share: 0.1,
        }
    }
}
