//! The configuration in force and the wanted weights.

use std::collections::BTreeMap;
use std::sync::Arc;

use arc_swap::ArcSwapOption;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;
use wisteriahitch_types::{ConfigVersion, ModelName, TimeUs, WeightNumber};
use wisteriahitch_wire::object_store::StoreEpoch;

use crate::decide::wanted_weights::{OldWeightsLimits, WantedVersions};
use crate::site::{SiteConfig, WantedWeights};

/// For each model, versions of its weights with the maximum time since anything newer was named, in
/// milliseconds.
pub(crate) type ReplacementAges = BTreeMap<ModelName, Vec<(WeightNumber, u64)>>;

/// Where the configuration in force comes from.
#[derive(Debug, Default)]
struct ConfigHistory {
    /// Epoch of the store in which it was read.
    read_in: StoreEpoch,
    /// Whether a later epoch has an older one.
    is_lost: bool,
    /// Greatest version that a peer has in force and the store has lost.
    peer_version: u64,
    /// Whether messages of the peers should have arrived since the start of this process.
    has_peer_messages: bool,
}

/// What operators have configured: the configuration in force and the wanted weight versions.
pub(crate) struct SiteState {
    config: ArcSwapOption<SiteConfig>,
    config_history: Mutex<ConfigHistory>,
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
            config_history: Mutex::default(),
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
    pub(crate) fn adopt(&self, config: SiteConfig, epoch: StoreEpoch) -> bool {
        let mut history = self.config_history.lock();
        let in_force = self.version();
        if epoch > history.read_in {
            history.is_lost = in_force.is_some_and(|in_force| config.version < in_force);
        }
        let is_newer = in_force.is_none_or(|in_force| config.version > in_force);
        if in_force <= Some(config.version) {
            history.read_in = epoch;
            history.is_lost = false;
        }
        if is_newer {
            self.config.store(Some(Arc::new(config)));
        }
        is_newer
    }

    fn version(&self) -> Option<ConfigVersion> {
        self.config.load().as_ref().map(|config| config.version)
    }

    /// Returns the version of the configuration in force if the store has returned with an older one.
    pub(crate) fn lost_version(&self) -> Option<u64> {
        let version = self.version()?;
        let is_lost = self.config_history.lock().is_lost;
        is_lost.then(|| version.get())
    }

    /// Records that a peer has this version in force, which the store has lost.
    pub(crate) fn record_peer_version(&self, version: u64) {
        let mut history = self.config_history.lock();
        history.peer_version = history.peer_version.max(version);
    }

    /// Records that messages of the peers should have arrived.
    pub(crate) fn record_peer_messages(&self) {
        self.config_history.lock().has_peer_messages = true;
    }

    /// Returns whether the store may have lost configurations: it returned with an older one than this
    /// daemon or a peer has in force, or this daemon has just started and has no message of a peer. Operators
    /// may have added routes and keys that this daemon doesn't know.
    pub(crate) fn is_store_behind(&self) -> bool {
        let history = self.config_history.lock();
        let version = self.version().map_or(0, ConfigVersion::get);
        let may_lose = history.read_in > StoreEpoch::default();
        history.is_lost
            || history.peer_version > version
            || (may_lose && !history.has_peer_messages)
    }

    /// Records the wanted weights of a model, and returns whether the version is new.
    ///
    /// `named_after` is the earliest time at which the version can have been named, and `now` the
    /// latest.
    pub(crate) fn record_wanted(
        &self,
        wanted: WantedWeights,
        named_after: TimeUs,
        now: TimeUs,
    ) -> bool {
        let mut all = self.wanted_by_model.lock();
        let versions = all
            .entry(wanted.model)
            .or_insert_with(|| WantedVersions::new(self.old_weights_limits));
        let is_new = versions.record_version(wanted.version, named_after);
        if is_new {
            versions.record_learned(wanted.version, now);
        }
        drop(all);
        if is_new {
            self.wanted_changed.notify_waiters();
        }
        is_new
    }

    /// Records when a peer says that everything newer than some versions was named at the earliest.
    pub(crate) fn record_replacement_ages(&self, ages: ReplacementAges, asked_at: TimeUs) {
        let mut all = self.wanted_by_model.lock();
        for (model, ages) in ages {
            let versions = all
                .entry(model)
                .or_insert_with(|| WantedVersions::new(self.old_weights_limits));
            for (version, age_ms) in ages {
                let named_after = asked_at.get().saturating_sub(age_ms.saturating_mul(1_000));
                versions.record_named_after(version, TimeUs::new(named_after));
            }
        }
        drop(all);
        self.wanted_changed.notify_waiters();
    }

    /// Returns for peers how long ago everything newer than some versions was named at most.
    pub(crate) fn replacement_ages(&self, now: TimeUs) -> ReplacementAges {
        let all = self.wanted_by_model.lock();
        let age_ms = |at| now.since(at).as_ms() + 1;
        let ages_of = |versions: &WantedVersions| {
            let ages = versions.named_after();
            ages.map(|(version, at)| (version, age_ms(at))).collect()
        };
        all.iter()
            .map(|(model, versions)| (model.clone(), ages_of(versions)))
            .collect()
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
