//! RequestHandler readiness probes and requests for the addresses that callers may connect to.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use rand::seq::SliceRandom;
use rand::{Rng, RngExt};
use wisteriahitch_types::Region;

use super::answer_body::AnswerBody;
use super::server::{ConnectionLimits, RequestHandler};
use super::shared::Shared;
use crate::decide::gossip_message::MemberPhase;
use crate::decide::member_rows::EntryPoint;
use crate::site::RegionMap;

/// Maximum number of daemons that are all listed in an answer.
const MAX_FULL_LIST: usize = 12;

/// Number of daemons listed in an answer of a larger fleet: enough for a caller to find a live one
/// after many have died at once.
const SAMPLE_SIZE: usize = 10;

/// Serves entry addresses to callers and readiness probes to the platform.
pub(crate) struct EntryHttpHandler {
    pub(crate) shared: Arc<Shared>,
}

impl RequestHandler for EntryHttpHandler {
    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        _from: SocketAddr,
    ) -> Response<AnswerBody> {
        let shared = &self.shared;
        let calls = &shared.borders.calls;
        let path = request.uri().path();
        let response = if path == calls.ready_path() {
            readiness(shared)
        } else if path == calls.entries_path() {
            {
                let region = request
                    .uri()
                    .query()
                    .and_then(|query| calls.caller_region(query));
                let entries = entry_addresses(shared, region.as_ref());
                calls.encode_entries(&entries, shared.settings.entry_ttl())
            }
        } else {
            empty_response(StatusCode::NOT_FOUND)
        };
        response.map(AnswerBody::full)
    }

    fn limits(&self) -> ConnectionLimits {
        ConnectionLimits {
            header_bytes: 8_192,
            idle_timeout: Duration::from_secs(10),
        }
    }
}

fn readiness(shared: &Shared) -> Response<Bytes> {
    match shared.phase() {
        MemberPhase::Ready => empty_response(StatusCode::OK),
        _ => empty_response(StatusCode::SERVICE_UNAVAILABLE),
    }
}

fn empty_response(status: StatusCode) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = status;
    response
}

/// Returns the addresses of the live daemons that aren't shutting down, in random order.
///
/// Callers cache an answer for a while and pick uniformly among its addresses. In a small fleet the
/// answer lists all daemons. In a larger one it lists a random sample weighted by capacity, so that
/// a VM with a tenth of a core doesn't get as many callers as one with half a core. This daemon
/// lists itself if it knows no other one, because an empty answer helps no caller.
fn entry_addresses(shared: &Shared, region: Option<&Region>) -> Vec<SocketAddr> {
    let port = shared.settings.listen.callers.port();
    let mut entries = shared.peers.table().entries(shared.now());
    if shared.phase() == MemberPhase::Ready || entries.is_empty() {
        entries.push(EntryPoint {
            ip: shared.settings.ip,
            zone: shared.settings.zone.to_string(),
            capacity: shared.peers.capacity(shared.settings.limits.cores),
            link_mbps: shared.link_mbps(),
        });
    }
    let entries = in_region(entries, region, &shared.regions);
    let mut rng = rand::rng();
    let listed: Vec<EntryPoint> = match entries.len() > MAX_FULL_LIST {
        true => sample_by_capacity(entries, &mut rng),
        false => entries,
    };
    let mut addresses: Vec<SocketAddr> = listed
        .iter()
        .map(|entry| SocketAddr::from((entry.ip, port)))
        .collect();
    addresses.shuffle(&mut rng);
    addresses
}

/// Returns the entries in the caller's region, or all if there are none. Calls of some routes must
/// not leave the region, and the latency to another region is high.
fn in_region(
    entries: Vec<EntryPoint>,
    region: Option<&Region>,
    map: &RegionMap,
) -> Vec<EntryPoint> {
    let Some(region) = region else {
        return entries;
    };
    let is_in_region = |entry: &EntryPoint| {
        let zone = entry.zone.parse();
        zone.is_ok_and(|zone| map.region(&zone) == Some(region))
    };
    let (local, others): (Vec<EntryPoint>, Vec<EntryPoint>) =
        entries.into_iter().partition(is_in_region);
    match local.is_empty() {
        true => others,
        false => local,
    }
}

/// Samples [`SAMPLE_SIZE`] entries with probability proportional to their capacity.
fn sample_by_capacity(entries: Vec<EntryPoint>, rng: &mut impl Rng) -> Vec<EntryPoint> {
    let mut scored: Vec<(f64, EntryPoint)> = entries
        .into_iter()
        .map(|entry| {
            let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
            (-uniform.ln() / f64::from(entry.capacity.max(1)), entry)
        })
        .collect();
    scored.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    scored.truncate(SAMPLE_SIZE);
    scored.into_iter().map(|(_, entry)| entry).collect()
}
