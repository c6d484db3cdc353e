//! One model's way from one version of its weights to another.

use serde::Serialize;
use wisteriahitch_types::{EndpointId, ModelName, WeightVersion};

/// Names the state of a rollout.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutPhase {
    /// Endpoints go to the new version.
    Running,
    /// Every endpoint reports the new version.
    Done,
    /// Loading failed; endpoints go back to the version before.
    GoingBack,
    /// Loading failed and every endpoint reports the version before, or there was none.
    Stopped,
}

/// Says why an endpoint isn't taken yet.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Blocked {
    /// As many load at the site as may.
    TooManyLoading,
    /// The first endpoint of a rollout hasn't shown yet that the version works.
    FirstNotConfirmed,
    /// The others couldn't carry the present load, or none would be left.
    NeededForLoad,
    /// Its orders are another daemon's, or the lease isn't held now.
    NoLease,
    /// It hasn't reported.
    NoReport,
}

/// Shows a rollout to operators.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RolloutProgress {
    /// Model.
    pub model: ModelName,
    /// Version that most endpoints reported at the start.
    pub from: Option<WeightVersion>,
    /// Version that the configuration wants.
    pub to: WeightVersion,
    /// State.
    pub phase: RolloutPhase,
    /// Endpoints that are to hold the model.
    pub total: usize,
    /// Endpoints that report the target version and are ready.
    pub done: usize,
    /// Endpoints that are loading by this daemon's orders.
    pub loading: Vec<EndpointId>,
    /// Loads that failed.
    pub failures: u32,
    /// Endpoints that wait, with the reason.
    pub blocked: Vec<(EndpointId, Blocked)>,
}

/// Follows one model's rollout.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Rollout {
    pub(super) from: Option<WeightVersion>,
    pub(super) to: WeightVersion,
    pub(super) phase: RolloutPhase,
    pub(super) failures: u32,
}

impl Rollout {
    pub(super) fn new(from: Option<WeightVersion>, to: WeightVersion) -> Self {
        Self {
            from,
            to,
            phase: RolloutPhase::Running,
            failures: 0,
        }
    }

    /// Returns the version that endpoints are to go to, or nothing where they stay as they are.
    pub(super) fn target(&self) -> Option<&WeightVersion> {
        match self.phase {
            RolloutPhase::Running | RolloutPhase::Done => Some(&self.to),
            RolloutPhase::GoingBack | RolloutPhase::Stopped => self.from.as_ref(),
        }
    }

    /// Counts a failure; from `max` on nothing more goes to the new version.
    pub(super) fn fail(&mut self, max: u32) {
        self.failures += 1;
        let is_running = self.phase == RolloutPhase::Running;
        if !is_running || self.failures < max {
            return;
        }
        self.phase = match self.from {
            Some(_) => RolloutPhase::GoingBack,
            None => RolloutPhase::Stopped,
        };
    }

    /// Notes whether every endpoint reports the target.
    pub(super) fn note_complete(&mut self, is_complete: bool) {
        self.phase = match (self.phase, is_complete) {
            (RolloutPhase::Running, true) => RolloutPhase::Done,
            (RolloutPhase::Done, false) => RolloutPhase::Running,
            (RolloutPhase::GoingBack, true) => RolloutPhase::Stopped,
            (phase, _) => phase,
        };
    }
}
