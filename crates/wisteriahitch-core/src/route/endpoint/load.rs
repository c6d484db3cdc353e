//! The load report of an endpoint.

use serde::{Deserialize, Serialize};
use wisteriahitch_types::{
    AdapterName, DurationUs, ModelName, TokenCount, TokenRate, WeightVersion,
};

/// A report of a model engine or a plain service about itself; it lags behind the actual load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// When the report was made, in milliseconds on the endpoint's own clock.
    pub made_at_ms: u64,
    /// Identifier of the endpoint's instance, if it reports one; a new value means a restart.
    pub life: Option<String>,
    /// Number of running requests.
    pub running: u64,
    /// Number of requests that can run at once; zero counts as one.
    pub batch_slots: u64,
    /// Number of queued requests.
    pub queued: u64,
    /// Number of prompt tokens that wait to be computed.
    pub queued_tokens: TokenCount,
    /// Rate at which prompts are computed; zero if unknown.
    pub prefill_tokens_per_s: TokenRate,
    /// Time between two tokens of one answer.
    pub decode_us_per_token: DurationUs,
    /// Whether the endpoint announces that it is leaving.
    pub leaving: bool,
    /// Loaded models; empty for a plain service.
    pub models: Vec<LoadedModel>,
}

/// A model that an endpoint has loaded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Name of the model.
    pub model: ModelName,
    /// Weight version that new requests run on.
    pub weight_version: WeightVersion,
    /// Adapters that are loaded for the model.
    pub adapters: Vec<AdapterName>,
    /// Whether the model accepts requests now.
    pub is_ready: bool,
}
