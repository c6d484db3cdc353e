//! Leaving without cutting off a request.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use wisteriahitch_core::fleet::{Drain, DrainPhase, MembershipEvent, OpenWork};
use wisteriahitch_types::{DurationUs, TimeUs};

use crate::shared::Shared;

/// How long other daemons may go on naming this one before the news of its draining is everywhere.
const DRAIN_GOSSIP_TIME_US: DurationUs = DurationUs::from_ms(2_000);

/// Rounds of probes on which the word of a daemon that has left travels.
const LEAVE_PROBE_ROUNDS: u64 = 3;

/// Time between two looks at the work that is left.
const LATE_WORK_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Holds how far this daemon's draining has come.
#[derive(Default)]
pub(crate) struct DrainState {
    open_requests: AtomicU64,
    has_left: AtomicBool,
    drain: Mutex<Drain>,
}

/// Counts a request as accepted until it is dropped.
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
    /// Counts a request that a draining daemon waits for, until its whole answer is sent.
    pub(crate) fn track_request(self: &Arc<Self>) -> AcceptedRequest {
        self.fleet
            .drain
            .open_requests
            .fetch_add(1, Ordering::AcqRel);
        AcceptedRequest {
            shared: Arc::clone(self),
        }
    }

    /// Returns whether this daemon is leaving.
    pub(crate) fn is_draining(&self) -> bool {
        self.fleet.drain.drain.lock().phase() != DrainPhase::Serving
    }

    /// Starts to drain; a second call changes nothing.
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

    /// Tells the peers that this daemon has left, and ends the process soon after.
    ///
    /// Without its word they would take it for dead, and an operator would look for a failure.
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

    /// Ends the process once nothing would be cut off.
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

    /// Waits for work that a request left behind which came in the last moment.
    ///
    /// Whatever this waits for is bounded: a keyed run by its deadline, an outcome that is to be
    /// written down by the platform's time-out.
    pub(crate) async fn wait_for_late_work(&self) {
        loop {
            let work = self.open_work(self.clock.now());
            if work.requests == 0 {
                return;
            }
            tokio::time::sleep(LATE_WORK_POLL_INTERVAL).await;
        }
    }

    /// Counts what still needs this daemon.
    ///
    /// Outcomes of claims belong to it: a repeat of a finished request finds its answer nowhere
    /// else once this process has ended.
    fn open_work(&self, now: TimeUs) -> OpenWork {
        let once = self.once.lock();
        let under_way = once.table.under_way() as u64;
        let claims = u64::from(once.claims.has_open_work(now));
        OpenWork {
            requests: self.fleet.drain.open_requests.load(Ordering::Acquire) + under_way + claims,
            tickets: u64::from(once.issuer.has_live_tickets(now)),
        }
    }
}
