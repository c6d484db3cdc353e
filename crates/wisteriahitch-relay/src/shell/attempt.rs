//! One attempt at a call, up to the head of the endpoint's answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, Uri, response};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};
use wisteriahitch_types::{Code, DurationUs, EndpointStart, TimeUs, WorkspaceId};
use wisteriahitch_wire::connection_pool::Connection;
use wisteriahitch_wire::http_client::{HttpError, HttpErrorKind};

use super::in_flight::{AttemptOutcome, InFlightAttempt};
use super::shared::Shared;
use super::statements::record_statements;
use super::transfers::Transfers;
use crate::border::{AnswerHead, CallHead, OutgoingCall};
use crate::decide::placement::Placement;
use crate::observe::Event;
use crate::site::{AllowedZones, EngineSpec, RequestFingerprint};

/// Longest wait for a connection to an endpoint. One takes some milliseconds; an opening packet
/// that is lost is sent again after a second, and another endpoint is there sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest time for which a kept connection was idle that a call which may run only once is sent
/// on. If the endpoint closes it just then, nobody knows whether the call has run.
const MAX_IDLE_ONCE: Duration = Duration::from_millis(2_500);

/// The same for calls that may be repeated.
const MAX_IDLE_REPEATABLE: Duration = Duration::from_millis(8_000);

/// Connections that are opened at most until one stays open after its endpoint has told its start. Endpoints close
/// some connections after an answer.
const MAX_START_QUESTIONS: u32 = 3;

/// What stays the same over all attempts at a call.
pub(crate) struct Call {
    /// What the caller says of it.
    pub(crate) head: CallHead,
    /// Method.
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) uri: Uri,
    /// The caller's headers.
    pub(crate) headers: HeaderMap,
    /// Whole body.
    pub(crate) body: Bytes,
    /// What stays the same when its caller repeats it.
    pub(crate) fingerprint: RequestFingerprint,
    /// Workspace.
    pub(crate) workspace: Option<WorkspaceId>,
    /// Rank in the endpoint's queue.
    pub(crate) priority: u8,
    /// When the answer must be there.
    pub(crate) due: Instant,
    /// Whether it may run more than once.
    pub(crate) may_repeat: bool,
    /// What the engines of its service are, if it has engines.
    pub(crate) engine: Option<EngineSpec>,
    /// Zones in which it may run, and to whose stores parts of its prompt may be saved.
    pub(crate) allowed_zones: AllowedZones,
}

/// An answer whose head has come.
pub(crate) struct Opened {
    pub(crate) parts: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) connection: Connection,
    pub(crate) flight: InFlightAttempt,
    /// Where it runs.
    pub(crate) placement: Placement,
}

/// Says what is known of an attempt that brought no answer to pass on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FailureKind {
    /// No byte of it left.
    NotSent,
    /// Its endpoint may get nothing more since it was placed there; no byte of it left.
    NotAdmitted,
    /// The endpoint says that it didn't run it.
    NotRun,
    /// Another endpoint, or other weights, are at that address; it wasn't run.
    Misdirected,
    /// The connection broke; it may have run.
    Lost,
    /// No answer came in time; it may have run.
    Timeout,
    /// The answer is no answer to it; it may have run.
    Nonsense,
    /// The endpoint failed; it has run.
    EndpointFailed,
    /// It was taken back, since endpoints crash under it; it may have run.
    Blocked,
}

impl FailureKind {
    /// Returns whether no byte of the call left.
    pub(crate) const fn is_unsent(self) -> bool {
        matches!(self, FailureKind::NotSent | FailureKind::NotAdmitted)
    }

    /// Returns whether the call certainly has not run.
    pub(crate) const fn is_not_run(self) -> bool {
        self.is_unsent() || matches!(self, FailureKind::NotRun | FailureKind::Misdirected)
    }

    /// Returns the code for a caller where this was the last attempt.
    pub(crate) const fn code(self) -> Code {
        match self {
            FailureKind::NotSent | FailureKind::NotAdmitted => Code::NoEndpoint,
            FailureKind::NotRun | FailureKind::Misdirected => Code::EndpointRefused,
            FailureKind::Lost | FailureKind::EndpointFailed => Code::EndpointLost,
            FailureKind::Timeout => Code::EndpointTimeout,
            FailureKind::Nonsense => Code::EndpointNonsense,
            FailureKind::Blocked => Code::RequestBlocked,
        }
    }

    /// Returns the word for logs and metrics.
    pub(crate) const fn label(self) -> &'static str {
        match self {
            FailureKind::NotSent => "not_sent",
            FailureKind::NotAdmitted => "not_admitted",
            FailureKind::NotRun => "not_run",
            FailureKind::Misdirected => "misdirected",
            FailureKind::Lost => "lost",
            FailureKind::Timeout => "timeout",
            FailureKind::Nonsense => "nonsense",
            FailureKind::EndpointFailed => "endpoint_failed",
            FailureKind::Blocked => "blocked",
        }
    }
}

