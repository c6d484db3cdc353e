//! Bringing engines to the wanted weights.

use std::collections::BTreeMap;

use wisteriahitch_relay::{
    ConcurrencyOptions, EngineReport, OrderOutcome, Remaining, Rollout, RolloutConcurrency,
    RolloutRow, RolloutStep,
};
use wisteriahitch_types::WeightNumber;

use crate::fixture::{at_ms, id, model, ms};

/// So few that the minimum number of parallel engines applies.
const ENGINES: usize = 3;

fn row(name: &str, current: u64, wanted: u64, running: u32) -> RolloutRow {
    RolloutRow {
        endpoint: id(name),
        model: model(),
        current: WeightNumber::new(current),
        wanted: WeightNumber::new(wanted),
        replaced_at_us: at_ms(0),
        dispatch_deadline_us: Some(at_ms(8_000)),
        running,
    }
}

/// A fifth of the engines may be reserved at once, but at least `parallel_min`.
fn rollout(parallel_min: usize) -> Rollout {
    Rollout::new(ConcurrencyOptions {
        parallel_min,
        parallel_share: 0.2,
        completion_timeout_us: ms(11_000),
    })
}

fn report(version: u64, accepted_orders: u64) -> EngineReport {
    EngineReport {
        weights: BTreeMap::from([(model(), WeightNumber::new(version))]),
        accepted_orders,
        ..EngineReport::default()
    }
}

fn order(name: &str, version: u64, expected_orders: u64) -> RolloutStep {
    RolloutStep::GiveOrder {
        endpoint: id(name),
        model: model(),
        version: WeightNumber::new(version),
        expected_orders,
    }
}

#[test]
fn engines_are_announced_before_orders_and_limited_in_number() {
    let mut rollout = rollout(2);
    let behind = [row("a", 1, 2, 5), row("b", 1, 2, 0), row("c", 1, 2, 2)];
    assert!(
        rollout.tick(&behind, ENGINES, at_ms(0)).is_empty(),
        "no order before the announcement"
    );
    let reserved: Vec<_> = rollout.reserved().cloned().collect();
    assert_eq!(
        reserved,
        [id("b"), id("c")],
        "those with the fewest running requests"
    );
    let steps = rollout.tick(&behind, ENGINES, at_ms(150));
    assert_eq!(
        steps,
        [
            RolloutStep::ReadReport(id("b")),
            RolloutStep::ReadReport(id("c"))
        ]
    );
    rollout.apply_report(&id("b"), Some(&report(1, 4)), at_ms(160));
    assert_eq!(
        rollout.tick(&behind, ENGINES, at_ms(170)),
        [order("b", 2, 4)]
    );
    assert!(
        rollout.tick(&behind, ENGINES, at_ms(180)).is_empty(),
        "an order is given once"
    );
    rollout.record_order_outcome(&id("b"), &OrderOutcome::Accepted, at_ms(190));
    rollout.apply_report(&id("b"), Some(&report(2, 5)), at_ms(900));
    let behind = [row("a", 1, 2, 5), row("c", 1, 2, 2)];
    rollout.tick(&behind, ENGINES, at_ms(910));
    let reserved: Vec<_> = rollout.reserved().cloned().collect();
    assert_eq!(
        reserved,
        [id("a"), id("c")],
        "the next one gets the free slot"
    );
}

