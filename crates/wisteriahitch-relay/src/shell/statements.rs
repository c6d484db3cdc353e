//! Processes what endpoints report about themselves in the headers of their answers: rate limit,
//! shutdown, rest and load.

use wisteriahitch_types::{CallRate, DurationUs, EndpointInstance, ServiceName, TimeUs};

use super::peers::update_permit_shares;
use super::shared::Shared;
use crate::border::{AnswerHead, Statement};
use crate::decide::brittle_services::BrittleSection;
use crate::decide::endpoint_table::{EndpointChange, instance_short_name};
use crate::decide::gossip_message::{GossipMessage, LimitUpdate};
use crate::observe::Event;

/// Records the statements in an answer to a call that was sent to the endpoint `called`.
/// `is_direct_answer` is whether that endpoint itself answered the call.
pub(super) fn record_statements(
    shared: &Shared,
    called: &EndpointInstance,
    answer: &AnswerHead,
    is_direct_answer: bool,
) {
    let Some(endpoint) = &answering_endpoint(shared, called, answer) else {
        return;
    };
    if answer.is_load_malformed {
        count_malformed_statement(shared, endpoint, "load");
    }
    record_limit_statement(shared, endpoint, answer, is_direct_answer);
    record_leaving_statement(shared, endpoint, answer);
    record_rest_statement(shared, endpoint, answer);
    record_brittleness_statement(shared, endpoint, answer, is_direct_answer);
}

/// Returns the endpoint that answered, which may differ from the called one if another process has
/// taken its address. Returns `None` if that endpoint isn't known.
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
    if record_leaving_instance(shared, instance_short_name(endpoint), "answer") {
        // The other daemons may have no other source, because the store may be unreachable.
        shared.peers.wake_sender.notify_one();
    }
}

/// Applies a peer's list of endpoints that announced that they are leaving, by short name.
pub(super) fn apply_leaving_updates(shared: &Shared, short_names: &[u32]) {
    let is_new = |short_name: &&u32| record_leaving_instance(shared, **short_name, "peer");
    // `count` visits every element, so that each endpoint is recorded, also after the first new
    // one.
    if short_names.iter().filter(is_new).count() > 0 {
        // A hub relays this at once.
        shared.peers.wake_sender.notify_one();
    }
}

/// Records that an endpoint is leaving, and returns whether this wasn't known before.
fn record_leaving_instance(shared: &Shared, short_name: u32, source: &'static str) -> bool {
    let (is_new, change) = shared
        .endpoints
        .lock()
        .record_leaving(short_name, shared.now());
    if let Some(EndpointChange::Draining(endpoint)) = &change {
        shared.log.write(&Event::EndpointLeaving {
            endpoint: endpoint.to_string(),
            source,
        });
    }
    shared.record_endpoint_changes(change.into_iter().collect(), 0);
    is_new
}

fn record_rest_statement(shared: &Shared, endpoint: &EndpointInstance, answer: &AnswerHead) {
    let rest = match answer.rest_us {
        Statement::Value(rest) => rest,
        Statement::Absent => return,
        Statement::Malformed => return count_malformed_statement(shared, endpoint, "rest"),
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

/// Records whether an answer says that its endpoint is brittle. An answer that doesn't say so ends it
/// only if it is the endpoint's own answer to the call.
fn record_brittleness_statement(
    shared: &Shared,
    endpoint: &EndpointInstance,
    answer: &AnswerHead,
    is_direct_answer: bool,
) {
    let max_refusals_per_s = match answer.max_refusals_per_s {
        Statement::Value(max) => Some(max),
        Statement::Absent if is_direct_answer => None,
        Statement::Absent => return,
        Statement::Malformed => return count_malformed_statement(shared, endpoint, "brittle"),
    };
    let changed = {
        let mut endpoints = shared.endpoints.lock();
        endpoints.record_brittleness(endpoint, max_refusals_per_s, shared.now())
    };
    if let Some(service) = changed {
        log_brittle_service(shared, &service, "answer");
        // Until the other daemons know, they send calls to find out whether there is room.
        shared.peers.wake_sender.notify_one();
    }
}

/// Applies what a peer knows of services whose endpoints are brittle.
pub(super) fn apply_brittle_services(
    shared: &Shared,
    message: &GossipMessage,
    held_up_us: DurationUs,
    now: TimeUs,
) {
    let section = match message.sections.get::<BrittleSection>() {
        Ok(None) => return,
        Ok(Some(section)) => section,
        Err(error) => {
            let counter = &shared.metrics.invalid_peer_figures;
            counter.with_label_values(&["brittle"]).inc();
            return shared.log.write(&Event::Failure {
                what: "brittle services of a peer",
                detail: format!("{error}, from {}", message.ip),
            });
        }
    };
    let changes = {
        let mut endpoints = shared.endpoints.lock();
        endpoints.apply_brittle_services(&section, held_up_us, now)
    };
    for service in &changes {
        log_brittle_service(shared, service, "peer");
    }
    if !changes.is_empty() {
        // A hub relays this at once.
        shared.peers.wake_sender.notify_one();
    }
}

fn log_brittle_service(shared: &Shared, service: &ServiceName, source: &'static str) {
    let max_refusals_per_s = {
        let endpoints = shared.endpoints.lock();
        endpoints.brittle_services().max_refusals_per_s(service)
    };
    shared.log.write(&Event::ServiceBrittle {
        service: service.to_string(),
        max_refusals_per_s,
        source,
    });
}

/// Records the rate limit in an answer. An answer without one ends a known limit only if it is the
/// endpoint's own answer to the call.
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
    let outcome = shared.endpoints.lock().record_limit(endpoint, rate, now);
    if outcome.should_log {
        log_limit(shared, endpoint, rate, "answer", 0);
    }
    if outcome.is_changed {
        update_permit_shares(shared, now);
        // Until the other daemons know, they send as if there were no limit, or don't use the rate
        // that it allows.
        shared.peers.wake_sender.notify_one();
    }
}

/// Applies the rate limits of endpoints that a peer reports.
pub(super) fn apply_limit_updates(shared: &Shared, updates: &[LimitUpdate], now: TimeUs) {
    let mut is_changed = false;
    for update in updates {
        let applied = shared.endpoints.lock().apply_limit_update(update, now);
        let Some((endpoint, outcome)) = applied else {
            continue;
        };
        is_changed |= outcome.is_changed;
        if outcome.should_log {
            log_limit(shared, &endpoint, update.rate, "peer", update.age_ms);
        }
    }
    if is_changed {
        update_permit_shares(shared, now);
        // A hub relays this at once.
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

/// Counts a malformed statement, and logs the first one of each endpoint instance.
fn count_malformed_statement(
    shared: &Shared,
    endpoint: &EndpointInstance,
    statement: &'static str,
) {
    let counter = &shared.metrics.malformed_statements;
    counter.with_label_values(&[statement]).inc();
    if shared.endpoints.lock().record_malformed(endpoint) {
        shared.log.write(&Event::EndpointStatementMalformed {
            endpoint: endpoint.to_string(),
            statement,
        });
    }
}
