//! Plays a start, a calm time and the failure of a third of the spokes.

use std::collections::BTreeMap;
use std::fmt;

use anyhow::{Context, Result, ensure};
use hdrhistogram::Histogram;

use super::model::{MembershipModel, ModelOptions, ROUND_MS, ViewErrors};

/// Number of members that a message reports in one round, on average.
const MEMBERS_PER_ROUND: u64 = 60;

/// Number of rotations after which all members are known, although messages are lost.
const START_ROTATIONS: u64 = 5;

/// Time after a start or a failure until messages have passed all hops, in milliseconds.
const SETTLE_MS: u64 = 1_000;

/// Time for which failed members are observed, in milliseconds.
const OBSERVED_MS: u64 = 10_000;

/// One in this many spokes fails.
const FAILING_ONE_IN: usize = 3;

/// How long failed daemons stay in entry lists.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Removal {
    /// Median over all failed daemons and the lists of spokes, which are most of the fleet.
    pub median_ms: u64,
    /// Maximum over all complete views, also those of hubs; `None` if a daemon was never removed.
    pub max_ms: Option<u64>,
}

/// Results for one size of the fleet.
#[derive(Clone, Debug)]
pub struct Assessment {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of hubs.
    pub hubs: usize,
    /// Time in which messages report each member once, in milliseconds.
    pub rotation_ms: u64,
    /// Errors after the start.
    pub after_start: ViewErrors,
    /// Largest errors in a round of the calm time.
    pub calm: ViewErrors,
    /// How long failed daemons stay in entry lists.
    pub removal: Removal,
    /// Largest number of missing daemons in a round after the failure, and the stale ones in the last
    /// observed round.
    pub after_failure: ViewErrors,
    /// Size of the largest message.
    pub max_message_bytes: usize,
}

/// Plays the scenario.
///
/// # Errors
///
/// Fails if the fleet is so small that it has no spokes.
pub fn assess(options: ModelOptions) -> Result<Assessment> {
    let daemons = u64::try_from(options.daemons).unwrap_or(u64::MAX);
    let rotation_ms = daemons.div_ceil(MEMBERS_PER_ROUND).max(1) * ROUND_MS;
    let recovery_ms = 2 * rotation_ms + SETTLE_MS;
    let mut model = MembershipModel::new(options);
    let has_spokes = model.hub_count() < options.daemons;
    ensure!(
        has_spokes,
        "{} daemons are a small fleet, which has no spokes",
        options.daemons
    );
    let rotations = if options.loss > 0.0 {
        START_ROTATIONS
    } else {
        1
    };
    model.run_until(rotations * rotation_ms + SETTLE_MS);
    let after_start = model.errors(recovery_ms);
    let mut calm = ViewErrors::default();
    let calm_until_ms = model.now_ms() + rotation_ms + 3 * SETTLE_MS;
    while model.now_ms() < calm_until_ms {
        model.step();
        let errors = model.errors(recovery_ms);
        calm.missing = calm.missing.max(errors.missing);
        calm.stale = calm.stale.max(errors.stale);
    }
    let (removal, after_failure) = observe_failure(&mut model, recovery_ms)?;
    Ok(Assessment {
        daemons: options.daemons,
        hubs: model.hub_count(),
        rotation_ms,
        after_start,
        calm,
        removal,
        after_failure,
        max_message_bytes: model.max_message_bytes(),
    })
}

/// Lets spokes fail, and records when each of them disappears from each entry list, and the errors.
fn observe_failure(model: &mut MembershipModel, recovery_ms: u64) -> Result<(Removal, ViewErrors)> {
    let failed = model.fail_spokes(FAILING_ONE_IN);
    let failed_at_ms = model.now_ms();
    // The last time at which each failed daemon was listed, by whether the viewer is a hub.
    let mut last_listed_ms = BTreeMap::new();
    let mut errors = ViewErrors::default();
    while model.now_ms() < failed_at_ms + OBSERVED_MS {
        model.step();
        let elapsed_ms = model.now_ms() - failed_at_ms;
        let current = model.errors(recovery_ms);
        errors = ViewErrors {
            missing: errors.missing.max(current.missing),
            stale: current.stale,
        };
        for view in model.views() {
            for ip in view.entries.intersection(&failed) {
                last_listed_ms.insert((view.is_hub, view.viewer, *ip), elapsed_ms);
            }
        }
    }
    let mut removed_at_spokes_ms = Histogram::<u64>::new(3).context("no histogram")?;
    for ((is_hub, ..), last_listed_ms) in &last_listed_ms {
        if !is_hub {
            removed_at_spokes_ms.record(last_listed_ms + ROUND_MS)?;
        }
    }
    let last_ms = last_listed_ms.values().max().copied().unwrap_or(0);
    let removal = Removal {
        median_ms: removed_at_spokes_ms.value_at_quantile(0.5),
        max_ms: (last_ms < OBSERVED_MS).then_some(last_ms + ROUND_MS),
    };
    Ok((removal, errors))
}

impl fmt::Display for Assessment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let errors = |errors: ViewErrors| format!("{} / {}", errors.missing, errors.stale);
        let max_ms = self.removal.max_ms;
        let max_ms = max_ms.map_or("never".to_owned(), |max_ms| max_ms.to_string());
        writeln!(f, "daemons                              {}", self.daemons)?;
        writeln!(f, "hubs                                 {}", self.hubs)?;
        writeln!(
            f,
            "rotation, ms                         {}",
            self.rotation_ms
        )?;
        writeln!(
            f,
            "largest message, bytes               {}",
            self.max_message_bytes
        )?;
        writeln!(
            f,
            "missing / stale after the start      {}",
            errors(self.after_start)
        )?;
        writeln!(
            f,
            "missing / stale while calm           {}",
            errors(self.calm)
        )?;
        writeln!(
            f,
            "missing / stale after a failure      {}",
            errors(self.after_failure)
        )?;
        writeln!(
            f,
            "failed daemon listed, median, ms     {}",
            self.removal.median_ms
        )?;
        write!(f, "failed daemon listed, maximum, ms    {max_ms}")
    }
}
