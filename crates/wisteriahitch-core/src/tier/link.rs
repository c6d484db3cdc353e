//! The bandwidth-limited link to one store VM.

use std::collections::BTreeMap;

use wisteriahitch_types::{ByteCount, ByteRate, DurationUs, TimeUs};

use super::{LinkView, RunningTransfer, Transfer, TransferClass, TransferId};

/// Weight of a new sample in the measured rate; a slowed link shows after about five transfers.
const RATE_SAMPLE_WEIGHT: f64 = 0.25;

/// Weight of a new sample in the mean time between two imports.
const IMPORT_GAP_SAMPLE_WEIGHT: f64 = 0.2;

/// Time constant of the exponential average that gives the busy share.
const BUSY_TIME_CONSTANT_US: f64 = 30_000_000.0;

/// Maximum number of queued transfers; beyond it imports are recomputed and saves skipped.
const MAX_QUEUED: usize = 1_024;

/// Minimum measured rate, which keeps estimates finite.
const MIN_RATE_BYTES_PER_S: f64 = 1.0;

/// The queue, the running transfers and the measured rate of one link.
#[derive(Debug)]
pub struct Link {
    configured_bytes_per_s: ByteRate,
    measured_bytes_per_s: f64,
    waiting: Vec<Transfer>,
    running: BTreeMap<TransferId, RunningTransfer>,
    /// Integral over time of the number of running transfers, in transfer-microseconds.
    running_integral_us: f64,
    /// Time up to which the integral, the busy time and the backlog are computed.
    updated_at_us: TimeUs,
    last_import_at_us: Option<TimeUs>,
    /// Mean time between two imports; `None` until two have been queued.
    import_gap_us: Option<f64>,
    /// Total time during which a transfer of this daemon was running.
    total_busy_us: f64,
    /// Exponential average of the fraction of time in which the link was busy.
    busy_share: f64,
    /// Estimated bytes queued by other daemons: the last report, drained at the measured rate.
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

    /// Sets the configured rate; a changed rate also resets the measured one.
    pub(crate) fn configure(&mut self, rate: ByteRate) {
        if rate != self.configured_bytes_per_s {
            self.configured_bytes_per_s = rate;
            self.measured_bytes_per_s = rate.as_f64().max(MIN_RATE_BYTES_PER_S);
        }
    }

    /// Returns the rate measured from finished transfers.
    pub fn rate(&self) -> ByteRate {
        ByteRate::new(self.measured_bytes_per_s as u64)
    }

    /// Returns the configured rate.
    pub fn configured_rate(&self) -> ByteRate {
        self.configured_bytes_per_s
    }

    /// Returns the queued transfers, oldest first.
    pub fn waiting(&self) -> &[Transfer] {
        &self.waiting
    }

    /// Returns the transfers in progress.
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

    /// Returns the total time during which the link carried transfers of this daemon.
    pub fn busy_time(&self, now: TimeUs) -> DurationUs {
        let running_us = match self.running.is_empty() {
            true => 0.0,
            false => now.since(self.updated_at_us).as_f64(),
        };
        DurationUs::new((self.total_busy_us + running_us) as u64)
    }

    /// Returns the fraction of recent time in which the link carried a transfer of this daemon, as
    /// an exponential average with a time constant of 30 seconds.
    pub fn busy_share(&self, now: TimeUs) -> f64 {
        let elapsed_us = now.since(self.updated_at_us).as_f64();
        self.busy_share_after(elapsed_us)
    }

    fn busy_share_after(&self, elapsed_us: f64) -> f64 {
        let is_busy = f64::from(u8::from(!self.running.is_empty()));
        let decay = (-elapsed_us / BUSY_TIME_CONSTANT_US).exp();
        is_busy + (self.busy_share - is_busy) * decay
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

    /// Removes a queued or running transfer. A running one that `is_whole` becomes a sample of the
    /// rate.
    ///
    /// Returns whether the transfer was known.
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

    /// Updates the measured rate of the whole link from one finished transfer.
    ///
    /// Running transfers share the link, so the speed of one is the link's rate divided by the mean
    /// number of transfers that ran at the same time. Without this factor a busy link would look
    /// like a slow one.
    fn sample_rate(&mut self, running: &RunningTransfer, now: TimeUs) {
        let elapsed_us = now.since(running.started_at_us).as_f64();
        if elapsed_us <= 0.0 {
            return;
        }
        let mean_running =
            (self.running_integral_us - running.running_integral_at_start_us) / elapsed_us;
        let own_bytes_per_s = running.transfer.bytes.as_f64() * 1_000_000.0 / elapsed_us;
        let sample = (own_bytes_per_s * mean_running).max(MIN_RATE_BYTES_PER_S);
        self.measured_bytes_per_s += RATE_SAMPLE_WEIGHT * (sample - self.measured_bytes_per_s);
    }

    /// Records how many bytes all daemons together have queued for the link, as its store reports.
    pub(crate) fn record_store_backlog(&mut self, queued: ByteCount, now: TimeUs) {
        self.advance(now);
        let own_bytes: f64 = self
            .running
            .values()
            .map(|running| running.transfer.bytes.as_f64())
            .sum();
        self.other_daemons_bytes = (queued.as_f64() - own_bytes).max(0.0);
    }

    fn advance(&mut self, now: TimeUs) {
        let elapsed_us = now.since(self.updated_at_us).as_f64();
        if elapsed_us <= 0.0 {
            return;
        }
        self.running_integral_us += elapsed_us * self.running.len() as f64;
        if !self.running.is_empty() {
            self.total_busy_us += elapsed_us;
        }
        self.busy_share = self.busy_share_after(elapsed_us);
        let drained_bytes = elapsed_us * self.measured_bytes_per_s / 1_000_000.0;
        self.other_daemons_bytes = (self.other_daemons_bytes - drained_bytes).max(0.0);
        self.updated_at_us = now;
    }

    /// Estimates how long an import of `bytes` takes if it is queued at `now`, including the
    /// transfers ahead of it.
    pub fn transfer_time(&self, bytes: ByteCount, now: TimeUs) -> DurationUs {
        let queued_import_bytes: f64 = self
            .waiting
            .iter()
            .filter(|transfer| transfer.class == TransferClass::Import)
            .map(|transfer| transfer.bytes.as_f64())
            .sum();
        let total_bytes = self.remaining_bytes(now)
            + self.other_daemons_bytes
            + queued_import_bytes
            + bytes.as_f64();
        DurationUs::from_secs_f64(total_bytes / self.measured_bytes_per_s)
    }

    fn remaining_bytes(&self, now: TimeUs) -> f64 {
        let running_count = self.running.len().max(1) as f64;
        let bytes_per_us = self.measured_bytes_per_s / 1_000_000.0 / running_count;
        self.running
            .values()
            .map(|running| {
                let transferred_bytes = now.since(running.started_at_us).as_f64() * bytes_per_us;
                (running.transfer.bytes.as_f64() - transferred_bytes).max(0.0)
            })
            .sum()
    }
}
