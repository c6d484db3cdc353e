//! Which settled keys are kept, and for how long.

use std::collections::{BTreeMap, VecDeque};

use wisteriahitch_types::{ByteCount, TimeUs, WorkspaceId};

use super::IdempotencyKey;

/// Holds a settled key's place in the order of settling.
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

/// Orders settled keys by workspace and age.
///
/// When room runs out, the workspace that takes most gives up its oldest: otherwise one customer
/// with many large answers would push out the answers of all others.
#[derive(Default)]
pub(crate) struct RetentionQueue {
    workspaces: BTreeMap<WorkspaceId, WorkspaceQueue>,
    cost_bytes: ByteCount,
    next_settle_sequence: u64,
}

impl RetentionQueue {
    /// Takes in a key that settled at `now` and returns the number of its place.
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

    /// Takes out a place that settled before `limit`, if there is one.
    pub(crate) fn pop_older_than(&mut self, settled_before: TimeUs) -> Option<RetainedKey> {
        let is_old = |queue: &WorkspaceQueue| {
            let oldest = queue.keys.front();
            oldest.is_some_and(|retained| retained.settled_us < settled_before)
        };
        let found = self.workspaces.iter().find(|(_, queue)| is_old(queue));
        let workspace = found.map(|(workspace, _)| workspace.clone())?;
        self.pop_oldest(&workspace)
    }

    /// Takes out a place while more than `room` is taken.
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
