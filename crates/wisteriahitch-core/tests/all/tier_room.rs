//! Tests of demotion, eviction and prefetch.

use std::collections::BTreeSet;

use wisteriahitch_config::SavePolicy;
use wisteriahitch_core::tier::{
    ExportReceipt, FinishedRequest, ReserveOutcome, TierCommand, TierEvent, Tiers, TransferFailure,
    TransferId,
};
use wisteriahitch_types::{BlockKey, BlockState, ByteCount, Generation, Tier, TimeUs, TokenRate};

use crate::tier::{
    BLOCK_BYTES, BLOCK_TOKENS, CRC32C, at_ms, briefs, configuration_with, finished, key, name,
    store_seen,
};

/// Saves a chain by answering every command, so that its blocks become readable.
fn save(tiers: &mut Tiers, keys: &[u8], now: TimeUs) {
    save_request(tiers, &finished(SavePolicy::Always, keys), now);
}

fn save_request(tiers: &mut Tiers, request: &FinishedRequest, now: TimeUs) {
    let mut commands = tiers.request_finished(request, now);
    while let Some(command) = commands.pop() {
        let event = match command {
            TierCommand::Reserve { transfer, .. } => TierEvent::Reserved {
                transfer,
                result: Ok(ReserveOutcome::Granted(Generation::new(transfer.get()))),
            },
            TierCommand::Export { transfer, .. } => TierEvent::Exported {
                transfer,
                result: Ok(ExportReceipt {
                    bytes: BLOCK_BYTES,
                    crc32c: CRC32C,
                }),
            },
            other => panic!("a save must not cause {other:?}"),
        };
        commands.extend(tiers.handle_event(event, now));
    }
}

fn tiers_with(keys: &[u8]) -> Tiers {
    let mut tiers = Tiers::new();
    tiers.apply_configuration(&configuration_with(100));
    tiers.handle_event(store_seen("i-1"), at_ms(0));
    save(&mut tiers, keys, at_ms(0));
    assert_eq!(tiers.saves().counts().finished as usize, keys.len());
    tiers
}

fn reported_free(memory_blocks: u64, disk_blocks: u64) -> TierEvent {
    TierEvent::StoreSeen {
        store: name("hub-cache"),
        incarnation: name("i-1"),
        memory_free_bytes: ByteCount::new(memory_blocks * BLOCK_BYTES.get()),
        disk_free_bytes: ByteCount::new(disk_blocks * BLOCK_BYTES.get()),
        queued_bytes: ByteCount::ZERO,
        is_leaving: false,
    }
}

fn moved(transfer: u64, result: Result<(), TransferFailure>) -> TierEvent {
    TierEvent::Moved {
        transfer: TransferId::new(transfer),
        result,
    }
}

fn moved_key(commands: &[TierCommand]) -> Option<(BlockKey, Tier)> {
    match commands {
        [TierCommand::Move { key, tier, .. }] => Some((*key, *tier)),
        _ => None,
    }
}

fn tier_of(tiers: &Tiers, number: u8) -> Option<Tier> {
    let mut blocks = tiers.blocks().iter();
    let found = blocks.find(|(location, _)| location.key == key(number));
    found.map(|(_, block)| block.tier())
}

struct CapacityCase {
    name: &'static str,
    /// Free space in memory and on disk, in blocks, as the store reports it.
    free_blocks: (u64, u64),
    is_managed: bool,
    /// The block that must be moved to disk.
    expected: Option<u8>,
}

/// Guards against evicting the front of a chain, which makes the rest unreadable. The front
/// contains the oldest blocks, so eviction by age alone would start with it when memory fills up.
#[test]
fn memory_is_demoted_from_the_end_of_a_chain() {
    let cases = [
        CapacityCase {
            name: "enough free space",
            free_blocks: (5, 50),
            is_managed: true,
            expected: None,
        },
        CapacityCase {
            name: "memory is full",
            free_blocks: (0, 50),
            is_managed: true,
            expected: Some(3),
        },
        CapacityCase {
            name: "memory is full, and another daemon manages the store",
            free_blocks: (0, 50),
            is_managed: false,
            expected: None,
        },
    ];
    for case in cases {
        let mut tiers = tiers_with(&[1, 2, 3]);
        if !case.is_managed {
            tiers.set_managed_stores(BTreeSet::new());
        }
        let (memory, disk) = case.free_blocks;
        tiers.handle_event(reported_free(memory, disk), at_ms(10));
        let commands = tiers.tick(at_ms(20));
        let expected = case.expected.map(|number| (key(number), Tier::Disk));
        assert_eq!(moved_key(&commands), expected, "{}", case.name);
    }
}

fn listed(tiers: &mut Tiers, keys: &[u8], now: TimeUs) {
    for number in keys {
        let event = TierEvent::BlockListed {
            store: name("hub-cache"),
            incarnation: name("i-1"),
            key: key(*number),
            generation: Generation::new(u64::from(*number)),
            bytes: BLOCK_BYTES,
            tokens: BLOCK_TOKENS,
            weight_version: name("v1"),
            tier: Tier::Memory,
            state: BlockState::Readable,
        };
        assert_eq!(tiers.handle_event(event, now), []);
    }
}

/// Guards against evicting the front of a chain first and keeping unused blocks. A listing contains
/// neither depth nor use, and must not overwrite the ranks of blocks saved before it.
#[test]
fn a_listing_does_not_reset_ranks() {
    let mut tiers = tiers_with(&[1, 2, 3]);
    listed(&mut tiers, &[3, 2, 1], at_ms(5));
    tiers.handle_event(reported_free(0, 50), at_ms(10));
    let commands = tiers.tick(at_ms(20));
    assert_eq!(moved_key(&commands), Some((key(3), Tier::Disk)));
}

