//! Space for saves at a store: quotas, reservations and their release.

use wisteriahitch_types::{BlockState, ByteCount, Generation, StoreId, StoreIncarnation, Tier};

use super::context::Context;
use super::save_job::SaveTransfer;
use super::{BlockHandle, BlockLocation, ReserveOutcome, TierCommand, TransferFailure};

/// Maximum number of blocks per tier that are considered for eviction to meet a workspace's quota.
const MAX_QUOTA_CANDIDATES: usize = 256;

/// Evicts the workspace's lowest-ranked blocks until the block of `transfer` fits within `quota`;
/// returns whether it fits.
///
/// Only blocks that rank below the new one are evicted.
pub(crate) fn evict_for_quota(
    transfer: &SaveTransfer,
    quota: ByteCount,
    cx: &mut Context<'_>,
) -> bool {
    let bytes = transfer.front.block.bytes;
    let workspace = &transfer.job.workspace;
    if bytes > quota {
        return false;
    }
    let store = &transfer.job.store;
    let candidates: Vec<BlockLocation> = [Tier::Disk, Tier::Memory]
        .into_iter()
        .flat_map(|tier| {
            cx.eviction_index
                .lowest_ranked(store, tier)
                .take(MAX_QUOTA_CANDIDATES)
        })
        .collect();
    for location in candidates {
        if cx.blocks.workspace_bytes(workspace) + bytes <= quota {
            return true;
        }
        let is_own = cx
            .blocks
            .get(&location)
            .is_some_and(|block| block.identity().workspace.as_ref() == Some(workspace));
        if is_own
            && cx
                .eviction_index
                .ranks_below(&location, transfer.front.value)
        {
            cx.evict(&location);
        }
    }
    cx.blocks.workspace_bytes(workspace) + bytes <= quota
}

/// Returns the tier of a block that readers may pin; `None` if there is no such block.
pub(crate) fn readable_tier(location: &BlockLocation, cx: &Context<'_>) -> Option<Tier> {
    cx.blocks
        .get(location)
        .filter(|block| block.state() == BlockState::Readable)
        .map(|block| block.tier())
}

/// Returns the first tier with enough free space, memory before disk.
pub(crate) fn tier_with_space(store: &StoreId, bytes: ByteCount, cx: &Context<'_>) -> Option<Tier> {
    [Tier::Memory, Tier::Disk]
        .into_iter()
        .find(|tier| cx.stores.has_space(store, *tier, bytes, cx.now))
}

/// Adds a block to the table after its store has reserved space for it, and marks it as being
/// written.
pub(crate) fn begin_write(
    transfer: &SaveTransfer,
    incarnation: StoreIncarnation,
    generation: Generation,
    tier: Tier,
    cx: &mut Context<'_>,
) -> Option<BlockHandle> {
    let identity = transfer.identity(incarnation, generation);
    let handle = cx
        .blocks
        .reserve(transfer.location(), identity, tier)
        .ok()?;
    cx.blocks.write(&handle).ok()?;
    Some(handle)
}

/// Frees a generation at its store.
pub(crate) fn free_at_store(
    location: &BlockLocation,
    generation: Generation,
    cx: &mut Context<'_>,
) {
    cx.send(TierCommand::Free {
        store: location.store.clone(),
        key: location.key,
        generation,
    });
}

/// Frees a block that was never published, here and at its store.
pub(crate) fn free_unpublished(handle: &BlockHandle, cx: &mut Context<'_>) {
    // A block of an earlier store incarnation is no longer in the table; in the current one the
    // same generation would be another block.
    if cx.blocks.free(handle).is_ok() {
        free_at_store(&handle.location, handle.generation, cx);
    }
}

/// Frees the space of a reservation that was confirmed after its save had been abandoned.
pub(crate) fn free_abandoned(
    location: &BlockLocation,
    incarnation: &StoreIncarnation,
    result: Result<ReserveOutcome, TransferFailure>,
    cx: &mut Context<'_>,
) {
    let is_same_store = cx.blocks.incarnation(&location.store) == Some(incarnation);
    if let (Ok(ReserveOutcome::Granted(generation)), true) = (result, is_same_store) {
        free_at_store(location, generation, cx);
    }
}
