//! Tests of saves that succeed and that fail at each step.

use wisteriahitch_config::SavePolicy;
use wisteriahitch_core::tier::{
    BlockLocation, ExportReceipt, ReserveOutcome, TierEvent, Tiers, TransferFailure, TransferId,
};
use wisteriahitch_types::{BlockState, ByteCount, Generation};

use crate::tier::{
    BLOCK_BYTES, CRC32C, at_ms, briefs, configuration_with, finished, key, name, store_seen,
};

enum Step {
    Finished(SavePolicy, &'static [u8]),
    Event(TierEvent),
    Tick,
}

struct Case {
    name: &'static str,
    /// Quota of the workspace, in blocks.
    quota_blocks: u64,
    run: Vec<(u64, Step, &'static [&'static str])>,
    /// Blocks that must be readable at the end.
    readable: &'static [u8],
}

fn reserved(transfer: u64, result: Result<ReserveOutcome, TransferFailure>) -> Step {
    Step::Event(TierEvent::Reserved {
        transfer: TransferId::new(transfer),
        result,
    })
}

fn granted(transfer: u64, generation: u64) -> Step {
    reserved(
        transfer,
        Ok(ReserveOutcome::Granted(Generation::new(generation))),
    )
}

fn exported(transfer: u64, result: Result<ByteCount, TransferFailure>) -> Step {
    Step::Event(TierEvent::Exported {
        transfer: TransferId::new(transfer),
        result: result.map(|bytes| ExportReceipt {
            bytes,
            crc32c: CRC32C,
        }),
    })
}

fn policy_cases() -> Vec<Case> {
    use SavePolicy::{Always, Learned, Never, SecondUse};
    use Step::Finished;
    vec![
        Case {
            name: "a chain is saved from its front, one block at a time",
            quota_blocks: 10,
            run: vec![
                (0, Finished(Always, &[1, 2]), &["reserve t1 memory"]),
                (1, granted(1, 7), &["export t1"]),
                (1_001, exported(1, Ok(BLOCK_BYTES)), &["reserve t2 memory"]),
                (1_002, granted(2, 8), &["export t2"]),
                (2_002, exported(2, Ok(BLOCK_BYTES)), &[]),
                (3_000, Finished(Always, &[1, 2]), &[]),
            ],
            readable: &[1, 2],
        },
        Case {
            name: "nothing is saved with the policy Never",
            quota_blocks: 10,
            run: vec![(0, Finished(Never, &[1]), &[])],
            readable: &[],
        },
        Case {
            name: "a block is saved at its second use",
            quota_blocks: 10,
            run: vec![
                (0, Finished(SecondUse, &[1, 2]), &[]),
                (5, Finished(SecondUse, &[1, 3]), &["reserve t1 memory"]),
                (6, granted(1, 7), &["export t1"]),
                (1_006, exported(1, Ok(BLOCK_BYTES)), &[]),
            ],
            readable: &[1],
        },
        Case {
            name: "an unknown workspace's blocks are saved until its history shows no returns",
            quota_blocks: 10,
            run: vec![
                (0, Finished(Learned, &[1]), &["reserve t1 memory"]),
                (1, granted(1, 7), &["export t1"]),
                (1_001, exported(1, Ok(BLOCK_BYTES)), &[]),
            ],
            readable: &[1],
        },
        Case {
            name: "a block that the store already holds isn't exported again",
            quota_blocks: 10,
            run: vec![
                (0, Finished(Always, &[1, 2]), &["reserve t1 memory"]),
                (
                    1,
                    reserved(1, Ok(ReserveOutcome::AlreadyReadable(Generation::new(3)))),
                    &["reserve t2 memory"],
                ),
                (2, granted(2, 8), &["export t2"]),
                (1_002, exported(2, Ok(BLOCK_BYTES)), &[]),
            ],
            readable: &[1, 2],
        },
    ]
}

fn failing_cases() -> Vec<Case> {
    use SavePolicy::Always;
    use Step::Finished;
    use TransferFailure::{Full, Gone, Lost};
    vec![
        // The store fills up during the save, first its memory and then its disk, because other
        // daemons save to it too.
        Case {
            name: "the store fills up during a save",
            quota_blocks: 10,
            run: vec![
                (0, Finished(Always, &[1, 2]), &["reserve t1 memory"]),
                (1, reserved(1, Err(Full)), &["reserve t1 disk"]),
                (2, reserved(1, Err(Full)), &[]),
                (3, Finished(Always, &[3]), &[]),
            ],
            readable: &[],
        },
        // The endpoint evicts the block after the request has finished and before the export,
        // because accelerator memory is short.
        Case {
            name: "the endpoint evicted the block before the export",
            quota_blocks: 10,
            run: vec![
                (0, Finished(Always, &[1, 2]), &["reserve t1 memory"]),
                (1, granted(1, 7), &["export t1"]),
                (2, exported(1, Err(Gone)), &["free generation 7"]),
            ],
            readable: &[],
        },
        // The answer to an export is lost while the endpoint may still be writing. The space must
        // be freed and the retry must use a new generation; after a second lost answer the save
        // ends.
        Case {
            name: "a lost export is retried once with a new generation",
            quota_blocks: 10,
            run: vec![
                (0, Finished(Always, &[1]), &["reserve t1 memory"]),
                (1, granted(1, 7), &["export t1"]),
                (
                    2,
                    exported(1, Err(Lost)),
                    &["free generation 7", "reserve t2 memory"],
                ),
                (3, granted(2, 8), &["export t2"]),
                (4, exported(1, Ok(BLOCK_BYTES)), &[]),
                (5, exported(2, Err(Lost)), &["free generation 8"]),
            ],
            readable: &[],
        },
    ]
}

