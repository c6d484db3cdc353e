//! Where callers connect, and whether this daemon is ready.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use rand::seq::SliceRandom;

use super::answer_body::AnswerBody;
use super::server::{Answers, ConnectionLimits};
use super::shared::Shared;
use crate::decide::members::MemberPhase;

/// Most addresses in an answer.
const MAX_ENTRIES: usize = 64;

/// Answers the questions of callers that want to connect, and of the platform.
pub(crate) struct EntrySide {
    pub(crate) shared: Arc<Shared>,
}

impl Answers for EntrySide {
    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<AnswerBody> {
        let shared = &self.shared;
        let calls = &shared.borders.calls;
        let path = request.uri().path();
        let response = if path == calls.ready_path() {
            ready(shared)
        } else if path == calls.entries_path() {
            calls.entries(&entries(shared), shared.settings.entry_ttl())
        } else {
            status(StatusCode::NOT_FOUND)
        };
        response.map(AnswerBody::whole)
    }

    fn limits(&self) -> ConnectionLimits {
        ConnectionLimits {
            header_bytes: 8_192,
            idle_timeout: Duration::from_secs(10),
        }
    }
}

fn ready(shared: &Shared) -> Response<Bytes> {
    match shared.phase() {
        MemberPhase::Ready => status(StatusCode::OK),
        _ => status(StatusCode::SERVICE_UNAVAILABLE),
    }
}

fn status(status: StatusCode) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = status;
    response
}

/// Returns the daemons that are alive and stay, in an order of chance.
///
/// Callers keep an answer for a while; in the same order for all they would all go to the first.
/// This daemon names itself where it knows nobody, since no address at all helps nobody.
fn entries(shared: &Shared) -> Vec<SocketAddr> {
    let now = shared.now();
    let port = shared.settings.listen.callers.port();
    let mut ips: Vec<Ipv4Addr> = shared
        .peers
        .table()
        .ready(now)
        .map(|peer| peer.ip)
        .collect();
    if shared.phase() == MemberPhase::Ready || ips.is_empty() {
        ips.push(shared.settings.ip);
    }
    ips.shuffle(&mut rand::rng());
    ips.truncate(MAX_ENTRIES);
    ips.into_iter()
        .map(|ip| SocketAddr::from((ip, port)))
        .collect()
}
