//! A snapshot of the tier module for the operator's dump.

use std::collections::BTreeMap;

use serde::Serialize;
use wisteriahitch_types::{
    BlockKey, BlockState, ByteCount, ByteRate, Generation, StoreId, StoreIncarnation, Tier, TimeUs,
    WeightVersion, WorkspaceId,
};

use super::{
    Block, BlockLocation, CapacityCounts, ImportCounts, Link, PrefetchCounts, RunningTransfer,
    SaveCounts, StoreState, Tiers, Transfer,
};

/// Maximum number of blocks listed; the counts by state include all of them.
const MAX_LISTED: usize = 1_000;

/// The state of the tier module in a dump. Contains no text of prompts or answers.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TierSnapshot {
    /// Time of the snapshot.
    pub taken_at_us: TimeUs,
    /// Name of the transfer order in use.
    pub link_order: &'static str,
    /// Stores by id.
    pub stores: BTreeMap<StoreId, StoreSnapshot>,
    /// Number of known blocks by state.
    pub block_counts: BTreeMap<String, usize>,
    /// The first blocks, ordered by store and key.
    pub blocks: Vec<BlockSnapshot>,
    /// Number of requests that wait for imports.
    pub waiting_requests: usize,
    /// Counts of imports by result.
    pub imports: ImportCounts,
    /// Counts of saves by result.
    pub saves: SaveCounts,
    /// Counts of demotions and evictions.
    pub rooms: CapacityCounts,
    /// Counts of predictions and prefetches.
    pub prefetch: PrefetchCounts,
    /// Total length of the known blocks by workspace.
    pub workspace_bytes: BTreeMap<WorkspaceId, ByteCount>,
}

/// The state of one store and its link in a dump.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StoreSnapshot {
    /// Last known incarnation.
    pub incarnation: Option<StoreIncarnation>,
    /// Free space and reachability; `None` until the store has reported.
    pub state: Option<StoreState>,
    /// Configured rate of the link.
    pub configured_bytes_per_s: ByteRate,
    /// Measured rate of the link.
    pub measured_bytes_per_s: ByteRate,
    /// Fraction of recent time in which the link carried a transfer of this daemon, as an
    /// exponential average with a time constant of 30 seconds.
    pub busy_share: f64,
    /// Queued transfers, oldest first.
    pub waiting: Vec<Transfer>,
    /// Transfers in progress.
    pub running: Vec<RunningTransfer>,
}

/// The state of one block in a dump.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BlockSnapshot {
    /// Store VM that holds the block.
    pub store: StoreId,
    /// Key of the block.
    pub key: BlockKey,
    /// Generation of the block.
    pub generation: Generation,
    /// State of the block.
    pub state: BlockState,
    /// Tier that stores the block.
    pub tier: Tier,
    /// Weight version that the block was computed with.
    pub weight_version: WeightVersion,
    /// Length of the block.
    pub bytes: ByteCount,
    /// Number of pins held by readers of this daemon.
    pub pins: u32,
}

impl TierSnapshot {
    /// Takes a snapshot of `tiers`.
    pub(crate) fn new(tiers: &Tiers, now: TimeUs) -> Self {
        let blocks = tiers.blocks();
        let mut block_counts = BTreeMap::new();
        for (_, block) in blocks.iter() {
            *block_counts.entry(block.state().to_string()).or_default() += 1;
        }
        let links = tiers.links().iter();
        let stores = links.map(|(id, link)| (id.clone(), StoreSnapshot::new(tiers, id, link, now)));
        let listed = blocks.iter().take(MAX_LISTED);
        Self {
            taken_at_us: now,
            link_order: tiers.links().order_name(),
            stores: stores.collect(),
            block_counts,
            blocks: listed
                .map(|(location, block)| BlockSnapshot::new(location, block))
                .collect(),
            waiting_requests: tiers.imports().waiting_requests(),
            imports: tiers.imports().counts(),
            saves: tiers.saves().counts(),
            rooms: tiers.capacity().counts(),
            prefetch: tiers.prefetch().counts(),
            workspace_bytes: blocks.bytes_by_workspace().clone(),
        }
    }
}

impl StoreSnapshot {
    fn new(tiers: &Tiers, id: &StoreId, link: &Link, now: TimeUs) -> Self {
        Self {
            incarnation: tiers.blocks().incarnation(id).cloned(),
            state: tiers.stores().get(id).cloned(),
            configured_bytes_per_s: link.configured_rate(),
            measured_bytes_per_s: link.rate(),
            busy_share: link.busy_share(now),
            waiting: link.waiting().to_vec(),
            running: link.running().copied().collect(),
        }
    }
}

impl BlockSnapshot {
    fn new(location: &BlockLocation, block: &Block) -> Self {
        Self {
            store: location.store.clone(),
            key: location.key,
            generation: block.identity().generation,
            state: block.state(),
            tier: block.tier(),
            weight_version: block.identity().weight_version.clone(),
            bytes: block.identity().bytes,
            pins: block.pins(),
        }
    }
}
