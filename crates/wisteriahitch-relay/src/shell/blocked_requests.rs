//! Stores which requests and prompt parts are blocked, so that blocks survive a restart of all
//! daemons, and lets operators lift them.
//!
//! Daemons gossip blocks continuously. The store is read only at startup and written once for each
//! block.

use std::collections::{HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::sync::Notify;
use wisteriahitch_types::DurationUs;
use wisteriahitch_wire::object_store::{ObjectRole, Reception, StoredObject, UnreadableKind};
use wisteriahitch_wire::platform::{PlatformError, PlatformErrorKind};

use super::shared::Shared;
use super::store_updates::{log_skipped_objects, log_unreadable_object};
use crate::observe::Event;
use crate::site::{CallAttribute, CallAttributes};

/// Path of the blocked attributes on the peer server. Followed by `/` and a fingerprint or part, it
/// names one of them.
pub(super) const BLOCKED_PATH: &str = "/v1/blocked-requests";

/// Interval between retries of a failed store call.
const STORE_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of changes that wait to be written. While the store is unavailable, there is one
/// for each attribute that is blocked. Changes beyond this are dropped, but the daemons still know
/// the blocks by gossip.
const MAX_PENDING_CHANGES: usize = 256;

/// Maximum number of blocks for which a daemon remembers that it wrote or restored them: more than
/// the table of suspects holds.
const MAX_STORED_BLOCKS: usize = 512;

const ROLE: ObjectRole = ObjectRole::BlockedRequests;

/// A change that is to be written to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StoreChange {
    Write(CallAttribute),
    Remove(CallAttribute),
}

/// Changes to be written, and the notification of new blocks.
#[derive(Debug, Default)]
pub(crate) struct BlockedRequests {
    /// Oldest first; at most [`MAX_PENDING_CHANGES`].
    pending_changes: Mutex<VecDeque<StoreChange>>,
    /// Blocks that this daemon wrote to the store or restored from it; at most
    /// [`MAX_STORED_BLOCKS`].
    stored: Mutex<HashSet<CallAttribute>>,
    /// Wakes the task that writes the changes.
    has_pending_changes: Notify,
    /// Notified whenever an attribute is blocked, so that calls in flight re-check theirs.
    calls_blocked: Notify,
}

impl BlockedRequests {
    fn add(&self, change: StoreChange) {
        let mut pending_changes = self.pending_changes.lock();
        if pending_changes.len() < MAX_PENDING_CHANGES {
            pending_changes.push_back(change);
        }
        drop(pending_changes);
        self.has_pending_changes.notify_one();
    }

    fn record_stored(&self, attribute: CallAttribute) {
        let mut stored = self.stored.lock();
        if stored.len() < MAX_STORED_BLOCKS {
            stored.insert(attribute);
        }
    }
}

impl Shared {
    /// Waits until one of a call's attributes is blocked, and returns it.
    ///
    /// When a request or a prompt part is blocked, calls with it may still wait in the queues of
    /// endpoints. Each of them would crash one more endpoint once it begins.
    pub(crate) async fn wait_until_blocked(&self, attributes: &CallAttributes) -> CallAttribute {
        loop {
            let calls_blocked = self.blocked_requests.calls_blocked.notified();
            let blocked = self.suspects.lock().blocked_attribute(attributes);
            if let Some(blocked) = blocked {
                return blocked;
            }
            calls_blocked.await;
        }
    }
}

/// How this daemon learned that an attribute is blocked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum BlockSource {
    /// This daemon observed one of the crashes itself.
    Own,
    /// Another daemon reported it.
    Peer,
    /// It was read from the store.
    Store,
}

impl BlockSource {
    /// Returns the label for the log.
    const fn label(self) -> &'static str {
        match self {
            BlockSource::Own => "own",
            BlockSource::Peer => "peer",
            BlockSource::Store => "store",
        }
    }
}

