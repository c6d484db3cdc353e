//! The retry budget.

use wisteriahitch_core::route::RetryBudget;

/// Symptom: a fault of all endpoints multiplies the load by the number of attempts.
/// Sequence: every attempt fails and every failure asks for a retry.
/// Cause: without a budget each request would be sent as often as attempts are allowed.
#[test]
fn retries_stay_a_share_of_the_requests() {
    struct Case {
        share: f64,
        requests: u32,
        most: u32,
        least: u32,
    }
    let cases = [
        Case {
            share: 0.1,
            requests: 1_000,
            most: 103,
            least: 99,
        },
        Case {
            share: 0.0,
            requests: 1_000,
            most: 0,
            least: 0,
        },
        Case {
            share: 7.0,
            requests: 100,
            most: 100,
            least: 100,
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
            (case.least..=case.most).contains(&granted),
            "{} {granted}",
            case.share
        );
    }
}

#[test]
fn a_quiet_hour_pays_for_no_burst() {
    let mut budget = RetryBudget::new(0.1);
    for _ in 0..100_000 {
        budget.record_request();
    }
    let granted = (0..1_000).filter(|_| budget.try_acquire()).count();
    assert_eq!(granted, 20);
}
