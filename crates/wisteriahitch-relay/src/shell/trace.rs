//! Collects the log entry and metrics of one call.

use std::sync::Arc;

use tokio::time::Instant;
use wisteriahitch_types::{Code, DurationUs};

use super::shared::Shared;
use crate::border::Refusal;
use crate::decide::placement::Placement;
use crate::observe::{CallEnded, Event};
use crate::site::Route;

/// Collects what happens to a call and writes one log line when it ends, even if the caller
/// disconnects.
pub(crate) struct CallTrace {
    shared: Arc<Shared>,
    started_at: Instant,
    /// `None` until the call's route is known.
    route: Option<Arc<Route>>,
    entry: CallEnded,
}

impl CallTrace {
    /// Starts the entry of a call that has just arrived.
    pub(crate) fn new(shared: &Arc<Shared>) -> Self {
        shared.metrics.in_flight.inc();
        shared.drain.record_call_start();
        Self {
            shared: Arc::clone(shared),
            started_at: Instant::now(),
            route: None,
            entry: CallEnded {
                // A call that ends without another outcome was abandoned by its caller.
                outcome: "caller_left",
                ..CallEnded::default()
            },
        }
    }

    /// Returns the log entry, to fill in its fields.
    pub(crate) fn log_entry(&mut self) -> &mut CallEnded {
        &mut self.entry
    }

    /// Returns when the call arrived.
    pub(crate) fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Records the route of the call.
    pub(crate) fn record_route(&mut self, route: &Arc<Route>) {
        self.entry.route = route.name.to_string();
        self.entry.kind = route.kind.label();
        self.route = Some(Arc::clone(route));
    }

    /// Records where an attempt is sent.
    pub(crate) fn record_placement(&mut self, placement: &Placement) {
        self.entry.endpoint = placement.endpoint.to_string();
        self.entry.weights = placement.weights.map_or(0, |weights| weights.get());
        self.entry.candidates = placement.candidates;
        self.entry.cached_tokens = placement.cached_tokens;
        self.entry.fetched_tokens = placement.fetched_tokens;
        self.entry.unread_tokens = placement.unread_tokens;
        self.entry.expected_ms = placement.expected_us.as_ms();
        let metrics = &self.shared.metrics;
        metrics.queue_s.observe(placement.queue_us.as_secs_f64());
        let tokens = &self.shared.metrics.prompt_tokens;
        tokens
            .with_label_values(&["cached"])
            .inc_by(placement.cached_tokens);
        tokens
            .with_label_values(&["fetched"])
            .inc_by(placement.fetched_tokens);
        tokens
            .with_label_values(&["read"])
            .inc_by(placement.unread_tokens);
    }

    /// Records the time of the first event, or of the answer.
    pub(crate) fn record_first_event(&mut self) {
        let elapsed = self.started_at.elapsed();
        self.entry.first_event_ms = Some(DurationUs::from(elapsed).as_ms());
        let histogram = &self.shared.metrics.first_event_s;
        let seconds = elapsed.as_secs_f64();
        histogram
            .with_label_values(&[self.entry.kind])
            .observe(seconds);
    }

    pub(crate) fn record_refusal(&mut self, refusal: &Refusal) {
        self.entry.outcome = "refused";
        self.entry.code = Some(refusal.code.number());
        self.entry.status = refusal.code.http_status();
        self.entry.retry_after_ms = refusal.retry_after_us.map(DurationUs::as_ms);
        self.entry.share_permille = refusal.share_permille;
        if let Some(excess) = refusal.excess_queue {
            self.entry.queue_ms = Some(excess.queue_us.as_ms());
            self.entry.longest_queue_ms = Some(excess.bound_us.as_ms());
            self.entry.own_running = Some(excess.own_running);
            self.entry.peers_running = Some(excess.peers_running);
            self.entry.suspected = u32::try_from(excess.suspected).ok();
            self.entry.candidates = excess.candidates;
        }
        let label = refusal.code.to_string();
        self.shared
            .metrics
            .refusals
            .with_label_values(&[&label])
            .inc();
    }

    /// Records an answer that was aborted.
    pub(crate) fn record_abort(&mut self, code: Code) {
        self.entry.outcome = "broken_off";
        self.entry.code = Some(code.number());
    }

    /// Records that the whole answer was passed on.
    pub(crate) fn record_answered(&mut self, status: u16) {
        self.entry.outcome = "answered";
        self.entry.status = status;
        let is_success = (200..300).contains(&status);
        if let Some(route) = self.route.as_ref().filter(|_| is_success) {
            let elapsed = DurationUs::from(self.started_at.elapsed());
            let mut recent = self.shared.recent_durations.lock();
            recent.record(&route.name, elapsed);
        }
    }
}

impl Drop for CallTrace {
    fn drop(&mut self) {
        self.entry.total_ms = DurationUs::from(self.started_at.elapsed()).as_ms();
        self.shared.metrics.record_call(&self.entry);
        self.shared.metrics.in_flight.dec();
        self.shared.drain.record_call_end();
        let ended = std::mem::take(&mut self.entry);
        self.shared.log.write(&Event::CallEnded(Box::new(ended)));
    }
}