/// New weights were delayed by seconds while a few engines crashed; then calls were refused, since
/// the weights that engines had were out of use. Engines that were to get an order crashed, their
/// registrations remained for some heartbeats, and every order or report request to them failed.
/// The fault was that an unreachable engine kept one of the few slots.
#[test]
fn an_unreachable_engine_yields_its_slot() {
    struct Case {
        what: &'static str,
        /// Outcome of reading the report, and of the order if one is given.
        fail: fn(&mut Rollout),
    }
    let cases = [
        Case {
            what: "its report can't be read",
            fail: |rollout| rollout.apply_report(&id("a"), None, at_ms(230)),
        },
        Case {
            what: "another one has its address",
            fail: |rollout| give_order(rollout, &OrderOutcome::Refused(421)),
        },
        Case {
            what: "no process listens",
            fail: |rollout| give_order(rollout, &OrderOutcome::NotSent(String::new())),
        },
    ];
    for case in cases {
        let mut rollout = rollout(1);
        let behind = [row("a", 1, 2, 0), row("b", 1, 2, 5)];
        rollout.tick(&behind, ENGINES, at_ms(0));
        rollout.tick(&behind, ENGINES, at_ms(200));
        (case.fail)(&mut rollout);
        rollout.tick(&behind, ENGINES, at_ms(250));
        let reserved: Vec<_> = rollout.reserved().cloned().collect();
        assert_eq!(reserved, [id("b")], "{}", case.what);
        // It may be back, so it is tried again once there is a free slot.
        rollout.tick(&[row("a", 1, 2, 0)], ENGINES, at_ms(2_000));
        let reserved: Vec<_> = rollout.reserved().cloned().collect();
        assert_eq!(reserved, [id("a")], "{}", case.what);
    }
    // An engine that has accepted an order is loading: it keeps its slot while it does not respond.
    let mut rollout = rollout(1);
    let behind = [row("a", 1, 2, 0), row("b", 1, 2, 5)];
    rollout.tick(&behind, ENGINES, at_ms(0));
    rollout.tick(&behind, ENGINES, at_ms(200));
    give_order(&mut rollout, &OrderOutcome::Accepted);
    rollout.tick(&behind, ENGINES, at_ms(450));
    rollout.apply_report(&id("a"), None, at_ms(500));
    rollout.tick(&behind, ENGINES, at_ms(550));
    let reserved: Vec<_> = rollout.reserved().cloned().collect();
    assert_eq!(reserved, [id("a")]);
}

/// Gives the order for `a`, with this outcome.
/// Guards against a daemon that takes all engines from service at once. It has just started, assumes
/// when the weights were replaced, and orders engines that the others still send calls to.
#[test]
fn engines_are_limited_while_the_end_of_their_weights_is_assumed() {
    let mut rollout = rollout(1);
    let behind = ["a", "b", "c"].map(|name| RolloutRow {
        dispatch_deadline_us: None,
        ..row(name, 1, 2, 0)
    });
    rollout.tick(&behind, ENGINES, at_ms(9_000));
    assert_eq!(rollout.reserved().count(), 1);
}

/// Guards against an engine that keeps weights which are out of use beyond their bound: it is silent
/// when its order is due, and isn't asked again for a second.
#[test]
fn an_engine_with_weights_out_of_use_is_asked_again_soon() {
    let mut rollout = rollout(1);
    let behind = [row("a", 1, 2, 0)];
    let deadline = at_ms(8_000);
    rollout.tick(&behind, ENGINES, deadline);
    let asked_at = deadline + ms(150);
    let steps = rollout.tick(&behind, ENGINES, asked_at);
    assert_eq!(steps, [RolloutStep::ReadReport(id("a"))]);
    let unanswered_at = asked_at + ms(500);
    rollout.apply_report(&id("a"), None, unanswered_at);
    let retried_at = unanswered_at + ms(300);
    let steps = rollout.tick(&behind, ENGINES, retried_at);
    assert_eq!(steps, [RolloutStep::ReadReport(id("a"))]);
}

fn give_order(rollout: &mut Rollout, outcome: &OrderOutcome) {
    rollout.apply_report(&id("a"), Some(&report(1, 0)), at_ms(210));
    rollout.tick(&[row("a", 1, 2, 0), row("b", 1, 2, 5)], ENGINES, at_ms(220));
    rollout.record_order_outcome(&id("a"), outcome, at_ms(230));
}

#[test]
fn large_fleets_update_a_fixed_share_at_once() {
    let mut rollout = rollout(3);
    let names: Vec<String> = (0..90).map(|number| format!("i-{number}")).collect();
    let behind: Vec<RolloutRow> = names.iter().map(|name| row(name, 1, 2, 0)).collect();
    rollout.tick(&behind, behind.len(), at_ms(0));
    assert_eq!(rollout.reserved().count(), 18);
}

