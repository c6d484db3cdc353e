//! Engines that stand still while the lease changes hands.

use wisteriahitch_relay::UnreadOrders;

use crate::fixture::{at_ms, id, ms};

const WAIT_MS: u64 = 3_400;

/// End of the wait; the previous holder gave no order after 1,000 ms.
const WAIT_UNTIL_MS: u64 = 1_000 + WAIT_MS;

struct Case {
    name: &'static str,
    engine: &'static str,
    /// Times at which a report is requested and answered.
    reports_ms: &'static [(u64, u64)],
    /// Time from which the engine may get an order.
    allowed_from_ms: u64,
}

const CASES: &[Case] = &[
    Case {
        name: "an engine that answers at once",
        engine: "e-1",
        reports_ms: &[(1_050, 1_060), (2_000, 2_010)],
        allowed_from_ms: 1_060 + WAIT_MS,
    },
    Case {
        name: "an engine that stands still for longer than the wait",
        engine: "e-1",
        reports_ms: &[(8_700, 9_000)],
        allowed_from_ms: 9_000 + WAIT_MS,
    },
    Case {
        name: "an answer to a question of before the wait",
        engine: "e-1",
        reports_ms: &[(900, 1_100), (6_000, 6_010)],
        allowed_from_ms: 6_010 + WAIT_MS,
    },
    Case {
        name: "an engine that was registered after the wait began",
        engine: "e-2",
        reports_ms: &[],
        allowed_from_ms: 0,
    },
];

/// Guards against orders of two daemons right after each other: an engine reads the previous holder's
/// order when it goes on, after the next holder's wait.
#[test]
fn an_engine_gets_an_order_once_it_has_run_for_a_wait() {
    for case in CASES {
        let mut unread = UnreadOrders::new(ms(WAIT_MS));
        unread.record_wait(at_ms(WAIT_UNTIL_MS), [id("e-1")]);
        assert!(!unread.is_new_wait(at_ms(WAIT_UNTIL_MS)));
        for (asked_ms, answered_ms) in case.reports_ms {
            unread.record_answer(&id(case.engine), at_ms(*asked_ms), at_ms(*answered_ms));
        }
        let engine = id(case.engine);
        for now_ms in (WAIT_UNTIL_MS..20_000).step_by(10) {
            let is_allowed = !unread.may_exist_at(&engine, at_ms(now_ms));
            assert_eq!(
                is_allowed,
                now_ms >= case.allowed_from_ms,
                "{}: {now_ms}",
                case.name
            );
        }
    }
}

/// Guards against questions without end, and against an engine that is never asked again.
#[test]
fn engines_are_asked_until_they_answer() {
    let mut unread = UnreadOrders::new(ms(WAIT_MS));
    unread.record_wait(at_ms(WAIT_UNTIL_MS), [id("e-1"), id("e-2")]);
    assert_eq!(unread.due_questions(at_ms(1_000)), [id("e-1"), id("e-2")]);
    assert_eq!(unread.due_questions(at_ms(1_050)), []);
    unread.record_answer(&id("e-1"), at_ms(1_000), at_ms(1_100));
    assert_eq!(unread.due_questions(at_ms(2_000)), [id("e-2")]);
    unread.remove(&id("e-2"));
    assert_eq!(unread.due_questions(at_ms(9_000)), []);
}
