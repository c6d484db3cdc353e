//! Forwards connections to endpoints for daemons that can't open them themselves.
//!
//! The daemon that asks keeps its call: it sends the request, waits for the answer and decides about
//! retries, as on a connection of its own. The forwarder only opens the connection and copies bytes
//! until either side closes. So a call crosses at most one more daemon, and whether it may have run
//! is decided in one place.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use http::header::{CONNECTION, UPGRADE};
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::upgrade::{OnUpgrade, Upgraded};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use wisteriahitch_types::EndpointInstance;
use wisteriahitch_wire::connection_pool::set_options;

use super::answer_body::AnswerBody;
use super::connection_copy::{
    CopyOutcome, close_in_order, copy_both, reset_after_reading, reset_on_close,
};
use super::endpoint_connections::{ConnectTarget, connect_directly, has_working_link};
use super::shared::Shared;
use crate::decide::endpoint_admission::Admission;
use crate::decide::endpoint_table::EndpointTable;
use crate::observe::Event;

/// Prefix of the path under which a daemon forwards connections; the endpoint's instance follows.
pub(super) const FORWARD_PATH: &str = "/v1/endpoint-connections/";

/// Protocol to which the connection is switched.
pub(super) const FORWARD_PROTOCOL: &str = "wisteriahitch-endpoint";

/// What a connection is forwarded for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ForwardPurpose {
    /// Calls, which only endpoints in service get.
    Calls,
    /// A liveness query. It is also forwarded to endpoints that get no calls, and while draining.
    Query,
}

impl ForwardPurpose {
    /// Query string of a request for [`Self::Query`]. Older daemons ignore it and forward the connection
    /// as for calls.
    const QUERY_STRING: &str = "purpose=query";

    /// Returns the path that asks for a connection to an endpoint.
    pub(super) fn path(self, endpoint: &EndpointInstance) -> String {
        match self {
            ForwardPurpose::Calls => format!("{FORWARD_PATH}{endpoint}"),
            ForwardPurpose::Query => format!("{FORWARD_PATH}{endpoint}?{}", Self::QUERY_STRING),
        }
    }

    fn of(path_query: Option<&str>) -> Self {
        match path_query {
            Some(Self::QUERY_STRING) => ForwardPurpose::Query,
            _ => ForwardPurpose::Calls,
        }
    }
}

/// Maximum number of connections that a daemon forwards at a time. Each takes two descriptors and
/// some 40 KB.
const MAX_FORWARDED: i64 = 512;

/// Maximum time to connect to the endpoint.
const FORWARD_CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Why a connection isn't forwarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ForwardRefusal {
    /// The sender isn't known as a member of the fleet.
    UnknownMember,
    /// This daemon doesn't know the endpoint, or it gets no calls.
    NotAdmitted,
    /// This daemon can't forward now: it is shutting down, forwards too many connections, or can't
    /// connect to endpoints itself.
    Unable,
    /// The endpoint can't be reached, and this daemon reaches others.
    Unreachable,
}

impl ForwardRefusal {
    const fn status(self) -> StatusCode {
        match self {
            ForwardRefusal::UnknownMember => UNKNOWN_MEMBER,
            ForwardRefusal::NotAdmitted => StatusCode::NOT_FOUND,
            ForwardRefusal::Unable => StatusCode::SERVICE_UNAVAILABLE,
            ForwardRefusal::Unreachable => UNREACHABLE,
        }
    }

    const fn label(self) -> &'static str {
        match self {
            ForwardRefusal::UnknownMember => "unknown_member",
            ForwardRefusal::NotAdmitted => "not_admitted",
            ForwardRefusal::Unable => "unable",
            ForwardRefusal::Unreachable => "unreachable",
        }
    }
}

/// Status of the answer to a daemon that isn't known as a member.
pub(super) const UNKNOWN_MEMBER: StatusCode = StatusCode::FORBIDDEN;

/// Status of the answer if the endpoint can't be reached from a daemon that reaches others.
pub(super) const UNREACHABLE: StatusCode = StatusCode::BAD_GATEWAY;

/// Counts a forwarded connection until it is dropped. It counts as a call in flight too, so that a
/// draining process doesn't exit while other daemons have calls on it.
struct ForwardPermit(Arc<Shared>);

impl ForwardPermit {
    fn try_new(shared: &Arc<Shared>) -> Option<Self> {
        let gauge = &shared.metrics.forwarded_connections;
        // Counted first, so that concurrent requests can't exceed the limit together.
        gauge.inc();
        shared.drain.record_call_start();
        let permit = Self(Arc::clone(shared));
        (gauge.get() <= MAX_FORWARDED).then_some(permit)
    }
}

impl Drop for ForwardPermit {
    fn drop(&mut self) {
        self.0.metrics.forwarded_connections.dec();
        self.0.drain.record_call_end();
    }
}

