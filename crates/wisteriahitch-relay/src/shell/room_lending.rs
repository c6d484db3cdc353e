//! Borrows room at brittle endpoints from the daemons that count the calls there, and lends it.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{Method, Request, StatusCode};
use hyper::body::Body as _;
use parking_lot::Mutex;
use tokio::time::Instant;
use wisteriahitch_types::{DurationUs, EndpointInstance};
use wisteriahitch_wire::connection_pool::{Connection, open_stream};
use wisteriahitch_wire::http_client::HttpError;

use super::attempt::{Failure, FailureKind};
use super::shared::Shared;
use crate::decide::endpoint_table::instance_short_name;
use crate::decide::placement::Placement;
use crate::decide::room_lending::{LoanEnd, LoanId, RoomRequest, room_lender};
use crate::observe::Event;

/// Prefix of the paths under which peers lend room. The short name of the endpoint and the number of
/// the loan follow.
pub(super) const ROOM_PATH: &str = "/v1/room/";

/// Timeout for connecting to a lender and its answer together. The caller waits meanwhile, and other
/// endpoints may have room.
const ASK_TIMEOUT: Duration = Duration::from_millis(100);

/// Timeout for reporting the end of a loan.
const END_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum idle time of a connection to a lender. It is well below the idle timeout of peers.
const MAX_LENDER_IDLE: Duration = Duration::from_secs(4);

/// Room that was borrowed for one call. It is given back when this is dropped.
pub(super) struct RoomLoan {
    shared: Arc<Shared>,
    lender: Ipv4Addr,
    endpoint: u32,
    id: LoanId,
    /// `None` if there is nothing to give back.
    end: Mutex<Option<LoanEnd>>,
}

impl RoomLoan {
    /// Sets how the call ends. Until then it counts as given up.
    pub(super) fn set_end(&self, end: LoanEnd) {
        *self.end.lock() = Some(end);
    }
}

impl Drop for RoomLoan {
    fn drop(&mut self) {
        let (shared, endpoint, id) = (&self.shared, self.endpoint, self.id);
        let Some(end) = *self.end.lock() else {
            return;
        };
        count(shared, end.label());
        if self.lender == shared.settings.ip {
            let now = shared.now();
            return shared.room_lender.lock().end(endpoint, id, end, now);
        }
        // Without a runtime the process ends, and its loans end with its membership.
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        let (shared, lender) = (Arc::clone(shared), self.lender);
        runtime.spawn(async move {
            let path = format!("{ROOM_PATH}{endpoint}/{}?end={}", id.number, end.label());
            let sent = ask(&shared, lender, Method::DELETE, path, END_TIMEOUT).await;
            if let Err(error) = sent {
                shared.log.write(&Event::Failure {
                    what: "reporting the end of a loan of room",
                    detail: format!("{lender}: {}", error.detail()),
                });
            }
        });
    }
}

/// Borrows room for a call at the endpoint of its placement if the endpoint is brittle.
///
/// # Errors
///
/// Fails with [`FailureKind::NoRoom`] if there is no room, or the lender doesn't answer.
pub(super) async fn borrow_room(
    shared: &Arc<Shared>,
    placement: &Placement,
    deadline: Instant,
) -> Result<Option<RoomLoan>, Failure> {
    let is_brittle = {
        let endpoints = shared.endpoints.lock();
        let row = endpoints.get(&placement.endpoint);
        row.is_some_and(|row| endpoints.is_brittle(row))
    };
    if !is_brittle {
        return Ok(None);
    }
    let endpoint = instance_short_name(&placement.endpoint);
    let no_room = |outcome: &str, has_answered: bool, detail: &str| {
        count(shared, outcome);
        let now = shared.now();
        let mut endpoints = shared.endpoints.lock();
        endpoints.record_no_room(endpoint, has_answered, now);
        Err(Failure::new(FailureKind::NoRoom, detail))
    };
    let Some(lender) = lender_of(shared, &placement.endpoint) else {
        return no_room(
            "no_lender",
            false,
            "no daemon lends room at the brittle endpoint",
        );
    };
    let request = RoomRequest {
        loan: LoanId {
            borrower: shared.settings.ip,
            number: rand::random(),
        },
        memory_tokens: placement.memory_tokens,
        time_us: deadline.saturating_duration_since(Instant::now()).into(),
    };
    // From here on the loan is given back, also if this future is dropped or the answer is lost.
    let loan = RoomLoan {
        shared: Arc::clone(shared),
        lender,
        endpoint,
        id: request.loan,
        end: Mutex::new(Some(LoanEnd::Finished)),
    };
    let is_lent = match lender == shared.settings.ip {
        true => Ok(lend(shared, endpoint, &request)),
        false => request_loan(shared, lender, endpoint, &request).await,
    };
    match is_lent {
        Ok(true) => {}
        Ok(false) => {
            *loan.end.lock() = None;
            return no_room("no_room", true, "the brittle endpoint has no room");
        }
        Err(_) => return no_room("no_answer", false, "the lender of room doesn't answer"),
    }
    count(shared, "borrowed");
    Ok(Some(loan))
}

