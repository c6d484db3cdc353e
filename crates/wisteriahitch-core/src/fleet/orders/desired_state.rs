//! State of the endpoints that the configuration asks for.

use std::collections::BTreeMap;

use serde::Serialize;
use wisteriahitch_config::{Configuration, Service, ServiceKind};
use wisteriahitch_types::{AdapterName, EndpointId, ModelName, ServiceName, WeightVersion};

/// Desired state of all endpoints that accept orders.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct DesiredState {
    /// Desired state by endpoint.
    pub endpoints: BTreeMap<EndpointId, DesiredEndpoint>,
    /// Maximum number of concurrent loads at the site.
    pub rollout_parallel: u32,
}

/// Desired state of one endpoint.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DesiredEndpoint {
    /// Service that the endpoint belongs to; its name is the endpoint's role.
    pub service: ServiceName,
    /// Models that the endpoint is to load.
    pub models: Vec<DesiredModel>,
}

/// Desired state of one model on an endpoint.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DesiredModel {
    /// Name of the model.
    pub model: ModelName,
    /// Weight version.
    pub weight_version: WeightVersion,
    /// Adapters to load.
    pub adapters: Vec<AdapterName>,
}

impl DesiredState {
    /// Derives the desired state from a configuration. Endpoints of plain services accept no orders
    /// and are omitted.
    pub fn from_configuration(configuration: &Configuration) -> Self {
        let engines = configuration
            .services
            .values()
            .filter(|service| service.kind == ServiceKind::Engine);
        let endpoints = engines.flat_map(|service| {
            let desired = desired_endpoint(service, configuration);
            let ids = service.endpoints.iter().map(|endpoint| endpoint.id.clone());
            ids.map(move |id| (id, desired.clone()))
        });
        Self {
            endpoints: endpoints.collect(),
            rollout_parallel: configuration.limits.rollout_parallel,
        }
    }

    /// Returns the desired version of each model.
    pub(super) fn desired_versions(&self) -> BTreeMap<&ModelName, &WeightVersion> {
        let models = self.endpoints.values().flat_map(|desired| &desired.models);
        models
            .map(|desired| (&desired.model, &desired.weight_version))
            .collect()
    }

    /// Returns the endpoints that are to load a model.
    pub(super) fn endpoints_with_model<'a>(
        &'a self,
        model: &'a ModelName,
    ) -> impl Iterator<Item = &'a EndpointId> {
        let holds =
            move |desired: &DesiredEndpoint| desired.models.iter().any(|m| m.model == *model);
        self.endpoints
            .iter()
            .filter(move |(_, desired)| holds(desired))
            .map(|(id, _)| id)
    }
}

fn desired_endpoint(service: &Service, configuration: &Configuration) -> DesiredEndpoint {
    let models = service
        .models
        .iter()
        .filter_map(|name| configuration.models.get(name));
    DesiredEndpoint {
        service: service.name.clone(),
        models: models
            .map(|model| DesiredModel {
                model: model.name.clone(),
                weight_version: model.weight_version.clone(),
                adapters: model.adapters.clone(),
            })
            .collect(),
    }
}