/// Why an attribute is no longer blocked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum UnblockReason {
    /// An endpoint answered it.
    Answered,
    /// An operator lifted the block.
    Lifted,
    /// No call with it has arrived for a long time, which all daemons notice at about the same time.
    Absent {
        /// Whether this daemon is the one that removes the block from the store.
        is_remover: bool,
    },
    /// Another daemon reported that the block has ended.
    Peer,
}

impl UnblockReason {
    /// Returns the label for the log.
    const fn label(self) -> &'static str {
        match self {
            UnblockReason::Answered => "answered",
            UnblockReason::Lifted => "lifted",
            UnblockReason::Absent { .. } => "absent",
            UnblockReason::Peer => "peer",
        }
    }
}

/// Applies a new block: cancels calls in flight, gossips the block at once and, if this daemon
/// observed a crash itself, queues the write to the store.
pub(super) fn record_blocked(shared: &Shared, attribute: CallAttribute, source: BlockSource) {
    let (fingerprint, part) = logged_names(attribute);
    shared.log.write(&Event::RequestBlocked {
        fingerprint,
        part,
        source: source.label(),
    });
    shared.blocked_requests.calls_blocked.notify_waiters();
    shared.peers.wake_sender.notify_one();
    if source != BlockSource::Peer {
        shared.blocked_requests.record_stored(attribute);
    }
    if source == BlockSource::Own {
        shared.blocked_requests.add(StoreChange::Write(attribute));
    }
    update_gauge(shared);
}

/// Returns the values of the fields `fingerprint` and `part` of log lines about an attribute.
pub(super) fn logged_names(attribute: CallAttribute) -> (Option<String>, Option<String>) {
    match attribute {
        CallAttribute::Request(_) => (Some(attribute.to_string()), None),
        CallAttribute::PromptPart(_) => (None, Some(attribute.to_string())),
    }
}

/// Applies the end of a block. The daemon that ended it removes it from the store, and so does one
/// that wrote or restored it: where it was ended, it may never have been applied.
pub(super) fn record_unblocked(shared: &Shared, attribute: CallAttribute, reason: UnblockReason) {
    let (fingerprint, part) = logged_names(attribute);
    shared.log.write(&Event::RequestUnblocked {
        fingerprint,
        part,
        reason: reason.label(),
    });
    let is_stored = shared.blocked_requests.stored.lock().remove(&attribute);
    let removes = match reason {
        UnblockReason::Answered | UnblockReason::Lifted => true,
        UnblockReason::Absent { is_remover } => is_remover,
        UnblockReason::Peer => is_stored,
    };
    if removes {
        shared.blocked_requests.add(StoreChange::Remove(attribute));
    }
    update_gauge(shared);
}

fn update_gauge(shared: &Shared) {
    let count = shared.suspects.lock().blocked_count();
    let gauge = &shared.metrics.blocked_requests;
    gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
}

/// Ends blocks of attributes that haven't arrived for a long time.
pub(super) fn expire_blocks(shared: &Shared) {
    let now = shared.now();
    let expired = shared.suspects.lock().tick(now);
    for attribute in expired {
        let is_remover = shared.peers.query_rank(ROLE, shared.settings.ip, now).place == 0;
        record_unblocked(shared, attribute, UnblockReason::Absent { is_remover });
    }
}

/// Queues the writes of all known blocks if this daemon is the one that does so, after the store has
/// returned with an older copy. Blocks that the copy has are left as they are.
pub(super) fn write_blocks_again(shared: &Shared) {
    let now = shared.now();
    if shared.peers.query_rank(ROLE, shared.settings.ip, now).place > 0 {
        return;
    }
    let blocked = shared.suspects.lock().blocked(now);
    for (attribute, _) in blocked {
        shared.blocked_requests.add(StoreChange::Write(attribute));
    }
}

