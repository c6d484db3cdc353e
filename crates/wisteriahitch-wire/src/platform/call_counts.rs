//! Counts of the calls that were sent.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;

use super::call::CallKind;

/// Counts calls to the platform since the client was built; each address tried counts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct CallCounts {
    /// Gets and listings.
    pub reads: u64,
    /// Creations, updates and deletions.
    pub writes: u64,
    /// Waiting watches.
    pub watches: u64,
    /// Calls that were not sent because the budget was used up.
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
