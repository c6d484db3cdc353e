//! Taking over what endpoints say of themselves in the heads of their answers.

use wisteriahitch_types::{CallRate, EndpointInstance, TimeUs};

use super::peers::update_permit_shares;
use super::shared::Shared;
use crate::border::{AnswerHead, Statement};
use crate::decide::endpoint_table::{EndpointChange, life_name};
use crate::decide::gossip_message::LimitUpdate;
use crate::observe::Event;

/// Takes over the statements of one answer to a call that was placed at an endpoint. `is_to_the_call` says that it is that
/// endpoint's own answer to it.
pub(super) fn record_statements(
    shared: &Shared,
    called: &EndpointInstance,
    answer: &AnswerHead,
    is_direct_answer: bool,
) {
    let Some(endpoint) = &answering_endpoint(shared, called, answer) else {
        return;
    };
    record_limit_statement(shared, endpoint, answer, is_direct_answer);
    record_leaving_statement(shared, endpoint, answer);
    record_rest_statement(shared, endpoint, answer);
}

/// Returns who has answered: another endpoint than the one that was meant may be at its address. None where that one isn't
/// known.
fn answering_endpoint(
    shared: &Shared,
    called: &EndpointInstance,
    answer: &AnswerHead,
) -> Option<EndpointInstance> {
    match &answer.endpoint {
        Some(id) if *id != called.id => {
            let endpoints = shared.endpoints.lock();
            endpoints.by_id(id).map(|row| row.instance().clone())
        }
        _ => Some(called.clone()),
    }
}

fn record_leaving_statement(shared: &Shared, endpoint: &EndpointInstance, answer: &AnswerHead) {
    match answer.is_leaving {
        Statement::Value(true) => {}
        Statement::Value(false) | Statement::Absent => return,
        Statement::Malformed => return count_malformed_statement(shared, endpoint, "leaving"),
    }
    if record_leaving_instance(shared, life_name(endpoint), "answer") {
        // The others may hear it from nobody else: the store may be away.
        shared.peers.wake_sender.notify_one();
    }
}

/// Takes over which endpoints have said that they leave, as a peer tells.
pub(super) fn apply_leaving_updates(shared: &Shared, short_names: &[u32]) {
    let is_new = |short_name: &&u32| record_leaving_instance(shared, **short_name, "peer");
    // Each is noted, also after the first that is news.
    if short_names.iter().filter(is_new).count() > 0 {
        // A hub tells it on at once.
        shared.peers.wake_sender.notify_one();
    }
}

/// Notes that a life of an endpoint leaves, and returns whether that is news.
fn record_leaving_instance(shared: &Shared, short_name: u32, source: &'static str) -> bool {
    let (is_new, change) = shared
        .endpoints
        .lock()
        .heard_leaving(short_name, shared.now());
    if let Some(EndpointChange::Draining(endpoint)) = &change {
        shared.log.write(&Event::EndpointLeaving {
            endpoint: endpoint.to_string(),
            source,
        });
    }
    shared.note_changes(change.into_iter().collect(), 0);
    is_new
}

fn record_rest_statement(shared: &Shared, endpoint: &EndpointInstance, answer: &AnswerHead) {
    let rest = match answer.rest_us {
        Statement::Value(rest) => rest,
        Statement::Absent => return,
        Statement::Malformed => return count_malformed_statement(shared, endpoint, "rest"),
    };
    let now = shared.now();
    let is_later = shared.endpoints.lock().heard_rest(endpoint, rest, now);
    if is_later {
        shared.log.write(&Event::EndpointResting {
            endpoint: endpoint.to_string(),
            rest_ms: rest.as_ms(),
        });
    }
}

/// Takes over the limit that an answer names. One that names none ends a limit only if it is the endpoint's own answer to
/// the call.
fn record_limit_statement(
    shared: &Shared,
    endpoint: &EndpointInstance,
    answer: &AnswerHead,
    is_direct_answer: bool,
) {
    let rate = match answer.limit {
        Statement::Value(rate) => Some(rate),
        Statement::Absent if is_direct_answer => None,
        Statement::Absent => return,
        Statement::Malformed => return count_malformed_statement(shared, endpoint, "limit"),
    };
    let now = shared.now();
    let outcome = shared.endpoints.lock().heard_limit(endpoint, rate, now);
    if outcome.is_logged {
        log_limit(shared, endpoint, rate, "answer", 0);
    }
    if outcome.is_changed {
        update_permit_shares(shared, now);
        // Until the others know, they send as if there were no limit, or don't use what it leaves.
        shared.peers.wake_sender.notify_one();
    }
}

/// Takes over what a peer tells of endpoints' limits.
pub(super) fn apply_limit_updates(shared: &Shared, updates: &[LimitUpdate], now: TimeUs) {
    let mut is_changed = false;
    for update in updates {
        let applied = shared.endpoints.lock().told_limit(update, now);
        let Some((endpoint, outcome)) = applied else {
            continue;
        };
        is_changed |= outcome.is_changed;
        if outcome.is_logged {
            log_limit(shared, &endpoint, update.rate, "peer", update.age_ms);
        }
    }
    if is_changed {
        update_permit_shares(shared, now);
        // A hub tells it on at once.
        shared.peers.wake_sender.notify_one();
    }
}

fn log_limit(
    shared: &Shared,
    endpoint: &EndpointInstance,
    rate: Option<CallRate>,
    source: &'static str,
    age_ms: u64,
) {
    shared.log.write(&Event::EndpointLimitChanged {
        endpoint: endpoint.to_string(),
        calls_per_s: rate.map(CallRate::per_s),
        source,
        age_ms,
    });
}

/// Counts a statement that can't be read, and logs the first one of each life of an endpoint.
fn count_malformed_statement(
    shared: &Shared,
    endpoint: &EndpointInstance,
    statement: &'static str,
) {
    let counter = &shared.metrics.malformed_statements;
    counter.with_label_values(&[statement]).inc();
    if shared.endpoints.lock().heard_malformed(endpoint) {
        shared.log.write(&Event::EndpointStatementMalformed {
            endpoint: endpoint.to_string(),
            statement,
        });
    }
}
