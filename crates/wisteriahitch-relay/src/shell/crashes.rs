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
use super::blocked_requests::{BlockSource, UnblockReason, note_blocked, note_unblocked};
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
const LOOK_TIMEOUT: Duration = Duration::from_millis(400);

/// Time within which a process that is ending closes a connection that it has just accepted. Processes hold some
/// thousand descriptors, which the system closes in some milliseconds.
const CLOSES_WITHIN: Duration = Duration::from_millis(100);

/// Pause before another connection is tried at a process that closes each.
const LOOK_PAUSE: Duration = Duration::from_millis(25);

/// Connections that are tried there: a tenth of a second, within which a process has ended.
const MAX_LOOKS: u32 = 5;

/// Says what proved that an endpoint's process has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Proof {
    /// Nothing listens at its address right after its connections broke.
    Refused,
    /// Its next start has registered, or another endpoint at its address.
    Replaced,
    /// Another daemon says so.
    Told,
}

impl Proof {
    /// Returns the word for the log.
    const fn label(self) -> &'static str {
        match self {
            Proof::Refused => "refused",
            Proof::Replaced => "replaced",
            Proof::Told => "told",
        }
    }
}

/// Notes that the connection of a call broke, and looks whether its endpoint is still there.
///
/// An endpoint that has announced its leaving, or whose registration is gone, ends as planned.
pub(super) fn note_broken(shared: &Arc<Shared>, call: &Call, placement: &Placement) {
    let is_leaving = {
        let endpoints = shared.endpoints.lock();
        let row = endpoints.get(&placement.endpoint);
        row.is_some_and(|row| row.life != EndpointLife::Ready)
    };
    if is_leaving {
        return;
    }
    let life = life_name(&placement.endpoint);
    let meaning = {
        let mut evidence = shared.crash_evidence.lock();
        evidence.broke(life, call.fingerprint, shared.now())
    };
    match meaning {
        BreakMeaning::Crashed => record_crash_suspects(shared, &[call.fingerprint], life),
        BreakMeaning::Look(after_us) => {
            let (endpoint, address) = (placement.endpoint.clone(), placement.address);
            let looking = look(Arc::clone(shared), endpoint, address);
            tokio::spawn(async move {
                tokio::time::sleep(after_us.into()).await;
                looking.await;
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
async fn look(shared: Arc<Shared>, endpoint: EndpointInstance, address: SocketAddr) {
    let life = life_name(&endpoint);
    for _ in 0..MAX_LOOKS {
        if shared.crash_evidence.lock().has_crashed(life) {
            return;
        }
        let looked_at = shared.now();
        let Ok(opened) = timeout(LOOK_TIMEOUT, TcpStream::connect(address)).await else {
            return;
        };
        match opened.map_err(|error| ConnectFailure::of(error.kind())) {
            Ok(connection) => {
                if !closes_soon(connection).await {
                    let mut evidence = shared.crash_evidence.lock();
                    return evidence.found_alive(life, looked_at);
                }
            }
            Err(ConnectFailure::Gone) => return note_crash(&shared, &endpoint, Proof::Refused),
            Err(ConnectFailure::Ending) => {}
            Err(ConnectFailure::Unknown) => return,
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
}

/// Returns whether an endpoint closes a connection on which nothing was sent.
async fn closes_soon(mut connection: TcpStream) -> bool {
    let mut byte = [0; 1];
    let closed = timeout(CLOSES_WITHIN, connection.read(&mut byte)).await;
    matches!(closed, Ok(Ok(0) | Err(_)))
}

/// Notes that an endpoint's process has ended without a word.
pub(super) fn note_crash(shared: &Shared, endpoint: &EndpointInstance, proof: Proof) {
    note_crash_of(shared, life_name(endpoint), &endpoint.to_string(), proof);
}

/// Holds a crash against all calls of this daemon that were on board.
fn note_crash_of(shared: &Shared, life: u32, endpoint: &str, proof: Proof) {
    let on_board = shared.crash_evidence.lock().crashed(life, shared.now());
    let Some(on_board) = on_board.filter(|calls| !calls.is_empty()) else {
        return;
    };
    let crashes = &shared.metrics.endpoint_crashes;
    crashes.with_label_values(&[proof.label()]).inc();
    shared.log.write(&Event::EndpointCrashed {
        endpoint: endpoint.to_owned(),
        proof: proof.label(),
        calls: on_board.len(),
    });
    record_crash_suspects(shared, &on_board, life);
}

/// Holds a crash that this daemon saw against requests, and tells the others at once.
fn record_crash_suspects(shared: &Shared, requests: &[RequestFingerprint], life: u32) {
    let now = shared.now();
    for request in requests {
        let verdict = shared.suspects.lock().crashed(*request, life, true, now);
        if let CrashVerdict::Blocked { .. } = verdict {
            note_blocked(shared, *request, BlockSource::Own);
        }
    }
    shared.peers.wake_sender.notify_one();
}

/// Takes over what another daemon tells of requests under which endpoints crash.
///
/// That an endpoint has crashed says the same of this daemon's calls that broke there.
pub(super) fn apply_request_update(shared: &Shared, news: &RequestUpdate) {
    for crash in &news.crashes {
        let endpoint = format!("{:08x}", crash.endpoint);
        note_crash_of(shared, crash.endpoint, &endpoint, Proof::Told);
    }
    let changes = shared.suspects.lock().told(news, shared.now());
    for (request, is_own) in changes.blocked {
        let source = match is_own {
            true => BlockSource::Own,
            false => BlockSource::Peer,
        };
        note_blocked(shared, request, source);
    }
    for request in changes.unblocked {
        note_unblocked(shared, request, UnblockReason::Peer);
    }
}

/// Notes the end of an endpoint's good answer.
///
/// One without a length ends with its connection, as it does with its process: the request that ends endpoints would
/// seem to be answered by each, and be cleared each time. So it says nothing for the request, and its end is looked at
/// like a connection that broke.
pub(super) fn note_answer_end(
    shared: &Arc<Shared>,
    call: &Call,
    placement: &Placement,
    headers: &HeaderMap,
) {
    let is_delimited =
        headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    match is_delimited {
        true => note_answered(shared, call.fingerprint),
        false => note_broken(shared, call, placement),
    }
}

fn note_answered(shared: &Shared, request: RequestFingerprint) {
    let was_blocked = shared.suspects.lock().answered(request, shared.now());
    if was_blocked {
        note_unblocked(shared, request, UnblockReason::Answered);
    }
}
