//! Opens connections to endpoints, directly or through another daemon.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::header::{CONNECTION, HOST, UPGRADE};
use rand::seq::IteratorRandom;
use tokio::net::TcpStream;
use tokio::time::Instant;
use wisteriahitch_types::{DurationUs, EndpointInstance, ServiceName, TimeUs};
use wisteriahitch_wire::connection_pool::{Connection, ForwardError, open_stream};
use wisteriahitch_wire::http_client::{HttpError, HttpErrorKind};

use super::forwarding::{FORWARD_PROTOCOL, ForwardPurpose, UNKNOWN_MEMBER, UNREACHABLE};
use super::shared::Shared;
use crate::decide::endpoint_links::{ConnectionPath, LinkChange};
use crate::decide::endpoint_row::EndpointRow;
use crate::decide::endpoint_table::EndpointTable;
use crate::decide::forwarders::RefusalReason;
use crate::observe::Event;

/// Maximum time to connect to an endpoint. A connection normally takes a few milliseconds. A lost
/// SYN packet is sent again only after a second; another endpoint can be reached sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum time for a forwarder to connect to the endpoint.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(600);

/// Time within which a connection that is reset as soon as it has opened shows it: several round
/// trips.
const RESET_TIME: Duration = Duration::from_millis(20);

/// Time for which an opened connection shows that this daemon reaches a service.
const LINK_CHECK_TTL_US: DurationUs = DurationUs::from_ms(2_000);

/// Returns the time for a direct connection attempt.
pub(super) fn connect_timeout(deadline: Instant) -> Duration {
    let left = deadline.saturating_duration_since(Instant::now());
    left.min(CONNECT_TIMEOUT)
}

/// An endpoint that a connection is opened to.
#[derive(Clone, Debug)]
pub(super) struct ConnectTarget {
    pub(super) instance: EndpointInstance,
    pub(super) service: ServiceName,
    pub(super) address: SocketAddr,
    short_name: u32,
    /// Number of endpoints of the service that accept requests.
    service_size: usize,
}

impl ConnectTarget {
    /// Returns the target for a known endpoint.
    pub(super) fn of(endpoints: &EndpointTable, instance: &EndpointInstance) -> Option<Self> {
        let row = endpoints.get(instance)?;
        let service = &row.endpoint.service;
        let is_of_service =
            |row: &&EndpointRow| row.endpoint.service == *service && row.accepts_requests();
        Some(Self {
            instance: instance.clone(),
            service: service.clone(),
            address: row.endpoint.address,
            short_name: row.short_name,
            service_size: endpoints.iter().filter(is_of_service).count(),
        })
    }
}

/// A direct connection that couldn't be opened.
#[derive(Debug)]
pub(super) struct ConnectFailed {
    /// When the attempt began.
    pub(super) started_at_us: TimeUs,
    error: HttpError,
}

