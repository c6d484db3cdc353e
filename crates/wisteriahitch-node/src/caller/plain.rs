//! Calls to plain services, passed through with their method and path.

use std::sync::Arc;

use bytes::Bytes;
use http::Response;
use http::request::Parts;
use wisteriahitch_config::{RequestFacts, Route, Service};
use wisteriahitch_types::{Code, Meaning, RequestId};
use wisteriahitch_wire::service::ServiceResponse;

use super::Refusal;
use super::body::{ResponseBody, full_body};
use super::identity::Identity;
use super::keyed::{self, KeyedCall};
use super::request_id::set_request_id;
use super::rules::{apply_rules, request_labels};
use crate::dispatch::plain_call::{PlainCall, RunMode, run_plain};
use crate::shared::Shared;

/// Request header that carries a ticket or the caller's own idempotency key.
pub(super) const KEY_HEADER: &str = "idempotency-key";

/// Answers a call to a plain service.
pub(crate) async fn answer(
    shared: &Arc<Shared>,
    identity: Identity,
    request_id: &RequestId,
    parts: &Parts,
    body: Bytes,
) -> Result<Response<ResponseBody>, Refusal> {
    let facts = request_facts(shared, &identity, parts);
    let key = parts.headers.get(KEY_HEADER);
    let route = apply_rules(&identity, &facts).map_err(|refusal| match key {
        // Another copy of a keyed request may be in transit to a daemon whose rules decide
        // differently, so this daemon can't claim that the request was not run.
        Some(_) if refusal.meaning() == Meaning::NotRun => refusal.with_outcome_unknown(),
        _ => refusal,
    })?;
    let call = build_call(shared, &identity, route, request_id, parts, body);
    match key {
        Some(key) => {
            let key = key.to_str().map_err(|_| Refusal::new(Code::BadKey))?;
            let keyed = KeyedCall {
                call,
                key: key.to_owned(),
            };
            keyed::answer(shared, keyed).await
        }
        None => run_unkeyed(shared, call).await,
    }
}

fn request_facts(shared: &Shared, identity: &Identity, parts: &Parts) -> RequestFacts {
    RequestFacts {
        workspace: Some(identity.workspace.clone()),
        method: parts.method.as_str().to_owned(),
        path: parts.uri.path().to_owned(),
        labels: request_labels(&parts.headers),
        availability_zone: Some(shared.settings.availability_zone.clone()),
        ..RequestFacts::default()
    }
}

fn build_call(
    shared: &Shared,
    identity: &Identity,
    route: Route,
    request_id: &RequestId,
    parts: &Parts,
    body: Bytes,
) -> PlainCall {
    let path_and_query = parts
        .uri
        .path_and_query()
        .map_or_else(|| "/".to_owned(), ToString::to_string);
    PlainCall {
        identity: identity.clone(),
        due_us: shared.clock.now() + route.deadline_us,
        route,
        request_id: request_id.clone(),
        method: parts.method.clone(),
        path_and_query,
        headers: parts.headers.clone(),
        body,
    }
}

/// Runs a call that carries no key. It is retried only if it may be repeated.
///
/// Without a key every arrival counts as a new request. A non-repeatable one is sent at most once.
async fn run_unkeyed(
    shared: &Arc<Shared>,
    call: PlainCall,
) -> Result<Response<ResponseBody>, Refusal> {
    let mode = if may_repeat(&call) {
        RunMode::Repeatable
    } else {
        RunMode::Once
    };
    let request_id = call.request_id.clone();
    let response = run_plain(shared, &call, mode, || true).await?;
    Ok(to_response(response, &request_id))
}

fn may_repeat(call: &PlainCall) -> bool {
    let configuration = &call.identity.in_force.configuration;
    let service = configuration.services.get(&call.route.service);
    service.is_some_and(|service| is_repeatable(&call.route, service, call))
}

/// Returns whether a call may be repeated: by the route's setting or else by the service's
/// patterns. A call that matches neither may not.
fn is_repeatable(route: &Route, service: &Service, call: &PlainCall) -> bool {
    if let Some(may_repeat) = route.may_repeat {
        return may_repeat;
    }
    let path = call.path_and_query.split('?').next().unwrap_or_default();
    service
        .repeatable
        .iter()
        .any(|pattern| pattern.is_match(call.method.as_str(), path))
}

/// Converts a service's response into the response to the caller.
pub(crate) fn to_response(
    answer: ServiceResponse,
    request_id: &RequestId,
) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    set_request_id(&mut response, request_id);
    response
}
