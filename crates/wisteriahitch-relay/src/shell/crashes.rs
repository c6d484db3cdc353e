//! Finding out whether an endpoint crashed with calls on board, and what that says of them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::timeout;
use wisteriahitch_types::EndpointInstance;

use super::attempt::Call;
use super::blocked_requests::{BlockSource, UnblockReason, record_blocked, record_unblocked};
use super::shared::Shared;
use crate::decide::crash_evidence::{BreakMeaning, ConnectFailure};
use crate::decide::endpoint_row::EndpointLife;
use crate::decide::endpoint_table::life_name;
use crate::decide::gossip_message::RequestUpdate;
use crate::decide::placement::Placement;
use crate::decide::suspects::CrashVerdict;
use crate::observe::Event;
use crate::site::RequestFingerprint;

/// Longest wait for an endpoint to accept or refuse a connection. Either takes a round trip; what takes longer is a
/// link that was cut, and proves nothing.
const PROBE_CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time within which a process that is ending closes a connection that it has just accepted. Processes hold some
/// thousand descriptors, which the system closes in some milliseconds.
const PROBE_CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Pause before another connection is tried at a process that closes each.
const PROBE_INTERVAL: Duration = Duration::from_millis(25);

/// Connections that are tried there: a tenth of a second, within which a process has ended.
const MAX_PROBES: u32 = 5;

/// Says what proved that an endpoint's process has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum EvidenceKind {
    /// Nothing listens at its address right after its connections broke.
    Refused,
    /// Its next start has registered, or another endpoint at its address.
    Replaced,
    /// Another daemon says so.
    Reported,
}

impl EvidenceKind {
    /// Returns the word for the log.
    const fn label(self) -> &'static str {
        match self {
            EvidenceKind::Refused => "refused",
            EvidenceKind::Replaced => "replaced",
            EvidenceKind::Reported => "told",
        }
    }
}

/// Notes that the connection of a call broke, and looks whether its endpoint is still there.
///
/// An endpoint that has announced its leaving, or whose registration is gone, ends as planned.
pub(super) fn record_broken_connection(shared: &Arc<Shared>, call: &Call, placement: &Placement) {
    let is_leaving = {
        let endpoints = shared.endpoints.lock();
        let row = endpoints.get(&placement.endpoint);
        row.is_some_and(|row| row.life != EndpointLife::Ready)
    };
    if is_leaving {
        return;
    }
    let instance_name = life_name(&placement.endpoint);
    let meaning = {
        let mut evidence = shared.crash_evidence.lock();
        evidence.broke(instance_name, call.fingerprint, shared.now())
    };
    match meaning {
        BreakMeaning::Crashed => record_crash_suspects(shared, &[call.fingerprint], instance_name),
        BreakMeaning::Look(after_us) => {
            let (endpoint, address) = (placement.endpoint.clone(), placement.address);
            let probe = probe_endpoint(Arc::clone(shared), endpoint, address);
            tokio::spawn(async move {
                tokio::time::sleep(after_us.into()).await;
                probe.await;
            });
        }
        BreakMeaning::Unknown => {}
    }
}

