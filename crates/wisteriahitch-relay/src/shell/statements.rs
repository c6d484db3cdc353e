//! Taking over what endpoints say of themselves in the heads of their answers.

use wisteriahitch_types::EndpointInstance;

use super::shared::Shared;
use crate::border::{AnswerHead, Statement};
use crate::observe::Event;

/// Takes over the statements of one answer.
pub(super) fn note_statements(shared: &Shared, endpoint: &EndpointInstance, answer: &AnswerHead) {
    note_limit(shared, endpoint, answer);
}

fn note_limit(shared: &Shared, endpoint: &EndpointInstance, answer: &AnswerHead) {
    let rate = match answer.limit {
        Statement::Value(rate) => Some(rate),
        Statement::Absent => None,
        Statement::Malformed => return note_malformed(shared, endpoint, "limit"),
    };
    let now = shared.now();
    let is_changed = shared.endpoints.lock().heard_limit(endpoint, rate, now);
    if is_changed {
        shared.log.write(&Event::EndpointLimitChanged {
            endpoint: endpoint.to_string(),
            calls_per_s: rate.map(|rate| rate.per_s()),
            source: "answer",
            age_ms: 0,
        });
    }
}

/// Counts a statement that can't be read, and logs the first one of each life of an endpoint.
fn note_malformed(shared: &Shared, endpoint: &EndpointInstance, statement: &'static str) {
    let counter = &shared.metrics.malformed_statements;
    counter.with_label_values(&[statement]).inc();
    if shared.endpoints.lock().heard_malformed(endpoint) {
        shared.log.write(&Event::EndpointStatementMalformed {
            endpoint: endpoint.to_string(),
            statement,
        });
    }
}
