//! Models, versions and adapters that a stand-in engine has loaded.

use std::collections::{BTreeMap, BTreeSet};

use http::StatusCode;
use wisteriahitch_types::{AdapterName, ModelName, WeightVersion};
use wisteriahitch_wire::engine::ModelReport;

/// Status and reason of a request that is refused without being run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct NotRun {
    pub(super) status: StatusCode,
    pub(super) reason: &'static str,
}

impl NotRun {
    pub(super) const fn new(status: StatusCode, reason: &'static str) -> Self {
        Self { status, reason }
    }
}

struct ModelEntry {
    weight_version: WeightVersion,
    adapters: BTreeSet<AdapterName>,
    is_ready: bool,
    /// Number of the most recent load; an earlier load that ends later has no effect.
    load_number: u64,
}

/// Every model of an engine by name.
#[derive(Default)]
pub(super) struct ModelTable {
    models: BTreeMap<ModelName, ModelEntry>,
    last_load_number: u64,
}

impl ModelTable {
    /// Adds a model that is ready at once.
    pub(super) fn insert(&mut self, model: ModelName, weight_version: WeightVersion) {
        let loaded = ModelEntry {
            weight_version,
            adapters: BTreeSet::new(),
            is_ready: true,
            load_number: 0,
        };
        self.models.insert(model, loaded);
    }

    /// Checks that a model is ready with the given adapter and weight version.
    pub(super) fn check(
        &self,
        model: &ModelName,
        adapter: Option<&AdapterName>,
        version: &WeightVersion,
    ) -> Result<(), NotRun> {
        let loaded = self.models.get(model);
        let loaded = loaded.ok_or(NotRun::new(StatusCode::NOT_FOUND, "model not loaded"))?;
        if !loaded.is_ready {
            return Err(NotRun::new(StatusCode::SERVICE_UNAVAILABLE, "loading"));
        }
        if loaded.weight_version != *version {
            return Err(NotRun::new(StatusCode::CONFLICT, "another weight version"));
        }
        if adapter.is_some_and(|name| !loaded.adapters.contains(name)) {
            return Err(NotRun::new(StatusCode::NOT_FOUND, "adapter not loaded"));
        }
        Ok(())
    }

    /// Returns whether new requests of any model run on `version`.
    pub(super) fn has_version(&self, version: &WeightVersion) -> bool {
        self.models
            .values()
            .any(|model| model.is_ready && model.weight_version == *version)
    }

    /// Begins to load a version and returns the number of the load, or `None` if the model is
    /// ready with that version.
    pub(super) fn begin_load(&mut self, model: &ModelName, version: &WeightVersion) -> Option<u64> {
        self.last_load_number += 1;
        let number = self.last_load_number;
        let entry = self
            .models
            .entry(model.clone())
            .or_insert_with(|| ModelEntry {
                weight_version: version.clone(),
                adapters: BTreeSet::new(),
                is_ready: false,
                load_number: 0,
            });
        if entry.is_ready && entry.weight_version == *version {
            return None;
        }
        entry.is_ready = false;
        entry.load_number = number;
        Some(number)
    }

    /// Ends a load and returns the version that it replaced, if that was another one.
    ///
    /// Has no effect if a later order has superseded the load.
    pub(super) fn finish_load(
        &mut self,
        model: &ModelName,
        version: WeightVersion,
        number: u64,
    ) -> Option<WeightVersion> {
        let entry = self.models.get_mut(model)?;
        if entry.load_number != number || entry.is_ready {
            return None;
        }
        entry.is_ready = true;
        let old = std::mem::replace(&mut entry.weight_version, version);
        (old != entry.weight_version).then_some(old)
    }

    /// Removes a model and returns its weight version.
    pub(super) fn unload(&mut self, model: &ModelName) -> Option<WeightVersion> {
        self.models.remove(model).map(|model| model.weight_version)
    }

    /// Adds an adapter; returns `false` if the model is not loaded.
    pub(super) fn add_adapter(&mut self, model: &ModelName, adapter: AdapterName) -> bool {
        let Some(entry) = self.models.get_mut(model) else {
            return false;
        };
        entry.adapters.insert(adapter);
        true
    }

    pub(super) fn unload_adapter(&mut self, model: &ModelName, adapter: &AdapterName) {
        if let Some(entry) = self.models.get_mut(model) {
            entry.adapters.remove(adapter);
        }
    }

    pub(super) fn report(&self) -> Vec<ModelReport> {
        let to_report = |(name, model): (&ModelName, &ModelEntry)| ModelReport {
            model: name.clone(),
            weight_version: model.weight_version.clone(),
            adapters: model.adapters.iter().cloned().collect(),
            ready: model.is_ready,
        };
        self.models.iter().map(to_report).collect()
    }
}
