//! Runs a call at an endpoint of a plain service.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Method};
use wisteriahitch_config::Route;
use wisteriahitch_core::route::{AttemptFailure, PieceChain, RouteRequest};
use wisteriahitch_types::{ByteCount, Code, DurationUs, EndpointId, RequestId, TimeUs, TokenCount};
use wisteriahitch_wire::service::{
    ServiceError, ServiceErrorKind, ServiceRequest, ServiceResponse,
};

use super::retry_after::RETRY_AFTER_US;
use crate::caller::{Identity, Refusal};
use crate::shared::Shared;

/// Maximum number of endpoints tried for one call.
const MAX_ATTEMPTS: usize = 3;

/// A call to a plain service.
#[derive(Clone)]
pub(crate) struct PlainCall {
    /// Workspace and configuration of the call.
    pub(crate) identity: Identity,
    /// Route that the rules chose.
    pub(crate) route: Route,
    /// Id of the request.
    pub(crate) request_id: RequestId,
    /// Deadline of the whole answer, which includes all time spent waiting.
    pub(crate) due_us: TimeUs,
    /// Method as the caller sent it.
    pub(crate) method: Method,
    /// Path and query as the caller sent them.
    pub(crate) path_and_query: String,
    /// Headers as the caller sent them.
    pub(crate) headers: HeaderMap,
    /// The complete request body.
    pub(crate) body: Bytes,
}

/// When a call may be sent to another endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RunMode {
    /// After any failure, within the retry budget.
    Repeatable,
    /// Only as long as no byte has been sent to any endpoint.
    Once,
}

/// The failed attempts at one call.
#[derive(Debug, Default)]
struct Attempts {
    tried: Vec<EndpointId>,
    may_have_run: bool,
}

impl Attempts {
    fn record(&mut self, endpoint: EndpointId, error: &ServiceError) {
        self.tried.push(endpoint);
        self.may_have_run |= !error.is_not_run();
    }

    /// Changes a refusal to `outcome unknown` if an earlier attempt may have run the call, since
    /// the refusal itself only knows of the latest step.
    fn qualify_refusal(&self, refusal: Refusal) -> Refusal {
        match self.may_have_run {
            true => refusal.with_outcome_unknown(),
            false => refusal,
        }
    }
}

/// Runs a call and returns the whole answer, or why there is none.
///
/// `may_send` is called once, right before the first byte may be sent. If it returns false, nothing
/// is sent.
pub(crate) async fn run_plain(
    shared: &Arc<Shared>,
    call: &PlainCall,
    mode: RunMode,
    may_send: impl FnOnce() -> bool,
) -> Result<ServiceResponse, Refusal> {
    let _permit = shared
        .acquire_permit(
            &call.identity,
            &call.route,
            call.due_us,
            TokenCount::ZERO,
            TokenCount::ZERO,
        )
        .await?;
    let mut permission = Some(may_send);
    let mut attempts = Attempts::default();
    loop {
        let chosen = choose(shared, call, &attempts.tried);
        let endpoint = chosen.map_err(|refusal| attempts.qualify_refusal(refusal))?;
        if permission.take().is_some_and(|may_send| !may_send()) {
            return Err(Refusal::new(Code::KeyRefused));
        }
        let error = match attempt(shared, call, &endpoint).await {
            Ok(response) => return Ok(response),
            Err(error) => error,
        };
        attempts.record(endpoint, &error);
        let is_last = attempts.tried.len() >= MAX_ATTEMPTS;
        if is_last || !may_try_again(shared, mode, &error) {
            let refusal = Refusal::new(error.code()).with_retry_after_us(RETRY_AFTER_US);
            return Err(attempts.qualify_refusal(refusal));
        }
    }
}

/// Returns whether another endpoint may be tried.
///
/// A non-repeatable call goes on only if the connection never opened, so that no byte of it can
/// have arrived. Resending it after any other failure could book a bay twice.
fn may_try_again(shared: &Shared, mode: RunMode, error: &ServiceError) -> bool {
    match mode {
        RunMode::Repeatable => shared.try_retry(),
        RunMode::Once => error.kind() == ServiceErrorKind::NotSent,
    }
}

/// Chooses an endpoint that hasn't been tried yet, if there is time left before the deadline.
fn choose(shared: &Shared, call: &PlainCall, tried: &[EndpointId]) -> Result<EndpointId, Refusal> {
    let left_us = call.due_us.since(shared.clock.now());
    if left_us == DurationUs::ZERO {
        let refusal = Refusal::new(Code::DeadlineUnreachable);
        return Err(refusal.with_retry_after_us(RETRY_AFTER_US));
    }
    let request = RouteRequest {
        service: call.route.service.clone(),
        model: None,
        adapter: None,
        weight_version: None,
        chain: PieceChain::default(),
        max_tokens: TokenCount::ZERO,
        first_token_weight: call.route.first_token_weight,
        priority: call.route.priority,
        deadline_us: left_us,
        availability_zone: shared.settings.availability_zone.clone(),
        exclude: tried.to_vec(),
        explain: false,
        bytes_per_token: ByteCount::ZERO,
    };
    Ok(shared.choose(&request)?.endpoint)
}

async fn attempt(
    shared: &Arc<Shared>,
    call: &PlainCall,
    endpoint: &EndpointId,
) -> Result<ServiceResponse, ServiceError> {
    let guard = shared
        .start_attempt(endpoint, TokenCount::ZERO, DurationUs::ZERO)
        .ok_or_else(|| ServiceError::new(ServiceErrorKind::NotSent, "the endpoint is gone"))?;
    let request = ServiceRequest {
        request_id: call.request_id.clone(),
        workspace: call.identity.workspace.clone(),
        method: call.method.clone(),
        path_and_query: call.path_and_query.clone(),
        headers: call.headers.clone(),
        body: call.body.clone(),
        timeout_us: call.due_us.since(shared.clock.now()),
        answer_limit_bytes: shared.settings.limits.answer_bytes,
    };
    let result = shared.clients.service.call(guard.address(), request).await;
    let outcome = result
        .as_ref()
        .map_or_else(|error| outcome_label(error.kind()), |_| "answered");
    shared.metrics.attempts.with_label_values(&[outcome]).inc();
    match &result {
        Ok(_) => guard.mark_succeeded(),
        Err(error) => guard.mark_failed(attempt_failure(error.kind())),
    }
    result
}

fn outcome_label(kind: ServiceErrorKind) -> &'static str {
    match kind {
        ServiceErrorKind::NotSent => "not_sent",
        ServiceErrorKind::NotRun => "not_run",
        ServiceErrorKind::Lost => "lost",
        ServiceErrorKind::Timeout => "timeout",
        ServiceErrorKind::Nonsense => "nonsense",
        ServiceErrorKind::TooLarge => "too_large",
    }
}

fn attempt_failure(kind: ServiceErrorKind) -> AttemptFailure {
    match kind {
        ServiceErrorKind::NotRun | ServiceErrorKind::TooLarge => AttemptFailure::Refused,
        _ => AttemptFailure::Broken,
    }
}