/// Looks whether a process listens at an endpoint's address, for as long as it seems to be ending.
///
/// A process that ends closes its connections and its listener one after the other. Taken for alive by who looks in
/// between, it would be known to have crashed only when it is back, and the request would end another one
/// meanwhile; one would notice by `replaced` as the proof of every crash.
async fn probe_endpoint(shared: Arc<Shared>, probed: EndpointInstance, address: SocketAddr) {
    let instance_name = life_name(&probed);
    for _ in 0..MAX_PROBES {
        if shared.crash_evidence.lock().has_crashed(instance_name) {
            return;
        }
        let probe_started_at_us = shared.now();
        let Ok(opened) = timeout(PROBE_CONNECT_TIMEOUT, TcpStream::connect(address)).await else {
            return;
        };
        match opened.map_err(|error| ConnectFailure::of(error.kind())) {
            Ok(connection) => {
                if !closes_soon(connection).await {
                    let mut evidence = shared.crash_evidence.lock();
                    return evidence.found_alive(instance_name, probe_started_at_us);
                }
            }
            Err(ConnectFailure::Gone) => return on_crash(&shared, &probed, EvidenceKind::Refused),
            Err(ConnectFailure::Ending) => {}
            Err(ConnectFailure::Unknown) => return,
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

/// Returns whether an endpoint closes a connection on which nothing was sent.
async fn closes_soon(mut connection: TcpStream) -> bool {
    let mut byte = [0; 1];
    let closed = timeout(PROBE_CLOSE_TIMEOUT, connection.read(&mut byte)).await;
    matches!(closed, Ok(Ok(0) | Err(_)))
}

/// Notes that an endpoint's process has ended without a word.
pub(super) fn on_crash(shared: &Shared, endpoint: &EndpointInstance, evidence: EvidenceKind) {
    on_named_crash(shared, life_name(endpoint), &endpoint.to_string(), evidence);
}

/// Holds a crash against all calls of this daemon that were on board.
fn on_named_crash(shared: &Shared, instance_name: u32, endpoint: &str, evidence: EvidenceKind) {
    let calls_in_flight = shared
        .crash_evidence
        .lock()
        .crashed(instance_name, shared.now());
    let Some(calls_in_flight) = calls_in_flight.filter(|calls| !calls.is_empty()) else {
        return;
    };
    let crashes = &shared.metrics.endpoint_crashes;
    crashes.with_label_values(&[evidence.label()]).inc();
    shared.log.write(&Event::EndpointCrashed {
        endpoint: endpoint.to_owned(),
        proof: evidence.label(),
        calls: calls_in_flight.len(),
    });
    record_crash_suspects(shared, &calls_in_flight, instance_name);
}

/// Holds a crash that this daemon saw against requests, and tells the others at once.
fn record_crash_suspects(shared: &Shared, requests: &[RequestFingerprint], instance_name: u32) {
    let now = shared.now();
    for request in requests {
        let verdict = shared
            .suspects
            .lock()
            .crashed(*request, instance_name, true, now);
        if let CrashVerdict::Blocked { .. } = verdict {
            record_blocked(shared, *request, BlockSource::Own);
        }
    }
    shared.peers.hurry.notify_one();
}

/// Takes over what another daemon tells of requests under which endpoints crash.
///
/// That an endpoint has crashed says the same of this daemon's calls that broke there.
pub(super) fn apply_request_update(shared: &Shared, update: &RequestUpdate) {
    for crash in &update.crashes {
        let endpoint = format!("{:08x}", crash.endpoint);
        on_named_crash(shared, crash.endpoint, &endpoint, EvidenceKind::Reported);
    }
    let changes = shared.suspects.lock().told(update, shared.now());
    for (request, is_own) in changes.blocked {
        let source = match is_own {
            true => BlockSource::Own,
            false => BlockSource::Peer,
        };
        record_blocked(shared, request, source);
    }
    for request in changes.unblocked {
        record_unblocked(shared, request, UnblockReason::Peer);
    }
}

/// Notes the end of an endpoint's good answer.
///
/// One without a length ends with its connection, as it does with its process: the request that ends endpoints would
/// seem to be answered by each, and be cleared each time. So it says nothing for the request, and its end is looked at
/// like a connection that broke.
pub(super) fn record_answer_end(
    shared: &Arc<Shared>,
    call: &Call,
    placement: &Placement,
    headers: &HeaderMap,
) {
    let is_delimited =
        headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    match is_delimited {
        true => record_answered(shared, call.fingerprint),
        false => record_broken_connection(shared, call, placement),
    }
}

fn record_answered(shared: &Shared, request: RequestFingerprint) {
    let was_blocked = shared.suspects.lock().answered(request, shared.now());
    if was_blocked {
        record_unblocked(shared, request, UnblockReason::Answered);
    }
}
