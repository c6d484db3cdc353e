use std::time::{Duration, Instant};

use http::{Method, Request, StatusCode};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use wisteriahitch_standin::store::{StoreControl, StoreFault, StoreOptions, StoreStandin};
use wisteriahitch_types::{ByteCount, ByteRate, DurationUs, Generation, TokenCount};
use wisteriahitch_wire::store::{
    BlockState, Pin, ReserveRequest, Reserved, Store, StoreErrorKind, Tier,
};

use crate::site::{Site, eventually, key, version};

const BLOCK_BYTES: u64 = 1_000;

fn reservation(number: u8, tier: Tier) -> ReserveRequest {
    ReserveRequest {
        key: key(number),
        tokens: TokenCount::new(10),
        bytes: ByteCount::new(BLOCK_BYTES),
        weight_version: version("v1"),
        tier,
        workspace: "kandy-1".parse().unwrap(),
    }
}

fn small_store_options() -> StoreOptions {
    StoreOptions {
        memory_bytes: ByteCount::new(2 * BLOCK_BYTES),
        disk_bytes: ByteCount::new(BLOCK_BYTES),
        ..StoreOptions::default()
    }
}

async fn reserve(site: &Site, number: u8, tier: Tier) -> Result<Reserved, StoreErrorKind> {
    let reserved = site
        .store
        .reserve(site.store_address(), reservation(number, tier));
    reserved.await.map_err(|error| error.kind())
}

async fn reserve_in_memory(site: &Site, number: u8) -> Generation {
    match reserve(site, number, Tier::Memory).await {
        Ok(Reserved::Granted(generation)) => generation,
        other => panic!("expected a new reservation of block {number}, got {other:?}"),
    }
}

fn content(number: u8) -> Vec<u8> {
    vec![number; BLOCK_BYTES as usize]
}

async fn write(site: &Site, number: u8, generation: Generation, body: Vec<u8>) -> StatusCode {
    let path = format!("/v1/blocks/{}?generation={generation}", key(number));
    let answer = site.call(site.store_address(), Method::PUT, &path, body);
    answer.await.status()
}

async fn save(site: &Site, number: u8) -> Generation {
    let generation = reserve_in_memory(site, number).await;
    let status = write(site, number, generation, content(number)).await;
    assert_eq!(status, StatusCode::OK);
    generation
}

async fn pin(site: &Site, number: u8) -> Result<Pin, StoreErrorKind> {
    let incarnation = site.store_standin().incarnation();
    let pin = site
        .store
        .pin(site.store_address(), key(number), incarnation);
    pin.await.map_err(|error| error.kind())
}

fn read_path(number: u8, pin: &Pin) -> String {
    let (generation, name) = (pin.generation, &pin.pin);
    format!(
        "/v1/blocks/{}?generation={generation}&pin={name}",
        key(number)
    )
}

async fn read(site: &Site, number: u8, pin: &Pin) -> (StatusCode, Vec<u8>) {
    let path = read_path(number, pin);
    let answer = site
        .call(site.store_address(), Method::GET, &path, "")
        .await;
    (answer.status(), answer.into_body().to_vec())
}

async fn block_states(site: &Site) -> Vec<(Generation, BlockState)> {
    let listing = site.store.list(site.store_address()).await.unwrap();
    let blocks = listing.blocks.into_iter();
    blocks
        .map(|block| (block.generation, block.state))
        .collect()
}

async fn used_bytes_by_tier(site: &Site) -> (u64, u64) {
    let report = site.store.report(site.store_address()).await.unwrap();
    (report.memory.used_bytes.get(), report.disk.used_bytes.get())
}

