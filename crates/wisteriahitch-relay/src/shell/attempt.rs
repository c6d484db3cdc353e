//! One attempt at a call: sends it to an endpoint and checks the head of the answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_ENCODING;
use http::{HeaderMap, Method, Request, StatusCode, Uri, response};
use tokio::time::{Instant, timeout_at};
use wisteriahitch_types::{Code, DurationUs, EndpointStart, TimeUs, WorkspaceId};
use wisteriahitch_wire::answer_framing::AnswerFraming;
use wisteriahitch_wire::connection_pool::{Connection, TrackedBody};
use wisteriahitch_wire::http_client::{HttpError, HttpErrorKind};

use super::crashes::record_answering;
use super::endpoint_connections::{connect_timeout, open_connection, record_direct_outcome};
use super::in_flight::{AttemptOutcome, InFlightAttempt};
use super::shared::Shared;
use super::statements::record_statements;
use super::transfers::PartTransfers;
use crate::border::{AnswerHead, CallHead, OutgoingCall};
use crate::decide::placement::Placement;
use crate::decide::room_lending::LoanEnd;
use crate::observe::Event;
use crate::site::{AllowedZones, CallAttribute, CallAttributes, EngineSpec};

/// Maximum idle time of a pooled connection that a non-repeatable call is sent on. If the endpoint
/// closes the connection at that moment, it is unknown whether the call has run.
const MAX_IDLE_NON_REPEATABLE: Duration = Duration::from_millis(2_500);

/// Maximum idle time of a pooled connection that a repeatable call is sent on.
const MAX_IDLE_REPEATABLE: Duration = Duration::from_millis(8_000);

/// Maximum number of connections that are opened until one stays open after the endpoint has
/// reported its start. Endpoints close some connections after an answer.
const MAX_START_QUERIES: u32 = 3;

/// A call with everything that is the same for all of its attempts.
pub(crate) struct Call {
    /// Head of the call as the caller sent it.
    pub(crate) head: CallHead,
    pub(crate) method: Method,
    /// Path and query of the caller's request.
    pub(crate) uri: Uri,
    /// Headers of the caller's request.
    pub(crate) headers: HeaderMap,
    /// Complete body of the caller's request.
    pub(crate) body: Bytes,
    /// What the call may have in common with others that crash endpoints.
    pub(crate) attributes: CallAttributes,
    /// Workspace of the caller, if the call belongs to one.
    pub(crate) workspace: Option<WorkspaceId>,
    /// Priority in the endpoint's queue; 0 is first.
    pub(crate) priority: u8,
    /// Time by which the answer must be complete.
    pub(crate) deadline: Instant,
    /// Whether the call may run more than once.
    pub(crate) may_repeat: bool,
    /// Properties of the engines of its service, if the service has engines.
    pub(crate) engine: Option<EngineSpec>,
    /// Zones in which the call may run and in whose stores parts of its prompt may be saved.
    pub(crate) allowed_zones: AllowedZones,
}

/// An answer whose head has been received and accepted.
pub(crate) struct OpenedAnswer {
    pub(crate) parts: response::Parts,
    /// Rest of the answer, not yet read.
    pub(crate) body: TrackedBody,
    /// Connection that the body is read from.
    pub(crate) connection: Connection,
    /// Counts the attempt as load of its endpoint until the answer has ended.
    pub(crate) in_flight: InFlightAttempt,
    /// Where the call was sent.
    pub(crate) placement: Placement,
}

impl OpenedAnswer {
    /// Returns how the end of the answer is recognised.
    pub(crate) fn framing(&self, call: &Call) -> AnswerFraming {
        AnswerFraming::of(&call.method, self.parts.status, &self.parts.headers)
    }
}

/// Reason why an attempt brought no answer that can be passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FailureKind {
    /// No byte of the call was sent.
    NotSent,
    /// The endpoint stopped accepting calls after the call was placed there; no byte of the call
    /// was sent.
    NotAdmitted,
    /// The endpoint is brittle, and no room was lent for the call; no byte of it was sent.
    NoRoom,
    /// This process is about to exit; no byte of the call was sent.
    Draining,
    /// The endpoint answered that it didn't run the call.
    NotRun,
    /// Another endpoint, or one with other weights, is at that address; it didn't run the call.
    Misdirected,
    /// The connection broke; the call may have run.
    Lost,
    /// No answer arrived in time; the call may have run.
    Timeout,
    /// This process is about to exit; the call may have run.
    Exiting,
    /// The answer doesn't belong to the call or isn't valid; the call may have run.
    InvalidAnswer,
    /// The endpoint failed; the call has run.
    EndpointFailed,
    /// The attempt was cancelled because endpoints crash under this request; the call may have run.
    RequestBlocked,
    /// The attempt was cancelled because endpoints crash under a part of its prompt; the call may
    /// have run.
    PartBlocked,
}

