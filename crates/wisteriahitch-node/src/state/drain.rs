//! Leaving without cutting off a request.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::Mutex;
use wisteriahitch_core::fleet::MembershipEvent;
use wisteriahitch_types::{DurationUs, TimeUs};

use crate::shared::Shared;

/// Holds how far this daemon's draining has come.
#[derive(Debug, Default)]
pub(crate) struct DrainState {
    accepted: AtomicU64,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    is_draining: bool,
    /// When the last answer that named this daemon runs out.
    named_until_us: TimeUs,
}

/// Counts a request as accepted until it is dropped.
pub(crate) struct Accepted {
    shared: Arc<Shared>,
}

impl Drop for Accepted {
    fn drop(&mut self) {
        self.shared
            .fleet
            .drain
            .accepted
            .fetch_sub(1, Ordering::AcqRel);
    }
}

impl Shared {
    /// Counts a request that a draining daemon waits for.
    pub(crate) fn accept(self: &Arc<Self>) -> Accepted {
        self.fleet.drain.accepted.fetch_add(1, Ordering::AcqRel);
        Accepted {
            shared: Arc::clone(self),
        }
    }

    /// Returns whether this daemon is leaving.
    pub(crate) fn is_draining(&self) -> bool {
        self.fleet.drain.inner.lock().is_draining
    }

    /// Starts to drain; a second call changes nothing.
    pub(crate) fn start_drain(self: &Arc<Self>) {
        let now = self.clock.now();
        let ttl_us = self
            .in_force
            .load_full()
            .map_or(DurationUs::ZERO, |c| c.configuration.limits.entries_ttl_us);
        {
            let mut inner = self.fleet.drain.inner.lock();
            if inner.is_draining {
                return;
            }
            inner.is_draining = true;
            // Other daemons may have named this one until they hear of the draining.
            inner.named_until_us = now + ttl_us;
        }
        self.once.lock().issuer.stop();
        self.step_members(MembershipEvent::Drain);
        log::info!("draining");
    }

    /// Ends the process once nothing would be cut off.
    pub(crate) fn tick_drain(self: &Arc<Self>) {
        let now = self.clock.now();
        let inner = self.fleet.drain.inner.lock();
        if !inner.is_draining || now < inner.named_until_us {
            return;
        }
        drop(inner);
        let is_accepting = self.fleet.drain.accepted.load(Ordering::Acquire) > 0;
        let once = self.once.lock();
        if is_accepting || once.issuer.has_live_tickets(now) || once.table.under_way() > 0 {
            return;
        }
        drop(once);
        log::info!("drained");
        self.stop.cancel();
    }
}
