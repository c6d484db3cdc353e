//! The retry budget.

use wisteriahitch_core::route::RetryBudget;

/// A fault of all endpoints must not multiply the load by the number of attempts. Every attempt
/// fails and asks for a retry; the budget limits the retries.
#[test]
fn retries_stay_within_their_share_of_the_requests() {
    struct Case {
        share: f64,
        requests: u32,
        max_granted: u32,
        min_granted: u32,
    }
    let cases = [
        Case {
            share: 0.1,
            requests: 1_000,
            max_granted: 103,
            min_granted: 99,
        },
        Case {
            share: 0.0,
            requests: 1_000,
            max_granted: 0,
            min_granted: 0,
        },
        Case {
            share: 7.0,
            requests: 100,
            max_granted: 100,
            min_granted: 100,
        },
    ];
    for case in cases {
        let mut budget = RetryBudget::new(case.share);
        let mut granted = 0;
        for _ in 0..case.requests {
            budget.record_request();
            granted += u32::from(budget.try_acquire());
        }
        assert!(
            (case.min_granted..=case.max_granted).contains(&granted),
            "{} {granted}",
            case.share
        );
    }
}

#[test]
fn saved_retries_are_bounded() {
    let mut budget = RetryBudget::new(0.1);
    for _ in 0..100_000 {
        budget.record_request();
    }
    let granted = (0..1_000).filter(|_| budget.try_acquire()).count();
    assert_eq!(granted, 20);
}

/// Guards against a retry that is refused although requests have earned it, because their fractions
/// add up to a little less than one.
#[test]
fn fractions_of_retries_add_up_exactly() {
    let mut budget = RetryBudget::new(0.2).with_max_saved(6.6);
    let mut granted = 0;
    for _ in 0..7 {
        budget.record_request();
    }
    granted += u32::from(budget.try_acquire());
    for _ in 0..3 {
        budget.record_request();
    }
    granted += u32::from(budget.try_acquire());
    assert_eq!(granted, 2, "{} left", budget.available());
}
