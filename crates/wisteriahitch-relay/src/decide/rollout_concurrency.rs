//! How many engines are taken out at once to get new weights, and whether that ends in time.
//!
//! Load pattern: newer weights are named while callers go on, perhaps again before the last ones are
//! everywhere. Each engine that is taken out is missed, and comes back with an empty memory. Taking
//! out more of them when the time for old weights runs short was tried and is worse: the others
//! can't do their work, and what they refuse is more than what the bound would have cost
//! (`docs/design/decisions.md`).

use wisteriahitch_types::{DurationUs, TimeUs};

/// Time from taking an engine out to its first call on new weights, as long as none was seen: it
/// ends its calls in about half a second and loads in about one.
const INITIAL_TURNAROUND_US: DurationUs = DurationUs::from_ms(1_500);

/// Weight of the newest engine in the moving mean: three engines or so decide, since how long a
/// load takes changes with the weights and with how many load at once.
const NEWEST_ENGINE_WEIGHT: f64 = 0.3;

/// Bounds of the pace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConcurrencyOptions {
    /// Engines that may be out at once however few there are.
    pub parallel_min: usize,
    /// Share of the engines that may be out at once; more at once slow each other down.
    pub parallel_share: f64,
    /// Time after weights were named within which all engines are to have them.
    pub completion_timeout_us: DurationUs,
}

/// What is still to be done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Remaining {
    /// Engines with older weights, those that are out included.
    pub behind: usize,
    /// All engines.
    pub engines: usize,
    /// Since when the oldest of their weights are no longer wanted.
    pub replaced_at_us: TimeUs,
}

/// When a rollout is expected to end, where that is too late.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Overrun {
    /// Engines with older weights.
    pub behind: usize,
    /// Engines that are out at once.
    pub parallel: usize,
    /// Time that one engine takes.
    pub turnaround_us: DurationUs,
    /// Time that is left.
    pub left_us: DurationUs,
    /// Time that is needed.
    pub needed_us: DurationUs,
}

/// Learns how long an engine takes, and says how many may be out.
#[derive(Clone, Debug)]
pub struct RolloutConcurrency {
    options: ConcurrencyOptions,
    mean_turnaround_us: f64,
}

impl RolloutConcurrency {
    /// Starts with a guess.
    pub fn new(options: ConcurrencyOptions) -> Self {
        Self {
            options,
            mean_turnaround_us: INITIAL_TURNAROUND_US.as_f64(),
        }
    }

    /// Notes how long an engine took from being taken out to having its new weights.
    pub fn record_turnaround(&mut self, turnaround_us: DurationUs) {
        self.mean_turnaround_us +=
            (turnaround_us.as_f64() - self.mean_turnaround_us) * NEWEST_ENGINE_WEIGHT;
    }

    /// Returns how many of so many engines may be out at once.
    pub fn max_parallel(&self, engines: usize) -> usize {
        let share = (engines as f64 * self.options.parallel_share) as usize;
        self.options.parallel_min.max(1).max(share)
    }

    /// Returns what keeps the rollout from ending in time; nothing where it is expected to.
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
