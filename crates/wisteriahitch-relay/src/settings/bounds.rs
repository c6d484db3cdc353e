//! What a deployment promises or demands in time, and the limits that decisions take from it.
//!
//! Deployments differ: one allows eight seconds until replaced weights are out of use, another
//! fifteen. A limit that was right at one breaks a promise at the next, or gives up seconds that are
//! allowed. So each limit that stands for such a bound is derived here, with its margin named.
//! `docs/SETTINGS.md` lists bounds, limits and margins.

use std::time::Duration;

use serde::Deserialize;
use wisteriahitch_types::DurationUs;
use wisteriahitch_wire::object_store::ObjectRole;

use super::SettingsError;
use crate::decide::staleness::StalenessLimits;

/// Part of the bound on replaced weights that isn't used: the news of newer ones takes up to 0.6 s
/// to reach every daemon, a call waits up to a second at its engine before it begins, and estimates
/// of that wait are off by as much again under full load.
const OLD_WEIGHTS_SEND_MARGIN_MS: f64 = 2_000.0;

/// Part of the bound on replaced weights that is left when a call which still waits at its engine is
/// taken back: 0.6 s for the news of newer ones, and 0.2 s for the way to the engine.
const OLD_WEIGHTS_START_MARGIN_MS: f64 = 800.0;

/// Largest share of the bound that this margin takes: less than that of the other one, so that a
/// call which was sent in time has a chance to begin.
const MAX_START_MARGIN_SHARE: f64 = 0.4;

/// Share of a bound below which its margin stays, so that a tight bound leaves something to use.
const MAX_SEND_MARGIN_SHARE: f64 = 0.5;

/// Share of the time for which a leaving endpoint goes on serving in which it still gets calls as
/// the last one of its service. Half leaves the rest to the news that it leaves and to the calls.
const DRAIN_FALLBACK_SHARE: f64 = 0.5;

/// Share of the time for a configuration to be in force after which a daemon that has heard of a
/// newer object, and not got it from the store, asks a peer: an eighth leaves time for a peer that
/// doesn't answer and for the next one.
const CATCH_UP_DELAY_SHARE: f64 = 0.125;

/// Share of the store's history for which a watch may wait. A watch that returned without news
/// continues from there; with three of them in the history one may be lost.
const WATCH_WAIT_SHARE: f64 = 0.3;

/// Longest wait of a watch. Each return is a call that is paid for; each second of waiting is one in
/// which a daemon that hears of no other one doesn't know whether its watch is alive.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(6_000);

/// Share of the time in which a change is to be known after which the daemon that confirms for all what is
/// known has it confirmed again. The other half is for noticing that an answer doesn't come (0.7 s), for
/// asking anew, and for telling the others (0.6 s through the hubs of a large fleet).
const CONFIRM_INTERVAL_SHARE: f64 = 0.5;

/// Shortest time between two such confirmations: a tight bound would else cost more calls of the store
/// than everything besides.
const MIN_CONFIRM_INTERVAL_US: DurationUs = DurationUs::from_ms(300);

/// Share of the time in which a change is to be known up to which what is known counts as the newest. The
/// rest is for the call itself.
const MAX_FINAL_AGE_SHARE: f64 = 0.9;

/// Share of the bound on replaced weights in which the news of them is to be known; the rest is for
/// loading them.
const WEIGHTS_PROPAGATION_SHARE: f64 = 0.25;

/// Bounds of a deployment. None has a default: a daemon that guessed one would break the promise
/// that it stands for and nobody would notice before a failure.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct BoundSettings {
    /// Time after newer weights were named within which calls may begin on older ones.
    pub old_weights_ms: Option<f64>,
    /// Time after weights were named within which all engines are to have them.
    pub all_weights_ms: Option<f64>,
    /// Time for which an endpoint that leaves goes on serving.
    pub endpoint_drain_ms: Option<f64>,
    /// Time after its acceptance within which a configuration is to be in force.
    pub configuration_ms: Option<f64>,
    /// Time for which a process must have run undisturbed before it is held to the other bounds.
    pub contact_ms: Option<f64>,
    /// Time for which the store remembers changes.
    pub store_history_s: Option<f64>,
    /// Time after its acceptance within which the evacuation of a zone is to be in force. Absent where operators
    /// evacuate none.
    pub evacuation_ms: Option<f64>,
}

/// Bounds that were checked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    old_weights_ms: f64,
    all_weights_ms: f64,
    endpoint_drain_ms: f64,
    configuration_ms: f64,
    contact_ms: f64,
    store_history_s: f64,
    evacuation_ms: Option<f64>,
}

/// Values that a bound may have.
struct Range {
    min: f64,
    max: f64,
    description: &'static str,
}

/// Bounds in milliseconds. Below the least one messages between daemons alone take as long; the
/// largest one is an hour, by which nothing that bounds are for still matters.
const MILLISECONDS: Range = Range {
    min: 100.0,
    max: 3_600_000.0,
    description: "100 to 3600000",
};

/// The same in seconds.
const SECONDS: Range = Range {
    min: 0.1,
    max: 3_600.0,
    description: "0.1 to 3600",
};

