//! When blocks were last used, and what that teaches about each workspace.

use std::collections::BTreeMap;
use std::num::NonZeroUsize;

use lru::LruCache;
use serde::Serialize;
use wisteriahitch_types::{BlockKey, DurationUs, TimeUs, WorkspaceId};

use super::{ChainBlock, ReturnHistory};

/// Bounds the blocks whose last use is remembered, at about 6 MB.
const MAX_TRACKED_BLOCKS: NonZeroUsize = NonZeroUsize::new(65_536).expect("not zero");

/// Bounds the workspaces with a history of their own, at about 2 MB.
const MAX_WORKSPACES: usize = 8_192;

/// Weighs a new sample of how long blocks stay where they are.
const DURATION_SAMPLE_WEIGHT: f64 = 0.05;

/// Part by which two gaps may differ and still count as regular.
const REGULARITY_TOLERANCE: f64 = 0.25;

/// Holds what is remembered of a block's uses.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct BlockUse {
    /// Uses so far, this one included.
    pub uses: u32,
    /// When it was last used.
    pub used_at_us: TimeUs,
    /// Time between its last two uses.
    pub gap_us: Option<DurationUs>,
    /// Whether its last two gaps were about equal, so that the next can be foreseen.
    pub is_regular: bool,
}

/// Holds the uses of blocks and the histories of workspaces, both bounded.
#[derive(Debug)]
pub struct UseTable {
    blocks: LruCache<BlockKey, BlockUse>,
    histories: BTreeMap<WorkspaceId, ReturnHistory>,
    mean_residency_us: Option<f64>,
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
    /// Notes that a request of `workspace` used a chain, and returns the uses of its blocks.
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
                let seen = blocks.get(&block.key).copied();
                let use_now = next_use(seen, now);
                if let (Some(seen), Some(gap)) = (seen, use_now.gap_us) {
                    history.record_return(seen.uses, gap);
                }
                history.record_use(use_now.uses);
                blocks.put(block.key, use_now);
                use_now
            })
            .collect()
    }

    /// Returns how likely a block returns when the endpoint has evicted it and a store keeps it.
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

    /// Notes that an endpoint evicted a block, which shows how long blocks stay resident.
    pub fn record_endpoint_eviction(&mut self, key: &BlockKey, now: TimeUs) {
        if let Some(seen) = self.blocks.peek(key) {
            update_mean(&mut self.mean_residency_us, now.since(seen.used_at_us));
        }
    }

    /// Notes that a store's block was freed for room, which shows how long stores keep blocks.
    pub fn record_store_eviction(&mut self, key: &BlockKey, now: TimeUs) {
        if let Some(seen) = self.blocks.peek(key) {
            update_mean(&mut self.mean_retention_us, now.since(seen.used_at_us));
        }
    }

    /// Returns the histories by workspace.
    pub fn histories(&self) -> &BTreeMap<WorkspaceId, ReturnHistory> {
        &self.histories
    }
}

fn update_mean(mean: &mut Option<f64>, span: DurationUs) {
    let known = mean.unwrap_or(span.as_f64());
    *mean = Some(known + DURATION_SAMPLE_WEIGHT * (span.as_f64() - known));
}

fn next_use(seen: Option<BlockUse>, now: TimeUs) -> BlockUse {
    let Some(seen) = seen else {
        return BlockUse {
            uses: 1,
            used_at_us: now,
            gap_us: None,
            is_regular: false,
        };
    };
    let gap = now.since(seen.used_at_us);
    let is_regular = seen.gap_us.is_some_and(|last| {
        (gap.as_f64() - last.as_f64()).abs() <= REGULARITY_TOLERANCE * last.as_f64()
    });
    BlockUse {
        uses: seen.uses.saturating_add(1),
        used_at_us: now,
        gap_us: Some(gap),
        is_regular,
    }
}
