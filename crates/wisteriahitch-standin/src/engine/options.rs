//! Settings of a stand-in engine.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};
use std::str::FromStr;

use wisteriahitch_types::{
    AdapterName, DurationUs, EndpointId, ModelName, ParseIdError, TokenCount, TokenRate,
    WeightVersion,
};

/// Model with its version, written as in `hist-7b@v1`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadedModel {
    /// Name of the model.
    pub model: ModelName,
    /// Version of its weights.
    pub weight_version: WeightVersion,
}

impl FromStr for LoadedModel {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (model, version) = text.split_once('@').ok_or(ParseIdError::Empty)?;
        Ok(Self {
            model: model.parse()?,
            weight_version: version.parse()?,
        })
    }
}

impl fmt::Display for LoadedModel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.model, self.weight_version)
    }
}

/// Sets what a stand-in engine has loaded and how fast it is.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Loopback address to serve.
    pub listen: SocketAddr,
    /// Name of the endpoint, included in the first line of output.
    pub id: Option<EndpointId>,
    /// Models that are loaded at the start.
    pub models: Vec<LoadedModel>,
    /// Adapters that are loaded for each of these models.
    pub adapters: Vec<AdapterName>,
    /// Role at the start.
    pub role: String,
    /// Prompt tokens that are prefilled before a request of higher priority may preempt.
    pub piece_tokens: TokenCount,
    /// Length of the KV cache of one token, in bytes.
    pub kv_bytes_per_token: u64,
    /// Rate at which prompts are prefilled, shared by all requests.
    pub prefill_tokens_per_s: TokenRate,
    /// Time between two tokens of one answer.
    pub decode_us_per_token: DurationUs,
    /// Maximum number of requests that run at once.
    pub batch_slots: u64,
    /// Capacity of the prefix cache, in tokens.
    pub kv_capacity_tokens: TokenCount,
    /// Interval between load reports, and so their maximum age; zero measures each one afresh.
    pub load_lag_us: DurationUs,
    /// Delay before a cache event is published.
    pub event_lag_us: DurationUs,
    /// Maximum number of cache events that are retained.
    pub max_retained_events: usize,
    /// Whether orders with an old fencing number are refused.
    pub checks_fence: bool,
    /// Time to load a version of a model.
    pub load_model_us: DurationUs,
    /// Seed of the incarnation's name; zero generates a random one.
    pub seed: u64,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            id: None,
            models: Vec::new(),
            adapters: Vec::new(),
            role: "assistant".to_owned(),
            piece_tokens: TokenCount::new(2_000),
            kv_bytes_per_token: 512,
            prefill_tokens_per_s: TokenRate::new(8_000),
            decode_us_per_token: DurationUs::from_ms(20),
            batch_slots: 16,
            kv_capacity_tokens: TokenCount::new(100_000),
            load_lag_us: DurationUs::from_ms(200),
            event_lag_us: DurationUs::from_ms(200),
            max_retained_events: 4_096,
            checks_fence: false,
            load_model_us: DurationUs::from_ms(400),
            seed: 0,
        }
    }
}
