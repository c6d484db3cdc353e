//! A registered instance of an endpoint.

use std::net::SocketAddr;

use wisteriahitch_types::{
    AvailabilityZone, DurationUs, EndpointInstance, ModelName, ServiceName, SoftwareVersion,
    WeightNumber,
};
use wisteriahitch_wire::object_store::Revision;

/// One instance of an endpoint, as described by its registration.
///
/// A restarted endpoint is a new instance at the same address. It keeps its id if the platform
/// reports start times.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Id and start of the instance.
    pub instance: EndpointInstance,
    /// Store revision of the registration. Revisions only grow, so the higher one of two
    /// registrations is the newer one.
    pub revision: Revision,
    /// Service that the endpoint belongs to.
    pub service: ServiceName,
    /// Address that calls are sent to.
    pub address: SocketAddr,
    /// Availability zone that the endpoint runs in.
    pub zone: AvailabilityZone,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it announced that it is shutting down.
    pub is_draining: bool,
    /// Time for which it stays cold after its registration, as it reported.
    pub remaining_cold_us: DurationUs,
    /// Version of its software.
    pub software: SoftwareVersion,
    /// Versions of the weights that it reported, by model.
    pub weights: ModelWeights,
}

/// Versions of the weights that an endpoint has, by model.
///
/// An endpoint has few models, and a daemon holds thousands of endpoints, for which a list needs much
/// less memory than a map.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ModelWeights(Vec<(ModelName, WeightNumber)>);

impl ModelWeights {
    /// Returns the version of a model.
    pub fn get(&self, model: &ModelName) -> Option<WeightNumber> {
        let mut weights = self.0.iter();
        let found = weights.find(|(known, _)| known == model);
        found.map(|(_, version)| *version)
    }

    /// Replaces the version of a model if the new one is higher, and returns whether it was.
    pub fn raise(&mut self, model: &ModelName, version: WeightNumber) -> bool {
        let mut weights = self.0.iter_mut();
        match weights.find(|(known, _)| known == model) {
            Some((_, known)) if *known >= version => false,
            Some((_, known)) => {
                *known = version;
                true
            }
            None => {
                self.0.reserve_exact(1);
                self.0.push((model.clone(), version));
                version > WeightNumber::default()
            }
        }
    }

    /// Returns whether the endpoint has no models.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Lists the names of the models, to replace them by equal ones.
    pub(crate) fn models_mut(&mut self) -> impl Iterator<Item = &mut ModelName> {
        self.0.iter_mut().map(|(model, _)| model)
    }

    /// Lists the models with their versions.
    pub fn iter(&self) -> impl Iterator<Item = (&ModelName, WeightNumber)> {
        self.0.iter().map(|(model, version)| (model, *version))
    }
}

impl FromIterator<(ModelName, WeightNumber)> for ModelWeights {
    fn from_iter<I: IntoIterator<Item = (ModelName, WeightNumber)>>(weights: I) -> Self {
        let mut list = Self::default();
        for (model, version) in weights {
            list.raise(&model, version);
        }
        list
    }
}
