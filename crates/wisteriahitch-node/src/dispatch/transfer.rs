//! The calls to store VMs and engines that move blocks.

use std::sync::Arc;

use wisteriahitch_core::tier::{
    ExportReceipt, PinGrant, ReservedRoom, TierCommand, TierEvent, TransferFailure,
};
use wisteriahitch_wire::engine::{EngineError, EngineErrorKind, ExportRequest, ImportRequest};
use wisteriahitch_wire::store::{ReserveRequest, Reserved, StoreError, StoreErrorKind};

use crate::shared::Shared;

/// Carries out one command and tells the tier core how it ended.
pub(crate) async fn run(shared: Arc<Shared>, command: TierCommand) {
    let event = match command {
        TierCommand::Pin { .. } => pin(&shared, command).await,
        TierCommand::Import { .. } => import(&shared, command).await,
        TierCommand::Reserve { .. } => reserve(&shared, command).await,
        TierCommand::Export { .. } => export(&shared, command).await,
        TierCommand::Move { .. } => move_block(&shared, command).await,
        TierCommand::Unpin { .. } | TierCommand::Free { .. } => {
            release(&shared, command).await;
            None
        }
        TierCommand::Proceed { .. } => None,
    };
    if let Some(event) = event {
        count(&shared, &event);
        shared.note_tier(event);
    }
}

fn count(shared: &Shared, event: &TierEvent) {
    let outcome = match event {
        TierEvent::Imported { result: Ok(()), .. } => "imported",
        TierEvent::Imported { .. } => "import_failed",
        TierEvent::Exported { result: Ok(_), .. } => "exported",
        TierEvent::Exported { .. } => "export_failed",
        _ => return,
    };
    shared.metrics.transfers.with_label_values(&[outcome]).inc();
}

async fn pin(shared: &Shared, command: TierCommand) -> Option<TierEvent> {
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

async fn import(shared: &Shared, command: TierCommand) -> Option<TierEvent> {
    let TierCommand::Import {
        transfer,
        endpoint,
        store,
        key,
        generation,
        pin,
        weight_version,
        bytes,
        crc32c,
    } = command
    else {
        return None;
    };
    let addresses = shared
        .endpoint_address(&endpoint)
        .zip(shared.store_address(&store));
    let Some((endpoint_address, store_address)) = addresses else {
        return Some(TierEvent::Imported {
            transfer,
            result: Err(TransferFailure::Lost),
        });
    };
    let from = shared.outside.store.block_url(store_address, key);
    let request = ImportRequest {
        key,
        from,
        generation,
        pin,
        weight_version,
        bytes,
        crc32c,
    };
    let result = shared
        .outside
        .engine
        .import(endpoint_address, request)
        .await;
    if result.is_ok() {
        shared.router.lock().directory.stored(&endpoint, &key);
    }
    let result = result.map_err(|error| engine_failure(&error));
    Some(TierEvent::Imported { transfer, result })
}

async fn reserve(shared: &Shared, command: TierCommand) -> Option<TierEvent> {
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

async fn export(shared: &Shared, command: TierCommand) -> Option<TierEvent> {
    let TierCommand::Export {
        transfer,
        endpoint,
        store,
        key,
        generation,
        weight_version,
    } = command
    else {
        return None;
    };
    let addresses = shared
        .endpoint_address(&endpoint)
        .zip(shared.store_address(&store));
    let Some((endpoint_address, store_address)) = addresses else {
        return Some(TierEvent::Exported {
            transfer,
            result: Err(TransferFailure::Lost),
        });
    };
    let to = shared.outside.store.block_url(store_address, key);
    let request = ExportRequest {
        key,
        to,
        generation,
        weight_version,
    };
    let result = shared
        .outside
        .engine
        .export(endpoint_address, request)
        .await;
    let result = result
        .map(|done| ExportReceipt {
            bytes: done.bytes,
            crc32c: done.crc32c,
        })
        .map_err(|error| engine_failure(&error));
    Some(TierEvent::Exported { transfer, result })
}

async fn move_block(shared: &Shared, command: TierCommand) -> Option<TierEvent> {
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
async fn release(shared: &Shared, command: TierCommand) {
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

fn engine_failure(error: &EngineError) -> TransferFailure {
    match error.kind() {
        EngineErrorKind::Gone => TransferFailure::Gone,
        EngineErrorKind::Corrupt => TransferFailure::Corrupt,
        EngineErrorKind::OtherVersion => TransferFailure::OtherVersion,
        _ => TransferFailure::Lost,
    }
}
