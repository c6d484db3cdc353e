//! What a link shows of itself.

use std::collections::BTreeMap;

use serde::Serialize;
use wisteriahitch_types::{ByteRate, DurationUs, TimeUs};

use super::{Transfer, TransferClass, TransferId};

/// Holds a transfer that crosses the link now.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct RunningTransfer {
    /// The transfer.
    pub transfer: Transfer,
    /// When it was started.
    pub started_at_us: TimeUs,
    #[serde(skip)]
    pub(super) running_integral_at_start_us: f64,
}

/// Shows a link to a [`LinkOrder`](super::LinkOrder).
#[derive(Clone, Copy, Debug)]
pub struct LinkView<'a> {
    /// Transfers that wait, oldest first.
    pub waiting: &'a [Transfer],
    /// Transfers that cross the link.
    pub running: &'a BTreeMap<TransferId, RunningTransfer>,
    /// Rate of the link as measured.
    pub rate_bytes_per_s: ByteRate,
    /// Mean time between two imports, once two have come.
    pub import_gap_us: Option<DurationUs>,
}

impl LinkView<'_> {
    /// Returns how many transfers of background classes cross the link.
    pub fn running_background(&self) -> usize {
        self.running
            .values()
            .filter(|running| running.transfer.class != TransferClass::Import)
            .count()
    }

    /// Returns how many imports cross the link.
    pub fn running_imports(&self) -> usize {
        self.running.len() - self.running_background()
    }
}
