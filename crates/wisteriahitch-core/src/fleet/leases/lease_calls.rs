//! Selection of the platform call that a lease needs next.

use wisteriahitch_types::{DurationUs, TimeUs};

use super::lease::{Lease, LeaseCall, PendingWrite, WriteKind};
use super::lease_machine::PhaseEvent;
use super::{LeaseObject, LeasePhase};

impl Lease {
    pub(super) fn read_if_due(&mut self, now: TimeUs) -> Option<LeaseCall> {
        let is_due = self
            .last_read_at_us
            .is_none_or(|read| now.since(read) >= self.settings.read_interval_us);
        if !is_due {
            return None;
        }
        self.last_read_at_us = Some(now);
        self.is_reading = true;
        Some(LeaseCall::Read)
    }

    pub(super) fn renew_if_due(&mut self, now: TimeUs) -> Option<LeaseCall> {
        let remaining_us = self.times.expires_at_us.since(now);
        if remaining_us > self.settings.renew_before_us {
            return None;
        }
        if self.observed.is_none() {
            return self.read_if_due(now);
        }
        self.write(WriteKind::Renew, DurationUs::ZERO, now)
    }

    /// Releases the lease early, once no order is in progress that the next holder would have to
    /// wait for. A lease is renewed until the wait for the previous holder is over; a daemon that
    /// acquired it in the meantime would have to wait for the full time again.
    ///
    /// An order that was abandoned after a shorter timeout may still arrive. A full order timeout must
    /// lie behind its end, the same time that the next holder of an expired lease waits.
    pub(super) fn release_if_settled(&mut self, now: TimeUs) -> Option<LeaseCall> {
        if !self.is_settled(now) {
            return match self.phase() {
                LeasePhase::Waiting => self.renew_if_due(now),
                _ => None,
            };
        }
        // No order may start from here on, because the release may take effect at any moment.
        self.dispatch(PhaseEvent::ReadBack, now);
        self.write(WriteKind::Release, DurationUs::ZERO, now)
    }

    pub(super) fn acquire_if_free(&mut self, now: TimeUs) -> Option<LeaseCall> {
        let Some(seen) = &self.observed else {
            return self.read_if_due(now);
        };
        let Some(object) = &seen.object else {
            return self.write(WriteKind::Acquire, DurationUs::ZERO, now);
        };
        let order_timeout_us = object.order_timeout_us;
        let Some(holder) = &object.holder else {
            let wait_us = match object.is_settled {
                true => DurationUs::ZERO,
                false => order_timeout_us,
            };
            return self.write(WriteKind::Acquire, wait_us, now);
        };
        if holder.incarnation == self.me.incarnation {
            // No other daemon has held the lease since. The wait for the holder before that, if it
            // isn't over, goes on.
            return self.write(WriteKind::Acquire, DurationUs::ZERO, now);
        }
        // The term is counted from when this daemon first saw the version, since clocks of daemons
        // cannot be compared. The holder counts from before its write, so it stops earlier.
        if now.since(seen.first_seen_at_us) >= object.term_us {
            return self.write(WriteKind::Acquire, order_timeout_us, now);
        }
        self.read_if_due(now)
    }

    pub(super) fn write(
        &mut self,
        kind: WriteKind,
        wait_us: DurationUs,
        now: TimeUs,
    ) -> Option<LeaseCall> {
        self.write_number += 1;
        let pending = PendingWrite {
            kind,
            write_number: self.write_number,
            sent_at_us: now,
            wait_us,
        };
        // The write may take effect although its answer is lost, and the object that is read back
        // doesn't contain the previous holder.
        self.times.now = now;
        self.times.extend_wait(wait_us);
        let object = self.object_of(&pending);
        let expected = self.observed.as_ref().map_or(0, |seen| seen.version);
        self.pending_write = Some(pending);
        // Delays the next read, since the answer may take a while.
        self.last_read_at_us = Some(now);
        Some(LeaseCall::Write { object, expected })
    }

    pub(super) fn object_of(&self, pending: &PendingWrite) -> LeaseObject {
        let is_release = pending.kind == WriteKind::Release;
        LeaseObject {
            holder: (!is_release).then(|| self.me.clone()),
            write_number: pending.write_number,
            term_us: self.settings.term_us,
            order_timeout_us: self.settings.order_timeout_us,
            is_settled: is_release,
        }
    }
}
