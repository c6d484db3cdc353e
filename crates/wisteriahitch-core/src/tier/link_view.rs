//! The state of a link that a [`LinkOrder`](super::LinkOrder) decides on.

use std::collections::BTreeMap;

use serde::Serialize;
use wisteriahitch_types::{ByteRate, DurationUs, TimeUs};

use super::{Transfer, TransferClass, TransferId};

/// A transfer in progress.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct RunningTransfer {
    /// The transfer.
    pub transfer: Transfer,
    /// Time when the transfer was started.
    pub started_at_us: TimeUs,
    /// Value of the link's integral of running transfers when this one started.
    #[serde(skip)]
    pub(super) running_integral_at_start_us: f64,
}

/// A read-only view of a link for a [`LinkOrder`](super::LinkOrder).
#[derive(Clone, Copy, Debug)]
pub struct LinkView<'a> {
    /// Queued transfers, oldest first.
    pub waiting: &'a [Transfer],
    /// Transfers in progress by id.
    pub running: &'a BTreeMap<TransferId, RunningTransfer>,
    /// Measured rate of the link.
    pub rate_bytes_per_s: ByteRate,
    /// Mean time between two imports; `None` until two have been queued.
    pub import_gap_us: Option<DurationUs>,
}

impl LinkView<'_> {
    /// Returns the number of saves and prefetches in progress.
    pub fn running_background(&self) -> usize {
        self.running
            .values()
            .filter(|running| running.transfer.class != TransferClass::Import)
            .count()
    }

    /// Returns the number of imports in progress.
    pub fn running_imports(&self) -> usize {
        self.running.len() - self.running_background()
    }
}
