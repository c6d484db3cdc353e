//! Imports, whole and failing at each step.

use wisteriahitch_core::tier::{TierEvent, TransferFailure, TransferId};

use crate::tier::{at_ms, briefs, imported, pinned, plan, store_seen, tiers};

/// Names one event of a run.
enum Step {
    Plan(&'static str, &'static [u8]),
    /// A plan for another endpoint.
    PlanAt(&'static str, &'static str, &'static [u8]),
    Event(TierEvent),
    Tick,
}

struct Case {
    name: &'static str,
    /// What happens, by the time in milliseconds, and the commands that must follow.
    run: Vec<(u64, Step, &'static [&'static str])>,
}

fn failed_pin(transfer: u64, failure: TransferFailure) -> TierEvent {
    TierEvent::Pinned {
        transfer: TransferId::new(transfer),
        result: Err(failure),
    }
}

fn failed_import(transfer: u64, failure: TransferFailure) -> TierEvent {
    TierEvent::Imported {
        transfer: TransferId::new(transfer),
        result: Err(failure),
    }
}

fn store_lost() -> TierEvent {
    TierEvent::StoreLost {
        store: crate::tier::name("hub-cache"),
    }
}

fn whole_cases() -> Vec<Case> {
    use Step::{Event, Plan};
    vec![
        Case {
            name: "one block is pinned, imported and unpinned",
            run: vec![
                (0, Plan("r-1", &[1]), &["pin t1"]),
                (1, Event(pinned(1, 4)), &["import t1"]),
                (
                    900,
                    Event(imported(1)),
                    &["unpin p-4", "r-1 proceeds: 1 imported, 0 recomputed"],
                ),
            ],
        },
        Case {
            name: "equal imports are joined",
            run: vec![
                (0, Plan("r-1", &[1]), &["pin t1"]),
                (1, Plan("r-2", &[1]), &[]),
                (2, Event(pinned(1, 4)), &["import t1"]),
                (
                    900,
                    Event(imported(1)),
                    &[
                        "unpin p-4",
                        "r-1 proceeds: 1 imported, 0 recomputed",
                        "r-2 proceeds: 1 imported, 0 recomputed",
                    ],
                ),
            ],
        },
        Case {
            name: "an answer that comes twice changes nothing",
            run: vec![
                (0, Plan("r-1", &[1, 2]), &["pin t1", "pin t2"]),
                (1, Event(pinned(1, 4)), &["import t1"]),
                (2, Event(pinned(1, 5)), &[]),
                (3, Event(imported(1)), &["unpin p-4"]),
                (4, Event(imported(1)), &[]),
            ],
        },
        Case {
            name: "a plan without steps goes on at once",
            run: vec![(
                0,
                Plan("r-1", &[]),
                &["r-1 proceeds: 0 imported, 0 recomputed"],
            )],
        },
    ]
}

fn failing_cases() -> Vec<Case> {
    use Step::{Event, Plan};
    vec![
        // Symptom: a caller waits for a block that its store has freed. Sequence: the directory
        // names the block, the store frees it, the pin is asked for. Cause: the directory lags.
        Case {
            name: "a block that is gone cuts the plan behind it",
            run: vec![
                (0, Plan("r-1", &[1, 2, 3]), &["pin t1", "pin t2", "pin t3"]),
                (1, Event(pinned(1, 4)), &["import t1"]),
                (2, Event(pinned(3, 6)), &["import t3"]),
                (3, Event(failed_pin(2, TransferFailure::Gone)), &[]),
                (
                    4,
                    Event(imported(1)),
                    &["unpin p-4", "r-1 proceeds: 1 imported, 2 recomputed"],
                ),
            ],
        },
        // Symptom: the engine refuses a block's content. Sequence: the block is damaged at the
        // store, pinned and imported. Cause: memory or disk of the store VM.
        Case {
            name: "a corrupt block is freed and the request recomputes",
            run: vec![
                (0, Plan("r-1", &[1]), &["pin t1"]),
                (1, Event(pinned(1, 4)), &["import t1"]),
                (
                    9,
                    Event(failed_import(1, TransferFailure::Corrupt)),
                    &[
                        "unpin p-4",
                        "free generation 4",
                        "r-1 proceeds: 0 imported, 1 recomputed",
                    ],
                ),
            ],
        },
        // Symptom: an import never ends. Sequence: pinned, started, the store VM dies. Cause: the
        // VM is gone, so no answer comes.
        Case {
            name: "the store dies during an import",
            run: vec![
                (0, Plan("r-1", &[1, 2]), &["pin t1", "pin t2"]),
                (1, Event(pinned(1, 4)), &["import t1"]),
                (
                    2,
                    Event(store_lost()),
                    &["unpin p-4", "r-1 proceeds: 0 imported, 2 recomputed"],
                ),
                (
                    3,
                    Plan("r-2", &[1]),
                    &["r-2 proceeds: 0 imported, 1 recomputed"],
                ),
            ],
        },
        // Symptom: an engine reads another block's bytes. Sequence: two imports cross the link, a
        // third waits pinned, the store comes back empty under its old address, the link is free.
        // Cause: the third still holds a right from the store's earlier life.
        Case {
            name: "a block is freed while its reader waits in the link's queue",
            run: vec![
                (0, Plan("r-1", &[1]), &["pin t1"]),
                (0, Plan("r-2", &[2]), &["pin t2"]),
                (0, Plan("r-3", &[3]), &["pin t3"]),
                (1, Event(pinned(1, 4)), &["import t1"]),
                (1, Event(pinned(2, 5)), &["import t2"]),
                (1, Event(pinned(3, 6)), &[]),
                (
                    2,
                    Event(store_seen("i-2")),
                    &[
                        "unpin p-4",
                        "r-1 proceeds: 0 imported, 1 recomputed",
                        "unpin p-5",
                        "r-2 proceeds: 0 imported, 1 recomputed",
                        "unpin p-6",
                        "r-3 proceeds: 0 imported, 1 recomputed",
                    ],
                ),
                (3, Event(imported(1)), &[]),
            ],
        },
    ]
}

