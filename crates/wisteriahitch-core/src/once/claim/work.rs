//! Pending claims and outcomes of one shard.

use std::collections::BTreeMap;
use std::sync::Arc;

use wisteriahitch_types::{ByteCount, Incarnation, KeyHash, TimeUs, WorkspaceId};

use super::request::ClaimRequest;
use super::{ClaimEntry, ClaimLimits, ClaimObject, ClaimShard, ClaimState, ClaimTime};
use crate::once::{ClaimHolder, ClaimNonce, ExistingClaim, ShardSnapshot};

/// The platform call of a shard that is in progress.
#[derive(Clone, Debug, Default)]
pub(crate) enum Phase {
    /// No call.
    #[default]
    Idle,
    /// A read of the object.
    Reading,
    /// A conditional write of this content.
    Writing(Arc<ClaimObject>),
    /// No call until the delay after a conflict has passed.
    BackingOff,
}

impl Phase {
    fn name(&self) -> &'static str {
        match self {
            Phase::Idle => "none",
            Phase::Reading => "read",
            Phase::Writing(_) => "write",
            Phase::BackingOff => "back_off",
        }
    }
}

/// An outcome that is to be written to its claim.
#[derive(Clone, Debug)]
struct PendingOutcome {
    nonce: ClaimNonce,
    state: ClaimState,
}

/// Who holds the claim on a request's key in a version of the object: this request, another claim,
/// or none.
pub(crate) enum ClaimStatus {
    Ours,
    Other(ExistingClaim),
    Absent,
}

/// Requests and outcomes that wait for the object of one shard.
///
/// A request stays here until a version of the object shows who holds the claim. Such a version
/// becomes known by a successful write or by a read. Both call [`resolve`](Self::resolve), so that
/// lost answers need no separate handling.
#[derive(Debug, Default)]
pub(crate) struct ShardWork {
    pub(crate) phase: Phase,
    pub(crate) conflicts: u32,
    requests: Vec<ClaimRequest>,
    outcomes: BTreeMap<KeyHash, PendingOutcome>,
}

impl ShardWork {
    pub(crate) fn is_idle(&self) -> bool {
        matches!(self.phase, Phase::Idle)
    }

    pub(crate) fn has_work(&self) -> bool {
        !self.requests.is_empty() || !self.outcomes.is_empty()
    }

    pub(crate) fn has_requests(&self) -> bool {
        !self.requests.is_empty()
    }

    pub(crate) fn snapshot(&self, shard: ClaimShard) -> ShardSnapshot {
        ShardSnapshot {
            shard,
            call: self.phase.name(),
            requests: self.requests.len(),
            outcomes: self.outcomes.len(),
        }
    }

    pub(crate) fn push(&mut self, request: ClaimRequest) {
        self.requests.retain(|other| other.hash != request.hash);
        self.requests.push(request);
    }

    /// Adds an outcome, or discards it if `max_pending_outcomes` are pending already.
    pub(crate) fn push_outcome(
        &mut self,
        hash: KeyHash,
        nonce: ClaimNonce,
        state: ClaimState,
        max_pending_outcomes: usize,
    ) {
        if self.outcomes.len() < max_pending_outcomes {
            self.outcomes.insert(hash, PendingOutcome { nonce, state });
        }
    }

    pub(crate) fn take_requests(&mut self) -> Vec<ClaimRequest> {
        std::mem::take(&mut self.requests)
    }

    pub(crate) fn remove_requested_before(&mut self, earliest: TimeUs) -> Vec<ClaimRequest> {
        self.remove_matching(|request| request.requested_at < earliest)
    }

    /// Counts a failed write for each request, and removes and returns those that reached the
    /// limit.
    pub(crate) fn record_failed_write(&mut self, max_write_attempts: u32) -> Vec<ClaimRequest> {
        for request in &mut self.requests {
            request.write_attempts += 1;
        }
        self.remove_matching(|request| request.write_attempts >= max_write_attempts)
    }

