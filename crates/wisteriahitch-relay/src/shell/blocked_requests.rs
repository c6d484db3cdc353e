//! Writing down which requests are blocked, so that it outlasts all daemons, and an operator's way to lift that.
//!
//! Daemons tell each other of blocked requests all the time; the store is read at the start alone and written once
//! for each.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::sync::Notify;
use wisteriahitch_types::DurationUs;
use wisteriahitch_wire::object_store::{ObjectRole, StoredObject, UnreadableKind};
use wisteriahitch_wire::platform::{PlatformError, PlatformErrorKind};

use super::shared::Shared;
use super::store_updates::{log_skipped_objects, log_unreadable_object};
use crate::observe::Event;
use crate::site::RequestFingerprint;

/// Path of the blocked requests on the peers' side; with a fingerprint behind it, of one.
pub(super) const BLOCKED_PATH: &str = "/v1/blocked-requests";

/// Pause after a call of the store failed.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Steps that wait for the store. While it is away there is one for each request that is blocked meanwhile; what
/// is left out is known to the daemons all the same.
const MAX_STEPS: usize = 256;

const ROLE: ObjectRole = ObjectRole::BlockedRequests;

/// A change that is to be written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StoreStep {
    Write(RequestFingerprint),
    Remove(RequestFingerprint),
}

/// What is to be written, and who waits for requests to be blocked.
#[derive(Debug, Default)]
pub(crate) struct BlockedRequests {
    steps: Mutex<VecDeque<StoreStep>>,
    has_steps: Notify,
    /// Wakes the calls that are under way when a request is blocked.
    changed: Notify,
}

impl BlockedRequests {
    fn add(&self, step: StoreStep) {
        let mut steps = self.steps.lock();
        if steps.len() < MAX_STEPS {
            steps.push_back(step);
        }
        drop(steps);
        self.has_steps.notify_one();
    }
}

impl Shared {
    /// Waits until a request is blocked.
    ///
    /// Copies of it wait in the queues of endpoints when it is; each would end one more endpoint once it begins.
    pub(crate) async fn request_blocked(&self, request: RequestFingerprint) {
        loop {
            let changed = self.blocked_requests.changed.notified();
            if self.suspects.lock().is_blocked(request) {
                return;
            }
            changed.await;
        }
    }
}

/// Says how a daemon got to know that a request is blocked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum BlockSource {
    /// It saw one of the crashes itself.
    Own,
    /// Others told it.
    Peer,
    /// It is written in the store.
    Store,
}

impl BlockSource {
    /// Returns the word for the log.
    const fn label(self) -> &'static str {
        match self {
            BlockSource::Own => "own",
            BlockSource::Peer => "peer",
            BlockSource::Store => "store",
        }
    }
}

/// Says why a request is no longer blocked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum UnblockReason {
    /// An endpoint has answered it.
    Answered,
    /// An operator has ordered it.
    Lifted,
    /// It hasn't come for long.
    Absent,
    /// Another daemon told so.
    Peer,
}

impl UnblockReason {
    /// Returns the word for the log.
    const fn label(self) -> &'static str {
        match self {
            UnblockReason::Answered => "answered",
            UnblockReason::Lifted => "lifted",
            UnblockReason::Absent => "absent",
            UnblockReason::Peer => "peer",
        }
    }
}

/// Follows a request being blocked: calls under way end, the others hear of it at once, and who saw a crash writes it
/// down.
pub(super) fn note_blocked(shared: &Shared, request: RequestFingerprint, source: BlockSource) {
    shared.log.write(&Event::RequestBlocked {
        fingerprint: request.to_string(),
        source: source.label(),
    });
    shared.blocked_requests.changed.notify_waiters();
    shared.peers.wake_sender.notify_one();
    if source == BlockSource::Own {
        shared.blocked_requests.add(StoreStep::Write(request));
    }
    count(shared);
}

/// Follows a request being sent again. Who ended the block takes it out of the store.
pub(super) fn note_unblocked(shared: &Shared, request: RequestFingerprint, reason: UnblockReason) {
    shared.log.write(&Event::RequestUnblocked {
        fingerprint: request.to_string(),
        reason: reason.label(),
    });
    if reason != UnblockReason::Peer {
        shared.blocked_requests.add(StoreStep::Remove(request));
    }
    count(shared);
}

