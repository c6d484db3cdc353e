//! The order in which outcomes of settled keys are evicted.

use std::collections::{BTreeMap, VecDeque};

use wisteriahitch_types::{ByteCount, TimeUs, WorkspaceId};

use super::IdempotencyKey;

/// A settled key in the retention queue.
#[derive(Clone, Debug)]
pub(crate) struct RetainedKey {
    pub(crate) key: IdempotencyKey,
    pub(crate) settle_sequence: u64,
    settled_us: TimeUs,
    cost_bytes: ByteCount,
}

#[derive(Default)]
struct WorkspaceQueue {
    keys: VecDeque<RetainedKey>,
    cost_bytes: ByteCount,
}

/// Settled keys in the order in which they were settled, one queue per workspace.
///
/// Over the memory limit, the oldest key of the workspace that uses the most memory is evicted.
/// Otherwise one customer with many large answers would evict the answers of all others.
#[derive(Default)]
pub(crate) struct RetentionQueue {
    workspaces: BTreeMap<WorkspaceId, WorkspaceQueue>,
    cost_bytes: ByteCount,
    next_settle_sequence: u64,
}

impl RetentionQueue {
    /// Appends a key that was settled at `now` and returns its sequence number.
    pub(crate) fn push(&mut self, key: &IdempotencyKey, cost_bytes: ByteCount, now: TimeUs) -> u64 {
        let settle_sequence = self.next_settle_sequence;
        self.next_settle_sequence += 1;
        let queue = self.workspaces.entry(key.workspace().clone()).or_default();
        queue.cost_bytes += cost_bytes;
        self.cost_bytes += cost_bytes;
        queue.keys.push_back(RetainedKey {
            key: key.clone(),
            settle_sequence,
            settled_us: now,
            cost_bytes,
        });
        settle_sequence
    }

    /// Removes and returns a key that was settled before `settled_before`, if there is one.
    pub(crate) fn pop_older_than(&mut self, settled_before: TimeUs) -> Option<RetainedKey> {
        let is_old = |queue: &WorkspaceQueue| {
            let oldest = queue.keys.front();
            oldest.is_some_and(|retained| retained.settled_us < settled_before)
        };
        let found = self.workspaces.iter().find(|(_, queue)| is_old(queue));
        let workspace = found.map(|(workspace, _)| workspace.clone())?;
        self.pop_oldest(&workspace)
    }

    /// Removes and returns the oldest key of the largest workspace if the total exceeds
    /// `limit_bytes`.
    pub(crate) fn pop_over_limit(&mut self, limit_bytes: ByteCount) -> Option<RetainedKey> {
        if self.cost_bytes <= limit_bytes {
            return None;
        }
        let largest = self.workspaces.iter().max_by_key(|(_, s)| s.cost_bytes);
        let workspace = largest.map(|(workspace, _)| workspace.clone())?;
        self.pop_oldest(&workspace)
    }

    pub(crate) fn cost_bytes(&self) -> ByteCount {
        self.cost_bytes
    }

    fn pop_oldest(&mut self, workspace: &WorkspaceId) -> Option<RetainedKey> {
        let queue = self.workspaces.get_mut(workspace)?;
        let retained = queue.keys.pop_front()?;
        queue.cost_bytes = queue.cost_bytes - retained.cost_bytes;
        self.cost_bytes = self.cost_bytes - retained.cost_bytes;
        if queue.keys.is_empty() {
            self.workspaces.remove(workspace);
        }
        Some(retained)
    }
}
