//! State of one lease at one daemon.

use serde::Serialize;
use statig::blocking::StateMachine;
use statig::prelude::*;
use wisteriahitch_types::{Code, DurationUs, FenceNumber, Incarnation, TimeUs};

use super::lease_machine::{LeaseMachine, LeaseTimes, PhaseEvent};
use super::lease_settings::LeaseSettings;
use super::{LeaseHolder, LeaseObject, LeasePhase, OrderGrant, WriteFailure};

/// Purpose of a pending write.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum WriteKind {
    Acquire,
    Renew,
    Release,
}

/// A write whose effect is not yet known.
#[derive(Clone, Debug, Serialize)]
pub(super) struct PendingWrite {
    pub(super) kind: WriteKind,
    pub(super) write_number: u64,
    pub(super) sent_at_us: TimeUs,
    /// How long orders must wait after the lease is acquired.
    pub(super) wait_us: DurationUs,
}

/// The lease's object as last read or written.
#[derive(Clone, Debug, Serialize)]
pub(super) struct ObservedObject {
    pub(super) object: Option<LeaseObject>,
    pub(super) version: u64,
    /// Local time at which this version was first read or written. The holder's term ends at most
    /// one term after it.
    pub(super) first_seen_at_us: TimeUs,
}

/// One lease as seen by one daemon.
pub(super) struct Lease {
    pub(super) me: LeaseHolder,
    pub(super) settings: LeaseSettings,
    pub(super) times: LeaseTimes,
    pub(super) machine: StateMachine<LeaseMachine>,
    /// Object as last read or written; `None` if unknown.
    pub(super) observed: Option<ObservedObject>,
    /// Object version of this daemon's last write; the fencing number.
    pub(super) last_written_version: u64,
    pub(super) pending_write: Option<PendingWrite>,
    /// Whether a read of the object is in progress.
    pub(super) is_reading: bool,
    /// When the last read or write was sent; `None` makes a read due immediately.
    pub(super) last_read_at_us: Option<TimeUs>,
    /// Number of this daemon's writes.
    pub(super) write_number: u64,
}

/// Platform call that the lease needs.
pub(super) enum LeaseCall {
    Read,
    Write { object: LeaseObject, expected: u64 },
}

impl Lease {
    /// Creates a lease of which nothing is known but that no order may be given before
    /// `wait_until_us`.
    pub(super) fn new(me: LeaseHolder, settings: LeaseSettings, wait_until_us: TimeUs) -> Self {
        let times = LeaseTimes {
            term_us: settings.term_us,
            margin_us: settings.margin_us,
            wait_until_us,
            ..LeaseTimes::default()
        };
        Self {
            me,
            settings,
            times,
            machine: LeaseMachine.state_machine(),
            observed: None,
            last_written_version: 0,
            pending_write: None,
            is_reading: false,
            last_read_at_us: None,
            write_number: 0,
        }
    }

    pub(super) fn phase(&self) -> LeasePhase {
        self.machine.state().into()
    }

    pub(super) fn holder(&self) -> Option<Incarnation> {
        let object = self.observed.as_ref()?.object.as_ref()?;
        object.holder.as_ref().map(|holder| holder.incarnation)
    }

    /// Returns the version of this daemon's last write that is known to have taken effect.
    ///
    /// The last version read cannot be used: after a conflict the object is unknown, and an
    /// endpoint that checks fencing numbers would refuse an order with a lower number than the one
    /// before.
    pub(super) fn fence(&self) -> FenceNumber {
        FenceNumber::new(self.last_written_version)
    }

    pub(super) fn open_orders(&self) -> u32 {
        self.times.open_orders
    }

    pub(super) fn is_owned(&self) -> bool {
        matches!(self.phase(), LeasePhase::Held | LeasePhase::Waiting)
    }

    /// Returns whether the lease waits for an answer of the platform. Until then it must not be
    /// forgotten: a later one would take the answer for that of its own call, and an object that was
    /// read earlier for the present one.
    pub(super) fn has_open_call(&self) -> bool {
        self.is_reading || self.pending_write.is_some()
    }

    /// Returns whether the next holder need not wait for any order, of this daemon or of the
    /// previous holder. Until then the lease must be neither released nor forgotten: a daemon that
    /// acquired it again would know of no orders to wait for.
    pub(super) fn is_settled(&mut self, now: TimeUs) -> bool {
        self.times.now = now;
        let order_timeout_us = self.settings.order_timeout_us;
        let last_order = self.times.last_order_at_us;
        let is_recent = last_order.is_some_and(|last| now.since(last) < order_timeout_us);
        self.times.is_wait_over() && self.times.open_orders == 0 && !is_recent
    }

    /// Advances the time and returns the call that is due, if any.
    pub(super) fn tick(&mut self, is_responsible: bool, now: TimeUs) -> Option<LeaseCall> {
        self.dispatch(PhaseEvent::Lapse, now);
        if self.is_reading {
            return None;
        }
        if self.pending_write.is_some() {
            return self.read_if_due(now);
        }
        match (self.is_owned(), is_responsible) {
            (true, true) => self.renew_if_due(now),
            (true, false) => self.release_if_settled(now),
            (false, true) => self.acquire_if_free(now),
            (false, false) => None,
        }
    }