/// Asks another daemon for a loan, and returns whether it lends.
async fn request_loan(
    shared: &Shared,
    lender: Ipv4Addr,
    endpoint: u32,
    request: &RoomRequest,
) -> Result<bool, HttpError> {
    let path = format!(
        "{ROOM_PATH}{endpoint}/{}?memory={}&time_ms={}",
        request.loan.number,
        request.memory_tokens,
        request.time_us.as_ms(),
    );
    ask(shared, lender, Method::POST, path, ASK_TIMEOUT).await
}

/// Answers a peer that asks for room or reports the end of a loan. Returns `None` if there is no room,
/// or this daemon isn't the one to ask.
pub(super) fn answer_room_request(
    shared: &Shared,
    method: &Method,
    path: &str,
    query: Option<&str>,
    from: IpAddr,
) -> Option<Bytes> {
    let IpAddr::V4(borrower) = from else {
        return None;
    };
    let (endpoint, number) = path.strip_prefix(ROOM_PATH)?.split_once('/')?;
    let (endpoint, number): (u32, u64) = (endpoint.parse().ok()?, number.parse().ok()?);
    let query = query.unwrap_or_default();
    let parameter = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(found, _)| *found == name)
            .map(|(_, value)| value)
    };
    if !is_member(shared, borrower) {
        count(shared, "not_a_member");
        return None;
    }
    let loan = LoanId { borrower, number };
    if *method == Method::DELETE {
        let end = LoanEnd::from_label(parameter("end")?)?;
        let now = shared.now();
        shared.room_lender.lock().end(endpoint, loan, end, now);
        return Some(Bytes::new());
    }
    let request = RoomRequest {
        loan,
        memory_tokens: parameter("memory")?.parse().ok()?,
        time_us: DurationUs::from_ms(parameter("time_ms")?.parse().ok()?),
    };
    lend(shared, endpoint, &request).then(Bytes::new)
}

/// Lends room at an endpoint, and returns whether there was some.
fn lend(shared: &Shared, endpoint: u32, request: &RoomRequest) -> bool {
    let now = shared.now();
    let (instance, room) = {
        let endpoints = shared.endpoints.lock();
        let instance = endpoints.by_short_name(endpoint).cloned();
        let room = instance.as_ref();
        let room = room.and_then(|instance| endpoints.brittle_room(instance));
        (instance, room)
    };
    // A peer may know of the brittleness earlier than this daemon; its call tries other endpoints.
    let (Some(instance), Some(mut room)) = (instance, room) else {
        count(shared, "not_brittle");
        return false;
    };
    if lender_of(shared, &instance) != Some(shared.settings.ip) {
        count(shared, "not_the_lender");
        return false;
    }
    if shared.permit_shares.lock().is_minority() {
        // Another partition may lend room at the same endpoint.
        room.max_refusals_per_s /= 2;
    }
    let is_member = |ip: Ipv4Addr| is_member(shared, ip);
    let is_lent = {
        let mut lender = shared.room_lender.lock();
        lender.lend(endpoint, request, &room, is_member, now)
    };
    count(shared, if is_lent { "lent" } else { "none_to_lend" });
    is_lent
}

fn is_member(shared: &Shared, ip: Ipv4Addr) -> bool {
    let phase = shared.peers.table().member_phase(ip, shared.now());
    ip == shared.settings.ip || phase.is_some()
}

/// Returns the daemon that lends room at an endpoint, in this daemon's view.
fn lender_of(shared: &Shared, endpoint: &EndpointInstance) -> Option<Ipv4Addr> {
    let shares = shared.permit_shares.lock();
    room_lender(&endpoint.id, shares.ready().iter().copied())
}

fn count(shared: &Shared, outcome: &str) {
    let counter = &shared.metrics.room_lending;
    counter.with_label_values(&[outcome]).inc();
}

/// Sends a request to a lender, and returns whether it agreed. One on the version before answers that
/// it doesn't know the path.
async fn ask(
    shared: &Shared,
    lender: Ipv4Addr,
    method: Method,
    path: String,
    timeout: Duration,
) -> Result<bool, HttpError> {
    let to = SocketAddr::from((lender, shared.settings.listen.peer_port));
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, to.to_string())
        .body(Bytes::new());
    let Ok(request) = request else {
        return Ok(false);
    };
    let mut connection = match shared
        .lender_connections
        .checkout(&lender, MAX_LENDER_IDLE)
        .await
    {
        Some(connection) => connection,
        None => {
            // The lender recognizes a member by its address.
            let from = IpAddr::V4(shared.settings.ip);
            let stream = open_stream(to, Some(from), timeout).await?;
            Connection::over_stream(stream, to).await?
        }
    };
    let response = connection.send_within(request, timeout).await?;
    let is_agreed = response.status() == StatusCode::OK;
    if response.body().is_end_stream() {
        shared.lender_connections.check_in(&lender, connection);
    }
    Ok(is_agreed)
}
