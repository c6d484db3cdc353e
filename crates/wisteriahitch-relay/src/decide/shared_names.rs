//! Names that many endpoints have in common, each held once.
//!
//! Load pattern: a daemon holds the registrations of thousands of endpoints of a few services, zones
//! and models. Each registration is decoded with texts of its own, which take a tenth of a
//! kilobyte for each endpoint.

use std::collections::HashSet;
use std::hash::Hash;

use wisteriahitch_types::{AvailabilityZone, ModelName, ServiceName};

use crate::site::Endpoint;

/// Maximum number of names of a kind that are shared. A site has a few.
const MAX_SHARED: usize = 256;

/// Names that registrations have in common.
#[derive(Debug, Default)]
pub(crate) struct SharedNames {
    services: HashSet<ServiceName>,
    zones: HashSet<AvailabilityZone>,
    models: HashSet<ModelName>,
}

impl SharedNames {
    /// Replaces the names of an endpoint by equal ones that other endpoints use.
    pub(crate) fn share(&mut self, endpoint: &mut Endpoint) {
        share(&mut self.services, &mut endpoint.service);
        share(&mut self.zones, &mut endpoint.zone);
        for model in endpoint.weights.models_mut() {
            share(&mut self.models, model);
        }
    }
}

fn share<T: Clone + Eq + Hash>(known: &mut HashSet<T>, name: &mut T) {
    match known.get(name) {
        Some(equal) => name.clone_from(equal),
        None if known.len() < MAX_SHARED => {
            known.insert(name.clone());
        }
        None => {}
    }
}