fn count(shared: &Shared) {
    let count = shared.suspects.lock().blocked_count();
    let gauge = &shared.metrics.blocked_requests;
    gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
}

/// Ends blocks of requests that haven't come for long.
pub(super) fn tick(shared: &Shared) {
    let now = shared.now();
    let over = shared.suspects.lock().tick(now);
    for request in over {
        // All daemons end it at about the same time, and one of them takes it out of the store.
        let is_first = shared.peers.store_query_rank(ROLE, shared.settings.ip, now) == 0;
        let reason = match is_first {
            true => UnblockReason::Absent,
            false => UnblockReason::Peer,
        };
        note_unblocked(shared, request, reason);
    }
}

/// Takes over what is written, and then writes what changes, for as long as the process lives.
pub(crate) async fn run_blocked_requests(shared: Arc<Shared>) {
    restore(&shared).await;
    loop {
        let step = shared.blocked_requests.steps.lock().pop_front();
        let Some(step) = step else {
            shared.blocked_requests.has_steps.notified().await;
            continue;
        };
        while let Err(error) = carry_out(&shared, step).await {
            shared.log.write(&Event::Failure {
                what: "writing down a blocked request",
                detail: error.to_string(),
            });
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

async fn restore(shared: &Shared) {
    let listing = loop {
        match shared.borders.store.list(ROLE, false).await {
            Ok(listing) => break listing,
            Err(error) => shared.log.write(&Event::Failure {
                what: "listing the blocked requests",
                detail: error.to_string(),
            }),
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    };
    log_skipped_objects(shared, ROLE, &listing.skipped);
    for object in listing.objects {
        let Some(request) = named(shared, &object) else {
            continue;
        };
        if shared.suspects.lock().restored(request, shared.now()) {
            note_blocked(shared, request, BlockSource::Store);
        }
    }
}

fn named(shared: &Shared, object: &StoredObject) -> Option<RequestFingerprint> {
    match object.name.parse() {
        Ok(request) => Some(request),
        Err(error) => {
            let detail = error.to_string();
            log_unreadable_object(shared, ROLE, &object.name, UnreadableKind::Name, detail);
            None
        }
    }
}

async fn carry_out(shared: &Shared, step: StoreStep) -> Result<(), PlatformError> {
    match step {
        StoreStep::Write(request) => write(shared, request).await,
        StoreStep::Remove(request) => remove(shared, request).await,
    }
}

async fn write(shared: &Shared, request: RequestFingerprint) -> Result<(), PlatformError> {
    if !shared.suspects.lock().is_blocked(request) {
        return Ok(());
    }
    let store = &shared.borders.store;
    let content = json!({"daemon": shared.settings.id});
    match store.create(ROLE, &request.to_string(), content).await {
        // Another daemon saw a crash too.
        Err(error) if error.kind() == PlatformErrorKind::AlreadyExists => Ok(()),
        created => created.map(|_| ()),
    }
}

async fn remove(shared: &Shared, request: RequestFingerprint) -> Result<(), PlatformError> {
    let store = &shared.borders.store;
    let name = request.to_string();
    let Some(object) = store.get(ROLE, &name).await? else {
        return Ok(());
    };
    match store.delete(ROLE, &name, object.revision).await {
        // Another daemon was first.
        Err(error) if error.kind() == PlatformErrorKind::NotFound => Ok(()),
        deleted => deleted,
    }
}

/// Shows the blocked requests, and for how long each hasn't come.
pub(super) fn blocked_list(shared: &Shared) -> Vec<Value> {
    let blocked = shared.suspects.lock().blocked(shared.now());
    let show = |(request, absent_us): (RequestFingerprint, DurationUs)| json!({"fingerprint": request.to_string(), "absent_ms": absent_us.as_ms()});
    blocked.into_iter().map(show).collect()
}

/// Carries out an operator's order to send a request again; nothing where the path names no blocked one.
pub(super) fn lift(shared: &Shared, path: &str) -> Option<Bytes> {
    let request = path.strip_prefix(BLOCKED_PATH)?.strip_prefix('/')?;
    let request: RequestFingerprint = request.parse().ok()?;
    let was_blocked = shared.suspects.lock().lift(request, shared.now());
    if !was_blocked {
        return None;
    }
    note_unblocked(shared, request, UnblockReason::Lifted);
    shared.peers.wake_sender.notify_one();
    Some(Bytes::new())
}
