//! A simulated link whose bandwidth is divided evenly among its transfers.

use wisteriahitch_core::tier::TierEvent;

/// A transfer in progress.
#[derive(Debug)]
struct ActiveTransfer {
    remaining_bytes: f64,
    completion: TierEvent,
}

/// The link and its transfers in progress.
#[derive(Debug)]
pub(crate) struct SharedLink {
    bytes_per_us: f64,
    transfers: Vec<ActiveTransfer>,
    now_us: u64,
}

impl SharedLink {
    pub(crate) fn new(bytes_per_s: f64) -> Self {
        Self {
            bytes_per_us: bytes_per_s / 1e6,
            transfers: Vec::new(),
            now_us: 0,
        }
    }

    pub(crate) fn add(&mut self, bytes: f64, completion: TierEvent, now_us: u64) {
        self.advance(now_us);
        self.transfers.push(ActiveTransfer {
            remaining_bytes: bytes,
            completion,
        });
    }

    /// Returns the time at which the next transfer finishes.
    pub(crate) fn next_us(&self) -> Option<u64> {
        let min_bytes = self
            .transfers
            .iter()
            .map(|transfer| transfer.remaining_bytes)
            .min_by(f64::total_cmp)?;
        let bytes_per_us_each = self.bytes_per_us / self.transfers.len() as f64;
        Some(self.now_us + (min_bytes / bytes_per_us_each).ceil() as u64)
    }

    /// Removes one transfer that has finished by now, and returns its event.
    pub(crate) fn pop_finished(&mut self, now_us: u64) -> Option<TierEvent> {
        self.advance(now_us);
        let index = self
            .transfers
            .iter()
            .position(|transfer| transfer.remaining_bytes <= 1.0)?;
        Some(self.transfers.remove(index).completion)
    }

    fn advance(&mut self, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.now_us) as f64;
        let bytes_per_us_each = self.bytes_per_us / self.transfers.len().max(1) as f64;
        for transfer in &mut self.transfers {
            transfer.remaining_bytes -= elapsed_us * bytes_per_us_each;
        }
        self.now_us = now_us;
    }
}
