//! Export and import of blocks between an engine and a store.

use bytes::Bytes;
use http::Request;
use wisteriahitch_standin::engine::{EngineFault, EngineOptions};
use wisteriahitch_standin::store::{StoreFault, StoreOptions};
use wisteriahitch_types::{ByteCount, DurationUs, FenceNumber, Generation, TokenCount};
use wisteriahitch_wire::engine::{
    Engine, EngineErrorKind, ExportRequest, ExportResult, ImportRequest, Order,
};
use wisteriahitch_wire::store::{ReserveRequest, Reserved, Store, Tier};

use crate::site::{PIECE, Site, eventually, fast_engine, key, version};

const BLOCK_BYTES: ByteCount = ByteCount::new(5120);

async fn start() -> Site {
    let engine = EngineOptions {
        kv_capacity_tokens: TokenCount::new(20),
        kv_bytes_per_token: BLOCK_BYTES.get() / PIECE.get(),
        ..fast_engine()
    };
    Site::start(engine, StoreOptions::default()).await
}

async fn reserve(site: &Site, number: u8) -> Generation {
    let request = ReserveRequest {
        key: key(number),
        tokens: PIECE,
        bytes: BLOCK_BYTES,
        weight_version: version("v1"),
        tier: Tier::Memory,
        workspace: "kandy-1".parse().unwrap(),
    };
    match site.store.reserve(site.store_address(), request).await {
        Ok(Reserved::Granted(generation)) => generation,
        other => panic!("expected a new reservation of block {number}, got {other:?}"),
    }
}

/// Exports a cached block to the store.
async fn export(site: &Site, number: u8) -> Result<ExportResult, EngineErrorKind> {
    let generation = reserve(site, number).await;
    let request = ExportRequest {
        key: key(number),
        to: site.store.block_url(site.store_address(), key(number)),
        generation,
        weight_version: version("v1"),
    };
    let exported = site.engine.export(site.engine_address(), request).await;
    exported.map_err(|error| error.kind())
}

/// Pins a block of the store and returns the request that imports it.
async fn pin(site: &Site, number: u8) -> ImportRequest {
    let address = site.store_address();
    let incarnation = site.store_standin().incarnation();
    let pin = site.store.pin(address, key(number), incarnation);
    let pin = pin.await.unwrap();
    ImportRequest {
        key: key(number),
        from: site.store.block_url(address, key(number)),
        generation: pin.generation,
        pin: pin.pin,
        weight_version: pin.weight_version,
        bytes: pin.bytes,
        crc32c: pin.crc32c,
    }
}

async fn import(site: &Site, request: ImportRequest) -> Result<(), EngineErrorKind> {
    let imported = site.engine.import(site.engine_address(), request).await;
    imported.map_err(|error| error.kind())
}

fn url_path(request: &ImportRequest) -> &str {
    let at = request.from.find("/v1").unwrap();
    &request.from[at..]
}

/// Computes block 1, exports it to the store and evicts it from the engine's cache.
async fn save_and_evict(site: &Site) {
    site.visit("r-save", &[1]).await;
    let exported = export(site, 1).await.unwrap();
    assert_eq!(exported.bytes, BLOCK_BYTES);
    site.visit("r-evict", &[8, 9]).await;
    assert_eq!(site.cached_keys().await, [8, 9].map(key));
}

#[tokio::test]
async fn an_imported_block_is_not_prefilled_again() {
    let site = start().await;
    save_and_evict(&site).await;
    let request = pin(&site, 1).await;
    import(&site, request.clone()).await.unwrap();
    import(&site, request).await.unwrap();
    let before = site.engine_counters().await;
    assert_eq!((before.imported_blocks, before.imported_tokens), (1, 10));

    assert_eq!(site.visit("r-back", &[1]).await, 10);
    let after = site.engine_counters().await;
    assert_eq!(after.prefilled_tokens - before.prefilled_tokens, 1);
    let store = site.store_counters().await;
    assert_eq!((store.saved_blocks, store.blocks_later_read), (1, 1));
    assert_eq!((store.wait_bytes, store.save_bytes), (5120, 5120));
    assert_eq!((store.saved_bytes, store.read_bytes), (5120, 5120));
}

