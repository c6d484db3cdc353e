//! Leaving without cutting anybody off.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::settings::RelaySettings;

/// What is left of the grace when the process ends whatever is under way.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// Callers keep a list of entries for up to so many times its validity.
const ENTRY_LIST_TTLS: u32 = 3;

/// Time for a request that is on its way when the last list naming this daemon runs out.
const LATE_REQUEST_ALLOWANCE: Duration = Duration::from_millis(300);

/// Time that a stream takes at most, but for a few: long prompts under full load.
const MAX_STREAM_TIME: Duration = Duration::from_millis(3_900);

/// Time that a plain call takes at most, but for a few.
const MAX_CALL_TIME: Duration = Duration::from_millis(1_000);

/// Counts calls and tells when the process may end.
#[derive(Debug, Default)]
pub(crate) struct Drain {
    /// When it began.
    started_at: OnceLock<Instant>,
    in_flight: AtomicUsize,
    idle: Notify,
    /// Cancelled when the process leaves.
    pub(crate) started: CancellationToken,
}

impl Drain {
    /// Returns whether the process is leaving.
    pub(crate) fn is_draining(&self) -> bool {
        self.started_at.get().is_some()
    }

    /// Returns whether a new call can still be finished before the process is killed.
    ///
    /// Callers come for a while with lists from before. One whose answer would be cut off by the
    /// end is better told at once that it hasn't run.
    pub(crate) fn accepts(&self, settings: &RelaySettings, is_stream: bool) -> bool {
        let Some(started_at) = self.started_at.get() else {
            return true;
        };
        let needed = if is_stream {
            MAX_STREAM_TIME
        } else {
            MAX_CALL_TIME
        };
        let grace = Duration::from_secs_f64(settings.drain.grace_s);
        started_at.elapsed() + needed + EXIT_MARGIN < grace
    }

    /// Counts a call.
    pub(crate) fn record_call_start(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Notes that a call has ended.
    pub(crate) fn record_call_end(&self) {
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
        self.started_at.get_or_init(Instant::now);
        self.started.cancel();
    }

    /// Waits until the process may end.
    ///
    /// Callers go on using a list that they were given before. If the process ended with its last
    /// request, they would meet a closed port for seconds.
    pub(crate) async fn wait_until_finished(&self, settings: &RelaySettings) {
        let started_at = *self.started_at.get_or_init(Instant::now);
        let grace = Duration::from_secs_f64(settings.drain.grace_s);
        let latest_exit = started_at + grace.saturating_sub(EXIT_MARGIN);
        let lists_expired_at =
            started_at + settings.entry_ttl() * ENTRY_LIST_TTLS + LATE_REQUEST_ALLOWANCE;
        tokio::time::sleep_until(lists_expired_at.min(latest_exit)).await;
        while self.in_flight() > 0 {
            let idle = self.idle.notified();
            if tokio::time::timeout_at(latest_exit, idle).await.is_err() {
                return;
            }
        }
    }
}
