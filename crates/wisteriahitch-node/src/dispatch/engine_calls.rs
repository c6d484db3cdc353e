//! Block imports and exports at engines.

use std::net::SocketAddr;

use wisteriahitch_core::tier::{ExportReceipt, TierCommand, TierEvent, TransferFailure};
use wisteriahitch_types::{BlockKey, EndpointId, StoreId};
use wisteriahitch_wire::engine::{EngineError, EngineErrorKind, ExportRequest, ImportRequest};

use crate::shared::Shared;

pub(super) async fn import(shared: &Shared, command: TierCommand) -> Option<TierEvent> {
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
    let Some((address, from)) = resolve_addresses(shared, &endpoint, &store, key) else {
        return Some(TierEvent::Imported {
            transfer,
            result: Err(TransferFailure::Lost),
        });
    };
    let request = ImportRequest {
        key,
        from,
        generation,
        pin,
        weight_version,
        bytes,
        crc32c,
    };
    let result = shared.clients.engine.import(address, request).await;
    if result.is_ok() {
        shared
            .router
            .lock()
            .directory
            .record_stored(&endpoint, &key);
    }
    let result = result.map_err(|error| engine_failure(&error));
    Some(TierEvent::Imported { transfer, result })
}

pub(super) async fn export(shared: &Shared, command: TierCommand) -> Option<TierEvent> {
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
    let Some((address, to)) = resolve_addresses(shared, &endpoint, &store, key) else {
        return Some(TierEvent::Exported {
            transfer,
            result: Err(TransferFailure::Lost),
        });
    };
    let request = ExportRequest {
        key,
        to,
        generation,
        weight_version,
    };
    let result = shared.clients.engine.export(address, request).await;
    let result = result
        .map(|done| ExportReceipt {
            bytes: done.bytes,
            crc32c: done.crc32c,
        })
        .map_err(|error| engine_failure(&error));
    Some(TierEvent::Exported { transfer, result })
}

/// Returns the endpoint's address and the URL of the block at its store, or `None` unless both are
/// configured.
fn resolve_addresses(
    shared: &Shared,
    endpoint: &EndpointId,
    store: &StoreId,
    key: BlockKey,
) -> Option<(SocketAddr, String)> {
    let address = shared.endpoint_address(endpoint)?;
    let store = shared.store_address(store)?;
    Some((address, shared.clients.store.block_url(store, key)))
}

fn engine_failure(error: &EngineError) -> TransferFailure {
    match error.kind() {
        EngineErrorKind::Gone => TransferFailure::Gone,
        EngineErrorKind::Corrupt => TransferFailure::Corrupt,
        EngineErrorKind::OtherVersion => TransferFailure::OtherVersion,
        _ => TransferFailure::Lost,
    }
}
