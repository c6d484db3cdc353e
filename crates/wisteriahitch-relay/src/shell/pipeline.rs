//! The way of a call up to its first attempt: route, workspace, body.

use std::sync::Arc;
use std::time::Duration;

use http::header::{CONNECTION, HeaderValue};
use http::{Request, Response};
use hyper::body::Incoming;
use wisteriahitch_types::{Code, DurationUs};
use wisteriahitch_wire::object_store::ObjectRole;

use super::answer_body::AnswerBody;
use super::attempt::Call;
use super::request_body::read_body;
use super::routed::{Attempted, Routed};
use super::server::{Answers, ConnectionLimits};
use super::shared::Shared;
use super::stream_body::{StreamStart, stream};
use super::trace::CallTrace;
use crate::border::Refusal;
use crate::site::{AllowedZones, CallKind, RequestFingerprint, Route, SiteConfig, Workspace};

/// When a caller may come back to a daemon that knows too little yet.
const NOT_READY_RETRY_US: DurationUs = DurationUs::from_ms(300);

/// When a caller may come back to another daemon after this one has nearly left.
const DRAINING_RETRY_US: DurationUs = DurationUs::from_ms(20);

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
    trace.story().config_age_ms = shared
        .watches
        .age_ms(ObjectRole::Configuration, shared.now());
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
    let id = workspace.as_ref().map(|workspace| workspace.id.clone());
    let fingerprint = RequestFingerprint::of(id.as_ref(), parts.uri.path(), &body.bytes);
    check_blocked(shared, fingerprint, trace)?;
    let service = route.pick_service(rand::random()).cloned();
    let service = service.ok_or(Refusal::new(Code::NoEndpoint))?;
    shared.budgets.request(&service);
    let workspace_rank = workspace.as_ref().and_then(|workspace| workspace.priority);
    trace.story().workspace = id.as_ref().map_or(String::new(), ToString::to_string);
    let priority = workspace_rank.unwrap_or(route.priority);
    let longest_queue_us = match route.kind {
        CallKind::Stream => config
            .urgency
            .longest_queue(&service, priority, route.latency_slo_us),
        _ => DurationUs::MAX,
    };
    let mut routed = Routed {
        call: Call {
            fingerprint,
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body: body.bytes.clone(),
            workspace: id,
            priority,
            due,
            may_repeat: route.may_repeat(),
            allowed_zones: allowed_zones(shared, &route, workspace.as_deref()),
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

/// Returns the zones in which a call may run.
fn allowed_zones(shared: &Shared, route: &Route, workspace: Option<&Workspace>) -> AllowedZones {
    let of_workspace = workspace.map_or(&[][..], |workspace| &workspace.permitted_regions);
    AllowedZones::of(&route.permitted_regions, of_workspace, &shared.regions)
}

/// Refuses a request under which endpoints crash, before anything is spent on it.
///
/// Sent on, it would end one more endpoint with all that runs there; one would notice by endpoints that go down one
/// after the other, each with the same fingerprint among its broken calls.
fn check_blocked(
    shared: &Shared,
    fingerprint: RequestFingerprint,
    trace: &mut CallTrace,
) -> Result<(), Refusal> {
    if !shared.suspects.lock().came(fingerprint, shared.now()) {
        return Ok(());
    }
    trace.story().fingerprint = Some(fingerprint.to_string());
    Err(Refusal::new(Code::RequestBlocked))
}

/// Refuses what this daemon doesn't know.
///
/// A newer configuration may name the route or the key where nobody has confirmed for a while that there is
/// none. A caller that is told "unknown" doesn't come back; so it is asked to.
fn unknown(shared: &Shared, code: Code) -> Refusal {
    let limits = shared.bounds.staleness_limits(ObjectRole::Configuration);
    match shared.watches.is_configuration_final(&limits, shared.now()) {
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
