//! Handles a call up to its first attempt: finds its route and workspace, and reads its body.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::header::{CONNECTION, HeaderValue};
use http::{Request, Response};
use hyper::body::Incoming;
use wisteriahitch_types::{Code, DurationUs, ServiceName, SoftwareVersion, WorkspaceId};
use wisteriahitch_wire::object_store::ObjectRole;

use super::answer_body::AnswerBody;
use super::attempt::{Call, FailureKind};
use super::blocked_requests::logged_names;
use super::request_body::read_body;
use super::routed::{AttemptAnswer, RoutedCall};
use super::server::{ConnectionLimits, ConnectionPermit, RequestHandler};
use super::shared::Shared;
use super::stream_body::{StreamStart, stream_answer};
use super::stream_origins::{is_resumption, record_origin, resumed_origin};
use super::trace::CallTrace;
use super::work_shares::{ArrivedCall, admit_by_share};
use crate::border::{CallHead, Refusal};
use crate::decide::blocked_attributes::CallAdmission;
use crate::decide::drain_admission::CallDuration;
use crate::site::{
    AllowedZones, CallAttributes, CallKind, RequestFingerprint, Route, SiteConfig, Workspace,
};

/// Retry delay for callers of a daemon that hasn't loaded enough of its state yet.
const NOT_READY_RETRY_US: DurationUs = DurationUs::from_ms(300);

/// Retry delay for callers of a daemon that is about to exit; they retry at another one.
const DRAINING_RETRY_US: DurationUs = DurationUs::from_ms(20);

/// Handles requests of callers.
pub(crate) struct CallerHandler {
    pub(crate) shared: Arc<Shared>,
}

