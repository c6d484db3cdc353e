//! The configuration in force and the weights that are wanted.

use std::collections::BTreeMap;
use std::sync::Arc;

use arc_swap::ArcSwapOption;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;
use wisteriahitch_types::{DurationUs, ModelName, TimeUs};

use crate::decide::wanted_weights::{OldWeightsLimits, WantedVersions};
use crate::site::{SiteConfig, WantedWeights};

/// Holds what operators want.
pub(crate) struct SiteState {
    config: ArcSwapOption<SiteConfig>,
    old_weights_limits: OldWeightsLimits,
    wanted_by_model: Mutex<BTreeMap<ModelName, WantedVersions>>,
    wanted_changed: Notify,
}

impl SiteState {
    /// Starts without any.
    pub(crate) fn new(old_weights_limits: OldWeightsLimits) -> Self {
        Self {
            config: ArcSwapOption::default(),
            old_weights_limits,
            wanted_by_model: Mutex::default(),
            wanted_changed: Notify::new(),
        }
    }

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
    pub(crate) fn record_wanted(
        &self,
        wanted: WantedWeights,
        age_us: DurationUs,
        now: TimeUs,
    ) -> bool {
        let mut all = self.wanted_by_model.lock();
        let versions = all
            .entry(wanted.model)
            .or_insert_with(|| WantedVersions::new(self.old_weights_limits));
        let named_at_us = TimeUs::new(now.get().saturating_sub(age_us.get()));
        let is_new = versions.named(wanted.version, named_at_us);
        drop(all);
        if is_new {
            self.wanted_changed.notify_waiters();
        }
        is_new
    }

    /// Waits for other weights to be wanted; what is named after this was called isn't missed.
    pub(crate) fn wanted_changed(&self) -> Notified<'_> {
        self.wanted_changed.notified()
    }

    /// Returns the weights that were wanted for a model lately.
    pub(crate) fn wanted_versions(&self, model: &ModelName) -> Option<WantedVersions> {
        self.wanted_by_model.lock().get(model).cloned()
    }

    /// Returns the weights that were wanted lately, by model.
    pub(crate) fn all_wanted_versions(&self) -> BTreeMap<ModelName, WantedVersions> {
        self.wanted_by_model.lock().clone()
    }
}