impl FailureKind {
    /// Returns the failure of an attempt that is cancelled because `attribute` is blocked.
    pub(crate) const fn of_blocked(attribute: CallAttribute) -> Self {
        match attribute {
            CallAttribute::Request(_) => FailureKind::RequestBlocked,
            CallAttribute::PromptPart(_) => FailureKind::PartBlocked,
        }
    }

    /// Returns whether no byte of the call was sent.
    pub(crate) const fn is_unsent(self) -> bool {
        matches!(
            self,
            FailureKind::NotSent
                | FailureKind::NotAdmitted
                | FailureKind::NoRoom
                | FailureKind::Draining
        )
    }

    /// Returns whether the call certainly hasn't run.
    pub(crate) const fn is_not_run(self) -> bool {
        self.is_unsent() || matches!(self, FailureKind::NotRun | FailureKind::Misdirected)
    }

    /// Returns the code for the caller if this was the last attempt.
    pub(crate) const fn code(self) -> Code {
        match self {
            FailureKind::NotSent | FailureKind::NotAdmitted => Code::NoEndpoint,
            FailureKind::NoRoom => Code::EndpointsLimited,
            FailureKind::Draining => Code::Draining,
            FailureKind::NotRun | FailureKind::Misdirected => Code::EndpointRefused,
            FailureKind::Lost | FailureKind::EndpointFailed => Code::EndpointLost,
            FailureKind::Timeout | FailureKind::Exiting => Code::EndpointTimeout,
            FailureKind::InvalidAnswer => Code::EndpointNonsense,
            FailureKind::RequestBlocked => Code::RequestBlocked,
            FailureKind::PartBlocked => Code::PromptPartBlocked,
        }
    }

    /// Returns the label for logs and metrics.
    pub(crate) const fn label(self) -> &'static str {
        match self {
            FailureKind::NotSent => "not_sent",
            FailureKind::NotAdmitted => "not_admitted",
            FailureKind::NoRoom => "no_room",
            FailureKind::Draining => "draining",
            FailureKind::NotRun => "not_run",
            FailureKind::Misdirected => "misdirected",
            FailureKind::Lost => "lost",
            FailureKind::Timeout => "timeout",
            FailureKind::Exiting => "exiting",
            FailureKind::InvalidAnswer => "nonsense",
            FailureKind::EndpointFailed => "endpoint_failed",
            FailureKind::RequestBlocked => "blocked",
            FailureKind::PartBlocked => "part_blocked",
        }
    }
}

/// A failed attempt: its kind and a detail for the log.
#[derive(Clone, Debug)]
pub(crate) struct Failure {
    pub(crate) kind: FailureKind,
    pub(crate) detail: String,
}

impl Failure {
    pub(crate) fn new(kind: FailureKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
        }
    }

    /// Classifies an HTTP error by what it implies for the call.
    pub(crate) fn from_http_error(error: &HttpError) -> Self {
        let kind = match error.kind() {
            HttpErrorKind::NotSent => FailureKind::NotSent,
            HttpErrorKind::Timeout => FailureKind::Timeout,
            HttpErrorKind::Lost => FailureKind::Lost,
            HttpErrorKind::Malformed | HttpErrorKind::TooLarge => FailureKind::InvalidAnswer,
        };
        Self::new(kind, error.detail())
    }
}