fn answer_cases() -> Vec<Case> {
    use Step::{Event, Plan};
    vec![
        // Symptom: good blocks are freed. Sequence: a store's answer to a pin is cut off. Cause:
        // what was damaged is the answer, and nobody has looked at the block.
        Case {
            name: "a pin's answer that makes no sense frees nothing",
            run: vec![
                (0, Plan("r-1", &[1]), &["pin t1"]),
                (1, Event(pinned(1, 4)), &["import t1"]),
                (
                    2,
                    Event(imported(1)),
                    &["unpin p-4", "r-1 proceeds: 1 imported, 0 recomputed"],
                ),
                (3, Plan("r-2", &[1]), &["pin t2"]),
                (
                    4,
                    Event(failed_pin(2, TransferFailure::Corrupt)),
                    &["r-2 proceeds: 0 imported, 1 recomputed"],
                ),
            ],
        },
    ]
}

fn late_cases() -> Vec<Case> {
    use Step::{Event, Plan, PlanAt, Tick};
    vec![
        // Symptom: an engine imports a block that was found corrupt. Sequence: three endpoints
        // want it, two imports cross the link, the third waits pinned, the first engine finds it
        // corrupt, so that the block is freed and the link has room. Cause: the right was
        // checked before the wait alone.
        Case {
            name: "a corrupt block is freed while another reader waits in the link's queue",
            run: vec![
                (0, Plan("r-1", &[1]), &["pin t1"]),
                (0, PlanAt("runner-2", "r-2", &[1]), &["pin t2"]),
                (0, PlanAt("runner-3", "r-3", &[1]), &["pin t3"]),
                (1, Event(pinned(1, 4)), &["import t1"]),
                (1, Event(pinned(2, 4)), &["import t2"]),
                (1, Event(pinned(3, 4)), &[]),
                (
                    2,
                    Event(failed_import(1, TransferFailure::Corrupt)),
                    &[
                        "unpin p-4",
                        "free generation 4",
                        "r-1 proceeds: 0 imported, 1 recomputed",
                        "unpin p-4",
                        "r-3 proceeds: 0 imported, 1 recomputed",
                    ],
                ),
                (
                    3,
                    Event(failed_import(2, TransferFailure::Gone)),
                    &["unpin p-4", "r-2 proceeds: 0 imported, 1 recomputed"],
                ),
            ],
        },
        // Symptom: an import costs the caller more than computing would have. Sequence: the first
        // block arrives, the link slows, the second doesn't. Cause: the estimate was too good.
        Case {
            name: "an import that takes longer than recomputing is left behind",
            run: vec![
                (0, Plan("r-1", &[1, 2]), &["pin t1", "pin t2"]),
                (1, Event(pinned(1, 4)), &["import t1"]),
                (2, Event(pinned(2, 5)), &["import t2"]),
                (900, Event(imported(1)), &["unpin p-4"]),
                (9_999, Tick, &[]),
                (10_000, Tick, &["r-1 proceeds: 1 imported, 1 recomputed"]),
                (11_000, Event(imported(2)), &["unpin p-5"]),
            ],
        },
        // Symptom: a first answer takes twice as long as without any import. Sequence: six
        // blocks are wanted, the link has slowed, none arrives, the whole limit passes, and all
        // six are computed. Cause: the wait was held to the limit alone.
        Case {
            name: "an import that falls behind the pace of computing is left behind",
            run: vec![
                (
                    0,
                    Plan("r-1", &[1, 2, 3, 4, 5, 6]),
                    &["pin t1", "pin t2", "pin t3", "pin t4", "pin t5", "pin t6"],
                ),
                (1, Event(pinned(1, 4)), &["import t1"]),
                (4_999, Tick, &[]),
                (5_000, Tick, &["r-1 proceeds: 0 imported, 6 recomputed"]),
            ],
        },
        // Symptom: a new version's request reads an old version's block. Sequence: planned for
        // v1, the weights are swapped at the endpoint, the import arrives. Cause: decision and
        // run lie apart. The engine refuses, and the block isn't to blame.
        Case {
            name: "weights are swapped with a transfer under way",
            run: vec![
                (0, Plan("r-1", &[1]), &["pin t1"]),
                (1, Event(pinned(1, 4)), &["import t1"]),
                (
                    2,
                    Event(failed_import(1, TransferFailure::OtherVersion)),
                    &["unpin p-4", "r-1 proceeds: 0 imported, 1 recomputed"],
                ),
            ],
        },
    ]
}

#[test]
fn imports_follow_the_expected_sequence() {
    let cases = [whole_cases(), failing_cases(), answer_cases(), late_cases()];
    for case in cases.into_iter().flatten() {
        let mut tiers = tiers();
        for (ms, step, expected) in case.run {
            let commands = match step {
                Step::PlanAt(endpoint, request, keys) => {
                    let mut plan = plan(request, "kandy", keys);
                    plan.endpoint = crate::tier::name(endpoint);
                    tiers.plan_import(plan, at_ms(ms))
                }
                Step::Plan(request, keys) => {
                    tiers.plan_import(plan(request, "kandy", keys), at_ms(ms))
                }
                Step::Event(event) => tiers.handle_event(event, at_ms(ms)),
                Step::Tick => tiers.tick(at_ms(ms)),
            };
            assert_eq!(briefs(&commands), expected, "{} at {ms} ms", case.name);
        }
    }
}
