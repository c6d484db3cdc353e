//! Taking over what endpoints say of themselves in the heads of their answers.

use wisteriahitch_types::{CallRate, EndpointInstance, TimeUs};

use super::peers::share_permits;
use super::shared::Shared;
use crate::border::{AnswerHead, Statement};
use crate::decide::endpoint_table::{EndpointChange, instance_short_name};
use crate::decide::gossip_message::LimitUpdate;
use crate::observe::Event;

/// Takes over the statements of one answer to a call that was placed at an endpoint. `is_to_the_call` says that it is that
/// endpoint's own answer to it.
pub(super) fn note_statements(
    shared: &Shared,
    placed: &EndpointInstance,
    answer: &AnswerHead,
    is_to_the_call: bool,
) {
    let Some(endpoint) = &speaker(shared, placed, answer) else {
        return;
    };
    note_limit(shared, endpoint, answer, is_to_the_call);
    note_leaving(shared, endpoint, answer);
    note_rest(shared, endpoint, answer);
}

/// Returns who has answered: another endpoint than the one that was meant may be at its address. None where that one isn't
/// known.
fn speaker(
    shared: &Shared,
    placed: &EndpointInstance,
    answer: &AnswerHead,
) -> Option<EndpointInstance> {
    match &answer.endpoint {
        Some(id) if *id != placed.id => {
            let endpoints = shared.endpoints.lock();
            endpoints.by_id(id).map(|row| row.instance().clone())
        }
        _ => Some(placed.clone()),
    }
}

fn note_leaving(shared: &Shared, endpoint: &EndpointInstance, answer: &AnswerHead) {
    match answer.is_leaving {
        Statement::Value(true) => {}
        Statement::Value(false) | Statement::Absent => return,
        Statement::Malformed => return note_malformed(shared, endpoint, "leaving"),
    }
    if note_life_leaves(shared, instance_short_name(endpoint), "answer") {
        // The others may hear it from nobody else: the store may be away.
        shared.peers.hurry.notify_one();
    }
}

/// Takes over which endpoints have said that they leave, as a peer tells.
pub(super) fn take_leaving(shared: &Shared, lives: &[u32]) {
    let is_news = |life: &&u32| note_life_leaves(shared, **life, "peer");
    // Each is noted, also after the first that is news.
    if lives.iter().filter(is_news).count() > 0 {
        // A hub tells it on at once.
        shared.peers.hurry.notify_one();
    }
}

/// Notes that a life of an endpoint leaves, and returns whether that is news.
fn note_life_leaves(shared: &Shared, life: u32, source: &'static str) -> bool {
    let (is_news, change) = shared.endpoints.lock().record_leaving(life, shared.now());
    if let Some(EndpointChange::Draining(endpoint)) = &change {
        shared.log.write(&Event::EndpointLeaving {
            endpoint: endpoint.to_string(),
            source,
        });
    }
    shared.record_endpoint_changes(change.into_iter().collect(), 0);
    is_news
}

fn note_rest(shared: &Shared, endpoint: &EndpointInstance, answer: &AnswerHead) {
    let rest = match answer.rest_us {
        Statement::Value(rest) => rest,
        Statement::Absent => return,
        Statement::Malformed => return note_malformed(shared, endpoint, "rest"),
    };
    let now = shared.now();
    let is_later = shared.endpoints.lock().record_rest(endpoint, rest, now);
    if is_later {
        shared.log.write(&Event::EndpointResting {
            endpoint: endpoint.to_string(),
            rest_ms: rest.as_ms(),
        });
    }
}

/// Takes over the limit that an answer names. One that names none ends a limit only if it is the endpoint's own answer to
/// the call.
fn note_limit(
    shared: &Shared,
    endpoint: &EndpointInstance,
    answer: &AnswerHead,
    is_to_the_call: bool,
) {
    let rate = match answer.limit {
        Statement::Value(rate) => Some(rate),
        Statement::Absent if is_to_the_call => None,
        Statement::Absent => return,
        Statement::Malformed => return note_malformed(shared, endpoint, "limit"),
    };
    let now = shared.now();
    let outcome = shared.endpoints.lock().record_limit(endpoint, rate, now);
    if outcome.should_log {
        log_limit(shared, endpoint, rate, "answer", 0);
    }
    if outcome.is_changed {
        share_permits(shared, now);
        // Until the others know, they send as if there were no limit, or don't use what it leaves.
        shared.peers.hurry.notify_one();
    }
}

/// Takes over what a peer tells of endpoints' limits.
pub(super) fn take_limits(shared: &Shared, updates: &[LimitUpdate], now: TimeUs) {
    let mut is_changed = false;
    for update in updates {
        let told = shared.endpoints.lock().apply_limit_update(update, now);
        let Some((endpoint, outcome)) = told else {
            continue;
        };
        is_changed |= outcome.is_changed;
        if outcome.should_log {
            log_limit(shared, &endpoint, update.rate, "peer", update.age_ms);
        }
    }
    if is_changed {
        share_permits(shared, now);
        // A hub tells it on at once.
        shared.peers.hurry.notify_one();
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
fn note_malformed(shared: &Shared, endpoint: &EndpointInstance, statement: &'static str) {
    let counter = &shared.metrics.malformed_statements;
    counter.with_label_values(&[statement]).inc();
    if shared.endpoints.lock().record_malformed(endpoint) {
        shared.log.write(&Event::EndpointStatementMalformed {
            endpoint: endpoint.to_string(),
            statement,
        });
    }
}
