//! What the configuration wants of every endpoint.

use std::collections::BTreeMap;

use serde::Serialize;
use wisteriahitch_config::{Configuration, Service, ServiceKind};
use wisteriahitch_types::{AdapterName, EndpointId, ModelName, ServiceName, WeightVersion};

/// Holds what is wanted of every endpoint that takes orders.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct WantedState {
    /// Endpoints by name.
    pub endpoints: BTreeMap<EndpointId, WantedEndpoint>,
    /// Most loads at once at the site.
    pub rollout_parallel: u32,
}

/// Holds what is wanted of one endpoint.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WantedEndpoint {
    /// Service that it belongs to, whose name is its role.
    pub service: ServiceName,
    /// Models that it is to hold.
    pub models: Vec<WantedModel>,
}

/// Holds one model that is wanted.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WantedModel {
    /// Model.
    pub model: ModelName,
    /// Version.
    pub weight_version: WeightVersion,
    /// Adapters.
    pub adapters: Vec<AdapterName>,
}

impl WantedState {
    /// Reads the wanted state from a configuration; plain services take no orders.
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

    /// Returns the wanted version of every model.
    pub(super) fn versions(&self) -> BTreeMap<&ModelName, &WeightVersion> {
        let models = self.endpoints.values().flat_map(|wanted| &wanted.models);
        models
            .map(|wanted| (&wanted.model, &wanted.weight_version))
            .collect()
    }

    /// Returns the endpoints that are to hold a model.
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
