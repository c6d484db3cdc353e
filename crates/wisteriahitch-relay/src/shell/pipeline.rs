//! The way of a call: route, workspace, placement, attempts.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{CONNECTION, HeaderValue};
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout_at};
use wisteriahitch_types::{Code, DurationUs, EndpointId, ServiceName};

use super::answer_body::AnswerBody;
use super::attempt::{Call, Failure, FailureKind, Opened, open};
use super::flight::Landing;
use super::server::{Answers, ConnectionLimits};
use super::shared::Shared;
use super::stream_body::{StreamStart, stream};
use super::trace::CallTrace;
use crate::border::Refusal;
use crate::decide::placement::{Placement, PlacementRequest, place};
use crate::observe::Event;
use crate::site::{CallKind, Route, SiteConfig, Workspace};

/// Largest answer that is taken in whole before it is passed on. What is not yet passed on can
/// still be asked for again where it breaks.
const WHOLE_ANSWER_BYTES: u64 = 256 * 1024;

/// Endpoints that one call tries to connect to; an attempt that sends nothing costs an endpoint
/// nothing, but the caller waits.
const MAX_CONNECTS: u32 = 4;

/// Time that the first attempt at a repeatable call gets, in multiples of its target, while another
/// attempt is left.
const FIRST_ATTEMPT_TARGETS: f64 = 2.5;

/// Least part of the time left that an attempt gets.
const MIN_ATTEMPT_SHARE: f64 = 0.35;

/// When a caller may come back to a daemon that knows too little yet.
const NOT_READY_RETRY_US: DurationUs = DurationUs::from_ms(300);

/// When a caller may come back after endpoints refused its call.
const REFUSED_RETRY_US: DurationUs = DurationUs::from_ms(250);

/// When a caller may come back to another daemon after this one has nearly left.
const DRAINING_RETRY_US: DurationUs = DurationUs::from_ms(20);

/// Gap after which callers give a stream up: the longest of two seconds, four times the target
/// and eight times the longest good pause.
fn patience(route: &Route) -> DurationUs {
    let targets = route.target_us.get().saturating_mul(4);
    let gaps = route.max_gap_us.get().saturating_mul(8);
    DurationUs::new(targets.max(gaps)).max(DurationUs::from_ms(2_000))
}

/// Answers callers.
pub(crate) struct CallerSide {
    pub(crate) shared: Arc<Shared>,
}

