//! Graceful shutdown that cuts off no call.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::decide::drain_admission::{CallDuration, DrainAdmission};
use crate::settings::RelaySettings;

/// Time before the end of the grace period at which the process exits even if calls are in flight.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// Time between the end of the calls in flight and the exit, in which they are answered, or their
/// connections reset if their answers have begun.
const ABORT_ALLOWANCE: Duration = Duration::from_millis(100);

/// Maximum time for which callers use a list of entries, in multiples of its TTL.
const ENTRY_LIST_TTLS: u32 = 3;

/// Allowance for a request that is on its way when the last list with this daemon expires.
const LATE_REQUEST_ALLOWANCE: Duration = Duration::from_millis(300);

/// Counts calls in flight, forwarded connections among them, and decides when a draining process may exit.
#[derive(Debug, Default)]
pub(crate) struct Drain {
    /// Start of the drain, if it has started.
    started_at: OnceLock<Instant>,
    in_flight: AtomicUsize,
    /// Open connections on which calls have arrived. The last answer may not have been written yet.
    used_connections: AtomicUsize,
    idle: Notify,
    /// Cancelled when the drain starts.
    pub(crate) start_signal: CancellationToken,
    /// Cancelled when the calls in flight are ended, right before the exit.
    pub(super) abort_signal: CancellationToken,
}

impl Drain {
    /// Returns whether the process is draining.
    pub(crate) fn is_draining(&self) -> bool {
        self.started_at.get().is_some()
    }

    /// Returns whether a new call is taken although the process may be about to exit.
    ///
    /// Callers keep using older entry lists for a while. A call that the exit would cut off is
    /// better refused at once, as not run.
    pub(crate) fn accepts(
        &self,
        settings: &RelaySettings,
        duration: impl FnOnce() -> CallDuration,
    ) -> bool {
        let Some(started_at) = self.started_at.get() else {
            return true;
        };
        let admission = DrainAdmission::new(latest_exit(settings).into());
        admission.accepts(started_at.elapsed().into(), duration())
    }

    /// Runs a step of a call. Returns `None` if the exit comes first.
    pub(super) async fn until_exit<T>(&self, step: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            result = step => Some(result),
            () = self.abort_signal.cancelled() => None,
        }
    }

    /// Returns whether the calls in flight are being ended, right before the exit.
    pub(super) fn is_exiting(&self) -> bool {
        self.abort_signal.is_cancelled()
    }

    pub(crate) fn record_call_start(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn record_call_end(&self) {
        if self.in_flight.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.idle.notify_waiters();
        }
    }

    pub(crate) fn record_connection_use(&self) {
        self.used_connections.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn record_connection_end(&self) {
        if self.used_connections.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.idle.notify_waiters();
        }
    }

    /// Returns whether no call is in flight and all answers have been written: connections are closed
    /// after the first answer in the drain, or once they are idle.
    fn is_idle(&self) -> bool {
        self.in_flight() == 0 && self.used_connections.load(Ordering::Relaxed) == 0
    }

    /// Returns the number of calls in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Starts the drain: callers are pointed to other daemons, but calls that still arrive are
    /// served.
    pub(crate) fn start(&self) {
        self.started_at.get_or_init(Instant::now);
        self.start_signal.cancel();
    }

    /// Waits until the process may exit. Returns how many calls it aborts.
    ///
    /// Callers keep using an entry list that they already have. If the process exited with its last
    /// request, they would find a closed port for seconds. A process that ends closes its connections
    /// in order, so that a stream of HTTP/1.0 would look whole; streams are therefore aborted before.
    /// A call whose answer hasn't begun is answered, since a closed connection says nothing of it.
    pub(crate) async fn wait_until_finished(&self, settings: &RelaySettings) -> usize {
        let started_at = *self.started_at.get_or_init(Instant::now);
        let latest_exit = started_at + latest_exit(settings);
        let lists_expired_at =
            started_at + settings.entry_ttl() * ENTRY_LIST_TTLS + LATE_REQUEST_ALLOWANCE;
        tokio::time::sleep_until(lists_expired_at.min(latest_exit)).await;
        loop {
            let idle = self.idle.notified();
            if self.is_idle() {
                return 0;
            }
            if tokio::time::timeout_at(latest_exit, idle).await.is_err() {
                let aborted = self.in_flight();
                self.abort_signal.cancel();
                tokio::time::sleep(ABORT_ALLOWANCE).await;
                return aborted;
            }
        }
    }
}

/// Returns the time from the start of the drain at which the process exits at the latest.
fn latest_exit(settings: &RelaySettings) -> Duration {
    let grace = Duration::from_secs_f64(settings.drain.grace_s);
    grace.saturating_sub(EXIT_MARGIN)
}