#[tokio::test]
async fn a_block_passes_through_all_states_from_reserved_to_freed() {
    let site = Site::start_store(small_store_options()).await;
    let first = reserve_in_memory(&site, 1).await;
    assert_eq!(block_states(&site).await, [(first, BlockState::Reserved)]);
    let again = reserve(&site, 1, Tier::Memory).await;
    assert_eq!(again, Ok(Reserved::InProgress));
    assert_eq!(pin(&site, 1).await.err(), Some(StoreErrorKind::Gone));

    assert_eq!(write(&site, 1, first, content(1)).await, StatusCode::OK);
    assert_eq!(write(&site, 1, first, content(2)).await, StatusCode::GONE);
    let again = reserve(&site, 1, Tier::Memory).await;
    assert_eq!(again, Ok(Reserved::AlreadyReadable(first)));
    let active_pin = pin(&site, 1).await.unwrap();
    assert_eq!(active_pin.crc32c, crc32c::crc32c(&content(1)));
    assert_eq!(
        read(&site, 1, &active_pin).await,
        (StatusCode::OK, content(1))
    );

    let address = site.store_address();
    site.store.free(address, key(1), first).await.unwrap();
    assert_eq!(block_states(&site).await, [(first, BlockState::Draining)]);
    assert_eq!(pin(&site, 1).await.err(), Some(StoreErrorKind::Gone));
    assert_eq!(
        read(&site, 1, &active_pin).await,
        (StatusCode::OK, content(1))
    );

    // The key may be written again while an earlier generation of the block drains.
    let second = reserve_in_memory(&site, 1).await;
    assert!(second > first);
    assert_eq!(write(&site, 1, second, content(3)).await, StatusCode::OK);
    assert_eq!(read(&site, 1, &active_pin).await.1, content(1));
    site.store
        .unpin(address, key(1), &active_pin.pin)
        .await
        .unwrap();
    assert_eq!(block_states(&site).await, [(second, BlockState::Readable)]);
    assert_eq!(read(&site, 1, &active_pin).await.0, StatusCode::GONE);
    let stale = Pin {
        generation: second,
        ..active_pin
    };
    assert_eq!(read(&site, 1, &stale).await.0, StatusCode::GONE);
    assert_eq!(used_bytes_by_tier(&site).await, (BLOCK_BYTES, 0));
}

#[tokio::test]
async fn an_unfinished_write_leaves_no_block_and_no_reserved_space() {
    // Guards against partly written blocks that become readable or that fill up the store. They
    // arise when a writer sends too little, too much, or dies midway, and the block becomes
    // readable before its length is checked or is never removed.
    let site = Site::start_store(small_store_options()).await;
    for body in [
        content(1)[1..].to_vec(),
        [content(1), vec![1]].concat(),
        vec![],
    ] {
        let generation = reserve_in_memory(&site, 1).await;
        let status = write(&site, 1, generation, body).await;
        assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY);
        assert_eq!(block_states(&site).await, []);
        assert_eq!(used_bytes_by_tier(&site).await, (0, 0));
    }

    let generation = reserve_in_memory(&site, 1).await;
    let mut writer = TcpStream::connect(site.store_address()).await.unwrap();
    let head = format!(
        "PUT /v1/blocks/{}?generation={generation} HTTP/1.1\r\nhost: x\r\n\
         content-length: {BLOCK_BYTES}\r\n\r\nhalf",
        key(1),
    );
    writer.write_all(head.as_bytes()).await.unwrap();
    eventually("the block is being written", async || {
        (block_states(&site).await == [(generation, BlockState::Writing)]).then_some(())
    })
    .await;
    assert_eq!(pin(&site, 1).await.err(), Some(StoreErrorKind::Gone));
    drop(writer);
    eventually("the space is free again", async || {
        (used_bytes_by_tier(&site).await == (0, 0)).then_some(())
    })
    .await;
    assert_eq!(site.store_counters().await.saved_blocks, 0);
}

#[tokio::test]
async fn pins_and_reservations_expire() {
    let site = Site::start_store(StoreOptions {
        pin_timeout_us: DurationUs::from_ms(30),
        reserve_timeout_us: DurationUs::from_ms(30),
        ..small_store_options()
    })
    .await;
    let generation = save(&site, 1).await;
    let active_pin = pin(&site, 1).await.unwrap();
    eventually("the pin has expired", async || {
        (read(&site, 1, &active_pin).await.0 == StatusCode::GONE).then_some(())
    })
    .await;
    let expiring_pin = pin(&site, 1).await.unwrap();
    let address = site.store_address();
    site.store.free(address, key(1), generation).await.unwrap();
    eventually("the block has drained", async || {
        (block_states(&site).await.is_empty()).then_some(())
    })
    .await;
    assert_eq!(read(&site, 1, &expiring_pin).await.0, StatusCode::GONE);

    let unused = reserve_in_memory(&site, 2).await;
    eventually("the reservation has expired", async || {
        (used_bytes_by_tier(&site).await == (0, 0)).then_some(())
    })
    .await;
    assert_eq!(write(&site, 2, unused, content(2)).await, StatusCode::GONE);
}

