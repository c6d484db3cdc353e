//! Finds out whether an endpoint crashed with calls in flight, and records those calls as suspects.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};
use wisteriahitch_types::{EndpointInstance, TimeUs};

use super::attempt::Call;
use super::blocked_requests::{BlockSource, UnblockReason, record_blocked, record_unblocked};
use super::endpoint_connections::{ConnectTarget, connect_through_peer};
use super::forwarding::ForwardPurpose;
use super::shared::Shared;
use crate::decide::answer_progress::AnswerProgress;
use crate::decide::crash_evidence::{BrokenCall, BrokenCallVerdict, ConnectFailure};
use crate::decide::endpoint_row::EndpointState;
use crate::decide::endpoint_table::instance_short_name;
use crate::decide::gossip_message::SuspectUpdate;
use crate::decide::placement::Placement;
use crate::decide::suspects::{Crash, NewBlock};
use crate::observe::Event;
use crate::site::CallAttributes;

/// Maximum time for an endpoint to accept or refuse a probe connection. Either takes one round
/// trip. A longer wait points to a broken link and is no evidence of a crash.
const PROBE_CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum time for another daemon to connect to an endpoint that refused a probe. A process that
/// has crashed doesn't listen again within this time.
const PROBE_FORWARD_TIMEOUT: Duration = Duration::from_millis(150);

/// Time within which a process that is ending closes a connection that it has just accepted.
/// Processes hold some thousand descriptors, which the system closes within milliseconds.
const PROBE_CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Interval between probes of a process that closes each connection.
const PROBE_INTERVAL: Duration = Duration::from_millis(25);

/// Maximum number of probes. Together they take a tenth of a second, within which an ending process
/// is gone.
const MAX_PROBES: u32 = 5;

/// Evidence that an endpoint's process has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum EvidenceKind {
    /// Nothing listens at its address right after its connections broke.
    Refused,
    /// A newer instance of it, or another endpoint at its address, has registered.
    Replaced,
    /// Another daemon reported the crash.
    Reported,
}

impl EvidenceKind {
    /// Returns the label for logs and metrics.
    const fn label(self) -> &'static str {
        match self {
            EvidenceKind::Refused => "refused",
            EvidenceKind::Replaced => "replaced",
            EvidenceKind::Reported => "told",
        }
    }
}

/// Records that the connection of a call broke, and probes whether the endpoint's process still
/// runs.
///
/// An endpoint that has announced that it is leaving, or whose registration was removed, ends as
/// planned and isn't counted as a crash.
pub(super) fn record_broken_connection(
    shared: &Arc<Shared>,
    call: &Call,
    placement: &Placement,
    progress: AnswerProgress,
) {
    if is_leaving(shared, placement) {
        return;
    }
    let instance_name = instance_short_name(&placement.endpoint);
    let broken_call = BrokenCall {
        attributes: call.attributes.clone(),
        progress,
    };
    let verdict = {
        let mut evidence = shared.crash_evidence.lock();
        evidence.record_broken_call(instance_name, broken_call.clone(), shared.now())
    };
    apply_verdict(shared, placement, broken_call, verdict);
}

fn is_leaving(shared: &Shared, placement: &Placement) -> bool {
    let endpoints = shared.endpoints.lock();
    let row = endpoints.get(&placement.endpoint);
    row.is_some_and(|row| row.state != EndpointState::Ready)
}

fn apply_verdict(
    shared: &Arc<Shared>,
    placement: &Placement,
    broken_call: BrokenCall,
    verdict: BrokenCallVerdict,
) {
    match verdict {
        BrokenCallVerdict::Crashed => {
            let instance_name = instance_short_name(&placement.endpoint);
            record_crash_suspects(shared, &[broken_call], instance_name);
        }
        BrokenCallVerdict::Probe(after_us) => {
            let (endpoint, address) = (placement.endpoint.clone(), placement.address);
            let probe = probe_endpoint(Arc::clone(shared), endpoint, address);
            tokio::spawn(async move {
                tokio::time::sleep(after_us.into()).await;
                probe.await;
            });
        }
        BrokenCallVerdict::Unknown => {}
    }
}

