//! The calls to store VMs that hold, move and release blocks.

use std::net::SocketAddr;

use wisteriahitch_core::tier::{PinGrant, ReservedRoom, TierCommand, TierEvent, TransferFailure};
use wisteriahitch_types::StoreId;
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
    let pin = async |address| shared.outside.store.pin(address, key, &incarnation).await;
    let result = ask(shared, &store, pin).await;
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
    let reserve = async |address| shared.outside.store.reserve(address, request).await;
    let result = match ask(shared, &store, reserve).await {
        Ok(Reserved::Granted(generation)) => Ok(ReservedRoom::Room(generation)),
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
    let outside = &shared.outside;
    let move_to = async |address| outside.store.move_to(address, key, generation, tier).await;
    let result = ask(shared, &store, move_to).await;
    Some(TierEvent::Moved {
        transfer,
        result: result.map_err(|error| store_failure(&error)),
    })
}

/// Gives something back at a store; one that fails runs out there by itself.
pub(super) async fn release(shared: &Shared, command: TierCommand) {
    let calls = &shared.outside.store;
    let result = match command {
        TierCommand::Unpin { store, key, pin } => {
            let unpin = async |address| calls.unpin(address, key, &pin).await;
            ask(shared, &store, unpin).await
        }
        TierCommand::Free {
            store,
            key,
            generation,
        } => {
            let free = async |address| calls.free(address, key, generation).await;
            ask(shared, &store, free).await
        }
        _ => Ok(()),
    };
    if let Err(error) = result {
        log::debug!("a release failed: {error}");
    }
}

/// Calls a store; what lay at one that isn't configured any more is gone.
async fn ask<T>(
    shared: &Shared,
    store: &StoreId,
    call: impl AsyncFnOnce(SocketAddr) -> Result<T, StoreError>,
) -> Result<T, StoreError> {
    match shared.store_address(store) {
        Some(address) => call(address).await,
        None => Err(StoreError::new(
            StoreErrorKind::Gone,
            "the store isn't configured",
        )),
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
