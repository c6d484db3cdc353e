//! A link that its transfers share evenly.

use wisteriahitch_core::tier::TierEvent;

/// Holds a transfer that crosses.
#[derive(Debug)]
struct Crossing {
    left_bytes: f64,
    then: TierEvent,
}

/// Holds the link and what crosses it.
#[derive(Debug)]
pub(crate) struct Wire {
    bytes_per_us: f64,
    crossings: Vec<Crossing>,
    now_us: u64,
}

impl Wire {
    pub(crate) fn new(bytes_per_s: f64) -> Self {
        Self {
            bytes_per_us: bytes_per_s / 1e6,
            crossings: Vec::new(),
            now_us: 0,
        }
    }

    pub(crate) fn add(&mut self, bytes: f64, then: TierEvent, now_us: u64) {
        self.advance(now_us);
        self.crossings.push(Crossing {
            left_bytes: bytes,
            then,
        });
    }

    /// Returns when the next transfer has crossed.
    pub(crate) fn next_us(&self) -> Option<u64> {
        let least = self
            .crossings
            .iter()
            .map(|crossing| crossing.left_bytes)
            .min_by(f64::total_cmp)?;
        let share = self.bytes_per_us / self.crossings.len() as f64;
        Some(self.now_us + (least / share).ceil() as u64)
    }

    /// Takes one transfer that has crossed by now.
    pub(crate) fn take_crossed(&mut self, now_us: u64) -> Option<TierEvent> {
        self.advance(now_us);
        let index = self
            .crossings
            .iter()
            .position(|crossing| crossing.left_bytes <= 1.0)?;
        Some(self.crossings.remove(index).then)
    }

    fn advance(&mut self, now_us: u64) {
        let span_us = now_us.saturating_sub(self.now_us) as f64;
        let share = self.bytes_per_us / self.crossings.len().max(1) as f64;
        for crossing in &mut self.crossings {
            crossing.left_bytes -= span_us * share;
        }
        self.now_us = now_us;
    }
}