/// Sends a call to the endpoint of a placement and waits for the head of its answer until
/// `deadline`.
///
/// Dropping the future closes the connection, which tells the endpoint to stop. If this is the last
/// attempt (`is_last`), a server error of the endpoint is passed on as it is.
pub(crate) async fn send_attempt(
    shared: &Arc<Shared>,
    call: &Call,
    placement: &Placement,
    resume_after: Option<u64>,
    is_last: bool,
    deadline: Instant,
) -> Result<OpenedAnswer, Failure> {
    let mut in_flight = InFlightAttempt::start(shared, placement);
    shared.suspects.lock().record_sent(&call.attributes);
    let started_at = shared.now();
    let result = exchange(
        shared,
        call,
        &mut in_flight,
        placement,
        resume_after,
        deadline,
    )
    .await;
    let (parts, body, connection) = match result {
        Ok(answer) => answer,
        Err(failure) => {
            record_failure(shared, placement, &in_flight, failure.kind);
            return Err(failure);
        }
    };
    let answer = shared.borders.calls.decode_answer(&parts);
    shared.record_answer_on(&placement.endpoint, &connection);
    record_answer(shared, call, placement, &answer);
    let checked = check_answer(call, &parts, &answer, connection.is_reused(), is_last);
    let is_for_this_call = !checked.as_ref().is_err_and(|failure| {
        matches!(
            failure.kind,
            FailureKind::Misdirected | FailureKind::InvalidAnswer
        )
    });
    record_statements(shared, &placement.endpoint, &answer, is_for_this_call);
    if is_for_this_call {
        record_answering(shared, &placement.endpoint, started_at);
    }
    match checked {
        Ok(()) => Ok(OpenedAnswer {
            parts,
            body,
            connection,
            in_flight,
            placement: placement.clone(),
        }),
        Err(failure) => {
            record_failure(shared, placement, &in_flight, failure.kind);
            record_misdirection(shared, placement, &answer, failure.kind);
            return_connection_after_refusal(
                shared,
                placement,
                &answer,
                failure.kind,
                body,
                connection,
            );
            Err(failure)
        }
    }
}

async fn exchange(
    shared: &Arc<Shared>,
    call: &Call,
    in_flight: &mut InFlightAttempt,
    placement: &Placement,
    resume_after: Option<u64>,
    deadline: Instant,
) -> Result<(response::Parts, TrackedBody, Connection), Failure> {
    let max_idle = match call.may_repeat {
        true => MAX_IDLE_REPEATABLE,
        false => MAX_IDLE_NON_REPEATABLE,
    };
    // If a pooled connection turns out to be closed, nothing was sent, and a new one is opened.
    let mut pooled = shared
        .checkout_connection(&placement.endpoint, max_idle)
        .await;
    loop {
        let ready = async {
            let (connection, is_pooled) = match pooled.take() {
                Some(connection) => (connection, true),
                None => (connect(shared, placement, deadline).await?, false),
            };
            in_flight.borrow_room(placement, call.deadline).await?;
            Ok((connection, is_pooled))
        };
        let ready = shared.drain.until_exit(ready).await;
        let ready = ready.filter(|_| !shared.drain.is_exiting());
        let exiting = || Failure::new(FailureKind::Draining, "the process is about to exit");
        let (mut connection, is_pooled) = ready.ok_or_else(exiting)??;
        let how = match (is_pooled, connection.forwarder()) {
            (true, _) => "reused",
            (false, None) => "opened",
            (false, Some(_)) => "forwarded",
        };
        shared.metrics.connections.with_label_values(&[how]).inc();
        if !is_admitted(shared, placement) {
            let detail = "the endpoint no longer accepts calls";
            return Err(Failure::new(FailureKind::NotAdmitted, detail));
        }
        if !may_use_weights(shared, call, placement) {
            let detail = "its weights went out of use";
            return Err(Failure::new(FailureKind::NotAdmitted, detail));
        }
        let request = build_request(shared, call, placement, resume_after);
        in_flight.record_sent();
        match timeout_at(deadline, connection.send(request)).await {
            Ok(Ok(response)) => {
                if !is_pooled && connection.forwarder().is_none() {
                    record_direct_outcome(shared, &placement.endpoint, true);
                }
                let (parts, body) = response.into_parts();
                return Ok((parts, body, connection));
            }
            Ok(Err(error)) if is_pooled && error.kind() == HttpErrorKind::NotSent => {}
            Ok(Err(error)) => {
                if !is_pooled && connection.forwarder().is_none() {
                    record_direct_outcome(shared, &placement.endpoint, false);
                }
                return Err(Failure::from_http_error(&error));
            }
            Err(_) => return Err(Failure::new(FailureKind::Timeout, "no head in time")),
        }
    }
}

fn is_admitted(shared: &Shared, placement: &Placement) -> bool {
    let mut endpoints = shared.endpoints.lock();
    let (endpoint, permits) = (&placement.endpoint, placement.permits);
    match placement.is_leaving {
        true => endpoints.try_admit_resumed(endpoint, permits, shared.now()),
        false => endpoints.try_admit(endpoint, permits, shared.now()),
    }
}

