//! Accounting of one attempt at an endpoint.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use wisteriahitch_types::{DurationUs, EndpointInstance, TimeUs};

use super::attempt::Failure;
use super::room_lending::{RoomLoan, borrow_room};
use super::shared::Shared;
use crate::decide::backlog::Load;
use crate::decide::endpoint_table::EndpointTable;
use crate::decide::engine_rates::PaceLesson;
use crate::decide::gossip_message::PartUpdate;
use crate::decide::parts::part_keys;
use crate::decide::placement::Placement;
use crate::decide::room_lending::LoanEnd;
use crate::observe::Event;
use crate::site::PromptShape;

/// Counts an attempt as load of its endpoint until it is dropped.
pub(crate) struct InFlightAttempt {
    shared: Arc<Shared>,
    endpoint: EndpointInstance,
    /// Load of the attempt that isn't released yet.
    load: Load,
    /// Whether the attempt has been sent. Until then its load is this daemon's own estimate, and
    /// isn't reported to others.
    is_sent: bool,
    started_at: Instant,
    /// When the attempt was sent on its last connection.
    sent_at: Instant,
    /// What the time of the answer says of the service's rates.
    lesson: Option<PaceLesson>,
    /// Room that was borrowed for the attempt, if its endpoint is brittle.
    room: Option<RoomLoan>,
}

/// Outcome of an attempt for outlier detection of its endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AttemptOutcome {
    /// The endpoint answered.
    Succeeded,
    /// The endpoint failed.
    Failed,
    /// No connection to the endpoint could be opened.
    Unreachable,
}

impl InFlightAttempt {
    /// Counts an attempt that is about to be sent.
    pub(crate) fn start(shared: &Arc<Shared>, placement: &Placement) -> Self {
        let load = Load {
            running: 1,
            unread_tokens: placement.unread_tokens,
            memory_tokens: placement.memory_tokens,
        };
        let now = shared.now();
        let mut endpoints = shared.endpoints.lock();
        if let Some(row) = endpoints.get_mut(&placement.endpoint) {
            row.unsent_load.add(load);
            row.outlier.record_sent(now);
        }
        drop(endpoints);
        Self {
            shared: Arc::clone(shared),
            endpoint: placement.endpoint.clone(),
            load,
            is_sent: false,
            started_at: Instant::now(),
            sent_at: Instant::now(),
            lesson: placement.lesson,
            room: None,
        }
    }

    /// Borrows room for the attempt if its endpoint is brittle.
    ///
    /// # Errors
    ///
    /// The errors of [`borrow_room`].
    pub(crate) async fn borrow_room(
        &mut self,
        placement: &Placement,
        deadline: Instant,
    ) -> Result<(), Failure> {
        if self.room.is_none() {
            self.room = borrow_room(&self.shared, placement, deadline).await?;
        }
        Ok(())
    }

    /// Sets how the attempt ends for the room that was borrowed for it.
    pub(crate) fn set_room_end(&self, end: LoanEnd) {
        if let Some(room) = &self.room {
            room.set_end(end);
        }
    }

    /// Records that the attempt is being sent, from which on it is load of the endpoint for all
    /// daemons. It may be sent again on another connection if nothing was sent on the first one.
    pub(crate) fn record_sent(&mut self) {
        self.sent_at = Instant::now();
        self.set_room_end(LoanEnd::Abandoned);
        if std::mem::replace(&mut self.is_sent, true) {
            return;
        }
        let mut endpoints = self.shared.endpoints.lock();
        if let Some(row) = endpoints.get_mut(&self.endpoint) {
            row.unsent_load.sub(self.load);
            row.own_load.add(self.load);
        }
        drop(endpoints);
        self.shared.peers.record_sent_call(self.load.unread_tokens);
    }