/// Answers a request to forward a connection, and forwards it in the background.
pub(super) async fn answer_forward_request(
    shared: &Arc<Shared>,
    mut request: Request<Incoming>,
    from: IpAddr,
) -> Response<AnswerBody> {
    let upgrade = hyper::upgrade::on(&mut request);
    let endpoint = request.uri().path().strip_prefix(FORWARD_PATH);
    let endpoint = endpoint.and_then(|endpoint| endpoint.parse().ok());
    let purpose = ForwardPurpose::of(request.uri().query());
    let opened = open_for(shared, endpoint, from, purpose).await;
    let outcome = opened
        .as_ref()
        .map_or_else(|refusal| refusal.label(), |_| "opened");
    let count = shared
        .metrics
        .forward_requests
        .with_label_values(&[outcome]);
    count.inc();
    let mut response = Response::new(AnswerBody::full(bytes::Bytes::new()));
    match opened {
        Ok((stream, permit)) => {
            *response.status_mut() = StatusCode::SWITCHING_PROTOCOLS;
            let headers = response.headers_mut();
            headers.insert(CONNECTION, HeaderValue::from_static("upgrade"));
            headers.insert(UPGRADE, HeaderValue::from_static(FORWARD_PROTOCOL));
            tokio::spawn(forward(Arc::clone(shared), upgrade, stream, permit));
        }
        Err(refusal) => *response.status_mut() = refusal.status(),
    }
    response
}

/// Opens a connection to an endpoint for the daemon at `from`.
async fn open_for(
    shared: &Arc<Shared>,
    endpoint: Option<EndpointInstance>,
    from: IpAddr,
    purpose: ForwardPurpose,
) -> Result<(TcpStream, ForwardPermit), ForwardRefusal> {
    let now = shared.now();
    let phase = match from {
        IpAddr::V4(ip) => shared.peers.table().member_phase(ip, now),
        IpAddr::V6(_) => None,
    };
    if phase.is_none() {
        return Err(ForwardRefusal::UnknownMember);
    }
    let is_query = purpose == ForwardPurpose::Query;
    if shared.drain.is_draining() && !is_query {
        return Err(ForwardRefusal::Unable);
    }
    let permit = ForwardPermit::try_new(shared);
    let permit = permit.ok_or(ForwardRefusal::Unable)?;
    let target = endpoint.and_then(|endpoint| {
        let endpoints = shared.endpoints.lock();
        let is_admitted = is_query || accepts_calls(&endpoints, &endpoint, shared);
        is_admitted.then(|| ConnectTarget::of(&endpoints, &endpoint))?
    });
    let target = target.ok_or(ForwardRefusal::NotAdmitted)?;
    if shared.links.lock().is_partitioned(&target.service) {
        return Err(ForwardRefusal::Unable);
    }
    match connect_directly(shared, &target, FORWARD_CONNECT_TIMEOUT).await {
        Ok(stream) => Ok((stream, permit)),
        Err(failure) => match has_working_link(shared, &target, failure.started_at_us).await {
            true => {
                let mut endpoints = shared.endpoints.lock();
                endpoints.record_connect_failure(&target.instance, shared.now());
                Err(ForwardRefusal::Unreachable)
            }
            false => Err(ForwardRefusal::Unable),
        },
    }
}

/// Returns whether an endpoint may get calls at all, whatever its limits.
fn accepts_calls(endpoints: &EndpointTable, endpoint: &EndpointInstance, shared: &Shared) -> bool {
    endpoints.get(endpoint).is_some_and(|row| {
        let admission = endpoints.admission(row, shared.now());
        row.accepts_requests() && admission != Admission::Evacuated
    })
}

/// Forwards a connection until either side ends it, and then ends both.
///
/// The connection towards the daemon closes in order only after the endpoint has got all that the daemon
/// sent, and has closed its side in order. In all other cases it is reset, also if this process is killed: an answer that ends with its
/// connection would look complete otherwise (`docs/design/answer-ends.md`).
async fn forward(
    shared: Arc<Shared>,
    upgrade: OnUpgrade,
    endpoint: TcpStream,
    _permit: ForwardPermit,
) {
    let upgraded = match upgrade.await {
        Ok(upgraded) => upgraded,
        Err(error) => {
            return shared.log.write(&Event::Failure {
                what: "switching a connection to forwarding",
                detail: error.to_string(),
            });
        }
    };
    let Some((daemon, received)) = into_stream(upgraded) else {
        return shared.log.write(&Event::Failure {
            what: "switching a connection to forwarding",
            detail: "not a TCP connection".to_owned(),
        });
    };
    if let Err(error) = set_options(&daemon) {
        // Without the options, a silent connection is noticed later.
        shared.log.write(&Event::Failure {
            what: "setting the options of a forwarded connection",
            detail: error.to_string(),
        });
    }
    // This also holds for the connection of a process that is killed, which the system closes.
    reset_on_close(&daemon, true);
    match copy_both(&daemon, &endpoint, &received).await {
        CopyOutcome::EndpointClosed => {
            close_in_order(daemon, endpoint).await;
        }
        CopyOutcome::EndpointClosedEarly => {
            drop(endpoint);
            reset_after_reading(daemon).await;
        }
        // The daemon has given its call up: what the endpoint hasn't received of it is discarded,
        // else it would still arrive and run.
        CopyOutcome::DaemonBroke => reset_on_close(&endpoint, true),
        CopyOutcome::DaemonClosed | CopyOutcome::EndpointBroke => {}
    }
}

/// Returns the TCP connection below an upgraded one, and the bytes that were read ahead.
fn into_stream(upgraded: Upgraded) -> Option<(TcpStream, bytes::Bytes)> {
    let parts = upgraded.downcast::<TokioIo<TcpStream>>().ok()?;
    Some((parts.io.into_inner(), parts.read_buf))
}