/// Returns whether a call may still be sent to an endpoint with the weights that it was placed at. A
/// connection may take a second to open.
fn may_use_weights(shared: &Shared, call: &Call, placement: &Placement) -> bool {
    let (Some(prompt), Some(weights)) = (&call.head.prompt, placement.weights) else {
        return true;
    };
    let wanted = shared.site.wanted_versions(&prompt.model);
    wanted.is_none_or(|wanted| wanted.may_dispatch(weights, shared.now()))
}

async fn connect(
    shared: &Arc<Shared>,
    placement: &Placement,
    deadline: Instant,
) -> Result<Connection, Failure> {
    let must_verify_start = shared
        .endpoints
        .lock()
        .must_verify_start(&placement.endpoint);
    let opened = match must_verify_start {
        true => connect_and_query_start(shared, placement, deadline).await,
        false => open_connection(shared, &placement.endpoint, deadline).await,
    };
    opened.map_err(|error| {
        let label = ["failed"];
        shared.metrics.connections.with_label_values(&label).inc();
        // Only the query for the endpoint's start may have been sent, nothing of the call itself.
        Failure::new(FailureKind::NotSent, error.detail())
    })
}

/// Opens a connection and asks on it for the start of the process at the other end.
///
/// A process that has restarted without its registration having been read is then known to be cold
/// before a call reaches it.
async fn connect_and_query_start(
    shared: &Arc<Shared>,
    placement: &Placement,
    deadline: Instant,
) -> Result<Connection, HttpError> {
    let engines = &shared.borders.engines;
    for _ in 0..MAX_START_QUERIES {
        let mut connection = open_connection(shared, &placement.endpoint, deadline).await?;
        let (id, timeout) = (&placement.endpoint.id, connect_timeout(deadline));
        let start = engines.fetch_start(id, &mut connection, timeout).await?;
        let now = shared.now();
        let is_new = {
            let mut endpoints = shared.endpoints.lock();
            endpoints.record_seen_start(&placement.endpoint, start, now)
        };
        if is_new {
            shared.log.write(&Event::EndpointRestartSeen {
                endpoint: placement.endpoint.to_string(),
                start_unix_ms: start.map(EndpointStart::unix_ms),
            });
        }
        if connection.ready().await {
            return Ok(connection);
        }
    }
    let detail = "the endpoint closes the connection after each answer";
    Err(HttpError::new(HttpErrorKind::NotSent, detail))
}

/// Builds the request. Its remaining time is computed here, right before it is sent.
fn build_request(
    shared: &Shared,
    call: &Call,
    placement: &Placement,
    resume_after: Option<u64>,
) -> Request<Bytes> {
    let left = call.deadline.saturating_duration_since(Instant::now());
    let transfers = PartTransfers::plan(shared, call, placement);
    transfers.log_stale_fetch(shared, call, placement);
    let outgoing = OutgoingCall {
        endpoint: placement.endpoint.id.clone(),
        deadline_us: DurationUs::from(left),
        workspace: call.workspace.clone(),
        priority: call.head.prompt.is_some().then_some(call.priority),
        weights: placement.weights,
        cache_scope: placement.cache_scope.clone(),
        fetch_from: transfers.fetch_from,
        save_to: transfers.save_to,
        fetch_deadline_ms: transfers.fetch_deadline_ms,
        resume_after,
    };
    let mut request = Request::new(call.body.clone());
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = shared
        .borders
        .calls
        .endpoint_headers(&call.headers, &outgoing);
    request
}