/// Restores the stored blocks, then writes changes to the store until the process ends.
pub(crate) async fn run_blocked_requests(shared: Arc<Shared>) {
    restore(&shared).await;
    loop {
        let change = shared.blocked_requests.pending_changes.lock().pop_front();
        let Some(change) = change else {
            shared.blocked_requests.has_pending_changes.notified().await;
            continue;
        };
        while let Err(error) = apply_change(&shared, change).await {
            shared.log.write(&Event::Failure {
                what: "storing a change of a block",
                detail: error.to_string(),
            });
            tokio::time::sleep(STORE_RETRY_INTERVAL).await;
        }
    }
}

async fn restore(shared: &Shared) {
    let listing = loop {
        match shared
            .borders
            .store
            .list(ROLE, false, &Reception::default())
            .await
        {
            Ok(listing) => break listing,
            Err(error) => shared.log.write(&Event::Failure {
                what: "listing the blocks",
                detail: error.to_string(),
            }),
        }
        tokio::time::sleep(STORE_RETRY_INTERVAL).await;
    };
    log_skipped_objects(shared, ROLE, &listing.skipped);
    for object in listing.objects {
        let Some(attribute) = parse_name(shared, &object) else {
            continue;
        };
        if shared
            .suspects
            .lock()
            .restore_block(attribute, shared.now())
        {
            record_blocked(shared, attribute, BlockSource::Store);
        }
    }
}

fn parse_name(shared: &Shared, object: &StoredObject) -> Option<CallAttribute> {
    match object.name.parse() {
        Ok(attribute) => Some(attribute),
        Err(error) => {
            let detail = error.to_string();
            log_unreadable_object(shared, ROLE, &object.name, UnreadableKind::Name, detail);
            None
        }
    }
}

async fn apply_change(shared: &Shared, change: StoreChange) -> Result<(), PlatformError> {
    match change {
        StoreChange::Write(attribute) => write(shared, attribute).await,
        StoreChange::Remove(attribute) => remove(shared, attribute).await,
    }
}

async fn write(shared: &Shared, attribute: CallAttribute) -> Result<(), PlatformError> {
    if !shared.suspects.lock().is_blocked(attribute) {
        return Ok(());
    }
    let store = &shared.borders.store;
    let content = json!({"daemon": shared.settings.id});
    match store.create(ROLE, &attribute.to_string(), content).await {
        // Another daemon observed a crash as well and wrote it first.
        Err(error) if error.kind() == PlatformErrorKind::AlreadyExists => Ok(()),
        created => created.map(|_| ()),
    }
}

async fn remove(shared: &Shared, attribute: CallAttribute) -> Result<(), PlatformError> {
    let store = &shared.borders.store;
    let name = attribute.to_string();
    let Some(object) = store.get(ROLE, &name).await? else {
        return Ok(());
    };
    match store.delete(ROLE, &name, object.revision).await {
        // Another daemon removed it first.
        Err(error) if error.kind() == PlatformErrorKind::NotFound => Ok(()),
        deleted => deleted,
    }
}

/// Lists the blocked attributes and how long ago each last arrived.
pub(super) fn blocked_list(shared: &Shared) -> Vec<Value> {
    let blocked = shared.suspects.lock().blocked(shared.now());
    let to_json = |(attribute, absent_us): (CallAttribute, DurationUs)| {
        let kind = match attribute {
            CallAttribute::Request(_) => "fingerprint",
            CallAttribute::PromptPart(_) => "part",
        };
        json!({kind: attribute.to_string(), "absent_ms": absent_us.as_ms()})
    };
    blocked.into_iter().map(to_json).collect()
}

/// Lifts the block of the attribute that `path` names, on an operator's order. Returns `None` if it
/// names none that is blocked.
pub(super) fn lift(shared: &Shared, path: &str) -> Option<Bytes> {
    let name = path.strip_prefix(BLOCKED_PATH)?.strip_prefix('/')?;
    let attribute: CallAttribute = name.parse().ok()?;
    let was_blocked = shared.suspects.lock().lift_block(attribute, shared.now());
    if !was_blocked {
        return None;
    }
    record_unblocked(shared, attribute, UnblockReason::Lifted);
    shared.peers.wake_sender.notify_one();
    Some(Bytes::new())
}
