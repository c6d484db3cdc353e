//! A reader's right to a block: taken with the store's pin, given up after the import.

use super::context::{Context, PinName};
use super::import_transfer::{HeldPin, ImportTransfer};
use super::{BlockError, PinGrant, Place, Reader, TierCommand, TransferFailure, TransferId};
use wisteriahitch_types::BlockState;

/// Returns whether a block may be pinned as far as this daemon knows; the store has the last word.
pub(crate) fn is_worth_a_pin(place: &Place, reader: &Reader, cx: &Context<'_>) -> bool {
    let is_usable = cx.blocks.get(place).is_none_or(|block| {
        block.is_for(reader) && !block.is_suspect(cx.now) && block.state() == BlockState::Readable
    });
    is_usable && cx.stores.is_reachable(&place.store)
}

/// Takes a right to the block that a store has pinned, if it is the one that was asked for.
pub(crate) fn hold(
    transfer: &ImportTransfer,
    grant: &PinGrant,
    cx: &mut Context<'_>,
) -> Result<HeldPin, BlockError> {
    if !transfer.is_match(grant) {
        return Err(BlockError::Corrupt);
    }
    let identity = transfer.identity(grant);
    let place = transfer.place.clone();
    cx.blocks
        .adopt(place, identity, grant.tier, Some(grant.crc32c))?;
    let handle = cx.blocks.pin(&transfer.place, &transfer.reader)?;
    Ok(HeldPin {
        handle,
        pin: grant.pin.clone(),
        crc32c: grant.crc32c,
    })
}

/// Returns the failure under which a refused right is counted.
pub(crate) fn failure_of(error: &BlockError) -> TransferFailure {
    match error {
        BlockError::Corrupt | BlockError::Foreign => TransferFailure::Corrupt,
        BlockError::TableFull => TransferFailure::Full,
        BlockError::Gone | BlockError::State(_) | BlockError::Taken => TransferFailure::Gone,
    }
}

/// Gives up a pin for which no right was taken.
pub(crate) fn give_up_pin(transfer: &ImportTransfer, name: String, cx: &mut Context<'_>) {
    let key = transfer.place.key;
    cx.unpin(&transfer.place.store, None, PinName { key, name });
}

/// Ends a transfer on its link and gives up its pin.
pub(crate) fn release(
    transfer: &ImportTransfer,
    id: TransferId,
    is_whole: bool,
    cx: &mut Context<'_>,
) {
    let store = &transfer.place.store;
    cx.links.finish(store, id, is_whole, cx.now);
    if let Some(held) = transfer.held() {
        let pin = PinName {
            key: transfer.place.key,
            name: held.pin.clone(),
        };
        cx.unpin(store, Some(&held.handle), pin);
    }
}

/// Ends the block's life here, unless the place holds a newer generation by now.
pub(crate) fn end_if_same(transfer: &ImportTransfer, cx: &mut Context<'_>) {
    let known = cx.blocks.handle(&transfer.place);
    let is_newer = match (transfer.held(), &known) {
        (Some(held), Some(known)) => held.handle != *known,
        _ => false,
    };
    if is_newer {
        return;
    }
    // A store that drains a block refuses new readers, while those with a pin may still finish.
    let is_read_by_others = transfer.held().is_none()
        && cx
            .blocks
            .get(&transfer.place)
            .is_some_and(|block| block.pins() > 0);
    match known.filter(|_| is_read_by_others) {
        Some(handle) => {
            // It may drain already; either way no new reader comes in.
            let _ = cx.blocks.drain(&handle);
        }
        None => {
            cx.blocks.end_life(&transfer.place);
        }
    }
}

/// Frees a block whose content or identity proved wrong.
pub(crate) fn free_corrupt(transfer: &ImportTransfer, cx: &mut Context<'_>) {
    let known = cx.blocks.handle(&transfer.place);
    let handle = transfer.held().map(|held| held.handle.clone()).or(known);
    end_if_same(transfer, cx);
    // Under another incarnation the same generation is another block's.
    let present = cx.blocks.incarnation(&transfer.place.store).cloned();
    if let Some(handle) = handle.filter(|handle| Some(&handle.incarnation) == present.as_ref()) {
        cx.send(TierCommand::Free {
            store: handle.place.store,
            key: handle.place.key,
            generation: handle.generation,
        });
    }
}