    /// Grants an order if the remaining term is long enough at time `now`.
    pub(super) fn try_grant_order(&mut self, now: TimeUs) -> Result<OrderGrant, Code> {
        self.dispatch(PhaseEvent::Lapse, now);
        self.times.is_order_granted = false;
        self.dispatch(PhaseEvent::Order, now);
        if self.times.is_order_granted {
            return Ok(OrderGrant {
                fence: self.fence(),
                timeout_us: self
                    .times
                    .remaining_us()
                    .min(self.settings.order_timeout_us),
            });
        }
        Err(match self.phase() {
            LeasePhase::Vacant => Code::LeaseHeld,
            _ => Code::LeaseLapsed,
        })
    }

    pub(super) fn order_done(&mut self, now: TimeUs) {
        self.dispatch(PhaseEvent::OrderDone, now);
    }

    pub(super) fn handle_read(&mut self, object: Option<(LeaseObject, u64)>, now: TimeUs) {
        self.is_reading = false;
        let (object, version) = match object {
            Some((object, version)) => (Some(object), version),
            None => (None, 0),
        };
        let known_version = self.observed.as_ref().map_or(0, |seen| seen.version);
        if object.is_some() && version < known_version {
            // A write overtook the read, whose answer says nothing of the present object.
            return;
        }
        self.record_object(object, version, now);
        self.resolve_pending_write(now);
        let is_mine = self.holder() == Some(self.me.incarnation);
        if is_mine {
            self.last_written_version = version;
        }
        if self.is_owned() && !is_mine {
            self.dispatch(PhaseEvent::ReadBack, now);
        }
        if self.phase() == LeasePhase::Expired && !is_mine {
            self.dispatch(PhaseEvent::ReadBack, now);
        }
    }

    pub(super) fn handle_read_failure(&mut self) {
        self.is_reading = false;
    }

    /// Handles a write that took effect.
    ///
    /// An answer to an abandoned write must not be counted for a later one. Otherwise the term
    /// would start too late and two daemons would hold the lease at the same time.
    pub(super) fn handle_written(&mut self, write_number: u64, object_version: u64, now: TimeUs) {
        let Some(pending) = self
            .pending_write
            .take_if(|p| p.write_number == write_number)
        else {
            return;
        };
        let object = self.object_of(&pending);
        self.record_object(Some(object), object_version, now);
        self.last_written_version = object_version;
        self.apply_write_effect(&pending, now);
    }

    /// Gives up the lease and what is known of its object. A write whose answer is still awaited
    /// expects a version of the lost history.
    pub(super) fn handle_restored_store(&mut self, wait_until_us: TimeUs, now: TimeUs) {
        self.pending_write = None;
        self.observed = None;
        self.last_read_at_us = None;
        self.times.wait_until_us = self.times.wait_until_us.max(wait_until_us);
        self.dispatch(PhaseEvent::ReadBack, now);
    }

    /// Handles a failed write. A lost write stays pending until the object is read back.
    pub(super) fn handle_write_failure(&mut self, write_number: u64, failure: WriteFailure) {
        let is_pending = self.pending_write.as_ref().map(|p| p.write_number) == Some(write_number);
        if !is_pending {
            return;
        }
        match failure {
            WriteFailure::Conflict => {
                self.pending_write = None;
                self.last_read_at_us = None;
                self.observed = None;
            }
            WriteFailure::Lost => self.last_read_at_us = None,
            WriteFailure::Unavailable => self.pending_write = None,
        }
    }

    pub(super) fn record_object(&mut self, object: Option<LeaseObject>, version: u64, now: TimeUs) {
        let is_known = self
            .observed
            .as_ref()
            .is_some_and(|seen| seen.version == version);
        if !is_known {
            self.observed = Some(ObservedObject {
                object,
                version,
                first_seen_at_us: now,
            });
        }
    }

    /// Resolves a write whose answer was lost: the object shows it, or it has had no effect so far.
    /// A late write can only replace the version that it expects; the next read then shows it.
    pub(super) fn resolve_pending_write(&mut self, now: TimeUs) {
        let Some(pending) = self.pending_write.take() else {
            return;
        };
        let seen = self.observed.as_ref().and_then(|seen| seen.object.as_ref());
        let is_in_effect = seen == Some(&self.object_of(&pending));
        if is_in_effect {
            self.apply_write_effect(&pending, now);
        }
    }

    pub(super) fn apply_write_effect(&mut self, pending: &PendingWrite, now: TimeUs) {
        let sent_at_us = pending.sent_at_us;
        let wait_us = pending.wait_us;
        match pending.kind {
            WriteKind::Acquire => self.dispatch(
                PhaseEvent::Acquire {
                    sent_at_us,
                    wait_us,
                },
                now,
            ),
            WriteKind::Renew => self.dispatch(PhaseEvent::Renew { sent_at_us }, now),
            WriteKind::Release => self.dispatch(PhaseEvent::ReadBack, now),
        }
        self.dispatch(PhaseEvent::Lapse, now);
    }

    pub(super) fn dispatch(&mut self, event: PhaseEvent, now: TimeUs) {
        self.times.now = now;
        self.machine.handle_with_context(&event, &mut self.times);
    }
}