/// Opens a connection to an endpoint: directly, or through another daemon if this one can't connect
/// to the endpoint although it runs.
///
/// # Errors
///
/// Every failure is [`HttpErrorKind::NotSent`].
pub(super) async fn open_connection(
    shared: &Arc<Shared>,
    endpoint: &EndpointInstance,
    deadline: Instant,
) -> Result<Connection, HttpError> {
    let target = ConnectTarget::of(&shared.endpoints.lock(), endpoint);
    let Some(target) = target else {
        let detail = "the endpoint is gone";
        return Err(HttpError::new(HttpErrorKind::NotSent, detail));
    };
    let path = {
        let mut links = shared.links.lock();
        links.path(&target.service, target.short_name, shared.now())
    };
    if path == ConnectionPath::Direct {
        match connect_directly(shared, &target, connect_timeout(deadline)).await {
            Ok(stream) => return Connection::over_stream(stream, target.address).await,
            Err(failure) => {
                let is_partitioned = shared.links.lock().is_partitioned(&target.service);
                if !is_partitioned {
                    let since = failure.started_at_us;
                    tokio::spawn(examine_failure(Arc::clone(shared), target, since));
                    return Err(failure.error);
                }
            }
        }
    }
    probe_endpoint_if_due(shared, &target);
    let detail = match connect_through_peer(shared, &target, ForwardPurpose::Calls, deadline).await
    {
        Ok(connection) => return Ok(connection),
        Err(PeerFailure::Unreachable(peer)) => format!("{peer} can't connect to it either"),
        Err(PeerFailure::NoForwarder) => "no other daemon opens the connection".to_owned(),
    };
    // What looks like a partition may be a few endpoints that are down.
    let has_failed =
        shared
            .links
            .lock()
            .has_failed_lately(&target.service, target.short_name, shared.now());
    if !has_failed {
        let opened = connect_directly(shared, &target, connect_timeout(deadline)).await;
        let stream = opened.map_err(|failure| failure.error)?;
        return Connection::over_stream(stream, target.address).await;
    }
    Err(HttpError::new(HttpErrorKind::NotSent, detail))
}

/// Opens a TCP connection to an endpoint and records a failure. That it opened counts only once it has
/// carried an answer or has stayed open for a moment: a partition may also reset connections right
/// after they have opened.
pub(super) async fn connect_directly(
    shared: &Arc<Shared>,
    target: &ConnectTarget,
    wait: Duration,
) -> Result<TcpStream, ConnectFailed> {
    let started_at_us = shared.now();
    let opened = open_stream(target.address, None, wait).await;
    if opened.is_err() {
        record_outcome(shared, target, false);
    }
    opened.map_err(|error| ConnectFailed {
        started_at_us,
        error,
    })
}

/// Tries a direct connection in the background to an endpoint that only another daemon could
/// connect to, if the last attempt is long enough ago.
fn probe_endpoint_if_due(shared: &Arc<Shared>, target: &ConnectTarget) {
    let is_due = {
        let mut links = shared.links.lock();
        links.take_endpoint_probe(target.short_name, shared.now())
    };
    if is_due {
        let (shared, target) = (Arc::clone(shared), target.clone());
        tokio::spawn(async move { probe(&shared, &target).await });
    }
}

/// Tries a direct connection in the background to an endpoint of each service that this daemon is
/// partitioned from.
pub(super) fn probe_partitioned_services(shared: &Arc<Shared>) {
    let partitioned: Vec<ServiceName> = {
        let links = shared.links.lock();
        links.partitioned_services().cloned().collect()
    };
    for service in partitioned {
        probe_service_if_due(shared, &service);
    }
}

/// Returns whether this daemon has lately connected to an endpoint of a service itself. If not, it
/// tries to in the background.
pub(super) fn is_service_reached(shared: &Arc<Shared>, service: &ServiceName) -> bool {
    let now = shared.now();
    let is_reached = {
        let links = shared.links.lock();
        let opened_at_us = links.opened_at(service);
        let is_recent = opened_at_us.is_some_and(|at| now.since(at) < LINK_CHECK_TTL_US);
        is_recent && !links.is_partitioned(service)
    };
    if !is_reached {
        probe_service_if_due(shared, service);
    }
    is_reached
}

fn probe_service_if_due(shared: &Arc<Shared>, service: &ServiceName) {
    let is_due = {
        let mut links = shared.links.lock();
        links.take_service_probe(service, shared.now())
    };
    if !is_due {
        return;
    }
    let target = {
        let endpoints = shared.endpoints.lock();
        let of_service = endpoints
            .iter()
            .filter(|row| row.endpoint.service == *service && row.accepts_requests());
        let chosen = of_service.choose(&mut rand::rng());
        chosen.and_then(|row| ConnectTarget::of(&endpoints, row.instance()))
    };
    let Some(target) = target else {
        return shared.links.lock().forget_service(service);
    };
    let shared = Arc::clone(shared);
    tokio::spawn(async move { probe(&shared, &target).await });
}

