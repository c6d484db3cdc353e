//! The state of the tier core for the dump.

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

/// Bounds the blocks that a dump lists; the counts by state cover all of them.
const MAX_LISTED: usize = 1_000;

/// Holds what a dump shows of the tier core; nothing in it is a prompt or an answer.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TierSnapshot {
    /// When it was taken.
    pub taken_at_us: TimeUs,
    /// Name of the order of transfers.
    pub link_order: &'static str,
    /// Stores by name.
    pub stores: BTreeMap<StoreId, StoreSnapshot>,
    /// Blocks by state.
    pub block_counts: BTreeMap<String, usize>,
    /// The first blocks by store and key.
    pub blocks: Vec<BlockSnapshot>,
    /// Requests that wait for imports.
    pub waiting_requests: usize,
    /// How imports ended.
    pub imports: ImportCounts,
    /// How saves ended.
    pub saves: SaveCounts,
    /// What was done for room.
    pub rooms: CapacityCounts,
    /// What prefetch did.
    pub prefetch: PrefetchCounts,
    /// Bytes of known blocks by workspace.
    pub workspace_bytes: BTreeMap<WorkspaceId, ByteCount>,
}

/// Holds what a dump shows of one store and its link.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StoreSnapshot {
    /// Incarnation under which it was last seen.
    pub incarnation: Option<StoreIncarnation>,
    /// Room and reachability, once it was seen.
    pub state: Option<StoreState>,
    /// Configured rate of the link.
    pub configured_bytes_per_s: ByteRate,
    /// Measured rate of the link.
    pub measured_bytes_per_s: ByteRate,
    /// Part of the last while in which the link carried anything.
    pub busy_share: f64,
    /// Transfers that wait.
    pub waiting: Vec<Transfer>,
    /// Transfers that cross the link.
    pub running: Vec<RunningTransfer>,
}

/// Holds what a dump shows of one block.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BlockSnapshot {
    /// Store.
    pub store: StoreId,
    /// Key.
    pub key: BlockKey,
    /// Generation.
    pub generation: Generation,
    /// Step of its life.
    pub state: BlockState,
    /// Tier.
    pub tier: Tier,
    /// Weight version.
    pub weight_version: WeightVersion,
    /// Length.
    pub bytes: ByteCount,
    /// Readers of this daemon.
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