/// A rollout took longer than its bound on a calm day, because each engine that loaded kept a place
/// that the next one could have used to finish its calls.
#[test]
fn the_next_engines_finish_their_calls_while_others_load() {
    struct Case {
        what: &'static str,
        engines: usize,
        running: u32,
        is_accepted: bool,
        reserved: usize,
    }
    let cases = [
        Case {
            what: "a tenth of a large fleet while as many load",
            engines: 140,
            running: 0,
            is_accepted: true,
            reserved: 28 + 14,
        },
        Case {
            what: "none while the engines still run calls",
            engines: 140,
            running: 1,
            is_accepted: true,
            reserved: 28,
        },
        Case {
            what: "none while the engines have no order",
            engines: 140,
            running: 0,
            is_accepted: false,
            reserved: 28,
        },
        Case {
            what: "none in a small fleet",
            engines: 9,
            running: 0,
            is_accepted: true,
            reserved: 3,
        },
    ];
    for case in cases {
        let mut rollout = rollout(3);
        let names: Vec<String> = (0..case.engines)
            .map(|number| format!("i-{number}"))
            .collect();
        let behind: Vec<RolloutRow> = names.iter().map(|name| row(name, 1, 2, 0)).collect();
        rollout.tick(&behind, case.engines, at_ms(0));
        let first: Vec<_> = rollout.reserved().cloned().collect();
        let busy = EngineReport {
            running: case.running,
            ..report(1, 0)
        };
        rollout.tick(&behind, case.engines, at_ms(700));
        for endpoint in &first {
            rollout.apply_report(endpoint, Some(&busy), at_ms(710));
        }
        if case.is_accepted {
            rollout.tick(&behind, case.engines, at_ms(720));
            for endpoint in &first {
                rollout.record_order_outcome(endpoint, &OrderOutcome::Accepted, at_ms(730));
            }
            rollout.tick(&behind, case.engines, at_ms(1_000));
            for endpoint in &first {
                rollout.apply_report(endpoint, Some(&busy), at_ms(1_010));
            }
        }
        rollout.tick(&behind, case.engines, at_ms(1_050));
        assert_eq!(rollout.reserved().count(), case.reserved, "{}", case.what);
    }
}

#[test]
fn the_oldest_weights_go_first() {
    let mut rollout = rollout(1);
    rollout.tick(&[row("a", 2, 3, 0), row("b", 1, 3, 9)], ENGINES, at_ms(0));
    assert_eq!(rollout.reserved().cloned().collect::<Vec<_>>(), [id("b")]);
}

/// At the deadline for new weights some engines still had weights that had been replaced twice,
/// while others had loaded twice. The next version was named while engines loaded the one before;
/// those got their second order at once, while others waited for their first. The fault was that an
/// engine kept its slot for the second order.
#[test]
fn engines_with_older_weights_go_before_a_second_load() {
    let mut rollout = rollout(1);
    let behind = |current_a, wanted| [row("a", current_a, wanted, 0), row("b", 1, wanted, 9)];
    rollout.tick(&behind(1, 2), ENGINES, at_ms(0));
    rollout.tick(&behind(1, 2), ENGINES, at_ms(200));
    rollout.apply_report(&id("a"), Some(&report(1, 0)), at_ms(210));
    rollout.tick(&behind(1, 2), ENGINES, at_ms(220));
    rollout.record_order_outcome(&id("a"), &OrderOutcome::Accepted, at_ms(230));
    rollout.tick(&behind(1, 3), ENGINES, at_ms(440));
    rollout.apply_report(&id("a"), Some(&report(2, 1)), at_ms(450));
    rollout.tick(&behind(2, 3), ENGINES, at_ms(460));
    assert_eq!(rollout.reserved().cloned().collect::<Vec<_>>(), [id("b")]);
}

/// An engine must not carry out an order twice or end with the older one: the answer to an order is
/// lost, the next order follows, and the first one is carried out seconds later. The fault was that
/// the second order did not state how many orders it expects to follow.
#[test]
fn an_unanswered_order_is_repeated_with_the_same_number() {
    let mut rollout = rollout(1);
    let behind = [row("a", 1, 2, 0)];
    rollout.tick(&behind, ENGINES, at_ms(0));
    rollout.tick(&behind, ENGINES, at_ms(200));
    rollout.apply_report(&id("a"), Some(&report(1, 0)), at_ms(210));
    assert_eq!(
        rollout.tick(&behind, ENGINES, at_ms(220)),
        [order("a", 2, 0)]
    );
    rollout.record_order_outcome(
        &id("a"),
        &OrderOutcome::Unknown("lost".to_owned()),
        at_ms(900),
    );
    assert!(
        rollout.tick(&behind, ENGINES, at_ms(1_000)).is_empty(),
        "the report is read first"
    );
    assert_eq!(
        rollout.tick(&behind, ENGINES, at_ms(1_300)),
        [RolloutStep::ReadReport(id("a"))]
    );
    rollout.apply_report(&id("a"), Some(&report(1, 0)), at_ms(1_310));
    assert_eq!(
        rollout.tick(&behind, ENGINES, at_ms(1_320)),
        [order("a", 2, 0)]
    );
    // The first order arrived before it after all.
    rollout.record_order_outcome(&id("a"), &OrderOutcome::Conflict, at_ms(1_330));
    rollout.tick(&behind, ENGINES, at_ms(1_700));
    rollout.apply_report(&id("a"), Some(&report(2, 1)), at_ms(1_710));
    assert!(rollout.is_idle());
}