impl RequestHandler for CallerHandler {
    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        _from: SocketAddr,
    ) -> Response<AnswerBody> {
        let shared = &self.shared;
        let mut response = answer_call(shared, request).await;
        if shared.drain.is_draining() {
            let headers = response.headers_mut();
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    fn connection_permit(&self) -> Option<ConnectionPermit> {
        Some(ConnectionPermit::new(&self.shared))
    }

    fn limits(&self) -> ConnectionLimits {
        /// Limits that apply until a configuration has been loaded.
        const UNCONFIGURED_LIMITS: ConnectionLimits = ConnectionLimits {
            header_bytes: 16_384,
            idle_timeout: Duration::from_secs(15),
        };
        self.shared
            .site
            .config()
            .map_or(UNCONFIGURED_LIMITS, |config| ConnectionLimits {
                header_bytes: config.limits.header_bytes,
                idle_timeout: config.limits.idle_timeout,
            })
    }
}

async fn answer_call(shared: &Arc<Shared>, request: Request<Incoming>) -> Response<AnswerBody> {
    let mut trace = CallTrace::new(shared);
    match process_call(shared, request, &mut trace).await {
        Ok(CallAnswer::Whole(response, status)) => {
            trace.record_first_event();
            trace.record_answered(status);
            response
        }
        Ok(CallAnswer::Stream(start)) => {
            trace.record_first_event();
            stream_answer(shared, *start, trace)
        }
        Err(refusal) => {
            trace.record_refusal(&refusal);
            shared
                .borders
                .calls
                .encode_refusal(&refusal)
                .map(AnswerBody::full)
        }
    }
}

/// Answer to a call.
enum CallAnswer {
    Whole(Response<AnswerBody>, u16),
    Stream(Box<StreamStart>),
}

/// Handles a call up to the head of its answer, step by step; each step may refuse it.
async fn process_call(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    trace: &mut CallTrace,
) -> Result<CallAnswer, Refusal> {
    let (parts, body) = request.into_parts();
    let head = shared.borders.calls.decode_call(&parts)?;
    trace.log_entry().request = head.request_id.to_string();
    let config = current_config(shared, trace)?;
    let route = find_route(shared, &config, &head, parts.uri.path(), trace)?;
    let workspace = find_workspace(shared, &config, &route, head.key.as_deref())?;
    let deadline_us = time_limit(&head, &route);
    trace.log_entry().deadline_ms = deadline_us.as_ms();
    let deadline = trace.started_at() + Duration::from(deadline_us);
    let body = read_body(shared, body, config.limits.body_bytes, deadline);
    let body = until_exit(shared, body).await?;
    let id = workspace.as_ref().map(|workspace| workspace.id.clone());
    let request = RequestFingerprint::of(id.as_ref(), parts.uri.path(), &body.bytes);
    let isolated = workspace.as_ref().filter(|workspace| workspace.is_isolated);
    let isolated = isolated.map(|workspace| &workspace.id);
    let attributes = CallAttributes::new(request, head.prompt.as_ref(), isolated);
    let is_trial = check_blocked(shared, &attributes, trace)?;
    trace.log_entry().workspace = id.as_ref().map_or(String::new(), ToString::to_string);
    let chosen = choose_service(shared, &route, &head, id.as_ref());
    let (service, required_software) = until_exit(shared, chosen).await?;
    shared.budgets.record_request(&service, shared.now());
    let workspace_priority = workspace.as_ref().and_then(|workspace| workspace.priority);
    let priority = workspace_priority.unwrap_or(route.priority);
    let is_managed = shared.settings.load.management.applies_to(&config);
    let service_spec = config.services.get(&service);
    let has_engines = service_spec.is_some_and(|service| service.engine.is_some());
    // What has begun is never refused for the sake of what hasn't.
    if is_managed && has_engines && required_software.is_none() {
        trace.log_entry().priority = Some(priority);
        let call = ArrivedCall {
            route: &route,
            service: &service,
            priority,
            workspace: id.as_ref(),
            prompt: head.prompt.as_ref(),
            deadline_us,
        };
        admit_by_share(shared, &config, &call)?;
    }
    let longest_queue_us = longest_queue(&config, &route, &service, priority, is_managed);
    let resumed_queue_us = longest_queue(&config, &route, &service, priority, false);
    let mut routed = RoutedCall {
        call: Call {
            attributes,
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body: body.bytes.clone(),
            workspace: id,
            priority,
            deadline,
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
        resumed_queue_us,
        tried_endpoints: Vec::new(),
        required_software,
        sent_attempts: 0,
        is_trial,
        _body: body,
    };
    let answered = routed.run_attempts(shared, trace).await?;
    Ok(call_answer(shared, routed, answered))
}

/// Returns the configuration in force.
fn current_config(shared: &Shared, trace: &mut CallTrace) -> Result<Arc<SiteConfig>, Refusal> {
    let config = shared.site.config();
    let config = config.ok_or(Refusal::new(Code::NotReady).retry_after(NOT_READY_RETRY_US))?;
    trace.log_entry().config_version = config.version.get();
    trace.log_entry().config_age_ms = shared
        .watches
        .age_ms(ObjectRole::Configuration, shared.now());
    Ok(config)
}

/// Returns the route of a call, unless this daemon is about to exit and takes no more of its calls.
fn find_route(
    shared: &Shared,
    config: &SiteConfig,
    head: &CallHead,
    path: &str,
    trace: &mut CallTrace,
) -> Result<Arc<Route>, Refusal> {
    let route = config.routes.find(&head.host, path).cloned();
    let route = route.ok_or_else(|| unknown_refusal(shared, Code::UnknownPath))?;
    trace.record_route(&route);
    check_drain(shared, &route, time_limit(head, &route), DurationUs::ZERO)?;
    Ok(route)
}

/// Refuses a call that hasn't run if this daemon is about to exit and would probably cut it off.
pub(super) fn check_drain(
    shared: &Shared,
    route: &Route,
    bound_us: DurationUs,
    queue_us: DurationUs,
) -> Result<(), Refusal> {
    let duration = || CallDuration {
        bound_us,
        estimate_us: {
            let recent = shared.recent_durations.lock();
            recent.estimate(&route.name, route.kind)
        },
        queue_us,
    };
    match shared.drain.accepts(&shared.settings, duration) {
        true => Ok(()),
        false => Err(draining_refusal()),
    }
}

/// Runs a step of a call that hasn't been sent, and refuses the call if the exit comes first.
async fn until_exit<T>(
    shared: &Shared,
    step: impl Future<Output = Result<T, Refusal>>,
) -> Result<T, Refusal> {
    let ended = shared.drain.until_exit(step).await;
    ended.unwrap_or_else(|| Err(draining_refusal()))
}

fn draining_refusal() -> Refusal {
    Refusal::new(Code::Draining).retry_after(DRAINING_RETRY_US)
}

/// Returns the time within which a call is answered in any case.
fn time_limit(head: &CallHead, route: &Route) -> DurationUs {
    let timeout_us = route.timeout_us;
    head.deadline_us.unwrap_or(timeout_us).min(timeout_us)
}

/// Returns the service of a call and, if it resumes a stream, the software version that it requires.
async fn choose_service(
    shared: &Arc<Shared>,
    route: &Route,
    head: &CallHead,
    workspace: Option<&WorkspaceId>,
) -> Result<(ServiceName, Option<SoftwareVersion>), Refusal> {
    if is_resumption(route, head) {
        let origin = resumed_origin(shared, route, head, workspace).await?;
        return Ok((origin.service, Some(origin.software)));
    }
    let service = route.pick_service(rand::random()).cloned();
    Ok((service.ok_or(Refusal::new(Code::NoEndpoint))?, None))
}

fn call_answer(shared: &Shared, routed: RoutedCall, answered: AttemptAnswer) -> CallAnswer {
    match answered {
        AttemptAnswer::Whole(response, status) => CallAnswer::Whole(response, status),
        AttemptAnswer::Stream(first, opened) => {
            if opened.parts.status.is_success() {
                record_origin(shared, &routed, &opened.placement);
            }
            CallAnswer::Stream(Box::new(StreamStart {
                routed,
                opened: *opened,
                first,
            }))
        }
    }
}

/// Returns the maximum estimated queue of an endpoint that a call is placed at.
fn longest_queue(
    config: &SiteConfig,
    route: &Route,
    service: &ServiceName,
    priority: u8,
    is_managed: bool,
) -> DurationUs {
    let (urgency, target_us) = (&config.urgency, route.latency_slo_us);
    match (is_managed, route.kind) {
        // A workspace's priority says which workspaces go first, not which of its calls.
        (true, CallKind::Stream) => urgency.max_managed_queue(service, route.priority, target_us),
        (false, CallKind::Stream) => urgency.max_queue(service, priority, target_us),
        (_, CallKind::Idempotent | CallKind::Once) => DurationUs::MAX,
    }
}

fn allowed_zones(shared: &Shared, route: &Route, workspace: Option<&Workspace>) -> AllowedZones {
    let workspace_regions = workspace.map_or(&[][..], |workspace| &workspace.permitted_regions);
    AllowedZones::of(&route.permitted_regions, workspace_regions, &shared.regions)
}

/// Refuses a call under which endpoints crash, before it uses any resources. Returns whether it is
/// sent all the same, to try whether they still do.
///
/// Sent on, it would crash one more endpoint with all calls in flight there. This would show as
/// endpoints that go down one after the other, with the same fingerprint or part among the broken
/// calls of each.
fn check_blocked(
    shared: &Shared,
    attributes: &CallAttributes,
    trace: &mut CallTrace,
) -> Result<bool, Refusal> {
    let blocked = shared.suspects.lock().blocked_attribute(attributes);
    if blocked.is_none() {
        return Ok(false);
    }
    let (now, role) = (shared.now(), ObjectRole::BlockedRequests);
    let may_try = shared.peers.query_rank(role, shared.settings.ip, now).place == 0;
    let admission = shared.suspects.lock().admit(attributes, may_try, now);
    match admission {
        CallAdmission::Allowed => Ok(false),
        CallAdmission::Trial => Ok(true),
        CallAdmission::Blocked(attribute) => {
            let entry = trace.log_entry();
            (entry.fingerprint, entry.part) = logged_names(attribute);
            Err(Refusal::new(FailureKind::of_blocked(attribute).code()))
        }
    }
}

/// Returns the refusal for a route or key that this daemon doesn't know.
///
/// If nobody has confirmed for a while that the configuration is current, a newer one may contain
/// the route or key. Callers don't retry after "unknown", so in that case they are asked to retry.
fn unknown_refusal(shared: &Shared, code: Code) -> Refusal {
    let limits = shared.bounds.staleness_limits(ObjectRole::Configuration);
    let is_final = shared.watches.is_configuration_final(&limits, shared.now());
    match is_final && !shared.site.is_store_behind() {
        true => Refusal::new(code),
        false => Refusal::new(Code::NotReady).retry_after(NOT_READY_RETRY_US),
    }
}

/// Returns the workspace of a call. Only the key decides, whatever else the caller sends about
/// itself.
fn find_workspace(
    shared: &Shared,
    config: &SiteConfig,
    route: &Route,
    key: Option<&str>,
) -> Result<Option<Arc<Workspace>>, Refusal> {
    let Some(workspaces) = &config.workspaces_by_key else {
        return Ok(None);
    };
    match key.and_then(|key| workspaces.get(key)) {
        Some(workspace) => Ok(Some(Arc::clone(workspace))),
        None if route.is_public => Ok(None),
        None => Err(unknown_refusal(shared, Code::UnknownKey)),
    }
}
