//! The measurements of a run.

use std::collections::BTreeMap;
use std::fmt;

use wisteriahitch_types::BlockKey;

pub(crate) const HEADER: &str = "site      link seed compared order    policy     \
    | wait p50 ms  p95 ms | again p50 ms  p95 ms | saves  read again | recomputed | link busy \
    | promoted used";

/// Measurements after the warm-up.
#[derive(Debug, Default)]
pub(crate) struct Statistics {
    pub(crate) import_waits_us: Vec<u64>,
    pub(crate) first_answers_us: Vec<u64>,
    pub(crate) prompt_tokens: u64,
    pub(crate) recomputed_tokens: u64,
    /// Saved blocks, and whether each has been read since its save.
    pub(crate) saved: BTreeMap<BlockKey, bool>,
    pub(crate) saves: u64,
    pub(crate) saves_read: u64,
    pub(crate) busy_share: f64,
    pub(crate) promoted: u64,
    pub(crate) promoted_used: u64,
}

impl Statistics {
    pub(crate) fn record_save(&mut self, key: BlockKey) {
        self.saves += 1;
        self.saved.insert(key, false);
    }

    pub(crate) fn record_read(&mut self, key: BlockKey) {
        if let Some(is_read) = self.saved.get_mut(&key)
            && !*is_read
        {
            *is_read = true;
            self.saves_read += 1;
        }
    }
}

fn percentile_ms(values: &[u64], quantile: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let index = (sorted.len() as f64 * quantile) as usize;
    sorted
        .get(index.min(sorted.len().saturating_sub(1)))
        .map_or(0.0, |us| *us as f64 / 1e3)
}

impl fmt::Display for Statistics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "| {:>11.0} {:>7.0} | {:>12.0} {:>7.0} | {:>6} {:>10.3} | {:>10.3} | {:>9.3} | {} {}",
            percentile_ms(&self.import_waits_us, 0.5),
            percentile_ms(&self.import_waits_us, 0.95),
            percentile_ms(&self.first_answers_us, 0.5),
            percentile_ms(&self.first_answers_us, 0.95),
            self.saves,
            self.saves_read as f64 / self.saves.max(1) as f64,
            self.recomputed_tokens as f64 / self.prompt_tokens.max(1) as f64,
            self.busy_share,
            self.promoted,
            self.promoted_used,
        )
    }
}