/// An engine stayed on an intermediate version for four seconds: while it loaded one version the
/// next one was named, and it reported the first as loaded. The fault was that its load counted as
/// unfinished because it did not have the newest version.
#[test]
fn a_version_named_during_a_load_is_ordered_right_after_it() {
    let mut rollout = rollout(1);
    let behind = [row("a", 1, 2, 0)];
    rollout.tick(&behind, ENGINES, at_ms(0));
    rollout.tick(&behind, ENGINES, at_ms(200));
    rollout.apply_report(&id("a"), Some(&report(1, 0)), at_ms(210));
    rollout.tick(&behind, ENGINES, at_ms(220));
    rollout.record_order_outcome(&id("a"), &OrderOutcome::Accepted, at_ms(230));
    let behind = [row("a", 1, 3, 0)];
    rollout.tick(&behind, ENGINES, at_ms(440));
    rollout.apply_report(&id("a"), Some(&report(1, 1)), at_ms(450));
    assert!(
        rollout.tick(&behind, ENGINES, at_ms(460)).is_empty(),
        "still loading"
    );
    rollout.tick(&behind, ENGINES, at_ms(700));
    rollout.apply_report(&id("a"), Some(&report(2, 1)), at_ms(710));
    assert_eq!(
        rollout.tick(&behind, ENGINES, at_ms(720)),
        [order("a", 3, 1)]
    );
}

#[test]
fn removed_and_finished_engines_are_dropped() {
    let mut rollout = rollout(2);
    rollout.tick(&[row("a", 1, 2, 0), row("b", 1, 2, 0)], ENGINES, at_ms(0));
    rollout.tick(&[row("b", 1, 2, 0)], ENGINES, at_ms(10));
    assert_eq!(rollout.reserved().cloned().collect::<Vec<_>>(), [id("b")]);
    rollout.clear();
    assert!(rollout.is_idle());
}

/// Engines still had old weights at the deadline, and nothing reported it: weights that take long
/// to load were named at a deployment with many engines. How many engines are reserved at once does
/// not depend on the deadline, so the deadline may be too short.
#[test]
fn a_rollout_that_cannot_finish_in_time_is_reported() {
    struct Case {
        what: &'static str,
        behind: usize,
        taken_ms: u64,
        now_ms: u64,
        needed_ms: Option<u64>,
    }
    let cases = [
        Case {
            what: "nine engines in three rounds of the initial estimate",
            behind: 9,
            taken_ms: 1_500,
            now_ms: 0,
            needed_ms: None,
        },
        Case {
            what: "so many engines that the rounds take longer",
            behind: 30,
            taken_ms: 1_500,
            now_ms: 0,
            needed_ms: Some(15_000),
        },
        Case {
            what: "engines that take long to load",
            behind: 9,
            taken_ms: 6_000,
            now_ms: 0,
            needed_ms: Some(17_000),
        },
        Case {
            what: "little time left",
            behind: 9,
            taken_ms: 1_500,
            now_ms: 8_000,
            needed_ms: Some(4_500),
        },
    ];
    for case in cases {
        let mut concurrency = RolloutConcurrency::new(ConcurrencyOptions {
            parallel_min: 3,
            parallel_share: 0.0,
            completion_timeout_us: ms(11_000),
        });
        for _ in 0..8 {
            concurrency.record_turnaround(ms(case.taken_ms));
        }
        let remaining = Remaining {
            behind: case.behind,
            engines: 30,
            replaced_at_us: at_ms(0),
        };
        let overrun = concurrency.overrun(remaining, at_ms(case.now_ms));
        let needed_ms = overrun.map(|overrun| overrun.needed_us.as_ms());
        let is_about = match (needed_ms, case.needed_ms) {
            (Some(is), Some(expected)) => is.abs_diff(expected) < expected / 10,
            (is, expected) => is == expected,
        };
        assert!(is_about, "{}: {needed_ms:?}", case.what);
    }
}
