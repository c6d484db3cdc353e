//! The configuration in force and the weights that are wanted.

use std::collections::BTreeMap;
use std::sync::Arc;

use arc_swap::ArcSwapOption;
use parking_lot::Mutex;
use wisteriahitch_types::{DurationUs, ModelName, TimeUs, WeightNumber};

use crate::decide::wanted_weights::WantedVersions;
use crate::site::{SiteConfig, WantedWeights};

/// Holds what operators want.
#[derive(Default)]
pub(crate) struct SiteState {
    config: ArcSwapOption<SiteConfig>,
    wanted: Mutex<BTreeMap<ModelName, WantedVersions>>,
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
    ///
    /// `age_us` is how long ago they may have been named at most; it isn't known at the start.
    pub(crate) fn want(&self, wanted: WantedWeights, age_us: DurationUs, now: TimeUs) -> bool {
        let mut all = self.wanted.lock();
        let versions = all.entry(wanted.model).or_default();
        versions.named(
            wanted.version,
            TimeUs::new(now.get().saturating_sub(age_us.get())),
        )
    }

    /// Returns the weights that were wanted for a model lately.
    pub(crate) fn wanted(&self, model: &ModelName) -> Option<WantedVersions> {
        self.wanted.lock().get(model).cloned()
    }

    /// Lists the weights that are wanted.
    pub(crate) fn all_wanted(&self) -> BTreeMap<ModelName, WeightNumber> {
        let wanted = self.wanted.lock();
        let newest = wanted
            .iter()
            .filter_map(|(model, versions)| Some((model.clone(), versions.newest()?)));
        newest.collect()
    }
}
