//! Tests of imports that succeed and that fail at each step.

use wisteriahitch_core::tier::{TierEvent, TransferFailure, TransferId};

use crate::tier::{at_ms, briefs, imported, pinned, plan, store_seen, tiers};

/// One input of a test run.
enum Step {
    Plan(&'static str, &'static [u8]),
    /// A plan for another endpoint: endpoint, request and keys.
    PlanAt(&'static str, &'static str, &'static [u8]),
    Event(TierEvent),
    Tick,
}

struct Case {
    name: &'static str,
    /// The inputs by time in milliseconds, and the commands that must follow.
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
            name: "requests for the same block share one import",
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
            name: "a repeated answer changes nothing",
            run: vec![
                (0, Plan("r-1", &[1, 2]), &["pin t1", "pin t2"]),
                (1, Event(pinned(1, 4)), &["import t1"]),
                (2, Event(pinned(1, 5)), &[]),
                (3, Event(imported(1)), &["unpin p-4"]),
                (4, Event(imported(1)), &[]),
            ],
        },
        Case {
            name: "a plan without steps proceeds at once",
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
        // The directory lags behind the store, so the plan contains a block that the store has
        // freed. The caller must not wait for it.
        Case {
            name: "a missing block truncates the plan",
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
        // The block was damaged in the memory or on the disk of the store VM, and the engine
        // refuses its content.
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
        // The store VM dies during an import, so that its answer never comes. The import must end
        // all the same.
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
        // Guards against an import of another block's bytes. Two imports are running and a third
        // waits with its pin when the store restarts empty under its old address; the third one's
        // pin belongs to the earlier incarnation.
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
        // Guards against freeing an intact block because a store's answer to a pin was cut off: the
        // answer is damaged, and the block wasn't read.
        Case {
            name: "a malformed answer to a pin frees nothing",
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
        // Guards against importing a block that was already found corrupt. Three endpoints import
        // it, two at once while the third waits with its pin; the first engine finds it corrupt, so
        // the block is freed and the third could start. A check of the pin only before the wait
        // would miss this.
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
        // Guards against an import that takes longer than recomputing. The estimate was too low:
        // the first block arrives, then the link slows down and the second doesn't.
        Case {
            name: "the request proceeds when an import takes longer than recomputing",
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
        // Guards against a first answer that takes twice as long as without any import. Six blocks
        // are planned, the link has slowed down, and none arrives; with a check of the limit alone,
        // the request would wait all of it and then compute all six.
        Case {
            name: "the request proceeds when an import falls behind the rate of computing",
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
        // Guards against reading a block of an old weight version after the weights were swapped at
        // the endpoint between routing and import. The engine refuses the import, and the block
        // must not be freed.
        Case {
            name: "weights are swapped during an import",
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
