//! Orders to endpoints, and reports of endpoints.

use serde::Serialize;
use wisteriahitch_types::{AdapterName, EndpointId, ModelName, WeightVersion};

/// Order that changes the state of an endpoint.
///
/// The engine protocol has its own type `Order`, whose JSON form is defined by engines. The two are
/// separate, so that another protocol can be used without changing the planner.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum EndpointOrder {
    /// Load a version of a model, replacing the loaded version.
    LoadModel {
        /// Name of the model.
        model: ModelName,
        /// Weight version to load.
        weight_version: WeightVersion,
    },
    /// Unload a model.
    UnloadModel {
        /// Name of the model.
        model: ModelName,
    },
    /// Load an adapter.
    LoadAdapter {
        /// Model that the adapter belongs to.
        model: ModelName,
        /// Name of the adapter.
        adapter: AdapterName,
    },
    /// Unload an adapter.
    UnloadAdapter {
        /// Model that the adapter belongs to.
        model: ModelName,
        /// Name of the adapter.
        adapter: AdapterName,
    },
    /// Change the role of the endpoint.
    SetRole {
        /// New role.
        role: String,
    },
}

impl EndpointOrder {
    /// Returns whether the order loads weights, which takes the endpoint out of service for a
    /// while.
    pub const fn is_load(&self) -> bool {
        matches!(self, EndpointOrder::LoadModel { .. })
    }

    /// Returns the model that the order affects, or `None` for a change of role.
    pub const fn model(&self) -> Option<&ModelName> {
        match self {
            EndpointOrder::LoadModel { model, .. }
            | EndpointOrder::UnloadModel { model }
            | EndpointOrder::LoadAdapter { model, .. }
            | EndpointOrder::UnloadAdapter { model, .. } => Some(model),
            EndpointOrder::SetRole { .. } => None,
        }
    }
}

/// An order and the endpoint that it is for.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct PlannedOrder {
    /// Endpoint that receives the order.
    pub endpoint: EndpointId,
    /// Order to send.
    pub order: EndpointOrder,
}

/// Last report of an endpoint, as far as the planner needs it.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct EndpointReport {
    /// Time at which the report was made, in milliseconds. Reports with the same value are the same
    /// report.
    pub made_at_ms: u64,
    /// Loaded models.
    pub models: Vec<ModelOnEndpoint>,
    /// Role that the endpoint serves in.
    pub role: String,
    /// Whether the endpoint is about to leave.
    pub is_leaving: bool,
    /// Number of running and queued requests.
    pub open_requests: u64,
    /// Maximum number of requests that run at the same time.
    pub batch_slots: u64,
}

/// A model as reported by an endpoint.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ModelOnEndpoint {
    /// Name of the model.
    pub model: ModelName,
    /// Weight version that new requests run on.
    pub weight_version: WeightVersion,
    /// Loaded adapters.
    pub adapters: Vec<AdapterName>,
    /// Whether the endpoint accepts requests for the model now.
    pub is_ready: bool,
}

impl EndpointReport {
    /// Returns the report about a model, or `None` if the model is not loaded.
    pub fn model(&self, name: &ModelName) -> Option<&ModelOnEndpoint> {
        self.models.iter().find(|model| model.model == *name)
    }

    /// Returns whether the endpoint accepts new requests for the model.
    pub fn is_ready_for(&self, name: &ModelName) -> bool {
        !self.is_leaving && self.model(name).is_some_and(|model| model.is_ready)
    }

    /// Returns whether the endpoint is loading weights.
    pub fn is_loading(&self) -> bool {
        self.models.iter().any(|model| !model.is_ready)
    }
}