/// Checks whether an answer may be passed on to the caller. `is_reused` says whether its connection has
/// carried another request before.
fn check_answer(
    call: &Call,
    parts: &response::Parts,
    answer: &AnswerHead,
    is_reused: bool,
    is_last: bool,
) -> Result<(), Failure> {
    let echoed = answer.request_id.as_ref();
    if echoed.is_some_and(|id| *id != call.head.request_id) {
        // This is the late answer to an earlier request on the same connection. What became of this
        // request is unknown, and the connection must not be used again.
        return Err(Failure::new(
            FailureKind::InvalidAnswer,
            "the answer has the id of another request",
        ));
    }
    if echoed.is_none() && is_reused {
        // It may be a late answer to an earlier request. As the refusal of this one, it would let a
        // request that runs here be sent to another endpoint.
        return Err(Failure::new(
            FailureKind::InvalidAnswer,
            "no request id on a connection that was used before",
        ));
    }
    if parts.status == StatusCode::MISDIRECTED_REQUEST {
        return Err(Failure::new(
            FailureKind::Misdirected,
            "another endpoint or other weights are at this address",
        ));
    }
    let is_not_run_status = matches!(parts.status.as_u16(), 408 | 429 | 503);
    if answer.is_not_run && is_not_run_status {
        return Err(Failure::new(FailureKind::NotRun, parts.status.to_string()));
    }
    if is_not_run_status {
        // A caller reads this status as a guarantee that the call hasn't run, which the endpoint
        // doesn't give.
        return Err(Failure::new(
            FailureKind::EndpointFailed,
            parts.status.to_string(),
        ));
    }
    if parts.status.is_server_error() && !is_last {
        return Err(Failure::new(
            FailureKind::EndpointFailed,
            parts.status.to_string(),
        ));
    }
    let is_not_endpoint_answer =
        echoed.is_none() || !answer.is_stamped || parts.headers.contains_key(CONTENT_ENCODING);
    if parts.status.is_success() && is_not_endpoint_answer {
        return Err(Failure::new(
            FailureKind::InvalidAnswer,
            "no request id, no stamp or a content encoding: not the endpoint's own answer",
        ));
    }
    Ok(())
}

fn record_answer(shared: &Shared, call: &Call, placement: &Placement, answer: &AnswerHead) {
    let now = shared.now();
    let mut endpoints = shared.endpoints.lock();
    if let (Some(prompt), Some(weights)) = (&call.head.prompt, answer.weights) {
        endpoints.record_weights(&placement.endpoint, &prompt.model, weights);
    }
    if let (Some(row), Some(load)) = (endpoints.get_mut(&placement.endpoint), answer.load) {
        row.reported_load = Some(Box::new((load, now)));
    }
}

/// Time for which an endpoint that refused a call gets no further requests, unless there is no
/// other endpoint.
const REFUSAL_BACKOFF_US: DurationUs = DurationUs::from_ms(120);

fn record_failure(
    shared: &Shared,
    placement: &Placement,
    in_flight: &InFlightAttempt,
    kind: FailureKind,
) {
    shared
        .metrics
        .attempts
        .with_label_values(&[kind.label()])
        .inc();
    match kind {
        FailureKind::NotSent => in_flight.finish(AttemptOutcome::Unreachable),
        // Says nothing about the state of the endpoint.
        FailureKind::NotAdmitted | FailureKind::NoRoom | FailureKind::Draining => {}
        FailureKind::NotRun | FailureKind::Misdirected => {
            in_flight.set_room_end(match kind {
                FailureKind::NotRun => LoanEnd::Refused,
                _ => LoanEnd::Finished,
            });
            let reserved_until: TimeUs = shared.now() + REFUSAL_BACKOFF_US;
            let mut endpoints = shared.endpoints.lock();
            if let Some(row) = endpoints.get_mut(&placement.endpoint) {
                row.reserved_until_us = row.reserved_until_us.max(reserved_until);
            }
        }
        FailureKind::EndpointFailed => {
            in_flight.set_room_end(LoanEnd::Finished);
            in_flight.finish(AttemptOutcome::Failed);
        }
        _ => in_flight.finish(AttemptOutcome::Failed),
    }
}

/// Records which endpoint answered at an address if it refused a call that was meant for another
/// one.
fn record_misdirection(
    shared: &Shared,
    placement: &Placement,
    answer: &AnswerHead,
    kind: FailureKind,
) {
    let Some(found) = answer.endpoint.as_ref() else {
        return;
    };
    if kind != FailureKind::Misdirected {
        return;
    }
    let change = {
        let mut endpoints = shared.endpoints.lock();
        endpoints.record_misdirection(&placement.endpoint, found)
    };
    if change.is_some() {
        // Other daemons would otherwise learn it only from a refused call of their own.
        shared.peers.wake_sender.notify_one();
    }
    shared.record_endpoint_changes(change.into_iter().collect(), 0);
}

/// Returns the connection of an endpoint that refused a call to the pool if its answer has no body
/// left to read.
fn return_connection_after_refusal(
    shared: &Arc<Shared>,
    placement: &Placement,
    answer: &AnswerHead,
    kind: FailureKind,
    body: TrackedBody,
    connection: Connection,
) {
    use hyper::body::Body as _;
    if kind == FailureKind::NotRun && !answer.is_closing && body.is_end_stream() {
        shared.return_connection(&placement.endpoint, connection);
    }
}