impl Answers for CallerSide {
    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<AnswerBody> {
        let shared = &self.shared;
        let mut response = answer(shared, request).await;
        if shared.drain.is_draining() {
            let headers = response.headers_mut();
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    fn limits(&self) -> ConnectionLimits {
        /// Bounds that hold until a configuration is known.
        const FIRST: ConnectionLimits = ConnectionLimits {
            header_bytes: 16_384,
            idle_timeout: Duration::from_secs(15),
        };
        self.shared
            .site
            .config()
            .map_or(FIRST, |config| ConnectionLimits {
                header_bytes: config.limits.header_bytes,
                idle_timeout: config.limits.idle_timeout,
            })
    }
}

async fn answer(shared: &Arc<Shared>, request: Request<Incoming>) -> Response<AnswerBody> {
    let mut trace = CallTrace::new(shared);
    match run(shared, request, &mut trace).await {
        Ok(Answered::Whole(response, status)) => {
            trace.first_event();
            trace.answered(status);
            response
        }
        Ok(Answered::Stream(start)) => {
            trace.first_event();
            stream(shared, *start, trace)
        }
        Err(refusal) => {
            trace.refused(&refusal);
            shared
                .borders
                .calls
                .refusal(&refusal)
                .map(AnswerBody::whole)
        }
    }
}

/// What a call gets.
enum Answered {
    Whole(Response<AnswerBody>, u16),
    Stream(Box<StreamStart>),
}

/// A call with what was decided about it before its first attempt.
pub(crate) struct Routed {
    pub(crate) call: Call,
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceName,
    pub(crate) workspace: Option<Arc<Workspace>>,
    /// Longest queue that the call joins.
    longest_queue_us: DurationUs,
    /// Endpoints that were tried.
    pub(crate) tried: Vec<EndpointId>,
    /// Attempts that an endpoint got to see.
    pub(crate) sent: u32,
    /// The body that `call` sends; counted as held for as long as it may be sent again.
    _body: HeldBody,
}

async fn run(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    trace: &mut CallTrace,
) -> Result<Answered, Refusal> {
    let (parts, body) = request.into_parts();
    let began = trace.began();
    let head = shared.borders.calls.call(&parts)?;
    trace.story().request = head.request_id.to_string();
    let config = shared.site.config();
    let config = config.ok_or(Refusal::new(Code::NotReady).retry_after(NOT_READY_RETRY_US))?;
    trace.story().config_version = config.version.get();
    let route = config.routes.find(&head.host, parts.uri.path()).cloned();
    let route = route.ok_or_else(|| unknown(shared, Code::UnknownPath))?;
    trace.story().route = route.name.to_string();
    trace.story().kind = route.kind.label();
    if !shared
        .drain
        .accepts(&shared.settings, route.kind == CallKind::Stream)
    {
        return Err(Refusal::new(Code::Draining).retry_after(DRAINING_RETRY_US));
    }
    let workspace = workspace_of(shared, &config, &route, head.key.as_deref())?;
    let deadline_us = head
        .deadline_us
        .unwrap_or(route.timeout_us)
        .min(route.timeout_us);
    trace.story().deadline_ms = deadline_us.as_ms();
    let due = began + Duration::from(deadline_us);
    let body = read_body(shared, body, config.limits.body_bytes, due).await?;
    let service = route.target(rand::random()).cloned();
    let service = service.ok_or(Refusal::new(Code::NoEndpoint))?;
    shared.budgets.request(&service);
    let workspace_rank = workspace.as_ref().and_then(|workspace| workspace.priority);
    let id = workspace.as_ref().map(|workspace| workspace.id.clone());
    trace.story().workspace = id.as_ref().map_or(String::new(), ToString::to_string);
    let priority = workspace_rank.unwrap_or(route.priority);
    let longest_queue_us = match route.kind {
        CallKind::Stream => config
            .urgency
            .longest_queue(&service, priority, route.target_us),
        _ => DurationUs::MAX,
    };
    let mut routed = Routed {
        call: Call {
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body: body.bytes.clone(),
            workspace: id,
            priority,
            due,
            may_repeat: route.may_repeat(),
            engine: config
                .services
                .get(&service)
                .and_then(|service| service.engine.clone()),
            head,
        },
        route,
        service,
        workspace,
        longest_queue_us,
        tried: Vec::new(),
        sent: 0,
        _body: body,
    };
    let answered = routed.run(shared, trace).await?;
    Ok(match answered {
        Attempted::Whole(response, status) => Answered::Whole(response, status),
        Attempted::Stream(first, opened) => Answered::Stream(Box::new(StreamStart {
            routed,
            opened: *opened,
            first,
        })),
    })
}

enum Attempted {
    Whole(Response<AnswerBody>, u16),
    Stream(Option<Bytes>, Box<Opened>),
}

/// Refuses what this daemon doesn't know.
///
/// While the store can't be reached a newer configuration may name the route or the key. A caller
/// that is told "unknown" doesn't come back; so it is asked to.
fn unknown(shared: &Shared, code: Code) -> Refusal {
    match shared.watches.is_fresh() {
        true => Refusal::new(code),
        false => Refusal::new(Code::NotReady).retry_after(NOT_READY_RETRY_US),
    }
}

/// Finds whose call it is; the key alone decides, whatever else the caller says of itself.
fn workspace_of(
    shared: &Shared,
    config: &SiteConfig,
    route: &Route,
    key: Option<&str>,
) -> Result<Option<Arc<Workspace>>, Refusal> {
    let Some(by_key) = &config.workspaces_by_key else {
        return Ok(None);
    };
    match key.and_then(|key| by_key.get(key)) {
        Some(workspace) => Ok(Some(Arc::clone(workspace))),
        None if route.is_public => Ok(None),
        None => Err(unknown(shared, Code::UnknownKey)),
    }
}

/// A request's body, counted as held until it is dropped.
struct HeldBody {
    shared: Arc<Shared>,
    bytes: Bytes,
    held: usize,
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.shared
            .body_bytes
            .fetch_sub(self.held, Ordering::Relaxed);
    }
}

async fn read_body(
    shared: &Arc<Shared>,
    mut body: Incoming,
    limit: usize,
    due: Instant,
) -> Result<HeldBody, Refusal> {
    let mut held = HeldBody {
        shared: Arc::clone(shared),
        bytes: Bytes::new(),
        held: 0,
    };
    if body.is_end_stream() {
        return Ok(held);
    }
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > limit {
        return Err(Refusal::new(Code::BodyTooLarge));
    }
    let mut gathered = BytesMut::new();
    loop {
        let frame = timeout_at(due, body.frame()).await;
        let frame = frame.map_err(|_| Refusal::new(Code::SlowSender))?;
        let Some(frame) = frame else { break };
        let frame = frame.map_err(|_| Refusal::new(Code::BadHttp))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if gathered.len() + data.len() > limit {
            return Err(Refusal::new(Code::BodyTooLarge));
        }
        if !shared.try_hold_body(data.len()) {
            return Err(Refusal::new(Code::StreamsFull).retry_after(NOT_READY_RETRY_US));
        }
        held.held += data.len();
        gathered.extend_from_slice(&data);
    }
    held.bytes = gathered.freeze();
    Ok(held)
}

impl Routed {
    async fn run(
        &mut self,
        shared: &Arc<Shared>,
        trace: &mut CallTrace,
    ) -> Result<Attempted, Refusal> {
        let mut connects = 0;
        let mut last: Option<FailureKind> = None;
        loop {
            let placement = match self.place(shared, None) {
                Ok(placement) => placement,
                Err(refusal) => return Err(self.final_refusal(refusal, last)),
            };
            trace.placed(&placement);
            let failure = match self.attempt(shared, &placement, trace).await {
                Ok(attempted) => return Ok(attempted),
                Err(failure) => failure,
            };
            self.tried.push(placement.endpoint.clone());
            connects += 1;
            let next = self.next(shared, failure.kind, connects);
            self.log_failure(shared, &placement, &failure, next);
            last = Some(worse(last, failure.kind));
            if next != "again" {
                let refusal = Refusal::new(failure.kind.code()).retry_after(REFUSED_RETRY_US);
                return Err(self.final_refusal(refusal, last));
            }
        }
    }