#[tokio::test]
async fn tiers_have_limited_capacity() {
    let site = Site::start_store(small_store_options()).await;
    let first = save(&site, 1).await;
    save(&site, 2).await;
    let full = Err(StoreErrorKind::Full);
    assert_eq!(reserve(&site, 3, Tier::Memory).await, full);

    let address = site.store_address();
    let move_to = async |number, generation, tier| {
        let moved = site.store.move_to(address, key(number), generation, tier);
        moved.await.map_err(|error| error.kind())
    };
    assert_eq!(move_to(1, first, Tier::Disk).await, Ok(()));
    assert_eq!(move_to(1, first, Tier::Disk).await, Ok(()));
    assert_eq!(used_bytes_by_tier(&site).await, (BLOCK_BYTES, BLOCK_BYTES));
    assert_eq!(pin(&site, 1).await.unwrap().tier, Tier::Disk);
    let gone = Err(StoreErrorKind::Gone);
    assert_eq!(move_to(1, first.next(), Tier::Memory).await, gone);
    let third = save(&site, 3).await;
    assert_eq!(
        move_to(3, third, Tier::Disk).await,
        Err(StoreErrorKind::Full)
    );
    assert_eq!(
        move_to(1, first, Tier::Memory).await,
        Err(StoreErrorKind::Full)
    );
    assert_eq!(
        used_bytes_by_tier(&site).await,
        (2 * BLOCK_BYTES, BLOCK_BYTES)
    );

    let large_store = Site::start_store(StoreOptions::default()).await;
    large_store.store_fault(StoreFault::Full).await;
    assert_eq!(reserve(&large_store, 1, Tier::Memory).await, full);
    large_store.store_fault(StoreFault::None).await;
    reserve_in_memory(&large_store, 1).await;
    let leaving = StoreControl {
        leaving: Some(true),
        fault: None,
    };
    large_store
        .control(large_store.store_address(), &leaving)
        .await;
    assert_eq!(reserve(&large_store, 2, Tier::Disk).await, full);
    assert_eq!(large_store.store_counters().await.refused_full, 2);
}

#[tokio::test]
async fn a_restarted_store_is_a_new_incarnation() {
    // Guards against a reader that gets a new store's content for an old block. That happens if
    // the store VM dies, another one gets its address and the key is written again, while readers
    // identify a store by its address alone.
    let options = StoreOptions::default();
    let first = StoreStandin::start(options.clone()).await.unwrap();
    let old = first.incarnation().clone();
    let address = first.address();
    drop(first);
    let listen = StoreOptions {
        listen: address,
        ..options
    };
    let second = eventually("the address is free", async || {
        StoreStandin::start(listen.clone()).await.ok()
    })
    .await;
    assert_ne!(&old, second.incarnation());
    let site = Site::start_store(StoreOptions::default()).await;
    let report = site.store.report(address).await.unwrap();
    assert_eq!(&report.incarnation, second.incarnation());
    let reserved = site.store.reserve(address, reservation(1, Tier::Memory));
    assert_eq!(
        reserved.await.unwrap(),
        Reserved::Granted(Generation::new(1))
    );
    let path = format!("/v1/blocks/{}?generation=1", key(1));
    let written = site.call(address, Method::PUT, &path, content(1)).await;
    assert_eq!(written.status(), StatusCode::OK);
    let pinned = site.store.pin(address, key(1), &old).await;
    assert_eq!(pinned.unwrap_err().kind(), StoreErrorKind::Gone);
    let pinned = site.store.pin(address, key(1), second.incarnation());
    pinned.await.unwrap();
}

