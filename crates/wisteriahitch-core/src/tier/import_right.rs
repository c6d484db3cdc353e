//! The pin of an import: acquired with the store's grant and released after the import.

use super::context::{Context, PinName};
use super::import_transfer::{AcquiredPin, ImportTransfer};
use super::{
    BlockError, BlockLocation, PinGrant, Reader, TierCommand, TransferFailure, TransferId,
};
use wisteriahitch_types::BlockState;

/// Returns whether requesting a pin can succeed as far as this daemon knows; the store decides.
pub(crate) fn can_request_pin(location: &BlockLocation, reader: &Reader, cx: &Context<'_>) -> bool {
    let is_usable = cx.blocks.get(location).is_none_or(|block| {
        block.is_for(reader) && !block.is_suspect(cx.now) && block.state() == BlockState::Readable
    });
    is_usable && cx.stores.is_reachable(&location.store)
}

/// Pins the block in the table after its store has pinned it, if the grant is for the expected
/// block.
pub(crate) fn acquire_pin(
    transfer: &ImportTransfer,
    grant: &PinGrant,
    cx: &mut Context<'_>,
) -> Result<AcquiredPin, BlockError> {
    if !transfer.is_match(grant) {
        return Err(BlockError::Corrupt);
    }
    let identity = transfer.identity(grant);
    let location = transfer.location.clone();
    cx.blocks
        .adopt(location, identity, grant.tier, Some(grant.crc32c))?;
    let handle = cx.blocks.pin(&transfer.location, &transfer.reader)?;
    Ok(AcquiredPin {
        handle,
        pin: grant.pin.clone(),
        crc32c: grant.crc32c,
    })
}

/// Returns the transfer failure for a pin that the block table refused.
pub(crate) fn transfer_failure(error: &BlockError) -> TransferFailure {
    match error {
        BlockError::Corrupt | BlockError::Foreign => TransferFailure::Corrupt,
        BlockError::TableFull => TransferFailure::Full,
        BlockError::Gone | BlockError::State(_) | BlockError::Taken => TransferFailure::Gone,
    }
}

/// Releases a store's pin that wasn't acquired in the table.
pub(crate) fn release_unused_pin(transfer: &ImportTransfer, name: String, cx: &mut Context<'_>) {
    let key = transfer.location.key;
    cx.unpin(&transfer.location.store, None, PinName { key, name });
}

/// Removes a transfer from its link and releases its pin.
pub(crate) fn release(
    transfer: &ImportTransfer,
    id: TransferId,
    is_whole: bool,
    cx: &mut Context<'_>,
) {
    let store = &transfer.location.store;
    cx.links.finish(store, id, is_whole, cx.now);
    if let Some(acquired) = transfer.acquired_pin() {
        let pin = PinName {
            key: transfer.location.key,
            name: acquired.pin.clone(),
        };
        cx.unpin(store, Some(&acquired.handle), pin);
    }
}

/// Removes the block from the table, unless the location holds a newer generation by now.
pub(crate) fn invalidate_if_current(transfer: &ImportTransfer, cx: &mut Context<'_>) {
    let known = cx.blocks.handle(&transfer.location);
    let is_newer = match (transfer.acquired_pin(), &known) {
        (Some(acquired), Some(known)) => acquired.handle != *known,
        _ => false,
    };
    if is_newer {
        return;
    }
    // A store that drains a block refuses new readers, while readers with a pin may still finish.
    let is_read_by_others = transfer.acquired_pin().is_none()
        && cx
            .blocks
            .get(&transfer.location)
            .is_some_and(|block| block.pins() > 0);
    match known.filter(|_| is_read_by_others) {
        Some(handle) => {
            // Fails if the block is draining already; either way no new reader is admitted.
            let _ = cx.blocks.drain(&handle);
        }
        None => {
            cx.blocks.invalidate(&transfer.location);
        }
    }
}

/// Frees a block whose content or identity doesn't match.
pub(crate) fn free_corrupt(transfer: &ImportTransfer, cx: &mut Context<'_>) {
    let known = cx.blocks.handle(&transfer.location);
    let handle = transfer
        .acquired_pin()
        .map(|acquired| acquired.handle.clone())
        .or(known);
    invalidate_if_current(transfer, cx);
    // In another incarnation the same generation would be another block.
    let present = cx.blocks.incarnation(&transfer.location.store).cloned();
    if let Some(handle) = handle.filter(|handle| Some(&handle.incarnation) == present.as_ref()) {
        cx.send(TierCommand::Free {
            store: handle.location.store,
            key: handle.location.key,
            generation: handle.generation,
        });
    }
}
