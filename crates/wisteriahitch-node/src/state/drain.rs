//! Draining: leaves the site without interrupting requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use wisteriahitch_core::fleet::{Drain, DrainPhase, MembershipEvent, OpenWork};
use wisteriahitch_types::{DurationUs, TimeUs};

use crate::shared::Shared;

/// Time for the membership update that this daemon drains to reach all daemons. Until then others
/// may still list it as an entry address.
const DRAIN_GOSSIP_TIME_US: DurationUs = DurationUs::from_ms(2_000);

/// Number of probe rounds for which a drained daemon stays up to announce that it has left.
const LEAVE_PROBE_ROUNDS: u64 = 3;

/// Interval between two checks of the remaining work.
const LATE_WORK_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Progress of this daemon's draining.
#[derive(Default)]
pub(crate) struct DrainState {
    open_requests: AtomicU64,
    has_left: AtomicBool,
    drain: Mutex<Drain>,
}

/// Counts a request as open until it is dropped.
pub(crate) struct AcceptedRequest {
    shared: Arc<Shared>,
}

impl Drop for AcceptedRequest {
    fn drop(&mut self) {
        self.shared
            .fleet
            .drain
            .open_requests
            .fetch_sub(1, Ordering::AcqRel);
    }
}

impl Shared {
    /// Counts a request as open. A draining daemon waits until the whole answer is sent and the
    /// returned guard is dropped.
    pub(crate) fn track_request(self: &Arc<Self>) -> AcceptedRequest {
        self.fleet
            .drain
            .open_requests
            .fetch_add(1, Ordering::AcqRel);
        AcceptedRequest {
            shared: Arc::clone(self),
        }
    }

    /// Returns whether this daemon is draining or has drained.
    pub(crate) fn is_draining(&self) -> bool {
        self.fleet.drain.drain.lock().phase() != DrainPhase::Serving
    }

    /// Starts draining; a second call has no effect.
    pub(crate) fn start_drain(self: &Arc<Self>) {
        if self.is_draining() {
            return;
        }
        let now = self.clock.now();
        let in_force = self.in_force.load_full();
        let ttl_us = in_force.map_or(DurationUs::ZERO, |c| c.configuration.limits.entries_ttl_us);
        self.fleet
            .drain
            .drain
            .lock()
            .start(now, ttl_us + DRAIN_GOSSIP_TIME_US);
        self.once.lock().issuer.stop();
        self.handle_membership_event(MembershipEvent::Drain);
        log::info!("draining");
    }

    /// Announces to the peers that this daemon has left, and stops the process shortly after.
    ///
    /// Without the announcement the peers would report it as dead, and an operator would look for a
    /// failure.
    fn leave(self: &Arc<Self>) {
        if self.fleet.drain.has_left.swap(true, Ordering::AcqRel) {
            return;
        }
        log::info!("drained");
        self.handle_membership_event(MembershipEvent::Leave);
        let shared = Arc::clone(self);
        tokio::spawn(async move {
            let rounds = shared.settings.peers.probe_interval_us.get() * LEAVE_PROBE_ROUNDS;
            tokio::time::sleep(DurationUs::new(rounds).into()).await;
            shared.stop.cancel();
        });
    }

    /// Stops the process once no open work would be interrupted.
    pub(crate) fn tick_drain(self: &Arc<Self>) {
        if !self.is_draining() || self.stop.is_cancelled() {
            return;
        }
        let now = self.clock.now();
        let work = self.open_work(now);
        if self.fleet.drain.drain.lock().tick(now, work) == DrainPhase::Drained {
            self.leave();
        }
    }

    /// Waits for the work left behind by requests that arrived at the last moment.
    ///
    /// The wait is bounded: a keyed run ends at its deadline, and writing an outcome ends at the
    /// platform's timeout.
    pub(crate) async fn wait_for_late_work(&self) {
        loop {
            let work = self.open_work(self.clock.now());
            if work.requests == 0 {
                return;
            }
            tokio::time::sleep(LATE_WORK_POLL_INTERVAL).await;
        }
    }

    /// Counts the work that still needs this daemon.
    ///
    /// It includes outcomes of claims that aren't written yet: once this process has ended, a
    /// repeat of a finished request finds its answer only at the platform.
    fn open_work(&self, now: TimeUs) -> OpenWork {
        let once = self.once.lock();
        let under_way = once.table.unsettled_count() as u64;
        let claims = u64::from(once.claims.has_pending_work(now));
        OpenWork {
            requests: self.fleet.drain.open_requests.load(Ordering::Acquire) + under_way + claims,
            tickets: u64::from(once.issuer.has_redeemable_tickets(now)),
        }
    }
}
