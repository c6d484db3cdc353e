//! Room in the tiers, and prefetch.

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

/// Answers every call of a save, so that the blocks become readable.
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
            other => panic!("a save doesn't need {other:?}"),
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

fn seen_with(memory_blocks: u64, disk_blocks: u64) -> TierEvent {
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

struct RoomCase {
    name: &'static str,
    /// Blocks that fit into memory and disk, by the store's report.
    free_blocks: (u64, u64),
    is_mine: bool,
    /// The block that is to be moved to disk.
    expected: Option<u8>,
}

/// Symptom: a chain without its front is kept, which nobody can read. Sequence: memory fills up
/// and blocks go. Cause: the front of a chain is the oldest part of it.
#[test]
fn memory_is_demoted_from_the_end_of_a_chain() {
    let cases = [
        RoomCase {
            name: "enough room",
            free_blocks: (5, 50),
            is_mine: true,
            expected: None,
        },
        RoomCase {
            name: "memory is full",
            free_blocks: (0, 50),
            is_mine: true,
            expected: Some(3),
        },
        RoomCase {
            name: "memory is full, and another daemon keeps the room",
            free_blocks: (0, 50),
            is_mine: false,
            expected: None,
        },
    ];
    for case in cases {
        let mut tiers = tiers_with(&[1, 2, 3]);
        if !case.is_mine {
            tiers.set_managed_stores(BTreeSet::new());
        }
        let (memory, disk) = case.free_blocks;
        tiers.handle_event(seen_with(memory, disk), at_ms(10));
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

/// Symptom: the front of a chain goes before its end, and unused blocks stay. Sequence: a chain is
/// saved, its store is listed, memory fills up. Cause: the listing, which knows neither the depth
/// nor the use of a block, replaced what was known of both.
#[test]
fn a_listing_does_not_reset_ranks() {
    let mut tiers = tiers_with(&[1, 2, 3]);
    listed(&mut tiers, &[3, 2, 1], at_ms(5));
    tiers.handle_event(seen_with(0, 50), at_ms(10));
    let commands = tiers.tick(at_ms(20));
    assert_eq!(moved_key(&commands), Some((key(3), Tier::Disk)));
}

/// Symptom: a chain that returns often is never saved again. Sequence: it is saved, another daemon
/// frees its end, the store is listed without it, the chain is used. Cause: the block still counts
/// as readable here.
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

/// Symptom: prompts of long ago fill the memory and those of today go to disk. Sequence: a block is
/// saved while it is worth much; later ones are worth less, since the link is slower or prefill
/// faster; memory fills up again and again. Cause: blocks age only when one is freed, and as long
/// as the disk has room none is freed.
#[test]
fn an_unused_block_leaves_memory_although_later_ones_are_worth_less() {
    const ROUNDS: u8 = 100;
    let mut tiers = tiers_with(&[1]);
    let moved_in = (2..ROUNDS).find(|number| {
        let now = at_ms(u64::from(*number) * 100);
        tiers.handle_event(seen_with(10, 1_000), now);
        let mut later = finished(SavePolicy::Always, &[*number]);
        later.prefill_tokens_per_s = TokenRate::new(20_000);
        save_request(&mut tiers, &later, now);
        tiers.handle_event(seen_with(0, 1_000), now);
        let commands = tiers.tick(now);
        let [
            TierCommand::Move {
                transfer,
                key: least,
                ..
            },
        ] = commands[..]
        else {
            panic!("memory is full and nothing moves: {commands:?}");
        };
        tiers.handle_event(moved(transfer.get(), Ok(())), now);
        least == key(1)
    });
    assert!(moved_in.is_some(), "the first block never left memory");
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
            name: "the block is gone",
            result: Err(TransferFailure::Gone),
            expected: None,
        },
    ];
    for case in cases {
        let mut tiers = tiers_with(&[1, 2]);
        tiers.handle_event(seen_with(0, 50), at_ms(10));
        assert_eq!(briefs(&tiers.tick(at_ms(20))), ["move t3 disk"]);
        assert_eq!(tiers.handle_event(moved(3, case.result), at_ms(30)), []);
        assert_eq!(tier_of(&tiers, 2), case.expected, "{}", case.name);
        assert_eq!(tier_of(&tiers, 1), Some(Tier::Memory), "{}", case.name);
    }
}

/// Symptom: nothing can be saved any more. Sequence: the disk fills up. Cause: nothing is freed.
#[test]
fn a_full_disk_is_freed_from_the_end_of_a_chain() {
    let mut tiers = tiers_with(&[1, 2]);
    tiers.handle_event(seen_with(0, 50), at_ms(10));
    tiers.tick(at_ms(20));
    tiers.handle_event(moved(3, Ok(())), at_ms(30));
    tiers.handle_event(seen_with(5, 0), at_ms(40));
    assert_eq!(briefs(&tiers.tick(at_ms(50))), ["free generation 2"]);
    assert_eq!(tier_of(&tiers, 2), None);
    assert_eq!(tier_of(&tiers, 1), Some(Tier::Memory));
}

struct PrefetchCase {
    name: &'static str,
    is_enabled: bool,
    /// When the block is used, in seconds.
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
        tiers.handle_event(seen_with(0, 50), at_ms(10));
        assert_eq!(briefs(&tiers.tick(at_ms(20))), ["move t2 disk"]);
        tiers.handle_event(moved(2, Ok(())), at_ms(30));
        tiers.handle_event(seen_with(5, 50), at_ms(40));
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
