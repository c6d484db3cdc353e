//! The last uses of blocks, and the return statistics of workspaces derived from them.

use std::collections::BTreeMap;
use std::num::NonZeroUsize;

use lru::LruCache;
use serde::Serialize;
use wisteriahitch_types::{BlockKey, DurationUs, TimeUs, WorkspaceId};

use super::{ChainBlock, ReturnHistory};

/// Maximum number of blocks whose last use is recorded, about 6 MB.
const MAX_TRACKED_BLOCKS: NonZeroUsize = NonZeroUsize::new(65_536).expect("not zero");

/// Maximum number of workspaces with a history of their own, about 2 MB.
const MAX_WORKSPACES: usize = 8_192;

/// Weight of a new sample in the mean times that blocks stay at endpoints and stores.
const DURATION_SAMPLE_WEIGHT: f64 = 0.05;

/// Maximum difference between two successive gaps, relative to the earlier one, at which they still
/// count as regular.
const REGULARITY_TOLERANCE: f64 = 0.25;

/// The recorded uses of one block.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct BlockUse {
    /// Number of uses so far, including the latest.
    pub uses: u32,
    /// Time of the latest use.
    pub used_at_us: TimeUs,
    /// Time between the last two uses; `None` after the first.
    pub gap_us: Option<DurationUs>,
    /// Whether the last two gaps were about equal, so that the next return can be predicted.
    pub is_regular: bool,
}

/// The uses of blocks and the return histories of workspaces, both of bounded size.
#[derive(Debug)]
pub struct UseTable {
    blocks: LruCache<BlockKey, BlockUse>,
    histories: BTreeMap<WorkspaceId, ReturnHistory>,
    /// Mean time from the last use of a block until its endpoint evicts it; `None` without samples.
    mean_residency_us: Option<f64>,
    /// Mean time from the last use of a block until its store evicts it; `None` without samples.
    mean_retention_us: Option<f64>,
}

impl Default for UseTable {
    fn default() -> Self {
        Self {
            blocks: LruCache::new(MAX_TRACKED_BLOCKS),
            histories: BTreeMap::new(),
            mean_residency_us: None,
            mean_retention_us: None,
        }
    }
}

impl UseTable {
    /// Records that a request of `workspace` used a chain, and returns the updated uses of its
    /// blocks.
    pub fn record_chain_use(
        &mut self,
        workspace: &WorkspaceId,
        chain: &[ChainBlock],
        now: TimeUs,
    ) -> Vec<BlockUse> {
        let mut unknown = ReturnHistory::default();
        let is_full = self.histories.len() >= MAX_WORKSPACES;
        let history = if is_full && !self.histories.contains_key(workspace) {
            &mut unknown
        } else {
            self.histories.entry(workspace.clone()).or_default()
        };
        let blocks = &mut self.blocks;
        chain
            .iter()
            .map(|block| {
                let previous = blocks.get(&block.key).copied();
                let use_now = next_use(previous, now);
                if let (Some(previous), Some(gap)) = (previous, use_now.gap_us) {
                    history.record_return(previous.uses, gap);
                }
                history.record_use(use_now.uses);
                blocks.put(block.key, use_now);
                use_now
            })
            .collect()
    }

    /// Returns the probability that a block with `uses` uses is needed again after the endpoint has
    /// evicted it and while a store still keeps it.
    pub fn return_probability(&self, workspace: &WorkspaceId, uses: u32) -> f64 {
        let residency = DurationUs::new(self.mean_residency_us.unwrap_or(0.0) as u64);
        let retention = self
            .mean_retention_us
            .map_or(DurationUs::MAX, |us| DurationUs::new(us as u64));
        let unknown = ReturnHistory::default();
        self.histories
            .get(workspace)
            .unwrap_or(&unknown)
            .return_probability(uses, residency, retention)
    }

    /// Records that an endpoint evicted a block, as a sample of how long blocks stay at endpoints.
    pub fn record_endpoint_eviction(&mut self, key: &BlockKey, now: TimeUs) {
        if let Some(previous) = self.blocks.peek(key) {
            update_mean(&mut self.mean_residency_us, now.since(previous.used_at_us));
        }
    }

    /// Records that a block was evicted from a store, as a sample of how long stores keep blocks.
    pub fn record_store_eviction(&mut self, key: &BlockKey, now: TimeUs) {
        if let Some(previous) = self.blocks.peek(key) {
            update_mean(&mut self.mean_retention_us, now.since(previous.used_at_us));
        }
    }

    /// Returns the return histories by workspace.
    pub fn histories(&self) -> &BTreeMap<WorkspaceId, ReturnHistory> {
        &self.histories
    }
}

fn update_mean(mean: &mut Option<f64>, span: DurationUs) {
    let old_mean = mean.unwrap_or(span.as_f64());
    *mean = Some(old_mean + DURATION_SAMPLE_WEIGHT * (span.as_f64() - old_mean));
}

fn next_use(previous: Option<BlockUse>, now: TimeUs) -> BlockUse {
    let Some(previous) = previous else {
        return BlockUse {
            uses: 1,
            used_at_us: now,
            gap_us: None,
            is_regular: false,
        };
    };
    let gap = now.since(previous.used_at_us);
    let is_regular = previous.gap_us.is_some_and(|last| {
        (gap.as_f64() - last.as_f64()).abs() <= REGULARITY_TOLERANCE * last.as_f64()
    });
    BlockUse {
        uses: previous.uses.saturating_add(1),
        used_at_us: now,
        gap_us: Some(gap),
        is_regular,
    }
}