    /// Records the first event: the engine has now read the prompt and caches its parts.
    pub(crate) fn record_prompt_read(
        &mut self,
        placement: &Placement,
        prompt: Option<&PromptShape>,
    ) {
        let prompt_load = Load {
            unread_tokens: std::mem::take(&mut self.load.unread_tokens),
            ..Load::default()
        };
        let now = self.shared.now();
        let mut endpoints = self.shared.endpoints.lock();
        if let Some(lesson @ PaceLesson::Engine { .. }) = self.lesson.take() {
            self.record_time(&mut endpoints, lesson, now);
        }
        let Some(row) = endpoints.get_mut(&self.endpoint) else {
            return;
        };
        row.own_load.sub(prompt_load);
        record_fetch(&mut endpoints, placement, self.started_at.elapsed(), now);
        let Some(row) = endpoints.get_mut(&self.endpoint) else {
            return;
        };
        let (Some(prompt), Some(scope)) = (prompt, &placement.cache_scope) else {
            return;
        };
        // The weights changed in between, which has emptied the endpoint's cache.
        if row.weights(&prompt.model) != placement.weights {
            return;
        }
        let mut updates = Vec::new();
        let keys = part_keys(scope, prompt);
        let last = keys.len().saturating_sub(1);
        for (index, (key, tokens)) in keys.into_iter().enumerate() {
            // The last part belongs to this request or its session; no other request asks for it.
            if !row.parts.record_use(key, tokens, now) || index == last {
                continue;
            }
            updates.push(PartUpdate {
                endpoint: row.short_name,
                part: key.0,
                tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
            });
        }
        drop(endpoints);
        self.shared.peers.queue_part_updates(updates);
    }

    /// Records that the answer to a call to a plain service has arrived as a whole. The answers of
    /// calls that failed say nothing of how long work takes.
    pub(crate) fn record_success(&mut self) {
        if let Some(lesson @ PaceLesson::Plain { .. }) = self.lesson.take() {
            let now = self.shared.now();
            self.record_time(&mut self.shared.endpoints.lock(), lesson, now);
        }
    }

    fn record_time(&self, endpoints: &mut EndpointTable, lesson: PaceLesson, now: TimeUs) {
        let elapsed_us = DurationUs::from(self.sent_at.elapsed());
        let learned = endpoints.record_answer_time(&self.endpoint, lesson, elapsed_us, now);
        if let Some((service, pace)) = learned {
            self.shared.metrics.pace.record(&service, lesson, &pace);
        }
    }

    /// Records the outcome of the attempt for outlier detection.
    pub(crate) fn finish(&self, outcome: AttemptOutcome) {
        if outcome == AttemptOutcome::Succeeded {
            self.set_room_end(LoanEnd::Finished);
        }
        let now = self.shared.now();
        let mut endpoints = self.shared.endpoints.lock();
        let options = endpoints.outlier_options;
        let Some(row) = endpoints.get_mut(&self.endpoint) else {
            return;
        };
        let is_changed = match outcome {
            AttemptOutcome::Succeeded => row.outlier.record_success(&options),
            AttemptOutcome::Failed => row.outlier.record_failure(&options, now),
            AttemptOutcome::Unreachable => {
                let was_ejected = row.outlier.is_ejected(now);
                row.outlier.eject(&options, now);
                !was_ejected
            }
        };
        let failure_rate = row.outlier.failure_rate();
        drop(endpoints);
        if is_changed {
            self.shared.log.write(&Event::EndpointEjected {
                endpoint: self.endpoint.to_string(),
                is_ejected: outcome != AttemptOutcome::Succeeded,
                failure_rate,
            });
        }
    }
}

/// Records how long a call's fetch of prompt parts took: the time to its first event minus
/// everything else that was expected.
fn record_fetch(
    endpoints: &mut EndpointTable,
    placement: &Placement,
    elapsed: Duration,
    now: TimeUs,
) {
    let Some(fetch) = placement.main_fetch else {
        return;
    };
    let other_us = placement.expected_us - fetch.expected_us;
    let fetch_us = DurationUs::from(elapsed) - other_us;
    let links = &mut endpoints.links;
    links.record_fetch(
        fetch.source,
        placement.address,
        fetch.nominal_us,
        fetch_us,
        now,
    );
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        let mut endpoints = self.shared.endpoints.lock();
        if let Some(row) = endpoints.get_mut(&self.endpoint) {
            match self.is_sent {
                true => row.own_load.sub(self.load),
                false => row.unsent_load.sub(self.load),
            }
        }
    }
}