/// A failed attempt.
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

    /// Sorts a failed exchange by what may be concluded about the call.
    pub(crate) fn of_exchange(error: &HttpError) -> Self {
        let kind = match error.kind() {
            HttpErrorKind::NotSent => FailureKind::NotSent,
            HttpErrorKind::Timeout => FailureKind::Timeout,
            HttpErrorKind::Lost => FailureKind::Lost,
            HttpErrorKind::Malformed | HttpErrorKind::TooLarge => FailureKind::Nonsense,
        };
        Self::new(kind, error.detail())
    }
}

/// Sends a call to the endpoint of a placement and waits for the head of its answer until `until`.
///
/// Dropping the future closes the connection, which is what tells the endpoint to stop. Of the last
/// attempt (`is_last`) an endpoint's failure is passed on as it is.
pub(crate) async fn open(
    shared: &Arc<Shared>,
    call: &Call,
    placement: &Placement,
    resume_after: Option<u64>,
    is_last: bool,
    until: Instant,
) -> Result<Opened, Failure> {
    let flight = InFlightAttempt::start(shared, placement, call.head.prompt.as_ref());
    let result = exchange(shared, call, placement, resume_after, until).await;
    let (parts, body, connection) = match result {
        Ok(answer) => answer,
        Err(failure) => {
            note_failure(shared, placement, &flight, failure.kind);
            return Err(failure);
        }
    };
    let answer = shared.borders.calls.answer(&parts);
    note_answer(shared, call, placement, &answer);
    let checked = check_answer(call, &parts, &answer, is_last);
    let is_to_the_call = !checked.as_ref().is_err_and(|failure| {
        matches!(
            failure.kind,
            FailureKind::Misdirected | FailureKind::Nonsense
        )
    });
    record_statements(shared, &placement.endpoint, &answer, is_to_the_call);
    match checked {
        Ok(()) => Ok(Opened {
            parts,
            body,
            connection,
            flight,
            placement: placement.clone(),
        }),
        Err(failure) => {
            note_failure(shared, placement, &flight, failure.kind);
            note_misdirection(shared, placement, &answer, failure.kind);
            keep_after_refusal(shared, placement, &answer, failure.kind, body, connection);
            Err(failure)
        }
    }
}

async fn exchange(
    shared: &Shared,
    call: &Call,
    placement: &Placement,
    resume_after: Option<u64>,
    until: Instant,
) -> Result<(response::Parts, Incoming, Connection), Failure> {
    let max_idle = match call.may_repeat {
        true => MAX_IDLE_REPEATABLE,
        false => MAX_IDLE_ONCE,
    };
    // A kept connection that had closed tells that nothing left, and a new one is opened.
    let mut kept = shared.pool.take(&placement.endpoint, max_idle).await;
    loop {
        let (mut connection, is_kept) = match kept.take() {
            Some(connection) => (connection, true),
            None => (connect(shared, placement, until).await?, false),
        };
        let how = if is_kept { "reused" } else { "opened" };
        shared.metrics.connections.with_label_values(&[how]).inc();
        if !is_admitted(shared, placement) {
            let detail = "the endpoint may get nothing more";
            return Err(Failure::new(FailureKind::NotAdmitted, detail));
        }
        let request = build_request(shared, call, placement, resume_after);
        match timeout_at(until, connection.send(request)).await {
            Ok(Ok(response)) => {
                let (parts, body) = response.into_parts();
                return Ok((parts, body, connection));
            }
            Ok(Err(error)) if is_kept && error.kind() == HttpErrorKind::NotSent => {}
            Ok(Err(error)) => return Err(Failure::of_exchange(&error)),
            Err(_) => return Err(Failure::new(FailureKind::Timeout, "no head of an answer")),
        }
    }
}

fn is_admitted(shared: &Shared, placement: &Placement) -> bool {
    let mut endpoints = shared.endpoints.lock();
    endpoints.admits(&placement.endpoint, placement.permits, shared.now())
}

async fn connect(
    shared: &Shared,
    placement: &Placement,
    until: Instant,
) -> Result<Connection, Failure> {
    let needs_start = shared.endpoints.lock().needs_start(&placement.endpoint);
    let opened = match needs_start {
        true => connect_to_start(shared, placement, until).await,
        false => Connection::open(placement.address, connect_wait(until)).await,
    };
    opened.map_err(|error| {
        let label = ["failed"];
        shared.metrics.connections.with_label_values(&label).inc();
        // Nothing of the call has left, whatever became of the question before it.
        Failure::new(FailureKind::NotSent, error.detail())
    })
}

fn connect_wait(until: Instant) -> Duration {
    let left = until.saturating_duration_since(Instant::now());
    left.min(CONNECT_TIMEOUT)
}

