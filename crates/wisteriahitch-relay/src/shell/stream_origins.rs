//! Records which software version begins a stream, and finds it out when a caller resumes one.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use wisteriahitch_types::{Code, ServiceName, TimeUs, WorkspaceId};
use wisteriahitch_wire::object_store::ObjectRole;

use super::peer_client::fetch_origin;
use super::routed::RoutedCall;
use super::shared::Shared;
use super::watch::confirm_as_of;
use crate::border::{CallHead, Refusal};
use crate::decide::placement::Placement;
use crate::decide::route_services::{RouteKey, SoleService};
use crate::decide::stream_versions::{
    ASKED_REPLICAS, ORIGIN_REPLICAS, ORIGIN_RETENTION_US, OriginAnswer, OriginSource, StreamKey,
    StreamOrigin, StreamRecord, UnknownOrigin, find_origin,
};
use crate::observe::Event;
use crate::site::{CallKind, Route};

/// Maximum wait for other daemons that are asked for the origin of a stream. They answer from
/// memory; the rest is for the way to another region and for a daemon that is busy. One that was
/// just killed is still on the list and never answers.
const ORIGIN_TIMEOUT: Duration = Duration::from_millis(150);

/// Maximum wait for the store's confirmation. It is shorter than [`ORIGIN_TIMEOUT`], within which a
/// peer's answer must arrive.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(100);

/// Path under which peers answer for the origin of a stream.
pub(super) const ORIGIN_PATH: &str = "/v1/stream-origins/";

/// A route with a single service, of which the version of an unrecorded stream may be presumed.
#[derive(Clone, Debug)]
struct SoleTarget {
    service: ServiceName,
    route: RouteKey,
}

impl SoleTarget {
    /// Returns the target of a route; `None` if its calls are split among several services.
    fn of(route: &Route) -> Option<Self> {
        match route.targets.as_slice() {
            [(service, _)] => Some(Self {
                service: service.clone(),
                route: RouteKey::of(route),
            }),
            _ => None,
        }
    }

    /// Returns the query of a question to another daemon.
    fn query(&self) -> String {
        format!("route={}&service={}", self.route, self.service)
    }

    /// Reads the query of another daemon's question. Older daemons name no route, so that no version
    /// is presumed for them. Returns `None` if it can't be read.
    fn read(query: &str) -> Option<Self> {
        let (route, service) = query.strip_prefix("route=")?.split_once("&service=")?;
        Some(Self {
            service: service.parse().ok()?,
            route: route.parse().ok()?,
        })
    }
}

/// Returns the key of the stream that a call begins or resumes.
fn stream_key(head: &CallHead, workspace: Option<&WorkspaceId>) -> StreamKey {
    let first_call = head.resumes.as_ref().unwrap_or(&head.request_id);
    StreamKey::of(workspace, first_call)
}

/// Returns whether a call resumes a stream whose first event its caller already has.
pub(super) fn is_resumption(route: &Route, head: &CallHead) -> bool {
    let is_resumable = route.kind == CallKind::Stream && route.is_resumable;
    is_resumable && (head.resume_after.is_some() || head.resumes.is_some())
}

/// Records where a stream began, here and at other daemons. Must be called before its first event
/// is passed on: as soon as the caller has it, this daemon may be killed.
///
/// For a resumed stream this renews the retention.
pub(super) fn record_origin(shared: &Shared, routed: &RoutedCall, placement: &Placement) {
    if routed.route.kind != CallKind::Stream || !routed.route.is_resumable {
        return;
    }
    let now = shared.now();
    let record = StreamRecord {
        key: stream_key(&routed.call.head, routed.call.workspace.as_ref()),
        origin: StreamOrigin {
            service: routed.service.clone(),
            software: placement.software.clone(),
        },
    };
    let members = shared.peers.table().entries(now);
    let replicas = record.key.replicas(&members, ORIGIN_REPLICAS);
    shared
        .peers
        .send_record(&record, &replicas, &shared.settings);
    shared.stream_versions.lock().record(record, now);
}

/// Applies a datagram that may be a record of another daemon. Returns false if it isn't one.
pub(super) fn receive_record(shared: &Shared, bytes: &[u8], from: std::net::SocketAddr) -> bool {
    match StreamRecord::decode(bytes) {
        None => return false,
        Some(Ok(record)) => {
            let now = shared.now();
            shared.stream_versions.lock().record(record, now);
        }
        Some(Err(error)) => shared.log.write(&Event::Failure {
            what: "decoding a stream record",
            detail: format!("{error}: {} bytes from {from}", bytes.len()),
        }),
    }
    true
}

