//! How long a queue calls join.

use wisteriahitch_types::DurationUs;

use crate::fixture::{levels, ms, service};

/// Load pattern: a service of short urgent calls and long ones that aren't, with more of both than
/// it can do. Counted by their own targets, the long ones would still be let in where the short
/// ones are refused: callers with the urgent calls would be served less often.
#[test]
fn a_less_urgent_call_never_joins_a_longer_queue() {
    struct Case {
        priority: u8,
        target_ms: u64,
        expected_ms: u64,
    }
    let cases = [
        Case {
            priority: 0,
            target_ms: 400,
            expected_ms: 400,
        },
        Case {
            priority: 1,
            target_ms: 400,
            expected_ms: 380,
        },
        Case {
            priority: 2,
            target_ms: 800,
            expected_ms: 360,
        },
        // A workspace whose rank is above all routes, and one that is below them.
        Case {
            priority: 0,
            target_ms: 800,
            expected_ms: 800,
        },
        Case {
            priority: 9,
            target_ms: 800,
            expected_ms: 360,
        },
    ];
    for case in cases {
        let bound = levels().max_queue(&service(), case.priority, ms(case.target_ms));
        let expected = ms(case.expected_ms);
        let difference = bound.get().abs_diff(expected.get());
        assert!(difference < 1_000, "priority {}: {bound}", case.priority);
    }
}

#[test]
fn a_service_without_routes_is_bound_by_the_target_alone() {
    let bound = levels().max_queue(&"other".parse().unwrap(), 5, ms(300));
    assert_eq!(bound, DurationUs::from_ms(300));
}