struct ImportCase {
    name: &'static str,
    fault: StoreFault,
    change: fn(&mut ImportRequest),
    kind: EngineErrorKind,
}

fn import_cases() -> Vec<ImportCase> {
    vec![
        ImportCase {
            name: "changed content",
            fault: StoreFault::CorruptReads(1),
            change: |_| {},
            kind: EngineErrorKind::Corrupt,
        },
        ImportCase {
            name: "truncated content",
            fault: StoreFault::ShortReads(1),
            change: |_| {},
            kind: EngineErrorKind::Corrupt,
        },
        ImportCase {
            name: "another checksum",
            fault: StoreFault::None,
            change: |request| request.crc32c ^= 1,
            kind: EngineErrorKind::Corrupt,
        },
        ImportCase {
            name: "longer than expected",
            fault: StoreFault::None,
            change: |request| request.bytes = ByteCount::new(5119),
            kind: EngineErrorKind::Corrupt,
        },
        ImportCase {
            name: "another block",
            fault: StoreFault::None,
            change: |request| request.key = key(2),
            kind: EngineErrorKind::Corrupt,
        },
        ImportCase {
            name: "weights that the engine doesn't have",
            fault: StoreFault::None,
            change: |request| request.weight_version = version("v2"),
            kind: EngineErrorKind::OtherVersion,
        },
        ImportCase {
            name: "another generation",
            fault: StoreFault::None,
            change: |request| request.generation = request.generation.next(),
            kind: EngineErrorKind::Gone,
        },
        ImportCase {
            name: "another pin",
            fault: StoreFault::None,
            change: |request| request.pin.push('0'),
            kind: EngineErrorKind::Gone,
        },
        ImportCase {
            name: "unreachable store",
            fault: StoreFault::None,
            change: |request| request.from = "http://127.0.0.1:1/v1/blocks/x".to_owned(),
            kind: EngineErrorKind::Lost,
        },
        ImportCase {
            name: "no URL",
            fault: StoreFault::None,
            change: |request| request.from = "blocks".to_owned(),
            kind: EngineErrorKind::Nonsense,
        },
    ]
}

#[tokio::test]
async fn imports_of_other_than_the_requested_block_are_refused() {
    // Guards against wrong answers without any error. They arise when a store returns a block that
    // was changed, truncated, freed, exchanged or computed with other weights, and the engine
    // uses the content because the key was right.
    let site = start().await;
    save_and_evict(&site).await;
    for case in import_cases() {
        let mut request = pin(&site, 1).await;
        (case.change)(&mut request);
        site.store_fault(case.fault).await;
        let imported = import(&site, request).await;
        assert_eq!(imported, Err(case.kind), "{}", case.name);
        let keys = site.cached_keys().await;
        assert_eq!(keys, [8, 9].map(key), "{}", case.name);
    }
    let counters = site.engine_counters().await;
    assert_eq!((counters.imported_blocks, counters.corrupt_imports), (0, 5));
}

#[tokio::test]
async fn a_freed_block_is_removed_with_its_last_pin() {
    let site = start().await;
    save_and_evict(&site).await;
    let (first, second) = (pin(&site, 1).await, pin(&site, 1).await);
    let address = site.store_address();
    let freed = site.store.free(address, key(1), first.generation);
    freed.await.unwrap();
    import(&site, first.clone()).await.unwrap();
    site.visit("r-evict", &[8, 9]).await;

    for request in [&first, &second] {
        let unpinned = site.store.unpin(address, key(1), &request.pin);
        unpinned.await.unwrap();
    }
    let imported = import(&site, second).await;
    assert_eq!(imported, Err(EngineErrorKind::Gone));
}

