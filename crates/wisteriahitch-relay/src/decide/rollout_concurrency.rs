//! Bounds how many engines load new weights at once, and predicts whether a rollout ends in time.
//!
//! Load pattern: newer weights are named while callers go on, perhaps before the previous ones are
//! on all engines. Each reserved engine is missing from the fleet and comes back with an empty
//! cache. Reserving more engines when the time for old weights runs short was tried and is worse:
//! the remaining engines cannot do the work of the others, and refuse more calls than missing the
//! deadline would have cost (`docs/design/decisions.md`).

use wisteriahitch_types::{DurationUs, TimeUs};

/// Initial estimate of the time from reserving an engine to its first call on new weights: it
/// finishes its calls in about 0.5 s and loads in about 1 s.
const INITIAL_TURNAROUND_US: DurationUs = DurationUs::from_ms(1_500);

/// Weight of the newest engine in the moving average: about three engines determine it, since the
/// load time depends on the weights and on how many engines load at once.
const NEWEST_ENGINE_WEIGHT: f64 = 0.3;

/// Share of the engines that may be reserved beyond the limit while as many load.
const LOADING_SHARE: f64 = 0.1;

/// Limits of a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConcurrencyOptions {
    /// Minimum number of engines that may be reserved at once, however small the fleet is.
    pub parallel_min: usize,
    /// Share of the engines that may be reserved at once; more at once slow each other down.
    pub parallel_share: f64,
    /// Time after new weights were named within which all engines are to have them.
    pub completion_timeout_us: DurationUs,
}

/// Work that a rollout still has to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Remaining {
    /// Number of engines with older weights, including those in progress.
    pub behind: usize,
    /// Total number of engines.
    pub engines: usize,
    /// Time at which the oldest of their weights were replaced.
    pub replaced_at_us: TimeUs,
}

/// Forecast of a rollout that does not end in time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Overrun {
    /// Number of engines with older weights.
    pub behind: usize,
    /// Number of engines that are reserved at once.
    pub parallel: usize,
    /// Mean time that one engine takes.
    pub turnaround_us: DurationUs,
    /// Time left until the deadline.
    pub left_us: DurationUs,
    /// Time needed to finish.
    pub needed_us: DurationUs,
}

/// Tracks how long an engine takes, and limits how many are reserved at once.
#[derive(Clone, Debug)]
pub struct RolloutConcurrency {
    options: ConcurrencyOptions,
    mean_turnaround_us: f64,
}

impl RolloutConcurrency {
    /// Starts with `INITIAL_TURNAROUND_US` as the estimate.
    pub fn new(options: ConcurrencyOptions) -> Self {
        Self {
            options,
            mean_turnaround_us: INITIAL_TURNAROUND_US.as_f64(),
        }
    }

    /// Records the time that an engine took from being reserved to having its new weights.
    pub fn record_turnaround(&mut self, turnaround_us: DurationUs) {
        self.mean_turnaround_us +=
            (turnaround_us.as_f64() - self.mean_turnaround_us) * NEWEST_ENGINE_WEIGHT;
    }

    /// Returns how many of `engines` may be reserved at once.
    pub fn max_parallel(&self, engines: usize) -> usize {
        let share = (engines as f64 * self.options.parallel_share) as usize;
        self.options.parallel_min.max(1).max(share)
    }

    /// Returns how many more of `engines` may be reserved while `reserved` are, `loading` of which
    /// have no requests left.
    ///
    /// The next engines finish their calls while the ones before them load, so that the engines
    /// that load are not waited for. There are no places for that in a small fleet, where each
    /// engine that is missing is a large share of the fleet.
    pub fn free_places(&self, engines: usize, reserved: usize, loading: usize) -> usize {
        let places = self.max_parallel(engines);
        let extra = (engines as f64 * LOADING_SHARE) as usize;
        (places + extra.min(loading)).saturating_sub(reserved)
    }

    /// Returns why the rollout cannot end in time; `None` if it is expected to.
    pub fn overrun(&self, remaining: Remaining, now: TimeUs) -> Option<Overrun> {
        let parallel = self.max_parallel(remaining.engines);
        let rounds = remaining.behind.div_ceil(parallel);
        let needed_us = DurationUs::new((rounds as f64 * self.mean_turnaround_us) as u64);
        let deadline = remaining.replaced_at_us + self.options.completion_timeout_us;
        let left_us = deadline.since(now);
        (needed_us > left_us).then_some(Overrun {
            behind: remaining.behind,
            parallel,
            turnaround_us: DurationUs::new(self.mean_turnaround_us as u64),
            left_us,
            needed_us,
        })
    }
}
