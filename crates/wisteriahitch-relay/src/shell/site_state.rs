//! The configuration in force and the weights that are wanted.

use std::collections::BTreeMap;
use std::sync::Arc;

use arc_swap::ArcSwapOption;
use parking_lot::Mutex;
use wisteriahitch_types::{ModelName, TimeUs, WeightNumber};

use crate::site::{SiteConfig, WantedWeights};

/// Holds what operators want.
#[derive(Default)]
pub(crate) struct SiteState {
    config: ArcSwapOption<SiteConfig>,
    wanted: Mutex<BTreeMap<ModelName, (WeightNumber, TimeUs)>>,
}

impl SiteState {
    /// Returns the configuration in force.
    pub(crate) fn config(&self) -> Option<Arc<SiteConfig>> {
        self.config.load_full()
    }

    /// Puts a configuration in force if it is newer than the one that is.
    ///
    /// A stale listing or a peer that lags could bring an older one back; callers would then lose
    /// routes and keys that were just added.
    pub(crate) fn adopt(&self, config: SiteConfig) -> bool {
        let is_newer = self
            .config
            .load()
            .as_ref()
            .is_none_or(|old| config.version > old.version);
        if is_newer {
            self.config.store(Some(Arc::new(config)));
        }
        is_newer
    }

    /// Notes which weights are wanted, and returns whether that is new.
    pub(crate) fn want(&self, wanted: WantedWeights, now: TimeUs) -> bool {
        let mut all = self.wanted.lock();
        let known = all.get(&wanted.model).map(|(version, _)| *version);
        let is_newer = known.is_none_or(|known| wanted.version > known);
        if is_newer {
            all.insert(wanted.model, (wanted.version, now));
        }
        is_newer
    }

    /// Returns the weights that are wanted for a model, and since when.
    pub(crate) fn wanted(&self, model: &ModelName) -> Option<(WeightNumber, TimeUs)> {
        self.wanted.lock().get(model).copied()
    }

    /// Lists the weights that are wanted.
    pub(crate) fn all_wanted(&self) -> BTreeMap<ModelName, (WeightNumber, TimeUs)> {
        self.wanted.lock().clone()
    }
}
