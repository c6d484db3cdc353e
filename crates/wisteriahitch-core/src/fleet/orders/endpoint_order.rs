//! Orders to endpoints, and what endpoints report.

use serde::Serialize;
use wisteriahitch_types::{AdapterName, EndpointId, ModelName, WeightVersion};

/// Tells an endpoint what to change.
///
/// The engine's protocol has an `Order` of its own, whose JSON form is for engines to say; the
/// two are kept apart, so that another protocol can be put there without touching a decision.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum EndpointOrder {
    /// Load a version of a model, in place of the one that is loaded.
    LoadModel {
        /// Model.
        model: ModelName,
        /// Version.
        weight_version: WeightVersion,
    },
    /// Drop a model.
    UnloadModel {
        /// Model.
        model: ModelName,
    },
    /// Load an adapter.
    LoadAdapter {
        /// Model that it belongs to.
        model: ModelName,
        /// Adapter.
        adapter: AdapterName,
    },
    /// Drop an adapter.
    UnloadAdapter {
        /// Model that it belongs to.
        model: ModelName,
        /// Adapter.
        adapter: AdapterName,
    },
    /// Serve in another role.
    SetRole {
        /// Role.
        role: String,
    },
}

impl EndpointOrder {
    /// Returns whether the endpoint loads weights, which takes it out of service for a while.
    pub const fn is_load(&self) -> bool {
        matches!(self, EndpointOrder::LoadModel { .. })
    }

    /// Returns the model that the order is about, if it is about one.
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

/// Names an endpoint and the order that it is to be given.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct PlannedOrder {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Order.
    pub order: EndpointOrder,
}

/// Holds what an endpoint last reported, as far as orders need it.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct EndpointReport {
    /// Tells reports apart: two with one number are the same report.
    pub made_at_ms: u64,
    /// Models that are loaded.
    pub models: Vec<ModelOnEndpoint>,
    /// Role that it serves in.
    pub role: String,
    /// Whether it will go away soon.
    pub is_leaving: bool,
    /// Requests that run or wait.
    pub open_requests: u64,
    /// Requests that can run at once.
    pub batch_slots: u64,
}

/// Holds one model as an endpoint reports it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ModelOnEndpoint {
    /// Model.
    pub model: ModelName,
    /// Version that new requests run on.
    pub weight_version: WeightVersion,
    /// Adapters that are loaded.
    pub adapters: Vec<AdapterName>,
    /// Whether requests are taken now.
    pub is_ready: bool,
}

impl EndpointReport {
    /// Returns what is reported of a model.
    pub fn model(&self, name: &ModelName) -> Option<&ModelOnEndpoint> {
        self.models.iter().find(|model| model.model == *name)
    }

    /// Returns whether new requests for the model are taken.
    pub fn is_ready_for(&self, name: &ModelName) -> bool {
        !self.is_leaving && self.model(name).is_some_and(|model| model.is_ready)
    }

    /// Returns whether weights are loading now.
    pub fn is_loading(&self) -> bool {
        self.models.iter().any(|model| !model.is_ready)
    }
}