/// Guards against a chain that is never saved again: another daemon frees its end, but the block
/// still counts as readable here after a listing without it.
#[test]
fn a_block_that_its_store_no_longer_lists_is_saved_again() {
    let mut tiers = tiers_with(&[1, 2]);
    let event = TierEvent::StoreListed {
        store: name("hub-cache"),
        incarnation: name("i-1"),
        keys: [key(1)].into(),
    };
    assert_eq!(tiers.handle_event(event, at_ms(10)), []);
    let used = finished(SavePolicy::Always, &[1, 2]);
    let commands = tiers.request_finished(&used, at_ms(20));
    assert_eq!(briefs(&commands), ["reserve t3 memory"]);
}

/// Guards against old blocks that stay in memory forever while new ones go to disk. A block is
/// saved with a high value; later blocks have lower values, because the link is slower or prefill
/// faster. If ranks aged only with evictions, the old block would stay as long as the disk has free
/// space.
#[test]
fn an_unused_block_leaves_memory_although_later_ones_are_worth_less() {
    const ROUNDS: u8 = 100;
    let mut tiers = tiers_with(&[1]);
    let demoted_in = (2..ROUNDS).find(|number| {
        let now = at_ms(u64::from(*number) * 100);
        tiers.handle_event(reported_free(10, 1_000), now);
        let mut later = finished(SavePolicy::Always, &[*number]);
        later.prefill_tokens_per_s = TokenRate::new(20_000);
        save_request(&mut tiers, &later, now);
        tiers.handle_event(reported_free(0, 1_000), now);
        let commands = tiers.tick(now);
        let [
            TierCommand::Move {
                transfer,
                key: demoted,
                ..
            },
        ] = commands[..]
        else {
            panic!("memory is full but no block is moved: {commands:?}");
        };
        tiers.handle_event(moved(transfer.get(), Ok(())), now);
        demoted == key(1)
    });
    assert!(demoted_in.is_some(), "the first block never left memory");
}

struct MoveCase {
    name: &'static str,
    result: Result<(), TransferFailure>,
    expected: Option<Tier>,
}

#[test]
fn a_move_result_updates_the_block_tier() {
    let cases = [
        MoveCase {
            name: "moved",
            result: Ok(()),
            expected: Some(Tier::Disk),
        },
        MoveCase {
            name: "the disk is full",
            result: Err(TransferFailure::Full),
            expected: Some(Tier::Memory),
        },
        MoveCase {
            name: "the block no longer exists",
            result: Err(TransferFailure::Gone),
            expected: None,
        },
    ];
    for case in cases {
        let mut tiers = tiers_with(&[1, 2]);
        tiers.handle_event(reported_free(0, 50), at_ms(10));
        assert_eq!(briefs(&tiers.tick(at_ms(20))), ["move t3 disk"]);
        assert_eq!(tiers.handle_event(moved(3, case.result), at_ms(30)), []);
        assert_eq!(tier_of(&tiers, 2), case.expected, "{}", case.name);
        assert_eq!(tier_of(&tiers, 1), Some(Tier::Memory), "{}", case.name);
    }
}

/// Guards against saves that stop for good once the disk is full, because nothing is evicted.
#[test]
fn a_full_disk_is_freed_from_the_end_of_a_chain() {
    let mut tiers = tiers_with(&[1, 2]);
    tiers.handle_event(reported_free(0, 50), at_ms(10));
    tiers.tick(at_ms(20));
    tiers.handle_event(moved(3, Ok(())), at_ms(30));
    tiers.handle_event(reported_free(5, 0), at_ms(40));
    assert_eq!(briefs(&tiers.tick(at_ms(50))), ["free generation 2"]);
    assert_eq!(tier_of(&tiers, 2), None);
    assert_eq!(tier_of(&tiers, 1), Some(Tier::Memory));
}

struct PrefetchCase {
    name: &'static str,
    is_enabled: bool,
    /// Times at which the block is used, in seconds.
    uses_s: [u64; 3],
    expected: &'static [&'static str],
}

#[test]
fn a_regular_return_is_prefetched() {
    let cases = [
        PrefetchCase {
            name: "regular",
            is_enabled: true,
            uses_s: [1, 101, 201],
            expected: &["move t3 memory"],
        },
        PrefetchCase {
            name: "irregular",
            is_enabled: true,
            uses_s: [1, 11, 201],
            expected: &[],
        },
        PrefetchCase {
            name: "switched off",
            is_enabled: false,
            uses_s: [1, 101, 201],
            expected: &[],
        },
    ];
    for case in cases {
        let mut tiers = tiers_with(&[1]);
        tiers.set_prefetch(case.is_enabled);
        tiers.handle_event(reported_free(0, 50), at_ms(10));
        assert_eq!(briefs(&tiers.tick(at_ms(20))), ["move t2 disk"]);
        tiers.handle_event(moved(2, Ok(())), at_ms(30));
        tiers.handle_event(reported_free(5, 50), at_ms(40));
        for second in case.uses_s {
            let used = finished(SavePolicy::Never, &[1]);
            assert_eq!(tiers.request_finished(&used, at_ms(second * 1_000)), []);
        }
        assert_eq!(tiers.tick(at_ms(290_000)), [], "{}: too early", case.name);
        let commands = tiers.tick(at_ms(292_000));
        assert_eq!(briefs(&commands), case.expected, "{}", case.name);
        if !commands.is_empty() {
            tiers.handle_event(moved(3, Ok(())), at_ms(292_100));
            assert_eq!(tier_of(&tiers, 1), Some(Tier::Memory));
        }
    }
}
