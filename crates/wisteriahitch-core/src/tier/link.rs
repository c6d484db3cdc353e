//! The limited link to one store VM.

use std::collections::BTreeMap;

use wisteriahitch_types::{ByteCount, ByteRate, DurationUs, TimeUs};

use super::{LinkView, RunningTransfer, Transfer, TransferClass, TransferId};

/// Weighs a new sample of the link's rate: a slowed link shows after about five transfers.
const RATE_SAMPLE_WEIGHT: f64 = 0.25;

/// Weighs a new sample of the time between two imports.
const IMPORT_GAP_SAMPLE_WEIGHT: f64 = 0.2;

/// Window over which the busy share of the link is taken.
const BUSY_TIME_CONSTANT_US: f64 = 30_000_000.0;

/// Bounds the queue; beyond it an import is recomputed and a save left out.
const MAX_QUEUED: usize = 1_024;

/// Floor of the measured rate, so that an estimate stays finite.
const MIN_RATE_BYTES_PER_S: f64 = 1.0;

/// Holds the queue, the running transfers and the measured rate of one link.
#[derive(Debug)]
pub struct Link {
    configured_bytes_per_s: ByteRate,
    measured_bytes_per_s: f64,
    waiting: Vec<Transfer>,
    running: BTreeMap<TransferId, RunningTransfer>,
    /// Sum over time of the number of running transfers.
    running_integral_us: f64,
    updated_at_us: TimeUs,
    last_import_at_us: Option<TimeUs>,
    import_gap_us: Option<f64>,
    total_busy_us: f64,
    busy_share: f64,
    other_daemons_bytes: f64,
}

impl Link {
    pub(crate) fn new(rate: ByteRate) -> Self {
        Self {
            configured_bytes_per_s: rate,
            measured_bytes_per_s: rate.as_f64().max(MIN_RATE_BYTES_PER_S),
            waiting: Vec::new(),
            running: BTreeMap::new(),
            running_integral_us: 0.0,
            updated_at_us: TimeUs::ZERO,
            last_import_at_us: None,
            import_gap_us: None,
            total_busy_us: 0.0,
            busy_share: 0.0,
            other_daemons_bytes: 0.0,
        }
    }

    /// Takes a newly configured rate; the measured one starts from it again.
    pub(crate) fn configure(&mut self, rate: ByteRate) {
        if rate != self.configured_bytes_per_s {
            self.configured_bytes_per_s = rate;
            self.measured_bytes_per_s = rate.as_f64().max(MIN_RATE_BYTES_PER_S);
        }
    }

    /// Returns the rate as measured from finished transfers.
    pub fn rate(&self) -> ByteRate {
        ByteRate::new(self.measured_bytes_per_s as u64)
    }

    /// Returns the rate that the configuration gives.
    pub fn configured_rate(&self) -> ByteRate {
        self.configured_bytes_per_s
    }

    /// Returns the transfers that wait, oldest first.
    pub fn waiting(&self) -> &[Transfer] {
        &self.waiting
    }

    /// Returns the transfers that cross the link.
    pub fn running(&self) -> impl Iterator<Item = &RunningTransfer> {
        self.running.values()
    }