/// Returns whether this daemon can't connect to the engines of a service.
pub(super) fn is_partitioned_from_engines(shared: &Shared) -> bool {
    let endpoints = shared.endpoints.lock();
    let links = shared.links.lock();
    let mut partitioned = links.partitioned_services();
    partitioned.any(|service| {
        let mut rows = endpoints.iter();
        rows.any(|row| row.endpoint.service == *service && !row.endpoint.weights.is_empty())
    })
}

/// Records whether a connection that this daemon tried to open to an endpoint itself was opened.
pub(super) fn record_direct_outcome(shared: &Shared, endpoint: &EndpointInstance, is_open: bool) {
    let target = ConnectTarget::of(&shared.endpoints.lock(), endpoint);
    if let Some(target) = target {
        record_outcome(shared, &target, is_open);
    }
}

/// Returns whether a connection on which nothing was sent is closed by its other end at once.
async fn is_reset_at_once(stream: &TcpStream) -> bool {
    let mut byte = [0; 1];
    let closed = tokio::time::timeout(RESET_TIME, stream.peek(&mut byte)).await;
    matches!(closed, Ok(Ok(0) | Err(_)))
}

fn record_outcome(shared: &Shared, target: &ConnectTarget, is_open: bool) {
    let now = shared.now();
    let change = {
        let mut links = shared.links.lock();
        let (service, endpoint) = (&target.service, target.short_name);
        match is_open {
            true => links.record_open(service, endpoint, now),
            false => links.record_failure(service, endpoint, target.service_size, now),
        }
    };
    if let Some(change) = change {
        shared.log.write(&Event::EndpointsPartitioned {
            service: target.service.to_string(),
            is_partitioned: change == LinkChange::Partitioned,
        });
    }
}

/// Tries a direct connection, and keeps it for a later call. Returns whether it was opened.
async fn probe(shared: &Arc<Shared>, target: &ConnectTarget) -> bool {
    let Ok(stream) = connect_directly(shared, target, CONNECT_TIMEOUT).await else {
        return false;
    };
    let is_open = !is_reset_at_once(&stream).await;
    record_outcome(shared, target, is_open);
    if !is_open {
        return false;
    }
    if let Ok(connection) = Connection::over_stream(stream, target.address).await {
        keep_for_call(shared, target, connection);
    }
    true
}

/// Keeps a connection that was opened without a call for a later one. Where a connection must first
/// ask which process answers, it is closed instead.
pub(super) fn keep_for_call(shared: &Shared, target: &ConnectTarget, connection: Connection) {
    let must_verify_start = {
        let endpoints = shared.endpoints.lock();
        endpoints.must_verify_start(&target.instance)
    };
    if !must_verify_start {
        shared.return_connection(&target.instance, connection);
    }
}

/// Returns whether connections from this daemon to other endpoints of the service open, after one
/// that began at `since` failed.
///
/// A failure alone may be the fault of this daemon's own link.
pub(super) async fn has_working_link(
    shared: &Arc<Shared>,
    failed: &ConnectTarget,
    since: TimeUs,
) -> bool {
    let opened_at_us = shared.links.lock().opened_at(&failed.service);
    if opened_at_us.is_some_and(|at| at >= since) {
        return true;
    }
    let other = {
        let endpoints = shared.endpoints.lock();
        let now = shared.now();
        let others = endpoints.iter().filter(|row| {
            row.endpoint.service == failed.service
                && *row.instance() != failed.instance
                && row.accepts_requests()
                && !row.outlier.is_ejected(now)
                && row.suspected_until_us <= now
        });
        let other = others.choose(&mut rand::rng());
        other.and_then(|row| ConnectTarget::of(&endpoints, row.instance()))
    };
    let Some(other) = other else {
        return false;
    };
    probe(shared, &other).await
}

