//! Calls to store VMs that reserve, pin, move and release blocks.

use std::net::SocketAddr;

use wisteriahitch_core::tier::{PinGrant, ReserveOutcome, TierCommand, TierEvent, TransferFailure};
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
    let pin = async |address| shared.clients.store.pin(address, key, &incarnation).await;
    let result = call_store(shared, &store, pin).await;
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
    let reserve = async |address| shared.clients.store.reserve(address, request).await;
    let result = match call_store(shared, &store, reserve).await {
        Ok(Reserved::Granted(generation)) => Ok(ReserveOutcome::Granted(generation)),
        Ok(Reserved::AlreadyReadable(generation)) => {
            Ok(ReserveOutcome::AlreadyReadable(generation))
        }
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
    let clients = &shared.clients;
    let move_to = async |address| clients.store.move_to(address, key, generation, tier).await;
    let result = call_store(shared, &store, move_to).await;
    Some(TierEvent::Moved {
        transfer,
        result: result.map_err(|error| store_failure(&error)),
    })
}

/// Releases a pin or a block at a store. A failed release is only logged, since whatever isn't
/// released expires at the store.
pub(super) async fn release(shared: &Shared, command: TierCommand) {
    let calls = &shared.clients.store;
    let result = match command {
        TierCommand::Unpin { store, key, pin } => {
            let unpin = async |address| calls.unpin(address, key, &pin).await;
            call_store(shared, &store, unpin).await
        }
        TierCommand::Free {
            store,
            key,
            generation,
        } => {
            let free = async |address| calls.free(address, key, generation).await;
            call_store(shared, &store, free).await
        }
        _ => Ok(()),
    };
    if let Err(error) = result {
        log::debug!("releasing a pin or block at a store failed: {error}");
    }
}

/// Calls a store. If the store is no longer configured, its blocks count as gone.
async fn call_store<T>(
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
