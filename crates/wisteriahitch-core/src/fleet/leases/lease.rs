//! One lease as one daemon sees it.

use serde::Serialize;
use statig::blocking::StateMachine;
use statig::prelude::*;
use wisteriahitch_types::{Code, DurationUs, FenceNumber, Incarnation, TimeUs};

use super::lease_machine::{LeaseMachine, LeaseTimes, PhaseEvent};
use super::lease_table::LeaseSettings;
use super::{LeaseHolder, LeaseObject, LeasePhase, OrderGrant, WriteFailure};

/// Says what a write under way is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
enum WriteKind {
    Acquire,
    Renew,
    Release,
}

/// Holds a write whose effect isn't known yet.
#[derive(Clone, Debug, Serialize)]
struct PendingWrite {
    kind: WriteKind,
    write_number: u64,
    sent_at_us: TimeUs,
    wait_us: DurationUs,
}

/// Holds the object as it was last read or written.
#[derive(Clone, Debug, Serialize)]
struct SeenObject {
    object: Option<LeaseObject>,
    version: u64,
    /// When this version was first seen: its holder's term ends at most a term later.
    first_seen_at_us: TimeUs,
}

/// Holds one lease as one daemon sees it.
pub(super) struct Lease {
    me: LeaseHolder,
    settings: LeaseSettings,
    times: LeaseTimes,
    machine: StateMachine<LeaseMachine>,
    seen: Option<SeenObject>,
    own_version: u64,
    pending: Option<PendingWrite>,
    is_reading: bool,
    read_at_us: Option<TimeUs>,
    write_number: u64,
}

/// Asks the table for one call of the platform.
pub(super) enum LeaseCall {
    Read,
    Write { object: LeaseObject, expected: u64 },
}

impl Lease {
    pub(super) fn new(me: LeaseHolder, settings: LeaseSettings) -> Self {
        let times = LeaseTimes {
            term_us: settings.term_us,
            margin_us: settings.margin_us,
            ..LeaseTimes::default()
        };
        Self {
            me,
            settings,
            times,
            machine: LeaseMachine.state_machine(),
            seen: None,
            own_version: 0,
            pending: None,
            is_reading: false,
            read_at_us: None,
            write_number: 0,
        }
    }

    pub(super) fn phase(&self) -> LeasePhase {
        self.machine.state().into()
    }

    pub(super) fn holder(&self) -> Option<Incarnation> {
        let object = self.seen.as_ref()?.object.as_ref()?;
        object.holder.as_ref().map(|holder| holder.incarnation)
    }

    /// Returns the version of the last write of ours that is known to have taken effect.
    ///
    /// What was last read isn't it: after a conflict nothing is known of the object, and an order
    /// with a lower number than the one before would be refused by an endpoint that checks.
    pub(super) fn fence(&self) -> FenceNumber {
        FenceNumber::new(self.own_version)
    }

    pub(super) fn open_orders(&self) -> u32 {
        self.times.open_orders
    }

    pub(super) fn is_owned(&self) -> bool {
        matches!(self.phase(), LeasePhase::Held | LeasePhase::Waiting)
    }

    /// Lets time pass and returns the call that is due, if one is.
    pub(super) fn tick(&mut self, is_responsible: bool, now: TimeUs) -> Option<LeaseCall> {
        self.dispatch(PhaseEvent::Lapse, now);
        if self.is_reading {
            return None;
        }
        if self.pending.is_some() {
            return self.read_if_due(now);
        }
        match (self.is_owned(), is_responsible) {
            (true, true) => self.renew_if_due(now),
            (true, false) => self.release_if_idle(now),
            (false, true) => self.acquire_if_free(now),
            (false, false) => None,
        }
    }