#[tokio::test]
async fn a_corrupt_or_short_export_is_rejected() {
    let site = start().await;
    site.visit("r-1", &[1, 2]).await;

    // A block with another block's key has a valid length and checksum; only its header is wrong.
    let corrupt = EngineFault::CorruptExport;
    site.engine_fault(corrupt, Some(1)).await;
    export(&site, 1).await.unwrap();
    site.visit("r-evict", &[8, 9]).await;
    let request = pin(&site, 1).await;
    let imported = import(&site, request).await;
    assert_eq!(imported, Err(EngineErrorKind::Corrupt));
    assert_eq!(site.engine_counters().await.corrupt_imports, 1);

    // A block that is too short never becomes readable, and its space is released.
    site.visit("r-2", &[1, 2]).await;
    site.engine_fault(EngineFault::ShortExport, Some(1)).await;
    let exported = export(&site, 2).await;
    assert_eq!(exported, Err(EngineErrorKind::Lost));
    let failed_space_released = async || {
        let report = site.store.report(site.store_address()).await.unwrap();
        (report.memory.used_bytes == BLOCK_BYTES).then_some(())
    };
    eventually("the space is free again", failed_space_released).await;
    assert_eq!(export(&site, 2).await.unwrap().bytes, BLOCK_BYTES);
}

#[tokio::test]
async fn exports_require_a_cached_block_of_the_weight_version() {
    let site = start().await;
    site.visit("r-1", &[1]).await;
    assert_eq!(export(&site, 3).await, Err(EngineErrorKind::Gone));
    let request = ExportRequest {
        key: key(1),
        to: site.store.block_url(site.store_address(), key(1)),
        generation: reserve(&site, 1).await,
        weight_version: version("v2"),
    };
    let exported = site.engine.export(site.engine_address(), request.clone());
    let error = exported.await.unwrap_err();
    assert_eq!(error.kind(), EngineErrorKind::OtherVersion);

    let stale = ExportRequest {
        generation: request.generation.next(),
        weight_version: version("v1"),
        ..request
    };
    let exported = site.engine.export(site.engine_address(), stale);
    assert_eq!(exported.await.unwrap_err().kind(), EngineErrorKind::Gone);
}

#[tokio::test]
async fn an_import_overtaken_by_a_weight_swap_is_refused() {
    // Guards against a request of the new weights that uses a block of the old ones. That happens
    // if the weights are swapped between the start of an import and the arrival of its block, and
    // the version is checked only before the transfer.
    let site = start().await;
    save_and_evict(&site).await;
    let (link_holder, request) = (pin(&site, 1).await, pin(&site, 1).await);
    // The import has begun and waits for the link, which another reader occupies for an hour.
    site.store_fault(StoreFault::SlowFactor(1_000_000_000))
        .await;
    let link_holder = format!(
        "{}?generation={}&pin={}",
        url_path(&link_holder),
        link_holder.generation,
        link_holder.pin
    );
    let link_holder = Request::get(link_holder).body(Bytes::new()).unwrap();
    let long_timeout = DurationUs::from_ms(20_000);
    let link_holder = site
        .http
        .send(site.store_address(), link_holder, long_timeout);
    let link_holder = link_holder.await.unwrap();
    let engine = site.engine.clone();
    let address = site.engine_address();
    let pending_import = tokio::spawn(async move { engine.import(address, request).await });
    let is_queued = async || {
        let report = site.store.report(site.store_address()).await.unwrap();
        (report.link.queued_bytes.get() == 2 * BLOCK_BYTES.get()).then_some(())
    };
    eventually("the import waits for the link", is_queued).await;

    let order = Order::LoadModel {
        model: "hist-7b".parse().unwrap(),
        weight_version: version("v2"),
    };
    let given = site
        .engine
        .order(address, FenceNumber::new(1), order, long_timeout);
    given.await.unwrap();
    site.store_fault(StoreFault::None).await;
    drop(link_holder);
    let error = pending_import.await.unwrap().unwrap_err();
    assert_eq!(error.kind(), EngineErrorKind::OtherVersion);
    assert_eq!(site.cached_keys().await, []);
}
