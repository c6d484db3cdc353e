//! Saves, whole and failing at each step.

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
    /// Room that the workspace may take, in blocks.
    quota_blocks: u64,
    run: Vec<(u64, Step, &'static [&'static str])>,
    /// Blocks that are readable in the end.
    readable: &'static [u8],
}

fn reserved(transfer: u64, result: Result<ReserveOutcome, TransferFailure>) -> Step {
    Step::Event(TierEvent::Reserved {
        transfer: TransferId::new(transfer),
        result,
    })
}

fn room(transfer: u64, generation: u64) -> Step {
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
                (1, room(1, 7), &["export t1"]),
                (1_001, exported(1, Ok(BLOCK_BYTES)), &["reserve t2 memory"]),
                (1_002, room(2, 8), &["export t2"]),
                (2_002, exported(2, Ok(BLOCK_BYTES)), &[]),
                (3_000, Finished(Always, &[1, 2]), &[]),
            ],
            readable: &[1, 2],
        },
        Case {
            name: "nothing is saved where the rule says so",
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
                (6, room(1, 7), &["export t1"]),
                (1_006, exported(1, Ok(BLOCK_BYTES)), &[]),
            ],
            readable: &[1],
        },
        Case {
            name: "an unknown workspace's blocks are saved until its history speaks against it",
            quota_blocks: 10,
            run: vec![
                (0, Finished(Learned, &[1]), &["reserve t1 memory"]),
                (1, room(1, 7), &["export t1"]),
                (1_001, exported(1, Ok(BLOCK_BYTES)), &[]),
            ],
            readable: &[1],
        },
        Case {
            name: "a block that the store holds already isn't sent again",
            quota_blocks: 10,
            run: vec![
                (0, Finished(Always, &[1, 2]), &["reserve t1 memory"]),
                (
                    1,
                    reserved(1, Ok(ReserveOutcome::AlreadyReadable(Generation::new(3)))),
                    &["reserve t2 memory"],
                ),
                (2, room(2, 8), &["export t2"]),
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
        // Symptom: saves are refused. Sequence: memory fills up during the save, then the disk.
        // Cause: other daemons save to the same store.
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
        // Symptom: the endpoint can't export. Sequence: finished, evicted, asked to export.
        // Cause: accelerator memory is short.
        Case {
            name: "the endpoint evicted the block before the export",
            quota_blocks: 10,
            run: vec![
                (0, Finished(Always, &[1, 2]), &["reserve t1 memory"]),
                (1, room(1, 7), &["export t1"]),
                (2, exported(1, Err(Gone)), &["free generation 7"]),
            ],
            readable: &[],
        },
        // Symptom: no answer to an export. Sequence: the endpoint may be writing still, the room
        // is given back, a second try is made, and its answer is lost too. Cause: the endpoint
        // or its link.
        Case {
            name: "a lost export is tried once more under another generation",
            quota_blocks: 10,
            run: vec![
                (0, Finished(Always, &[1]), &["reserve t1 memory"]),
                (1, room(1, 7), &["export t1"]),
                (
                    2,
                    exported(1, Err(Lost)),
                    &["free generation 7", "reserve t2 memory"],
                ),
                (3, room(2, 8), &["export t2"]),
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
        // Symptom: a block that can't be read whole. Sequence: the endpoint says it wrote less
        // than was reserved. Cause: the endpoint cut the block off.
        Case {
            name: "a block of another length is never published",
            quota_blocks: 10,
            run: vec![
                (0, Finished(Always, &[1]), &["reserve t1 memory"]),
                (1, room(1, 7), &["export t1"]),
                (
                    2,
                    exported(1, Ok(ByteCount::new(5))),
                    &["free generation 7"],
                ),
            ],
            readable: &[],
        },
        // Symptom: room is lost at the store. Sequence: the reservation's answer takes over a
        // minute, the save is given up, the answer names room. Cause: a paused store VM.
        Case {
            name: "room that is granted too late is given back",
            quota_blocks: 10,
            run: vec![
                (0, Finished(Always, &[1]), &["reserve t1 memory"]),
                (60_000, Tick, &[]),
                (61_000, room(1, 7), &["free generation 7"]),
                (61_001, room(1, 7), &[]),
            ],
            readable: &[],
        },
        // Symptom: blocks are named that nobody holds. Sequence: saved, the store VM dies and
        // comes back empty under its old address during the next save. Cause: the name survives.
        Case {
            name: "the store comes back empty during a save",
            quota_blocks: 10,
            run: vec![
                (0, Finished(Always, &[1, 2]), &["reserve t1 memory"]),
                (1, room(1, 7), &["export t1"]),
                (2, exported(1, Ok(BLOCK_BYTES)), &["reserve t2 memory"]),
                (3, room(2, 8), &["export t2"]),
                (4, Event(store_seen("i-2")), &[]),
                (5, exported(2, Ok(BLOCK_BYTES)), &[]),
            ],
            readable: &[],
        },
        Case {
            name: "a workspace at its quota gives up nothing of more value",
            quota_blocks: 1,
            run: vec![
                (0, Finished(Always, &[1]), &["reserve t1 memory"]),
                (1, room(1, 7), &["export t1"]),
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
        assert_eq!(tiers.saves().jobs(), 0, "{}: a save is left", case.name);
    }
}
