//! Time bounds of a deployment, and the limits that decisions derive from them.
//!
//! Bounds differ between deployments: one allows eight seconds until replaced weights are out of
//! use, another fifteen. A fixed limit would break the bound of one deployment or waste allowed
//! time in another. This module derives every limit that depends on a bound, with a named margin.
//! `docs/SETTINGS.md` lists bounds, limits and margins.

use std::time::Duration;

use serde::Deserialize;
use wisteriahitch_types::DurationUs;
use wisteriahitch_wire::object_store::ObjectRole;

use super::SettingsError;
use crate::decide::staleness::StalenessLimits;
use crate::decide::timely_answers::MAX_UNNOTICED_DELAY_US;

/// Time that a request, or the close of its connection, takes to an engine.
const REQUEST_TRANSIT_MS: f64 = 200.0;

/// Longest time for which a sound engine is silent and goes on. It then takes a request from its
/// socket, or notices that the connection was closed.
const ENGINE_SILENCE_MS: f64 = 1_200.0;

/// Time for which a call waits at its engine before it starts.
const ENGINE_QUEUE_MS: f64 = 1_000.0;

/// Margin kept from the bound on replaced weights when a call that still waits at its engine is
/// withdrawn. The age of an update about newer weights is known but for an unnoticed delay.
const OLD_WEIGHTS_START_MARGIN_MS: f64 =
    MAX_UNNOTICED_DELAY_US.get() as f64 / 1_000.0 + REQUEST_TRANSIT_MS + ENGINE_SILENCE_MS;

/// Margin kept from the bound on replaced weights when calls are sent to engines with old weights.
const OLD_WEIGHTS_SEND_MARGIN_MS: f64 = OLD_WEIGHTS_START_MARGIN_MS + ENGINE_QUEUE_MS;

/// Maximum share of the bound that [`OLD_WEIGHTS_START_MARGIN_MS`] takes. It is smaller than
/// [`MAX_SEND_MARGIN_SHARE`], so that a call that was sent in time has a chance to start.
const MAX_START_MARGIN_SHARE: f64 = 0.4;

/// Maximum share of the bound that [`OLD_WEIGHTS_SEND_MARGIN_MS`] takes, so that a tight bound
/// leaves time to use.
const MAX_SEND_MARGIN_SHARE: f64 = 0.5;

/// Age of the wanted weights up to which parts are fetched from stores, as a multiple of the time for
/// which replaced weights are used. A daemon that loses the platform's store briefly goes on fetching,
/// and replaced parts are kept about as long as a rollout takes anyway.
const FETCH_AGE_FACTOR: f64 = 2.0;

/// Default of the interval between two writes of an endpoint's registration, in milliseconds: that of
/// deployments which don't state one.
const USUAL_HEARTBEAT_MS: f64 = 1_200.0;

/// Number of consecutive missing heartbeats after which the platform removes a registration.
const LAPSE_HEARTBEATS: f64 = 3.0;

/// Share of the endpoint drain time during which a leaving endpoint still gets calls as the last
/// one of its service. The other half is for the update that it leaves and for running calls.
const DRAIN_FALLBACK_SHARE: f64 = 0.5;

/// Share of the configuration bound after which a daemon that knows of a newer object, but hasn't
/// received it from the store, asks a peer. An eighth leaves time for a peer that doesn't answer
/// and for the next one.
const CATCH_UP_DELAY_SHARE: f64 = 0.125;

/// Share of the store's history for which a watch may wait. A watch that returns without changes
/// continues from its revision. Three watches fit into the history, so one may be lost.
const WATCH_WAIT_SHARE: f64 = 0.3;

/// Longest wait of a watch. Each return costs a paid call. During the wait, a daemon that receives
/// no gossip doesn't know whether its watch is still alive.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(6_000);

/// Share of the propagation time (within which a change must be known to every daemon) after which
/// the daemon that confirms freshness for all others asks the store again. The other half is for
/// detecting a missing answer (0.7 s), for asking again, and for informing the other daemons (0.6 s
/// through the hubs of a large fleet).
const CONFIRM_INTERVAL_SHARE: f64 = 0.5;

/// Minimum time between two such confirmations. With a tight bound they would otherwise cost more
/// store calls than everything else.
const MIN_CONFIRM_INTERVAL_US: DurationUs = DurationUs::from_ms(300);

/// Share of the propagation time after which even the last daemon queries the store for an unconfirmed
/// state. The rest is for the answer.
const LAST_QUERY_SHARE: f64 = 0.8;

/// Share of the propagation time up to which known objects count as the newest, so that callers may
/// be told that anything else doesn't exist. The rest is for the call itself.
const MAX_FINAL_AGE_SHARE: f64 = 0.9;

/// Share of the bound on replaced weights within which the update about new weights must be known.
/// The rest is for loading them.
const WEIGHTS_PROPAGATION_SHARE: f64 = 0.25;

/// Time bounds of a deployment, as read from the settings.
///
/// No bound has a default: a wrong default would violate the bound of a deployment without any sign
/// before a failure. The heartbeat interval isn't a bound and has one.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct BoundSettings {
    /// Time after newer weights were announced within which calls may still start on older ones.
    pub old_weights_ms: Option<f64>,
    /// Time after weights were announced within which all engines must have loaded them.
    pub all_weights_ms: Option<f64>,
    /// Time for which an endpoint that is leaving keeps serving.
    pub endpoint_drain_ms: Option<f64>,
    /// Time after acceptance within which a configuration must be in force.
    pub configuration_ms: Option<f64>,
    /// Time for which a process must have run undisturbed before the other bounds apply to it.
    pub contact_ms: Option<f64>,
    /// Time for which the store keeps its history of changes.
    pub store_history_s: Option<f64>,
    /// Time after acceptance within which the evacuation of a zone must be in force. `None` if
    /// operators evacuate no zones.
    pub evacuation_ms: Option<f64>,
    /// Time between two writes of an endpoint's registration, which lapses after three missing ones.
    /// `None` for the usual time.
    pub endpoint_heartbeat_ms: Option<f64>,
}