    /// Chooses an endpoint for the next attempt.
    pub(crate) fn place(
        &self,
        shared: &Shared,
        required_weights: Option<wisteriahitch_types::WeightNumber>,
    ) -> Result<Placement, Refusal> {
        let now = shared.now();
        let left = self.call.due.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(Refusal::new(Code::DeadlineUnreachable));
        }
        let prompt = self.call.head.prompt.as_ref();
        let is_stream = self.route.kind == CallKind::Stream;
        let patience_us = match is_stream {
            true => DurationUs::from(left).min(patience(&self.route)),
            false => DurationUs::from(left),
        };
        let wall = self
            .workspace
            .as_ref()
            .filter(|workspace| workspace.is_isolated);
        let (duration_us, memory_duration_us) = shared.durations.of(&self.service);
        let wanted = prompt.and_then(|prompt| shared.site.wanted(&prompt.model));
        let request = PlacementRequest {
            service: &self.service,
            engine: self.call.engine.as_ref(),
            prompt,
            wall: wall.map(|workspace| &workspace.id),
            zone: &shared.settings.zone,
            daemons: shared.peers.daemons(),
            duration_us,
            memory_duration_us,
            patience_us,
            longest_queue_us: self.longest_queue_us,
            excluded: &self.tried,
            required_weights,
            wanted_weights: wanted.as_ref(),
        };
        let endpoints = shared.endpoints.lock();
        let stores = shared.part_stores.lock();
        place(&endpoints, &stores, &request, now, &mut rand::rng())
    }

    async fn attempt(
        &mut self,
        shared: &Arc<Shared>,
        placement: &Placement,
        trace: &mut CallTrace,
    ) -> Result<Attempted, Failure> {
        let until = self.attempt_end(shared, placement);
        let resume_after = self.call.head.resume_after;
        let is_last = !self.may_go_on(shared);
        let opened = open(shared, &self.call, placement, resume_after, is_last, until).await;
        if !matches!(&opened, Err(failure) if failure.kind == FailureKind::NotSent) {
            self.sent += 1;
            trace.story().attempts = self.sent;
        }
        let opened = opened?;
        if self.route.kind == CallKind::Stream && opened.parts.status.is_success() {
            return self.first_event(shared, placement, opened, until).await;
        }
        let size = opened.body.size_hint().exact();
        if size.is_some_and(|size| size > WHOLE_ANSWER_BYTES) {
            return Ok(Attempted::Stream(None, Box::new(opened)));
        }
        self.whole_answer(shared, placement, opened, until).await
    }

    /// Returns when an attempt is given up.
    ///
    /// A repeatable call doesn't wait its whole time for an endpoint that doesn't answer, as long
    /// as it could still be sent to another one.
    fn attempt_end(&self, shared: &Shared, placement: &Placement) -> Instant {
        let due = self.call.due;
        if !self.may_go_on(shared) {
            return due;
        }
        let now = Instant::now();
        let left = due.saturating_duration_since(now);
        let target = Duration::from(self.route.target_us).mul_f64(FIRST_ATTEMPT_TARGETS);
        let wait = Duration::from(placement.expected_us) + target;
        due.min(now + wait.max(left.mul_f64(MIN_ATTEMPT_SHARE)))
    }

    /// Returns whether the call could be sent to another endpoint after the next attempt.
    fn may_go_on(&self, shared: &Shared) -> bool {
        self.call.may_repeat
            && self.sent + 1 < self.route.max_attempts
            && shared.budgets.left(&self.service) >= 1.0
    }

