//! The accounting of one attempt at an endpoint.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use wisteriahitch_types::{DurationUs, EndpointInstance, TimeUs};

use super::shared::Shared;
use crate::decide::backlog::Load;
use crate::decide::endpoint_table::EndpointTable;
use crate::decide::gossip_message::PartUpdate;
use crate::decide::parts::part_keys;
use crate::decide::placement::Placement;
use crate::observe::Event;
use crate::site::PromptShape;

/// Counts an attempt as load of its endpoint until it is dropped.
pub(crate) struct InFlightAttempt {
    shared: Arc<Shared>,
    endpoint: EndpointInstance,
    load: Load,
    began: Instant,
}

/// Says how an attempt ended, as far as its endpoint's good name is concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AttemptOutcome {
    /// It answered.
    Good,
    /// It failed.
    Failed,
    /// It can't be reached.
    Unreachable,
}

impl InFlightAttempt {
    /// Counts an attempt that is about to be sent.
    pub(crate) fn start(
        shared: &Arc<Shared>,
        placement: &Placement,
        prompt: Option<&PromptShape>,
    ) -> Self {
        let tokens = prompt.map_or(0, PromptShape::memory_tokens);
        let load = Load {
            running: 1,
            unread_tokens: placement.unread_tokens,
            memory_tokens: tokens,
        };
        let now = shared.now();
        let mut endpoints = shared.endpoints.lock();
        if let Some(row) = endpoints.get_mut(&placement.endpoint) {
            row.own.add(load);
            row.outlier.sent(now);
        }
        drop(endpoints);
        shared.peers.record_sent_call(placement.unread_tokens);
        Self {
            shared: Arc::clone(shared),
            endpoint: placement.endpoint.clone(),
            load,
            began: Instant::now(),
        }
    }

    /// Notes the first event: the prompt has been read, and its parts are kept now.
    pub(crate) fn has_read(&mut self, placement: &Placement, prompt: Option<&PromptShape>) {
        let read = Load {
            unread_tokens: std::mem::take(&mut self.load.unread_tokens),
            ..Load::default()
        };
        let now = self.shared.now();
        let mut endpoints = self.shared.endpoints.lock();
        let Some(row) = endpoints.get_mut(&self.endpoint) else {
            return;
        };
        row.own.sub(read);
        note_fetch(&mut endpoints, placement, self.began.elapsed(), now);
        let Some(row) = endpoints.get_mut(&self.endpoint) else {
            return;
        };
        let (Some(prompt), Some(scope)) = (prompt, &placement.cache_scope) else {
            return;
        };
        // A change of weights in between has emptied the endpoint's memory.
        if row.weights(&prompt.model) != placement.weights {
            return;
        }
        let mut news = Vec::new();
        let keys = part_keys(scope, prompt);
        let last = keys.len().saturating_sub(1);
        for (index, (key, tokens)) in keys.into_iter().enumerate() {
            // The last part is this request's or its session's own, which others don't ask for.
            if !row.parts.used(key, tokens, now) || index == last {
                continue;
            }
            news.push(PartUpdate {
                endpoint: row.short_name,
                part: key.0,
                tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
            });
        }
        drop(endpoints);
        self.shared.peers.queue_part_updates(news);
    }

    /// Notes how the attempt ended.
    pub(crate) fn finish(&self, outcome: AttemptOutcome) {
        let now = self.shared.now();
        let mut endpoints = self.shared.endpoints.lock();
        let options = endpoints.outlier_options;
        let Some(row) = endpoints.get_mut(&self.endpoint) else {
            return;
        };
        let is_changed = match outcome {
            AttemptOutcome::Good => row.outlier.succeeded(&options),
            AttemptOutcome::Failed => row.outlier.failed(&options, now),
            AttemptOutcome::Unreachable => {
                let was_ejected = row.outlier.is_ejected(now);
                row.outlier.eject(&options, now);
                !was_ejected
            }
        };
        let failure_rate = row.outlier.failure_rate();
        if outcome == AttemptOutcome::Unreachable {
            endpoints.unreachable(&self.endpoint, now);
        }
        drop(endpoints);
        if is_changed {
            self.shared.log.write(&Event::EndpointEjected {
                endpoint: self.endpoint.to_string(),
                is_ejected: outcome != AttemptOutcome::Good,
                failure_rate,
            });
        }
    }
}

/// Notes how long the parts took that a call has fetched: what is left of the time to its first event
/// after everything else that was expected.
fn note_fetch(endpoints: &mut EndpointTable, placement: &Placement, took: Duration, now: TimeUs) {
    let Some(fetch) = placement.main_fetch else {
        return;
    };
    let rest_us = placement.expected_us - fetch.expected_us;
    let took_us = DurationUs::from(took) - rest_us;
    let links = &mut endpoints.links;
    links.fetched(
        fetch.source,
        placement.address,
        fetch.usual_us,
        took_us,
        now,
    );
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        let mut endpoints = self.shared.endpoints.lock();
        if let Some(row) = endpoints.get_mut(&self.endpoint) {
            row.own.sub(self.load);
        }
    }
}
