//! Which call of the platform a lease needs next.

use wisteriahitch_types::{DurationUs, TimeUs};

use super::LeaseObject;
use super::lease::{Lease, LeaseCall, PendingWrite, WriteKind};
use super::lease_machine::PhaseEvent;

impl Lease {
    pub(super) fn read_if_due(&mut self, now: TimeUs) -> Option<LeaseCall> {
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

    pub(super) fn renew_if_due(&mut self, now: TimeUs) -> Option<LeaseCall> {
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
    ///
    /// An order that was given up by a shorter time-out may still arrive; a whole order time-out
    /// after the last one it counts as ended, as it does for a holder that takes a lapsed lease.
    pub(super) fn release_if_idle(&mut self, now: TimeUs) -> Option<LeaseCall> {
        let order_us = self.settings.order_timeout_us;
        let last_order = self.times.last_order_at_us;
        let is_recent = last_order.is_some_and(|last| now.since(last) < order_us);
        if self.times.open_orders > 0 || is_recent {
            return None;
        }
        // From here on no order may start: the release may take effect at any moment.
        self.dispatch(PhaseEvent::ReadBack, now);
        self.write(WriteKind::Release, DurationUs::ZERO, now)
    }

    pub(super) fn acquire_if_free(&mut self, now: TimeUs) -> Option<LeaseCall> {
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
        if holder.incarnation == self.me.incarnation {
            // Nobody else has held it since: there is no other holder's order to wait for.
            return self.write(WriteKind::Acquire, DurationUs::ZERO, now);
        }
        if is_over {
            return self.write(WriteKind::Acquire, order_us, now);
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
        let object = self.object_of(&pending);
        let expected = self.seen.as_ref().map_or(0, |seen| seen.version);
        self.pending = Some(pending);
        // The answer may take long; until then nothing is read.
        self.read_at_us = Some(now);
        Some(LeaseCall::Write { object, expected })
    }

    pub(super) fn object_of(&self, pending: &PendingWrite) -> LeaseObject {
        let is_release = pending.kind == WriteKind::Release;
        LeaseObject {
            holder: (!is_release).then(|| self.me.clone()),
            write_number: pending.write_number,
            term_us: self.settings.term_us,
            order_timeout_us: self.settings.order_timeout_us,
        }
    }
}