    pub(crate) fn view(&self) -> LinkView<'_> {
        LinkView {
            waiting: &self.waiting,
            running: &self.running,
            rate_bytes_per_s: self.rate(),
            import_gap_us: self.import_gap_us.map(|gap| DurationUs::new(gap as u64)),
        }
    }

    pub(crate) fn running_len(&self) -> usize {
        self.running.len()
    }

    /// Returns how long the link has carried transfers of this daemon.
    pub fn busy_time(&self, now: TimeUs) -> DurationUs {
        let running_us = match self.running.is_empty() {
            true => 0.0,
            false => now.since(self.updated_at_us).as_f64(),
        };
        DurationUs::new((self.total_busy_us + running_us) as u64)
    }

    /// Returns the part of the last minute or so in which the link carried anything.
    pub fn busy_share(&self, now: TimeUs) -> f64 {
        let span_us = now.since(self.updated_at_us).as_f64();
        self.busy_share_after(span_us)
    }

    fn busy_share_after(&self, span_us: f64) -> f64 {
        let is_busy = f64::from(u8::from(!self.running.is_empty()));
        let kept = (-span_us / BUSY_TIME_CONSTANT_US).exp();
        is_busy + (self.busy_share - is_busy) * kept
    }

    pub(crate) fn enqueue(&mut self, transfer: Transfer) -> bool {
        if self.waiting.len() >= MAX_QUEUED {
            return false;
        }
        if transfer.class == TransferClass::Import {
            self.record_import(transfer.queued_at_us);
        }
        self.waiting.push(transfer);
        true
    }

    fn record_import(&mut self, now: TimeUs) {
        if let Some(last) = self.last_import_at_us {
            let sample = now.since(last).as_f64();
            let mean = self.import_gap_us.unwrap_or(sample);
            self.import_gap_us = Some(mean + IMPORT_GAP_SAMPLE_WEIGHT * (sample - mean));
        }
        self.last_import_at_us = Some(now);
    }

    pub(crate) fn start(&mut self, index: usize, now: TimeUs) -> Option<Transfer> {
        if index >= self.waiting.len() {
            return None;
        }
        self.advance(now);
        let transfer = self.waiting.remove(index);
        let running = RunningTransfer {
            transfer,
            started_at_us: now,
            running_integral_at_start_us: self.running_integral_us,
        };
        self.running.insert(transfer.id, running);
        Some(transfer)
    }

    /// Ends a transfer and takes its rate as a sample if it crossed whole.
    pub(crate) fn finish(&mut self, id: TransferId, is_whole: bool, now: TimeUs) -> bool {
        self.advance(now);
        let Some(running) = self.running.remove(&id) else {
            let before = self.waiting.len();
            self.waiting.retain(|transfer| transfer.id != id);
            return before != self.waiting.len();
        };
        if is_whole {
            self.sample_rate(&running, now);
        }
        true
    }

    /// Takes one finished transfer as a sample of the whole link's rate.
    ///
    /// Transfers share the link, so a single one's speed is that of the link divided by how many
    /// ran beside it on average. Without this a busy link would look like a slowed one.
    fn sample_rate(&mut self, running: &RunningTransfer, now: TimeUs) {
        let span_us = now.since(running.started_at_us).as_f64();
        if span_us <= 0.0 {
            return;
        }
        let mean_running =
            (self.running_integral_us - running.running_integral_at_start_us) / span_us;
        let own_bytes_per_s = running.transfer.bytes.as_f64() * 1_000_000.0 / span_us;
        let sample = (own_bytes_per_s * mean_running).max(MIN_RATE_BYTES_PER_S);
        self.measured_bytes_per_s += RATE_SAMPLE_WEIGHT * (sample - self.measured_bytes_per_s);
    }

    /// Notes how many bytes of every daemon wait for the link, by its store's report.
    pub(crate) fn record_store_backlog(&mut self, queued: ByteCount, now: TimeUs) {
        self.advance(now);
        let own: f64 = self
            .running
            .values()
            .map(|running| running.transfer.bytes.as_f64())
            .sum();
        self.other_daemons_bytes = (queued.as_f64() - own).max(0.0);
    }

    fn advance(&mut self, now: TimeUs) {
        let span_us = now.since(self.updated_at_us).as_f64();
        if span_us <= 0.0 {
            return;
        }
        self.running_integral_us += span_us * self.running.len() as f64;
        if !self.running.is_empty() {
            self.total_busy_us += span_us;
        }
        self.busy_share = self.busy_share_after(span_us);
        let drained = span_us * self.measured_bytes_per_s / 1_000_000.0;
        self.other_daemons_bytes = (self.other_daemons_bytes - drained).max(0.0);
        self.updated_at_us = now;
    }

    /// Estimates how long an import of `bytes` takes from `now`, with what is ahead of it.
    pub fn transfer_time(&self, bytes: ByteCount, now: TimeUs) -> DurationUs {
        let ahead: f64 = self
            .waiting
            .iter()
            .filter(|transfer| transfer.class == TransferClass::Import)
            .map(|transfer| transfer.bytes.as_f64())
            .sum();
        let all = self.remaining_bytes(now) + self.other_daemons_bytes + ahead + bytes.as_f64();
        DurationUs::from_secs_f64(all / self.measured_bytes_per_s)
    }

    fn remaining_bytes(&self, now: TimeUs) -> f64 {
        let share = self.running.len().max(1) as f64;
        let crossed_per_us = self.measured_bytes_per_s / 1_000_000.0 / share;
        self.running
            .values()
            .map(|running| {
                let crossed = now.since(running.started_at_us).as_f64() * crossed_per_us;
                (running.transfer.bytes.as_f64() - crossed).max(0.0)
            })
            .sum()
    }
}