/// Opens a connection and asks on it which process is at its other end, so that one which has started again unread is
/// known to be cold before a call reaches it.
async fn connect_to_start(
    shared: &Shared,
    placement: &Placement,
    until: Instant,
) -> Result<Connection, HttpError> {
    let engines = &shared.borders.engines;
    for _ in 0..MAX_START_QUESTIONS {
        let mut connection = Connection::open(placement.address, connect_wait(until)).await?;
        let (id, wait) = (&placement.endpoint.id, connect_wait(until));
        let start = engines.start(id, &mut connection, wait).await?;
        let now = shared.now();
        let is_new = {
            let mut endpoints = shared.endpoints.lock();
            endpoints.saw_start(&placement.endpoint, start, now)
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
    let detail = "the connection is closed after each answer";
    Err(HttpError::new(HttpErrorKind::NotSent, detail))
}

/// Builds the message; the time that is left is taken now, when its bytes leave.
fn build_request(
    shared: &Shared,
    call: &Call,
    placement: &Placement,
    resume_after: Option<u64>,
) -> Request<Bytes> {
    let left = call.due.saturating_duration_since(Instant::now());
    let transfers = Transfers::plan(shared, call, placement);
    let outgoing = OutgoingCall {
        endpoint: placement.endpoint.id.clone(),
        deadline_us: DurationUs::from(left),
        workspace: call.workspace.clone(),
        priority: call.head.prompt.is_some().then_some(call.priority),
        weights: placement.weights,
        cache_scope: placement.cache_scope.clone(),
        fetch_from: transfers.fetch_from,
        save_to: transfers.save_to,
        fetch_until_ms: transfers.until_ms,
        resume_after,
    };
    let mut request = Request::new(call.body.clone());
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = shared.borders.calls.outgoing(&call.headers, &outgoing);
    request
}

/// Decides whether an answer may be passed on.
fn check_answer(
    call: &Call,
    parts: &response::Parts,
    answer: &AnswerHead,
    is_last: bool,
) -> Result<(), Failure> {
    let echoed = answer.request_id.as_ref();
    if echoed.is_some_and(|id| *id != call.head.request_id) {
        // The late answer to an earlier request on this connection: what became of this request
        // isn't known, and the connection must not be used again.
        return Err(Failure::new(
            FailureKind::Nonsense,
            "answer to another request",
        ));
    }
    if parts.status == StatusCode::MISDIRECTED_REQUEST {
        return Err(Failure::new(
            FailureKind::Misdirected,
            "another endpoint or other weights",
        ));
    }
    let is_promise = matches!(parts.status.as_u16(), 408 | 429 | 503);
    if answer.is_not_run && is_promise {
        return Err(Failure::new(FailureKind::NotRun, parts.status.to_string()));
    }
    if is_promise {
        // A caller would read this status as a promise that the call has not run. The endpoint
        // doesn't promise it.
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
    let is_foreign = echoed.is_none() || parts.headers.contains_key(http::header::CONTENT_ENCODING);
    if parts.status.is_success() && is_foreign {
        return Err(Failure::new(
            FailureKind::Nonsense,
            "not the endpoint's own answer",
        ));
    }
    Ok(())
}

fn note_answer(shared: &Shared, call: &Call, placement: &Placement, answer: &AnswerHead) {
    let now = shared.now();
    let mut endpoints = shared.endpoints.lock();
    if let (Some(prompt), Some(weights)) = (&call.head.prompt, answer.weights) {
        endpoints.saw_weights(&placement.endpoint, &prompt.model, weights);
    }
    if let (Some(row), Some(load)) = (endpoints.get_mut(&placement.endpoint), answer.load) {
        row.told = Some((load, now));
    }
}

/// Time for which an endpoint that refused gets no further requests, unless there is no other.
const AFTER_REFUSAL_US: DurationUs = DurationUs::from_ms(120);

fn note_failure(
    shared: &Shared,
    placement: &Placement,
    flight: &InFlightAttempt,
    kind: FailureKind,
) {
    shared
        .metrics
        .attempts
        .with_label_values(&[kind.label()])
        .inc();
    match kind {
        FailureKind::NotSent => flight.finish(AttemptOutcome::Unreachable),
        // It tells nothing of the endpoint.
        FailureKind::NotAdmitted => {}
        FailureKind::NotRun | FailureKind::Misdirected => {
            let until: TimeUs = shared.now() + AFTER_REFUSAL_US;
            let mut endpoints = shared.endpoints.lock();
            if let Some(row) = endpoints.get_mut(&placement.endpoint) {
                row.reserved_until_us = row.reserved_until_us.max(until);
            }
        }
        _ => flight.finish(AttemptOutcome::Failed),
    }
}

/// Notes who is at an endpoint's address, where a refusal tells that it is another one.
fn note_misdirection(
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
        endpoints.misdirected(&placement.endpoint, found)
    };
    if change.is_some() {
        // The others would find out by a refused call each.
        shared.peers.wake_sender.notify_one();
    }
    shared.note_changes(change.into_iter().collect(), 0);
}

/// Keeps the connection of an endpoint that refused, whose answer is short.
fn keep_after_refusal(
    shared: &Arc<Shared>,
    placement: &Placement,
    answer: &AnswerHead,
    kind: FailureKind,
    body: Incoming,
    connection: Connection,
) {
    use hyper::body::Body as _;
    if kind == FailureKind::NotRun && !answer.is_closing && body.is_end_stream() {
        shared.pool.put(&placement.endpoint, connection);
    }
}
