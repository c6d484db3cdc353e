//! The calls to store VMs that hold, move and release blocks.

use wisteriahitch_core::tier::{PinGrant, ReservedRoom, TierCommand, TierEvent, TransferFailure};
use wisteriahitch_wire::store::{ReserveRequest, Reserved, StoreError, StoreErrorKind};

use crate::shared::Shared;

pub(super) async fn pin(shared: &Shared, command: TierCommand) -> Option<TierEvent> {
    let TierCommand::Pin {
        transfer,
        store,
        incarnation,
        key,
    } = command
    else {
        return None;
    };
    let result = match shared.store_address(&store) {
        Some(address) => shared.outside.store.pin(address, key, &incarnation).await,
        None => Err(StoreError::new(
            StoreErrorKind::Gone,
            "the store isn't configured",
        )),
    };
    let result = result
        .map(|pin| PinGrant {
            pin: pin.pin,
            generation: pin.generation,
            bytes: pin.bytes,
            crc32c: pin.crc32c,
            weight_version: pin.weight_version,
            tier: pin.tier,
        })
        .map_err(|error| store_failure(&error));
    Some(TierEvent::Pinned { transfer, result })
}

pub(super) async fn reserve(shared: &Shared, command: TierCommand) -> Option<TierEvent> {
    let TierCommand::Reserve {
        transfer,
        store,
        key,
        tokens,
        bytes,
        weight_version,
        tier,
        workspace,
    } = command
    else {
        return None;
    };
    let request = ReserveRequest {
        key,
        tokens,
        bytes,
        weight_version,
        tier,
        workspace,
    };
    let result = match shared.store_address(&store) {
        Some(address) => shared.outside.store.reserve(address, request).await,
        None => Err(StoreError::new(
            StoreErrorKind::Gone,
            "the store isn't configured",
        )),
    };
    let result = match result {
        Ok(Reserved::Room(generation)) => Ok(ReservedRoom::Room(generation)),
        Ok(Reserved::AlreadyReadable(generation)) => Ok(ReservedRoom::AlreadyReadable(generation)),
        Ok(Reserved::InProgress) => Err(TransferFailure::InProgress),
        Err(error) => Err(store_failure(&error)),
    };
    Some(TierEvent::Reserved { transfer, result })
}

pub(super) async fn move_block(shared: &Shared, command: TierCommand) -> Option<TierEvent> {
    let TierCommand::Move {
        transfer,
        store,
        key,
        generation,
        tier,
    } = command
    else {
        return None;
    };
    let result = match shared.store_address(&store) {
        Some(address) => {
            shared
                .outside
                .store
                .move_to(address, key, generation, tier)
                .await
        }
        None => Err(StoreError::new(
            StoreErrorKind::Gone,
            "the store isn't configured",
        )),
    };
    Some(TierEvent::Moved {
        transfer,
        result: result.map_err(|error| store_failure(&error)),
    })
}

/// Gives something back at a store; one that fails runs out there by itself.
pub(super) async fn release(shared: &Shared, command: TierCommand) {
    let store = &shared.outside.store;
    let result = match command {
        TierCommand::Unpin {
            store: id,
            key,
            pin,
        } => match shared.store_address(&id) {
            Some(address) => store.unpin(address, key, &pin).await,
            None => Ok(()),
        },
        TierCommand::Free {
            store: id,
            key,
            generation,
        } => match shared.store_address(&id) {
            Some(address) => store.free(address, key, generation).await,
            None => Ok(()),
        },
        _ => Ok(()),
    };
    if let Err(error) = result {
        log::debug!("a release failed: {error}");
    }
}

fn store_failure(error: &StoreError) -> TransferFailure {
    match error.kind() {
        StoreErrorKind::Gone => TransferFailure::Gone,
        StoreErrorKind::Full => TransferFailure::Full,
        StoreErrorKind::Lost => TransferFailure::Lost,
        StoreErrorKind::Nonsense => TransferFailure::Corrupt,
    }
}