    async fn whole_answer(
        &self,
        shared: &Arc<Shared>,
        placement: &Placement,
        opened: Opened,
        until: Instant,
    ) -> Result<Attempted, Failure> {
        let Opened {
            parts,
            body,
            connection,
            flight,
            ..
        } = opened;
        let limit = wisteriahitch_types::ByteCount::new(WHOLE_ANSWER_BYTES);
        let whole = wisteriahitch_wire::http_client::read_body(body, limit);
        let bytes = match timeout_at(until, whole).await {
            Ok(Ok(bytes)) => bytes,
            Ok(Err(error)) => {
                flight.land(Landing::Failed);
                return Err(Failure::of_exchange(&error));
            }
            Err(_) => {
                flight.land(Landing::Failed);
                return Err(Failure::new(FailureKind::Timeout, "the answer isn't whole"));
            }
        };
        flight.land(match parts.status.is_server_error() {
            true => Landing::Failed,
            false => Landing::Good,
        });
        shared
            .metrics
            .attempts
            .with_label_values(&["answered"])
            .inc();
        keep_connection(shared, placement, &parts, connection);
        let status = parts.status.as_u16();
        let mut response = Response::new(AnswerBody::whole(bytes));
        *response.status_mut() = parts.status;
        *response.headers_mut() = shared.borders.calls.passed_back(&parts.headers);
        Ok(Attempted::Whole(response, status))
    }

    /// Waits for the first bytes of a stream before its head is passed on: until then a failure
    /// can still be told by a status of its own, and where it may be, the call sent elsewhere.
    async fn first_event(
        &self,
        shared: &Arc<Shared>,
        placement: &Placement,
        mut opened: Opened,
        until: Instant,
    ) -> Result<Attempted, Failure> {
        let frame = match timeout_at(until, opened.body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => {
                opened.flight.land(Landing::Failed);
                return Err(Failure::new(FailureKind::Lost, error.to_string()));
            }
            Ok(None) => {
                opened.flight.land(Landing::Failed);
                return Err(Failure::new(
                    FailureKind::Lost,
                    "the stream ended before an event",
                ));
            }
            Err(_) => {
                opened.flight.land(Landing::Failed);
                return Err(Failure::new(FailureKind::Timeout, "no first event"));
            }
        };
        opened
            .flight
            .has_read(placement, self.call.head.prompt.as_ref());
        shared
            .metrics
            .attempts
            .with_label_values(&["answered"])
            .inc();
        let first = frame.into_data().ok();
        Ok(Attempted::Stream(first, Box::new(opened)))
    }

    /// Decides what follows a failed attempt; `again` or the reason why there is no other.
    fn next(&self, shared: &Shared, kind: FailureKind, connects: u32) -> &'static str {
        if self.call.due <= Instant::now() {
            return "no_time_left";
        }
        if kind == FailureKind::NotSent {
            return if connects < MAX_CONNECTS {
                "again"
            } else {
                "too_many_connects"
            };
        }
        if !kind.is_not_run() && !self.call.may_repeat {
            return "may_have_run";
        }
        if self.sent >= self.route.max_attempts {
            return "attempts_used_up";
        }
        if !shared.budgets.try_take(&self.service) {
            shared.metrics.retries.with_label_values(&["no"]).inc();
            return "budget_used_up";
        }
        shared.metrics.retries.with_label_values(&["yes"]).inc();
        "again"
    }

    /// Makes a refusal true: where an attempt may have run, it can't say "not run".
    fn final_refusal(&self, refusal: Refusal, worst: Option<FailureKind>) -> Refusal {
        match worst {
            Some(kind) if !kind.is_not_run() => Refusal::new(kind.code()),
            _ => refusal,
        }
    }

    pub(crate) fn log_failure(
        &self,
        shared: &Shared,
        placement: &Placement,
        failure: &Failure,
        next: &'static str,
    ) {
        shared.log.write(&Event::AttemptFailed {
            request: self.call.head.request_id.to_string(),
            endpoint: placement.endpoint.to_string(),
            attempt: self.sent,
            reason: failure.kind.label(),
            detail: failure.detail.clone(),
            may_have_run: !failure.kind.is_not_run(),
            next,
            budget_left: shared.budgets.left(&self.service),
        });
    }
}

/// Returns which of two failures says less about what hasn't run.
fn worse(known: Option<FailureKind>, new: FailureKind) -> FailureKind {
    match known {
        Some(known) if !known.is_not_run() => known,
        _ => new,
    }
}

/// Keeps a connection whose answer was read to its end, unless the endpoint closes it.
pub(crate) fn keep_connection(
    shared: &Shared,
    placement: &Placement,
    parts: &http::response::Parts,
    mut connection: wisteriahitch_wire::connection_pool::Connection,
) {
    let answer = shared.borders.calls.answer(parts);
    if answer.is_closing {
        return;
    }
    if let Some(keep) = answer.keep {
        connection.set_keep(keep);
    }
    shared.pool.put(&placement.endpoint, connection);
}