#[tokio::test]
async fn transfers_are_sent_in_order_and_within_the_link_rate() {
    const RATE: u64 = 10_000;
    let site = Site::start_store(StoreOptions {
        link_bytes_per_s: ByteRate::new(RATE),
        ..StoreOptions::default()
    })
    .await;
    let begun = Instant::now();
    save(&site, 1).await;
    // A lower bound can't fail on a busy machine; the pacer makes up for at most 5 ms.
    let min_elapsed = Duration::from_millis(BLOCK_BYTES * 1_000 / RATE - 5);
    assert!(begun.elapsed() >= min_elapsed, "{:?}", begun.elapsed());

    let active_pin = pin(&site, 1).await.unwrap();
    site.store_fault(StoreFault::Freeze).await;
    site.store_fault(StoreFault::SlowFactor(2)).await;
    let ended = parking_lot::Mutex::new(Vec::new());
    let reader = async |name| {
        assert_eq!(read(&site, 1, &active_pin).await.1, content(1));
        ended.lock().push(name);
    };
    let queued = async |blocks: u64| {
        let wait = async || {
            let report = site.store.report(site.store_address()).await.unwrap();
            (report.link.queued_bytes.get() >= blocks * BLOCK_BYTES).then_some(())
        };
        eventually("the transfer is queued", wait).await;
    };
    let second = async {
        queued(1).await;
        reader("second").await;
    };
    tokio::join!(reader("first"), second);
    assert_eq!(*ended.lock(), ["first", "second"]);
    let report = site.store.report(site.store_address()).await.unwrap();
    assert_eq!(report.link.queued_bytes, ByteCount::ZERO);
    assert_eq!(report.link.sent_bytes.get(), 3 * BLOCK_BYTES);
}

#[tokio::test]
async fn a_reader_that_disconnects_frees_the_link() {
    let site = Site::start_store(StoreOptions {
        link_bytes_per_s: ByteRate::new(1_000_000),
        ..StoreOptions::default()
    })
    .await;
    save(&site, 1).await;
    let active_pin = pin(&site, 1).await.unwrap();
    // With this factor the first transfer would take an hour.
    site.store_fault(StoreFault::SlowFactor(3_600_000)).await;
    let request = Request::get(read_path(1, &active_pin)).body(bytes::Bytes::new());
    let long_timeout = DurationUs::from_ms(20_000);
    let first = site
        .http
        .send(site.store_address(), request.unwrap(), long_timeout);
    let first = first.await.unwrap();
    drop(first);
    let idle = async || {
        let report = site.store.report(site.store_address()).await.unwrap();
        (report.link.queued_bytes == ByteCount::ZERO).then_some(())
    };
    eventually("the link is idle", idle).await;
    site.store_fault(StoreFault::None).await;
    assert_eq!(read(&site, 1, &active_pin).await.1, content(1));
}

#[tokio::test]
async fn read_faults_affect_the_requested_number_of_reads() {
    struct Case {
        fault: StoreFault,
        is_whole: [bool; 3],
    }
    let cases = [
        Case {
            fault: StoreFault::CorruptReads(2),
            is_whole: [false, false, true],
        },
        Case {
            fault: StoreFault::ShortReads(1),
            is_whole: [false, true, true],
        },
        Case {
            fault: StoreFault::None,
            is_whole: [true, true, true],
        },
    ];
    let site = Site::start_store(StoreOptions::default()).await;
    save(&site, 1).await;
    let active_pin = pin(&site, 1).await.unwrap();
    for case in cases {
        site.store_fault(case.fault).await;
        for (number, is_whole) in case.is_whole.into_iter().enumerate() {
            let (status, body) = read(&site, 1, &active_pin).await;
            assert_eq!(status, StatusCode::OK);
            assert_eq!(body == content(1), is_whole, "{:?} {number}", case.fault);
        }
    }
    let counters = site.store_counters().await;
    assert_eq!((counters.corrupted_reads, counters.short_reads), (2, 1));
    assert_eq!((counters.read_blocks, counters.blocks_later_read), (9, 1));
}
