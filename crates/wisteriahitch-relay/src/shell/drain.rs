//! Leaving without cutting anybody off.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::settings::RelaySettings;

/// What is left of the grace when the process ends whatever is under way.
const LAST_MOMENT: Duration = Duration::from_millis(400);

/// Callers keep a list of entries for up to so many times its validity.
const LIST_LIVES: u32 = 3;

/// Time for a request that is on its way when the last list naming this daemon runs out.
const LATE_REQUEST: Duration = Duration::from_millis(300);

/// Counts calls and tells when the process may end.
#[derive(Debug, Default)]
pub(crate) struct Drain {
    is_draining: AtomicBool,
    in_flight: AtomicUsize,
    idle: Notify,
    /// Cancelled when the process leaves.
    pub(crate) started: CancellationToken,
}

impl Drain {
    /// Returns whether the process is leaving.
    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    /// Counts a call.
    pub(crate) fn enter(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Notes that a call has ended.
    pub(crate) fn leave(&self) {
        if self.in_flight.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.idle.notify_waiters();
        }
    }

    /// Returns how many calls are under way.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Begins to leave: callers are told of other daemons, and those that come are still served.
    pub(crate) fn start(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
        self.started.cancel();
    }

    /// Waits until the process may end.
    ///
    /// Callers go on using a list that they were given before. If the process ended with its last
    /// request, they would meet a closed port for seconds.
    pub(crate) async fn finished(&self, settings: &RelaySettings) {
        let begun = Instant::now();
        let grace = Duration::from_secs_f64(settings.drain.grace_s);
        let end = begun + grace.saturating_sub(LAST_MOMENT);
        let lists_over = begun + settings.entry_ttl() * LIST_LIVES + LATE_REQUEST;
        tokio::time::sleep_until(lists_over.min(end)).await;
        while self.in_flight() > 0 {
            let idle = self.idle.notified();
            if tokio::time::timeout_at(end, idle).await.is_err() {
                return;
            }
        }
    }
}
