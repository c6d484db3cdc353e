//! Counters of the calls to the platform.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;

use super::call::CallKind;

/// Numbers of calls to the platform since the client was built. A call that is sent to several
/// addresses counts once for each.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct CallCounts {
    /// Number of gets and lists.
    pub reads: u64,
    /// Number of creations, updates and deletions.
    pub writes: u64,
    /// Number of watches.
    pub watches: u64,
    /// Number of calls that were not sent because this process's rate limit was exhausted.
    pub over_budget: u64,
}

#[derive(Debug, Default)]
pub(crate) struct CallCounter {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
    over_budget: AtomicU64,
}

impl CallCounter {
    pub(crate) fn count_sent(&self, kind: CallKind) {
        let counter = match kind {
            CallKind::Read => &self.reads,
            CallKind::Write => &self.writes,
            CallKind::Watch => &self.watches,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_over_budget(&self) {
        self.over_budget.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn counts(&self) -> CallCounts {
        CallCounts {
            reads: self.reads.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
            watches: self.watches.load(Ordering::Relaxed),
            over_budget: self.over_budget.load(Ordering::Relaxed),
        }
    }
}
