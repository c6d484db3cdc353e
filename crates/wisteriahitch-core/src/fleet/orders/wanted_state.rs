//! State of the endpoints that the configuration asks for.

use std::collections::BTreeMap;

use serde::Serialize;
use wisteriahitch_config::{Configuration, Service, ServiceKind};
use wisteriahitch_types::{AdapterName, EndpointId, ModelName, ServiceName, WeightVersion};

/// Wanted state of all endpoints that accept orders.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct WantedState {
    /// Wanted state by endpoint.
    pub endpoints: BTreeMap<EndpointId, WantedEndpoint>,
    /// Maximum number of concurrent loads at the site.
    pub rollout_parallel: u32,
}

/// Wanted state of one endpoint.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WantedEndpoint {
    /// Service that the endpoint belongs to; its name is the endpoint's role.
    pub service: ServiceName,
    /// Models that the endpoint is to load.
    pub models: Vec<WantedModel>,
}

/// Wanted state of one model on an endpoint.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WantedModel {
    /// Name of the model.
    pub model: ModelName,
    /// Weight version.
    pub weight_version: WeightVersion,
    /// Adapters to load.
    pub adapters: Vec<AdapterName>,
}

impl WantedState {
    /// Derives the wanted state from a configuration. Endpoints of plain services accept no orders
    /// and are omitted.
    pub fn from_configuration(configuration: &Configuration) -> Self {
        let engines = configuration
            .services
            .values()
            .filter(|service| service.kind == ServiceKind::Engine);
        let endpoints = engines.flat_map(|service| {
            let wanted = wanted_of(service, configuration);
            let ids = service.endpoints.iter().map(|endpoint| endpoint.id.clone());
            ids.map(move |id| (id, wanted.clone()))
        });
        Self {
            endpoints: endpoints.collect(),
            rollout_parallel: configuration.limits.rollout_parallel,
        }
    }

    /// Returns the wanted version of each model.
    pub(super) fn versions(&self) -> BTreeMap<&ModelName, &WeightVersion> {
        let models = self.endpoints.values().flat_map(|wanted| &wanted.models);
        models
            .map(|wanted| (&wanted.model, &wanted.weight_version))
            .collect()
    }

    /// Returns the endpoints that are to load a model.
    pub(super) fn holders<'a>(
        &'a self,
        model: &'a ModelName,
    ) -> impl Iterator<Item = &'a EndpointId> {
        let holds = move |wanted: &WantedEndpoint| wanted.models.iter().any(|m| m.model == *model);
        self.endpoints
            .iter()
            .filter(move |(_, wanted)| holds(wanted))
            .map(|(id, _)| id)
    }
}

fn wanted_of(service: &Service, configuration: &Configuration) -> WantedEndpoint {
    let models = service
        .models
        .iter()
        .filter_map(|name| configuration.models.get(name));
    WantedEndpoint {
        service: service.name.clone(),
        models: models
            .map(|model| WantedModel {
                model: model.name.clone(),
                weight_version: model.weight_version.clone(),
                adapters: model.adapters.clone(),
            })
            .collect(),
    }
}
