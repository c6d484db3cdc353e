//! The configuration in force and the wanted weights.

use std::collections::BTreeMap;
use std::sync::Arc;

use arc_swap::ArcSwapOption;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;
use wisteriahitch_types::{DurationUs, ModelName, TimeUs};

use crate::decide::wanted_weights::{OldWeightsLimits, WantedVersions};
use crate::site::{SiteConfig, WantedWeights};

/// What operators have configured: the configuration in force and the wanted weight versions.
pub(crate) struct SiteState {
    config: ArcSwapOption<SiteConfig>,
    /// How long replaced weights may be used.
    old_weights_limits: OldWeightsLimits,
    /// Recently wanted weight versions by model.
    wanted_by_model: Mutex<BTreeMap<ModelName, WantedVersions>>,
    /// Notified when other weights become wanted.
    wanted_changed: Notify,
}

impl SiteState {
    /// Starts without a configuration and without wanted weights.
    pub(crate) fn new(old_weights_limits: OldWeightsLimits) -> Self {
        Self {
            config: ArcSwapOption::default(),
            old_weights_limits,
            wanted_by_model: Mutex::default(),
            wanted_changed: Notify::new(),
        }
    }

    /// Returns the configuration in force, or `None` before the first one is adopted.
    pub(crate) fn config(&self) -> Option<Arc<SiteConfig>> {
        self.config.load_full()
    }

    /// Puts a configuration in force if it is newer than the current one, and returns whether it
    /// is.
    ///
    /// A stale listing or a lagging peer could otherwise bring back an older configuration, and
    /// callers would lose routes and keys that were just added.
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

    /// Records the wanted weights of a model, and returns whether the version is new.
    ///
    /// `age_us` is the maximum time since the version was announced; the real age is unknown at the
    /// start.
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
        let is_new = versions.record_version(wanted.version, named_at_us);
        drop(all);
        if is_new {
            self.wanted_changed.notify_waiters();
        }
        is_new
    }

    /// Returns a future that completes when other weights become wanted. Changes after this call
    /// aren't missed.
    pub(crate) fn wanted_changed(&self) -> Notified<'_> {
        self.wanted_changed.notified()
    }

    /// Returns the recently wanted weight versions of a model.
    pub(crate) fn wanted_versions(&self, model: &ModelName) -> Option<WantedVersions> {
        self.wanted_by_model.lock().get(model).cloned()
    }

    /// Returns the recently wanted weight versions of all models.
    pub(crate) fn all_wanted_versions(&self) -> BTreeMap<ModelName, WantedVersions> {
        self.wanted_by_model.lock().clone()
    }
}