/// Finds out why a direct connection failed: because of the endpoint, or of the link to it alone.
async fn examine_failure(shared: Arc<Shared>, target: ConnectTarget, since: TimeUs) {
    let is_due = {
        let mut links = shared.links.lock();
        links.take_examination(target.short_name, shared.now())
    };
    if !is_due || !has_working_link(&shared, &target, since).await {
        return;
    }
    // Other daemons rely on this report, so it isn't sent if this daemon's own link may be at fault.
    shared
        .endpoints
        .lock()
        .record_connect_failure(&target.instance, shared.now());
    let deadline = Instant::now() + FORWARD_TIMEOUT;
    if let Ok(connection) =
        connect_through_peer(&shared, &target, ForwardPurpose::Calls, deadline).await
    {
        keep_for_call(&shared, &target, connection);
        shared
            .endpoints
            .lock()
            .withdraw_connect_failure(&target.instance, shared.now());
    }
}

/// Why no other daemon has opened a connection.
#[derive(Debug)]
pub(super) enum PeerFailure {
    /// A daemon that reaches other endpoints can't reach this one.
    Unreachable(Ipv4Addr),
    /// No daemon was able to try.
    NoForwarder,
}

/// Opens a connection to an endpoint through another daemon.
pub(super) async fn connect_through_peer(
    shared: &Arc<Shared>,
    target: &ConnectTarget,
    purpose: ForwardPurpose,
    deadline: Instant,
) -> Result<Connection, PeerFailure> {
    let settings = &shared.settings;
    let members = shared.peers.table().entries(shared.now());
    let candidates = {
        let mut forwarders = shared.forwarders.lock();
        forwarders.candidates(settings.ip, settings.zone.as_str(), &members, shared.now())
    };
    for ip in candidates {
        let forwarder = SocketAddr::from((ip, settings.listen.peer_port));
        let now = shared.now();
        match connect_through(shared, target, forwarder, purpose, deadline).await {
            Ok(connection) => {
                shared.forwarders.lock().record_opened(ip);
                let mut links = shared.links.lock();
                links.record_forwarded(&target.service, target.short_name, now);
                return Ok(connection);
            }
            Err(ForwardError::Refused(UNREACHABLE)) => return Err(PeerFailure::Unreachable(ip)),
            Err(failure) => {
                let reason = match failure {
                    ForwardError::Refused(UNKNOWN_MEMBER) => RefusalReason::Unknown,
                    _ => RefusalReason::Unable,
                };
                let mut forwarders = shared.forwarders.lock();
                forwarders.record_refused(ip, reason, shared.now());
            }
        }
    }
    Err(PeerFailure::NoForwarder)
}

/// Opens a connection to an endpoint through one daemon.
pub(super) async fn connect_through(
    shared: &Shared,
    target: &ConnectTarget,
    forwarder: SocketAddr,
    purpose: ForwardPurpose,
    deadline: Instant,
) -> Result<Connection, ForwardError> {
    let left = deadline.saturating_duration_since(Instant::now());
    Connection::open_through(
        forwarder,
        IpAddr::V4(shared.settings.ip),
        forward_request(target, forwarder, purpose),
        target.address,
        left.min(FORWARD_TIMEOUT),
    )
    .await
}

fn forward_request(
    target: &ConnectTarget,
    forwarder: SocketAddr,
    purpose: ForwardPurpose,
) -> Request<Bytes> {
    let mut request = Request::new(Bytes::new());
    if let Ok(uri) = purpose.path(&target.instance).parse() {
        *request.uri_mut() = uri;
    }
    let headers = request.headers_mut();
    if let Ok(host) = forwarder.to_string().parse() {
        headers.insert(HOST, host);
    }
    headers.insert(CONNECTION, http::HeaderValue::from_static("upgrade"));
    headers.insert(UPGRADE, http::HeaderValue::from_static(FORWARD_PROTOCOL));
    request
}
