//! The service, model version and adapter that a request needs.

use wisteriahitch_types::{AdapterName, ModelName, ServiceName, WeightVersion};

use super::PoolKey;

/// The service, model version and adapter that an endpoint must have to run a request.
#[derive(Clone, Debug, PartialEq)]
pub struct ServingRequirement {
    /// Service chosen by the routing rules.
    pub service: ServiceName,
    /// Model and the weight version that the decision is made for; `None` for a plain service.
    pub model: Option<(ModelName, WeightVersion)>,
    /// Adapter that is applied to the model, if any.
    pub adapter: Option<AdapterName>,
}

impl ServingRequirement {
    /// Returns the key of the pool of endpoints that have the service and the model version.
    pub(crate) fn pool_key(&self) -> PoolKey {
        PoolKey {
            service: self.service.clone(),
            model: self.model.clone(),
        }
    }
}