fn late_cases() -> Vec<Case> {
    use SavePolicy::Always;
    use Step::{Event, Finished, Tick};
    use TransferFailure::InProgress;
    vec![
        // The endpoint wrote fewer bytes than were reserved. The block must not become readable.
        Case {
            name: "a block of another length is never published",
            quota_blocks: 10,
            run: vec![
                (0, Finished(Always, &[1]), &["reserve t1 memory"]),
                (1, granted(1, 7), &["export t1"]),
                (
                    2,
                    exported(1, Ok(ByteCount::new(5))),
                    &["free generation 7"],
                ),
            ],
            readable: &[],
        },
        // Guards against leaked space: a paused store confirms a reservation after more than a
        // minute, when the save has already been abandoned.
        Case {
            name: "space that is reserved too late is freed",
            quota_blocks: 10,
            run: vec![
                (0, Finished(Always, &[1]), &["reserve t1 memory"]),
                (60_000, Tick, &[]),
                (61_000, granted(1, 7), &["free generation 7"]),
                (61_001, granted(1, 7), &[]),
            ],
            readable: &[],
        },
        // Guards against blocks that are listed as readable but no longer exist: the store VM
        // restarts empty under its old address during a save.
        Case {
            name: "the store comes back empty during a save",
            quota_blocks: 10,
            run: vec![
                (0, Finished(Always, &[1, 2]), &["reserve t1 memory"]),
                (1, granted(1, 7), &["export t1"]),
                (2, exported(1, Ok(BLOCK_BYTES)), &["reserve t2 memory"]),
                (3, granted(2, 8), &["export t2"]),
                (4, Event(store_seen("i-2")), &[]),
                (5, exported(2, Ok(BLOCK_BYTES)), &[]),
            ],
            readable: &[],
        },
        Case {
            name: "a workspace at its quota evicts no block of higher value",
            quota_blocks: 1,
            run: vec![
                (0, Finished(Always, &[1]), &["reserve t1 memory"]),
                (1, granted(1, 7), &["export t1"]),
                (1_001, exported(1, Ok(BLOCK_BYTES)), &[]),
                (60_000, Finished(Always, &[2]), &[]),
            ],
            readable: &[1],
        },
        Case {
            name: "another daemon saves the same block",
            quota_blocks: 10,
            run: vec![
                (0, Finished(Always, &[1, 2]), &["reserve t1 memory"]),
                (1, reserved(1, Err(InProgress)), &[]),
            ],
            readable: &[],
        },
    ]
}

fn readable(tiers: &Tiers) -> Vec<BlockLocation> {
    let blocks = tiers.blocks().iter();
    blocks
        .filter(|(_, block)| block.state() == BlockState::Readable)
        .map(|(location, _)| location.clone())
        .collect()
}

#[test]
fn saves_follow_the_expected_sequence() {
    let cases = [policy_cases(), failing_cases(), late_cases()];
    for case in cases.into_iter().flatten() {
        let mut tiers = Tiers::new();
        tiers.apply_configuration(&configuration_with(case.quota_blocks));
        tiers.handle_event(store_seen("i-1"), at_ms(0));
        for (ms, step, expected) in case.run {
            let commands = match step {
                Step::Finished(policy, keys) => {
                    tiers.request_finished(&finished(policy, keys), at_ms(ms))
                }
                Step::Event(event) => tiers.handle_event(event, at_ms(ms)),
                Step::Tick => tiers.tick(at_ms(ms)),
            };
            assert_eq!(briefs(&commands), expected, "{} at {ms} ms", case.name);
        }
        let places: Vec<BlockLocation> = case
            .readable
            .iter()
            .map(|number| BlockLocation {
                store: name("hub-cache"),
                key: key(*number),
            })
            .collect();
        assert_eq!(readable(&tiers), places, "{}", case.name);
        assert_eq!(
            tiers.saves().jobs(),
            0,
            "{}: a save is still in progress",
            case.name
        );
    }
}