    /// Removes and returns the requests whose claim this version of the object decides. Also
    /// removes outcomes that no longer need to be written.
    pub(crate) fn resolve(
        &mut self,
        object: &ClaimObject,
        own: Incarnation,
        limits: &ClaimLimits,
        time: ClaimTime,
    ) -> Vec<(ClaimRequest, ClaimStatus)> {
        self.outcomes.retain(|hash, outcome| {
            let entry = object.entries.get(hash);
            entry.is_some_and(|e| e.is_own(own, outcome.nonce) && e.state == ClaimState::Claimed)
        });
        let (open, decided) = self
            .take_requests()
            .into_iter()
            .map(|request| {
                let status = find_claim_status(object, &request, own, limits, time);
                (request, status)
            })
            .partition(|(_, status)| matches!(status, ClaimStatus::Absent));
        let open: Vec<(ClaimRequest, ClaimStatus)> = open;
        self.requests = open.into_iter().map(|(request, _)| request).collect();
        decided
    }

    /// Builds the next content of the object, and removes and returns the requests that do not fit.
    pub(crate) fn build_content(
        &mut self,
        base: &ClaimObject,
        holder: &ClaimHolder,
        limits: &ClaimLimits,
        time: ClaimTime,
    ) -> (ClaimObject, Vec<ClaimRequest>) {
        let mut content = base.clone();
        content.remove_expired(limits.retention_ms, time.wall_ms);
        let mut size_bytes = content.json_bytes_bound();
        let mut workspace_bytes: BTreeMap<WorkspaceId, ByteCount> = BTreeMap::new();
        let mut rejected = Vec::new();
        for request in &self.requests {
            let entry = new_entry(request, holder, time);
            let entry_bytes = entry.json_bytes_bound();
            let workspace = request.key.workspace();
            let own_bytes = workspace_bytes
                .entry(workspace.clone())
                .or_insert_with(|| content.workspace_bytes(workspace));
            let is_full = size_bytes + entry_bytes > limits.max_object_bytes;
            if is_full || *own_bytes + entry_bytes > limits.max_workspace_bytes {
                rejected.push(request.hash);
                continue;
            }
            size_bytes += entry_bytes;
            *own_bytes += entry_bytes;
            content.entries.insert(request.hash, entry);
        }
        self.write_outcomes(&mut content, limits);
        let refused = self.remove_matching(|request| rejected.contains(&request.hash));
        (content, refused)
    }

    fn write_outcomes(&self, content: &mut ClaimObject, limits: &ClaimLimits) {
        let mut size_bytes = content.json_bytes_bound();
        for (hash, outcome) in &self.outcomes {
            let Some(entry) = content.entries.get_mut(hash) else {
                continue;
            };
            let before_bytes = entry.json_bytes_bound();
            entry.state = outcome.state.clone();
            let grown_bytes = size_bytes - before_bytes + entry.json_bytes_bound();
            if grown_bytes > limits.max_object_bytes {
                entry.state = without_body(&outcome.state);
            }
            size_bytes = size_bytes - before_bytes + entry.json_bytes_bound();
        }
    }

    fn remove_matching(&mut self, is_match: impl Fn(&ClaimRequest) -> bool) -> Vec<ClaimRequest> {
        let (removed, remaining) = self.take_requests().into_iter().partition(is_match);
        self.requests = remaining;
        removed
    }
}

fn find_claim_status(
    object: &ClaimObject,
    request: &ClaimRequest,
    own: Incarnation,
    limits: &ClaimLimits,
    time: ClaimTime,
) -> ClaimStatus {
    let Some(entry) = object.entries.get(&request.hash) else {
        return ClaimStatus::Absent;
    };
    let is_own = entry.is_own(own, request.nonce);
    // This daemon's own claim is valid only for the guaranteed time. After that, another daemon
    // whose clock is ahead may remove it at any moment and claim the key for itself.
    if is_own && entry.is_younger_than(limits.guarantee_ms, time.wall_ms) {
        return ClaimStatus::Ours;
    }
    if is_own || entry.is_younger_than(limits.retention_ms, time.wall_ms) {
        return ClaimStatus::Other(entry.to_existing_claim());
    }
    ClaimStatus::Absent
}

fn new_entry(request: &ClaimRequest, holder: &ClaimHolder, time: ClaimTime) -> ClaimEntry {
    ClaimEntry {
        workspace: request.key.workspace().clone(),
        fingerprint: request.fingerprint,
        owner: holder.owner.clone(),
        incarnation: holder.incarnation,
        nonce: request.nonce,
        address: holder.address,
        claimed_at_ms: time.wall_ms,
        state: ClaimState::Claimed,
    }
}

fn without_body(state: &ClaimState) -> ClaimState {
    match state {
        ClaimState::Finished { status, .. } => ClaimState::Finished {
            status: *status,
            content_type: None,
            body: None,
        },
        other => other.clone(),
    }
}