/// Validated time bounds, from which the limits are derived.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    old_weights_ms: f64,
    all_weights_ms: f64,
    endpoint_drain_ms: f64,
    configuration_ms: f64,
    contact_ms: f64,
    store_history_s: f64,
    evacuation_ms: Option<f64>,
    endpoint_heartbeat_ms: f64,
}

/// Allowed range of a bound.
struct Range {
    min: f64,
    max: f64,
    description: &'static str,
}

/// Allowed range of bounds in milliseconds. Below the minimum, messages between daemons alone take
/// as long. The maximum is one hour; nothing that a bound protects still matters by then.
const MILLISECONDS: Range = Range {
    min: 100.0,
    max: 3_600_000.0,
    description: "100 to 3600000",
};

/// Allowed range of bounds in seconds; the same range as [`MILLISECONDS`].
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
    /// Validates the bounds.
    ///
    /// # Errors
    ///
    /// Returns the key of the first bound that is absent or out of range.
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
            endpoint_heartbeat_ms: MILLISECONDS.check(
                "bounds.endpoint_heartbeat_ms",
                self.endpoint_heartbeat_ms.or(Some(USUAL_HEARTBEAT_MS)),
            )?,
        };
        Ok(bounds)
    }
}

impl Bounds {
    /// Returns the time after newer weights were announced during which calls are still sent to
    /// engines with older ones.
    pub fn old_weights_send_deadline(&self) -> DurationUs {
        let margin_ms = OLD_WEIGHTS_SEND_MARGIN_MS.min(self.old_weights_ms * MAX_SEND_MARGIN_SHARE);
        ms(self.old_weights_ms - margin_ms)
    }

    /// Returns the time after newer weights were announced by which a call must have started at an
    /// engine with older ones.
    pub fn old_weights_start_deadline(&self) -> DurationUs {
        let margin_ms =
            OLD_WEIGHTS_START_MARGIN_MS.min(self.old_weights_ms * MAX_START_MARGIN_SHARE);
        ms(self.old_weights_ms - margin_ms)
    }

    /// Returns how old the known wanted weights may be for parts to be fetched from stores.
    pub fn max_fetch_age(&self) -> DurationUs {
        let send_s = self.old_weights_send_deadline().as_secs_f64();
        DurationUs::from_secs_f64(send_s * FETCH_AGE_FACTOR)
    }

    /// Returns the time after weights were announced by which all engines must have loaded them.
    pub fn rollout_deadline(&self) -> DurationUs {
        ms(self.all_weights_ms)
    }

    /// Returns the age that objects read at the start of a process are assumed to have.
    ///
    /// A starting process doesn't know when an object was written. If it assumed that weights were
    /// just announced, old weights would stay in use for the whole bound again after each restart.
    /// With this age, the rest of the send deadline equals the contact time, during which the bound
    /// doesn't yet apply to a process that has just started.
    pub fn assumed_initial_age(&self) -> DurationUs {
        self.old_weights_send_deadline() - ms(self.contact_ms)
    }

    /// Returns the time for which an endpoint that left without notice still gets calls if its
    /// service has no other one.
    pub fn drain_fallback(&self) -> DurationUs {
        ms(self.endpoint_drain_ms * DRAIN_FALLBACK_SHARE)
    }

    /// Returns the shortest time without the store in which a registration can lapse: the last
    /// heartbeat before it may be almost one interval old.
    pub fn shortest_lapse(&self) -> DurationUs {
        ms(self.endpoint_heartbeat_ms * (LAPSE_HEARTBEATS - 1.0))
    }

    /// Returns the longest time after the store's return within which the registration of an endpoint
    /// that is gone lapses: the store may count missing heartbeats anew.
    pub fn longest_lapse(&self) -> DurationUs {
        ms(self.endpoint_heartbeat_ms * (LAPSE_HEARTBEATS + 1.0))
    }

    /// Returns how long a daemon waits for the store before it asks a peer that knows newer
    /// objects.
    pub fn catch_up_delay(&self) -> DurationUs {
        ms(self.configuration_ms * CATCH_UP_DELAY_SHARE)
    }

    /// Returns the longest time that the store may keep a watch open.
    pub fn watch_wait(&self) -> Duration {
        Duration::from_secs_f64(self.store_history_s * WATCH_WAIT_SHARE).min(MAX_WATCH_WAIT)
    }

    /// Returns whether daemons watch objects of a role. Evacuations aren't watched if no operator
    /// writes them, which saves the calls.
    pub fn is_watched(&self, role: ObjectRole) -> bool {
        role != ObjectRole::Evacuations || self.evacuation_ms.is_some()
    }

    /// Returns how old the known objects of a role may become before they must be confirmed.
    pub fn staleness_limits(&self, role: ObjectRole) -> StalenessLimits {
        let propagation_ms = match role {
            ObjectRole::Endpoints => self.endpoint_drain_ms,
            ObjectRole::Weights => self.old_weights_ms * WEIGHTS_PROPAGATION_SHARE,
            ObjectRole::Evacuations => self.evacuation_ms.unwrap_or(self.configuration_ms),
            // Members, leases and blocked requests are not watched.
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
            last_query_us: ms(propagation_ms * LAST_QUERY_SHARE),
            final_us: ms(propagation_ms * MAX_FINAL_AGE_SHARE),
        }
    }
}

fn ms(ms: f64) -> DurationUs {
    DurationUs::from_secs_f64(ms / 1_000.0)
}