/// Probes whether a process listens at an endpoint's address, and repeats the probe while the
/// process seems to be ending.
///
/// An ending process closes its connections and its listener one after the other. If a single probe
/// in between took it for alive, the crash would be known only after the endpoint has restarted,
/// and the request would crash another endpoint meanwhile. This would show as `replaced` in the
/// field `proof` of every crash.
async fn probe_endpoint(shared: Arc<Shared>, probed: EndpointInstance, address: SocketAddr) {
    let instance_name = instance_short_name(&probed);
    for _ in 0..MAX_PROBES {
        if !shared.crash_evidence.lock().is_open(instance_name) {
            return;
        }
        let probe_started_at_us = shared.now();
        let Ok(opened) = timeout(PROBE_CONNECT_TIMEOUT, TcpStream::connect(address)).await else {
            return;
        };
        match opened.map_err(|error| ConnectFailure::from_error_kind(error.kind())) {
            Ok(connection) => {
                if !closes_soon(connection).await {
                    return record_listening(&shared, &probed, probe_started_at_us);
                }
            }
            Err(ConnectFailure::Refused) => {
                if is_reached_by_peer(&shared, &probed).await {
                    return record_listening(&shared, &probed, probe_started_at_us);
                }
                return on_crash(&shared, &probed, EvidenceKind::Refused);
            }
            Err(ConnectFailure::Reset) => {}
            Err(ConnectFailure::Unknown) => return,
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

/// Returns whether another daemon connects to an endpoint that refuses connections from this one.
///
/// A partition may reset the open connections and refuse new ones, which looks like a crash of
/// each endpoint behind it. The requests that run there would be blocked for all callers.
async fn is_reached_by_peer(shared: &Arc<Shared>, endpoint: &EndpointInstance) -> bool {
    let target = ConnectTarget::of(&shared.endpoints.lock(), endpoint);
    let Some(target) = target else {
        return false;
    };
    let deadline = Instant::now() + PROBE_FORWARD_TIMEOUT;
    connect_through_peer(shared, &target, ForwardPurpose::Query, deadline)
        .await
        .is_ok()
}

/// Returns whether an endpoint closes a connection on which nothing was sent.
async fn closes_soon(mut connection: TcpStream) -> bool {
    let mut byte = [0; 1];
    let closed = timeout(PROBE_CLOSE_TIMEOUT, connection.read(&mut byte)).await;
    matches!(closed, Ok(Ok(0) | Err(_)))
}

/// Records that some process listened at an endpoint's address at `listened_at`.
fn record_listening(shared: &Shared, endpoint: &EndpointInstance, listened_at: TimeUs) {
    let instance_name = instance_short_name(endpoint);
    let mut evidence = shared.crash_evidence.lock();
    evidence.record_listening(instance_name, listened_at);
}

/// Records that an endpoint has answered a call that was sent at `sent_at`.
///
/// An answer names the endpoint, not the start of its process. Where an endpoint keeps its id over a
/// restart, it may be its next start.
pub(super) fn record_answering(shared: &Shared, endpoint: &EndpointInstance, sent_at: TimeUs) {
    match endpoint.start {
        None => record_alive(shared, endpoint, sent_at),
        Some(_) => record_listening(shared, endpoint, sent_at),
    }
}

/// Records that an endpoint's process itself was running at `alive_at`. Answers without a length that
/// ended before are whole.
pub(super) fn record_alive(shared: &Shared, endpoint: &EndpointInstance, alive_at: TimeUs) {
    let instance_name = instance_short_name(endpoint);
    let answered = {
        let mut evidence = shared.crash_evidence.lock();
        evidence.record_alive(instance_name, alive_at)
    };
    shared.crash_evidence_changed.notify_waiters();
    for attributes in answered {
        record_progress(shared, &attributes, AnswerProgress::WHOLE);
    }
}

/// Records that an endpoint's process ended without announcing it.
pub(super) fn on_crash(shared: &Shared, endpoint: &EndpointInstance, evidence: EvidenceKind) {
    on_named_crash(
        shared,
        instance_short_name(endpoint),
        &endpoint.to_string(),
        evidence,
    );
}

/// Records a crash against all calls of this daemon that were in flight at the endpoint.
fn on_named_crash(shared: &Shared, instance_name: u32, endpoint: &str, evidence: EvidenceKind) {
    let calls_in_flight = shared
        .crash_evidence
        .lock()
        .record_crash(instance_name, shared.now());
    shared.crash_evidence_changed.notify_waiters();
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

/// Counts a crash that this daemon observed against calls, and gossips it at once.
fn record_crash_suspects(shared: &Shared, calls: &[BrokenCall], instance_name: u32) {
    let now = shared.now();
    let blocks = {
        let mut suspects = shared.suspects.lock();
        for call in calls {
            let crash = Crash {
                instance: instance_name,
                progress: call.progress,
            };
            for attribute in call.attributes.iter() {
                suspects.record_crash(attribute, crash, true, now);
            }
        }
        suspects.block_due(now)
    };
    record_new_blocks(shared, blocks);
    shared.peers.wake_sender.notify_one();
}

fn record_new_blocks(shared: &Shared, blocks: Vec<NewBlock>) {
    for block in blocks {
        let source = match block.is_direct {
            true => BlockSource::Own,
            false => BlockSource::Peer,
        };
        record_blocked(shared, block.attribute, source);
    }
}

/// Blocks what has become suspect enough by the time that has passed.
pub(super) fn block_due_suspects(shared: &Shared) {
    let blocks = shared.suspects.lock().block_due(shared.now());
    record_new_blocks(shared, blocks);
}

/// Applies another daemon's report of calls under which endpoints crash.
///
/// A reported crash also counts against the calls of this daemon whose connections broke at that
/// endpoint.
pub(super) fn apply_suspect_update(shared: &Shared, update: &SuspectUpdate) {
    for crash in &update.crashes {
        let endpoint = format!("{:08x}", crash.endpoint);
        on_named_crash(shared, crash.endpoint, &endpoint, EvidenceKind::Reported);
    }
    let changes = shared
        .suspects
        .lock()
        .apply_peer_update(update, shared.now());
    record_new_blocks(shared, changes.blocked);
    for attribute in changes.unblocked {
        record_unblocked(shared, attribute, UnblockReason::Peer);
    }
}

/// Records that a successful answer without a length ended with its connection.
///
/// A crash ends it in the same way. If such an end counted as an answer, a request that crashes
/// endpoints would seem to be answered by each of them and be cleared each time. So it counts once the
/// process is known to be still running.
pub(super) fn record_unframed_end(
    shared: &Arc<Shared>,
    call: &Call,
    placement: &Placement,
    progress: AnswerProgress,
) {
    if is_leaving(shared, placement) {
        return;
    }
    let ended_call = BrokenCall {
        attributes: call.attributes.clone(),
        progress,
    };
    let verdict = {
        let instance_name = instance_short_name(&placement.endpoint);
        let mut evidence = shared.crash_evidence.lock();
        evidence.record_answer_end(instance_name, ended_call.clone(), shared.now())
    };
    apply_verdict(shared, placement, ended_call, verdict);
}

/// Records how far an answer got, which clears the call's attributes of crashes.
pub(super) fn record_progress(
    shared: &Shared,
    attributes: &CallAttributes,
    progress: AnswerProgress,
) {
    let unblocked = {
        let mut suspects = shared.suspects.lock();
        suspects.record_progress(attributes, progress, shared.now())
    };
    for attribute in unblocked {
        record_unblocked(shared, attribute, UnblockReason::Answered);
    }
}