impl Range {
    fn check(&self, key: &'static str, value: Option<f64>) -> Result<f64, SettingsError> {
        let allowed = self.description;
        let value = value.ok_or(SettingsError::Absent { key, allowed })?;
        match (self.min..=self.max).contains(&value) {
            true => Ok(value),
            false => Err(SettingsError::OutOfRange {
                key,
                value,
                allowed,
            }),
        }
    }
}

impl BoundSettings {
    /// Returns the bounds if all are there and make sense.
    ///
    /// # Errors
    ///
    /// Names the key that is absent or out of range.
    pub fn checked(&self) -> Result<Bounds, SettingsError> {
        let bounds = Bounds {
            old_weights_ms: MILLISECONDS.check("bounds.old_weights_ms", self.old_weights_ms)?,
            all_weights_ms: MILLISECONDS.check("bounds.all_weights_ms", self.all_weights_ms)?,
            endpoint_drain_ms: MILLISECONDS
                .check("bounds.endpoint_drain_ms", self.endpoint_drain_ms)?,
            configuration_ms: MILLISECONDS
                .check("bounds.configuration_ms", self.configuration_ms)?,
            contact_ms: MILLISECONDS.check("bounds.contact_ms", self.contact_ms)?,
            store_history_s: SECONDS.check("bounds.store_history_s", self.store_history_s)?,
            evacuation_ms: self
                .evacuation_ms
                .map(|ms| MILLISECONDS.check("bounds.evacuation_ms", Some(ms)))
                .transpose()?,
        };
        Ok(bounds)
    }
}

impl Bounds {
    /// Returns how long after newer weights were named calls are sent to engines with older ones.
    pub fn old_weights_send_deadline(&self) -> DurationUs {
        let margin_ms = OLD_WEIGHTS_SEND_MARGIN_MS.min(self.old_weights_ms * MAX_SEND_MARGIN_SHARE);
        ms(self.old_weights_ms - margin_ms)
    }

    /// Returns how long after newer weights were named a call must have begun at an engine with older
    /// ones.
    pub fn old_weights_start_deadline(&self) -> DurationUs {
        let margin_ms =
            OLD_WEIGHTS_START_MARGIN_MS.min(self.old_weights_ms * MAX_START_MARGIN_SHARE);
        ms(self.old_weights_ms - margin_ms)
    }

    /// Returns how long after weights were named all engines are to have them.
    pub fn rollout_deadline(&self) -> DurationUs {
        ms(self.all_weights_ms)
    }

    /// Returns how long ago what a process reads at its start is taken to have been written.
    ///
    /// A process that starts doesn't know. Taken for new, weights that were named long before would
    /// leave old ones in use for as long again after each restart. What is left of the time for old
    /// weights is the time for which a process that has just started isn't held to the bound.
    pub fn assumed_initial_age(&self) -> DurationUs {
        self.old_weights_send_deadline() - ms(self.contact_ms)
    }

    /// Returns how long an endpoint that has left without a word still gets calls where its service
    /// has no other one.
    pub fn drain_fallback(&self) -> DurationUs {
        ms(self.endpoint_drain_ms * DRAIN_FALLBACK_SHARE)
    }

    /// Returns how long a daemon that knows less than a peer waits for the store to tell it.
    pub fn catch_up_delay(&self) -> DurationUs {
        ms(self.configuration_ms * CATCH_UP_DELAY_SHARE)
    }

    /// Returns for how long the store may keep a watch waiting.
    pub fn watch_wait(&self) -> Duration {
        Duration::from_secs_f64(self.store_history_s * WATCH_WAIT_SHARE).min(MAX_WATCH_WAIT)
    }

    /// Returns whether daemons follow a kind of object; one that no operator writes costs no call.
    pub fn is_watched(&self, role: ObjectRole) -> bool {
        role != ObjectRole::Evacuations || self.evacuation_ms.is_some()
    }

    /// Returns how old what is known of a kind of object may become.
    pub fn staleness_limits(&self, role: ObjectRole) -> StalenessLimits {
        let propagation_ms = match role {
            ObjectRole::Endpoints => self.endpoint_drain_ms,
            ObjectRole::Weights => self.old_weights_ms * WEIGHTS_PROPAGATION_SHARE,
            ObjectRole::Evacuations => self.evacuation_ms.unwrap_or(self.configuration_ms),
            // Who may give orders, which daemons there are and what is blocked isn't followed by watches.
            ObjectRole::Configuration
            | ObjectRole::Members
            | ObjectRole::Leases
            | ObjectRole::BlockedRequests => self.configuration_ms,
        };
        let wait_us = DurationUs::from(self.watch_wait());
        let confirm_us = ms(propagation_ms * CONFIRM_INTERVAL_SHARE);
        StalenessLimits {
            confirm_us: confirm_us.max(MIN_CONFIRM_INTERVAL_US).min(wait_us),
            wait_us,
            final_us: ms(propagation_ms * MAX_FINAL_AGE_SHARE),
        }
    }
}

fn ms(ms: f64) -> DurationUs {
    DurationUs::from_secs_f64(ms / 1_000.0)
}