/// Finds out where a stream began that a caller resumes.
///
/// # Errors
///
/// Refuses the call if that isn't known for certain: neither endpoints nor callers notice that a
/// stream goes on at another version.
pub(super) async fn resumed_origin(
    shared: &Arc<Shared>,
    route: &Route,
    head: &CallHead,
    workspace: Option<&WorkspaceId>,
) -> Result<StreamOrigin, Refusal> {
    let asked_at = shared.now();
    let key = stream_key(head, workspace);
    let target = SoleTarget::of(route);
    let target = target.as_ref();
    let recorded = shared.stream_versions.lock().get(key, asked_at);
    let (own, (answers, asked)) = match recorded {
        Some(recorded) => (recorded, (Vec::new(), 0)),
        None => tokio::join!(
            unrecorded_answer(shared, target, asked_at),
            ask_peers(shared, key, target)
        ),
    };
    let sole_service = target.map(|target| &target.service);
    let found = find_origin(&own, &answers, asked, sole_service);
    let found = found.and_then(|(origin, source)| {
        let is_allowed = route
            .targets
            .iter()
            .any(|(name, _)| *name == origin.service);
        match is_allowed {
            true => Ok((origin, source)),
            false => Err(UnknownOrigin::ServiceChanged),
        }
    });
    let outcome = found.as_ref().map_or_else(
        |reason| reason.label(),
        |(_, source): &(StreamOrigin, OriginSource)| source.label(),
    );
    let resumes = &shared.metrics.stream_resumes;
    resumes.with_label_values(&[outcome]).inc();
    let origin = found.as_ref().ok().map(|(origin, _)| origin);
    shared.log.write(&Event::StreamOrigin {
        request: head.request_id.to_string(),
        resumes: head.resumes.as_ref().map(ToString::to_string),
        outcome,
        service: origin.map(|origin| origin.service.to_string()),
        software: origin.map(|origin| origin.software.to_string()),
        asked,
        answers: answers.len(),
        waited_ms: shared.now().since(asked_at).as_ms(),
    });
    let (origin, _) = found.map_err(|_| Refusal::new(Code::StreamOriginUnknown))?;
    Ok(origin)
}

/// Answers what this daemon knows of the origin of a stream that it hasn't recorded.
///
/// The stream may have begun at any time up to now, at an endpoint that registered a moment ago, or at a
/// service to which its route was moved a moment ago. So a version counts as the only one only if the
/// store confirms the known endpoints and configuration now.
async fn unrecorded_answer(
    shared: &Arc<Shared>,
    target: Option<&SoleTarget>,
    asked_at: TimeUs,
) -> OriginAnswer {
    let Some(target) = target else {
        return OriginAnswer::Unknown;
    };
    let answer = known_versions(shared, target, asked_at);
    if !matches!(answer, OriginAnswer::SoleVersion(_)) {
        return answer;
    }
    let confirmed = async {
        tokio::join!(
            confirm_as_of(shared, ObjectRole::Endpoints, asked_at),
            confirm_as_of(shared, ObjectRole::Configuration, asked_at)
        )
    };
    match tokio::time::timeout(CONFIRMATION_TIMEOUT, confirmed).await {
        Ok((true, true)) => known_versions(shared, target, asked_at),
        Ok(_) | Err(_) => OriginAnswer::Unknown,
    }
}

/// Answers by the software versions that the endpoints of a route's service are known to have had. What
/// the endpoints of another service have had counts as another version.
fn known_versions(shared: &Shared, target: &SoleTarget, asked_at: TimeUs) -> OriginAnswer {
    let since = TimeUs::new(asked_at.get().saturating_sub(ORIGIN_RETENTION_US.get()));
    let routes = shared.route_services.lock();
    match routes.sole_service_since(target.route, &target.service, since) {
        SoleService::Yes => {}
        SoleService::No => return OriginAnswer::SeveralVersions,
        SoleService::Unknown => return OriginAnswer::Unknown,
    }
    drop(routes);
    let roles = [ObjectRole::Endpoints, ObjectRole::Configuration];
    let is_followed = |role| shared.watches.is_followed_since(role, since);
    let is_complete = roles.into_iter().all(is_followed);
    let endpoints = shared.endpoints.lock();
    let versions = endpoints.software_in_use(&target.service, since);
    OriginAnswer::unrecorded(versions, is_complete)
}

/// Answers another daemon's question. Returns `None` if it can't be read.
pub(super) async fn answer_question(
    shared: &Arc<Shared>,
    key: &str,
    query: Option<&str>,
) -> Option<OriginAnswer> {
    let target = query.and_then(SoleTarget::read);
    let key = key.parse().ok()?;
    let asked_at = shared.now();
    let recorded = shared.stream_versions.lock().get(key, asked_at);
    Some(match recorded {
        Some(recorded) => recorded,
        None => unrecorded_answer(shared, target.as_ref(), asked_at).await,
    })
}

/// Asks the daemons that should keep a stream's origin, until one has it recorded or all have
/// answered. Returns the answers and how many daemons were asked.
async fn ask_peers(
    shared: &Arc<Shared>,
    key: StreamKey,
    target: Option<&SoleTarget>,
) -> (Vec<OriginAnswer>, usize) {
    let members = shared.peers.table().entries(shared.now());
    let replicas = key.replicas(&members, ASKED_REPLICAS);
    let path = match target {
        Some(target) => format!("{ORIGIN_PATH}{key}?{}", target.query()),
        None => format!("{ORIGIN_PATH}{key}"),
    };
    let questions = replicas
        .iter()
        .map(|ip| fetch_origin(shared, *ip, &path, ORIGIN_TIMEOUT));
    let mut questions: FuturesUnordered<_> = questions.collect();
    let mut answers = Vec::new();
    let collected = async {
        while let Some(answer) = questions.next().await {
            let Some(answer) = answer else { continue };
            let ends_wait = matches!(
                answer,
                OriginAnswer::Recorded(_) | OriginAnswer::Conflicting
            );
            answers.push(answer);
            if ends_wait {
                return;
            }
        }
    };
    // Whatever has arrived by then counts.
    let _ = tokio::time::timeout(ORIGIN_TIMEOUT, collected).await;
    (answers, replicas.len())
}
