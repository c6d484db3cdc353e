//! The whole configuration of a site.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Serialize;
use wisteriahitch_types::{
    AdapterName, AvailabilityZone, ByteCount, ByteRate, DurationUs, ModelName, ServiceName,
    StoreId, TokenCount, WeightVersion, WorkspaceId,
};

use super::{ConfigurationIndexes, Rule, Service, Workspace};

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
    /// Limits for the whole site.
    pub limits: Limits,
    /// Indexes of the other fields, built at first use.
    #[serde(skip)]
    pub indexes: ConfigurationIndexes,
}

/// A model that the site serves.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Model {
    /// Name that callers give in requests.
    pub name: ModelName,
    /// Version of the weights that engines should load.
    pub weight_version: WeightVersion,
    /// Adapters that engines should load.
    pub adapters: Vec<AdapterName>,
    /// Number of tokens in one cache block.
    pub piece_tokens: TokenCount,
    /// Size of the KV cache of one token.
    pub bytes_per_token: ByteCount,
    /// Longest prompt that is accepted.
    pub max_prompt_tokens: TokenCount,
}

/// A store VM, which stores KV cache blocks.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Store {
    /// Name, unique in the site.
    pub id: StoreId,
    /// Address of its HTTP server.
    pub address: SocketAddr,
    /// Availability zone of the VM.
    pub availability_zone: AvailabilityZone,
    /// Throughput of its network link.
    pub link_rate_bytes_per_s: ByteRate,
    /// Capacity in memory.
    pub memory_bytes: ByteCount,
    /// Capacity on disk.
    pub disk_bytes: ByteCount,
}

/// Limits for the whole site, from `[limits]`.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Limits {
    /// Maximum number of models or versions that load at once; each load gets slower with more.
    pub rollout_parallel: u32,
    /// How long the answer to a request with an idempotency key is stored, so that a repeat gets
    /// it.
    pub answer_kept_us: DurationUs,
    /// How long a ticket is valid.
    pub ticket_lifetime_us: DurationUs,
    /// How long callers may cache the answer to `GET /v1/entries`.
    pub entries_ttl_us: DurationUs,
    /// Maximum share of requests that may be retries, from 0 to 1.
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
