//! What an endpoint reports of itself.

use serde::{Deserialize, Serialize};
use wisteriahitch_types::{
    AdapterName, DurationUs, ModelName, TokenCount, TokenRate, WeightVersion,
};

/// Holds a lagging report of an endpoint, of a model engine or of a plain service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// When the report was made, in milliseconds on the endpoint's own clock.
    pub made_at_ms: u64,
    /// Life of the endpoint, where it tells one; another text means that it started again.
    pub life: Option<String>,
    /// Requests that run.
    pub running: u64,
    /// Requests that can run at once; zero counts as one.
    pub batch_slots: u64,
    /// Requests that wait.
    pub queued: u64,
    /// Prompt tokens that wait to be computed.
    pub queued_tokens: TokenCount,
    /// Speed of reading prompts; zero where it is unknown.
    pub prefill_tokens_per_s: TokenRate,
    /// Time between two tokens of one answer.
    pub decode_us_per_token: DurationUs,
    /// Whether the endpoint says that it is leaving.
    pub leaving: bool,
    /// Models that are loaded; empty for a plain service.
    pub models: Vec<LoadedModel>,
}

/// Holds one model that an endpoint has loaded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Name of the model.
    pub model: ModelName,
    /// Version of the weights that new requests run on.
    pub weight_version: WeightVersion,
    /// Adapters that are loaded.
    pub adapters: Vec<AdapterName>,
    /// Whether requests are taken now.
    pub is_ready: bool,
}