    /// Allows an order, if the lease lasts long enough for it on the clock right now.
    pub(super) fn try_order(&mut self, now: TimeUs) -> Result<OrderGrant, Code> {
        self.dispatch(PhaseEvent::Lapse, now);
        self.times.is_order_granted = false;
        self.dispatch(PhaseEvent::Order, now);
        if self.times.is_order_granted {
            return Ok(OrderGrant {
                fence: self.fence(),
                timeout_us: self.times.left_us().min(self.settings.order_timeout_us),
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

    pub(super) fn read(&mut self, object: Option<(LeaseObject, u64)>, now: TimeUs) {
        self.is_reading = false;
        let (object, version) = match object {
            Some((object, version)) => (Some(object), version),
            None => (None, 0),
        };
        self.see(object, version, now);
        self.settle_pending(now);
        let is_mine = self.holder() == Some(self.me.incarnation);
        if is_mine {
            self.own_version = version;
        }
        if self.is_owned() && !is_mine {
            self.dispatch(PhaseEvent::ReadBack, now);
        }
        if self.phase() == LeasePhase::Lapsed && !is_mine {
            self.dispatch(PhaseEvent::ReadBack, now);
        }
    }

    pub(super) fn read_failed(&mut self) {
        self.is_reading = false;
    }

    /// Notes that a write took effect.
    ///
    /// An answer that comes after its write was given up and another one was sent must not count
    /// for the later one: the term would be counted from too late, and two daemons would hold the
    /// lease at once.
    pub(super) fn written(&mut self, write_number: u64, object_version: u64, now: TimeUs) {
        let Some(pending) = self.pending.take_if(|p| p.write_number == write_number) else {
            return;
        };
        let object = self.object_of(&pending);
        self.see(Some(object), object_version, now);
        self.own_version = object_version;
        self.take_effect(&pending, now);
    }

    /// Notes what is known of a write that didn't succeed; a lost one stays pending until the
    /// object is read back.
    pub(super) fn write_failed(&mut self, write_number: u64, failure: WriteFailure) {
        let is_pending = self.pending.as_ref().map(|p| p.write_number) == Some(write_number);
        if !is_pending {
            return;
        }
        match failure {
            WriteFailure::Conflict => {
                self.pending = None;
                self.read_at_us = None;
                self.seen = None;
            }
            WriteFailure::Lost => self.read_at_us = None,
            WriteFailure::Unavailable => self.pending = None,
        }
    }

    fn see(&mut self, object: Option<LeaseObject>, version: u64, now: TimeUs) {
        let is_known = self
            .seen
            .as_ref()
            .is_some_and(|seen| seen.version == version);
        if !is_known {
            self.seen = Some(SeenObject {
                object,
                version,
                first_seen_at_us: now,
            });
        }
    }

    /// Settles a write whose answer was lost: the object names it, or it has no effect so far. A
    /// late one can only replace the version that it expects, and is then seen by the next read.
    fn settle_pending(&mut self, now: TimeUs) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        let seen = self.seen.as_ref().and_then(|seen| seen.object.as_ref());
        let is_in_effect = seen == Some(&self.object_of(&pending));
        if is_in_effect {
            self.take_effect(&pending, now);
        }
    }

    fn take_effect(&mut self, pending: &PendingWrite, now: TimeUs) {
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

    fn read_if_due(&mut self, now: TimeUs) -> Option<LeaseCall> {
        let is_due = self
            .read_at_us
            .is_none_or(|read| now.since(read) >= self.settings.read_us);
        if !is_due {
            return None;
        }
        self.read_at_us = Some(now);
        self.is_reading = true;
        Some(LeaseCall::Read)
    }

    fn renew_if_due(&mut self, now: TimeUs) -> Option<LeaseCall> {
        let left_us = self.times.expires_at_us.since(now);
        if left_us > self.settings.renew_before_us {
            return None;
        }
        if self.seen.is_none() {
            return self.read_if_due(now);
        }
        self.write(WriteKind::Renew, DurationUs::ZERO, now)
    }

    /// Gives the lease up early, once nothing is under way that the next holder would wait for.
    fn release_if_idle(&mut self, now: TimeUs) -> Option<LeaseCall> {
        if self.times.open_orders > 0 {
            return None;
        }
        // From here on no order may start: the release may take effect at any moment.
        self.dispatch(PhaseEvent::ReadBack, now);
        self.write(WriteKind::Release, DurationUs::ZERO, now)
    }

    fn acquire_if_free(&mut self, now: TimeUs) -> Option<LeaseCall> {
        let Some(seen) = &self.seen else {
            return self.read_if_due(now);
        };
        let holder = seen
            .object
            .as_ref()
            .and_then(|object| object.holder.as_ref());
        let Some(holder) = holder else {
            let wait_us = DurationUs::ZERO;
            return self.write(WriteKind::Acquire, wait_us, now);
        };
        // Terms are counted from when the version was first seen here, since clocks can't be
        // compared; the holder counts from before it wrote, so it stops earlier.
        let term_us = seen.object.as_ref().map_or(DurationUs::ZERO, |o| o.term_us);
        let order_us = seen
            .object
            .as_ref()
            .map_or(DurationUs::ZERO, |o| o.order_timeout_us);
        let is_over = now.since(seen.first_seen_at_us) >= term_us;
        let is_mine = holder.incarnation == self.me.incarnation;
        if is_over || is_mine {
            return self.write(WriteKind::Acquire, order_us, now);
        }
        self.read_if_due(now)
    }

    fn write(&mut self, kind: WriteKind, wait_us: DurationUs, now: TimeUs) -> Option<LeaseCall> {
        self.write_number += 1;
        let pending = PendingWrite {
            kind,
            write_number: self.write_number,
            sent_at_us: now,
            wait_us,
        };
        let object = self.object_of(&pending);
        let expected = self.seen.as_ref().map_or(0, |seen| seen.version);
        self.pending = Some(pending);
        // The answer may take long; until then nothing is read.
        self.read_at_us = Some(now);
        Some(LeaseCall::Write { object, expected })
    }

    fn object_of(&self, pending: &PendingWrite) -> LeaseObject {
        let is_release = pending.kind == WriteKind::Release;
        LeaseObject {
            holder: (!is_release).then(|| self.me.clone()),
            write_number: pending.write_number,
            term_us: self.settings.term_us,
            order_timeout_us: self.settings.order_timeout_us,
        }
    }

    fn dispatch(&mut self, event: PhaseEvent, now: TimeUs) {
        self.times.now = now;
        self.machine.handle_with_context(&event, &mut self.times);
    }
}
