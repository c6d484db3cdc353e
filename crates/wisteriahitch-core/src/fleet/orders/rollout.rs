//! Rollout of a new weight version of one model.

use serde::Serialize;
use wisteriahitch_types::{EndpointId, ModelName, WeightVersion};

/// State of a rollout.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutPhase {
    /// Endpoints are changing to the new version.
    Running,
    /// All endpoints report the new version.
    Done,
    /// Loading failed too often; endpoints are returning to the previous version.
    #[serde(rename = "going_back")]
    RollingBack,
    /// The rollout failed. All endpoints report the previous version, or there was none.
    Stopped,
}

/// Reason why an endpoint's load has to wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BlockReason {
    /// The maximum number of concurrent loads at the site is reached.
    TooManyLoading,
    /// The first endpoint of the rollout has not yet confirmed that the version works.
    FirstNotConfirmed,
    /// The other endpoints could not carry the current load, or none would be left.
    NeededForLoad,
    /// Another daemon gives the endpoint's orders, or this daemon does not hold the needed lease
    /// now.
    NoLease,
    /// The endpoint has not reported yet.
    NoReport,
}

/// Progress of a rollout, for operators.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RolloutProgress {
    /// Name of the model.
    pub model: ModelName,
    /// Version that most endpoints reported when the rollout started; `None` if there was none.
    pub from: Option<WeightVersion>,
    /// Version that the configuration wants.
    pub to: WeightVersion,
    /// State of the rollout.
    pub phase: RolloutPhase,
    /// Number of endpoints that are to load the model.
    pub total: usize,
    /// Number of endpoints that are ready and report the target version.
    pub done: usize,
    /// Endpoints that are loading by orders of this daemon.
    pub loading: Vec<EndpointId>,
    /// Number of failed loads.
    pub failures: u32,
    /// Endpoints that have to wait, with the reason.
    pub blocked: Vec<(EndpointId, BlockReason)>,
}

/// Rollout state of one model.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Rollout {
    /// Version that most endpoints reported when the rollout started.
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

    /// Returns the version that endpoints are to load, or `None` if they stay as they are.
    pub(super) fn target(&self) -> Option<&WeightVersion> {
        match self.phase {
            RolloutPhase::Running | RolloutPhase::Done => Some(&self.to),
            RolloutPhase::RollingBack | RolloutPhase::Stopped => self.from.as_ref(),
        }
    }

    /// Counts a failed load. At `max` failures a running rollout goes back to the previous version,
    /// or stops if there is none.
    pub(super) fn record_failure(&mut self, max: u32) {
        self.failures += 1;
        let is_running = self.phase == RolloutPhase::Running;
        if !is_running || self.failures < max {
            return;
        }
        self.phase = match self.from {
            Some(_) => RolloutPhase::RollingBack,
            None => RolloutPhase::Stopped,
        };
    }

    /// Updates the state by whether all endpoints report the target version.
    pub(super) fn update_phase(&mut self, is_complete: bool) {
        self.phase = match (self.phase, is_complete) {
            (RolloutPhase::Running, true) => RolloutPhase::Done,
            (RolloutPhase::Done, false) => RolloutPhase::Running,
            (RolloutPhase::RollingBack, true) => RolloutPhase::Stopped,
            (phase, _) => phase,
        };
    }
}
