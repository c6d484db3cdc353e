//! What a request needs its endpoint to serve.

use wisteriahitch_types::{AdapterName, ModelName, ServiceName, WeightVersion};

use super::PoolKey;

/// Says what a request needs its endpoint to serve.
#[derive(Clone, Debug, PartialEq)]
pub struct ServingRequirement {
    /// Service that the rules chose.
    pub service: ServiceName,
    /// Model and weight version that the request is decided for; nothing for a plain service.
    pub model: Option<(ModelName, WeightVersion)>,
    /// Adapter on top of the model.
    pub adapter: Option<AdapterName>,
}

impl ServingRequirement {
    /// Returns the key of the pool that can serve it.
    pub(crate) fn pool_key(&self) -> PoolKey {
        PoolKey {
            service: self.service.clone(),
            model: self.model.clone(),
        }
    }
}
