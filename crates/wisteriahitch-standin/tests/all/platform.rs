use std::net::SocketAddr;
use std::sync::Arc;

use serde_json::{Value, json};
use wisteriahitch_standin::platform::{
    PlatformControl, PlatformMode, PlatformOptions, PlatformStandin, VmEntry, VmList,
};
use wisteriahitch_types::DurationUs;
use wisteriahitch_wire::platform::{
    CallRate, HttpPlatform, HttpPlatformOptions, ObjectKind, ObjectVersion, Platform,
    PlatformErrorKind, VmPhase,
};

use crate::control;
use crate::process::STARTING;

const PLENTY: CallRate = CallRate::new(10_000.0);

async fn start() -> PlatformStandin {
    PlatformStandin::start(&PlatformOptions::default())
        .await
        .unwrap()
}

fn client_of(addresses: &[SocketAddr], call_timeout_us: DurationUs) -> HttpPlatform {
    HttpPlatform::new(HttpPlatformOptions {
        addresses: addresses.to_vec(),
        call_timeout_us,
        reads_per_s: PLENTY,
        writes_per_s: PLENTY,
        ..HttpPlatformOptions::default()
    })
}

fn client(standin: &PlatformStandin) -> HttpPlatform {
    client_of(&[standin.address()], DurationUs::from_ms(20_000))
}

async fn set_mode(standin: &PlatformStandin, mode: PlatformMode) {
    let change = PlatformControl {
        mode: Some(mode),
        ..PlatformControl::default()
    };
    control::post(standin.control_address(), "/control", &change).await;
}

#[tokio::test]
async fn objects_change_only_against_their_version() {
    let standin = start().await;
    let platform = client(&standin);
    let kind = ObjectKind::Claim;

    let created = platform.create(kind, "b", json!(1)).await.unwrap();
    let again = platform.create(kind, "b", json!(2)).await.unwrap_err();
    assert_eq!(again.kind(), PlatformErrorKind::AlreadyExists);

    let updated = platform
        .update(kind, "b", json!(3), created.version)
        .await
        .unwrap();
    assert!(updated.version > created.version);
    let stale = platform.update(kind, "b", json!(4), created.version).await;
    assert_eq!(stale.unwrap_err().kind(), PlatformErrorKind::Conflict);
    let stale = platform.delete(kind, "b", created.version).await;
    assert_eq!(stale.unwrap_err().kind(), PlatformErrorKind::Conflict);
    assert_eq!(
        platform.get(kind, "b").await.unwrap(),
        Some(updated.clone())
    );

    let other = platform.create(kind, "a", json!(5)).await.unwrap();
    let list = platform.list(kind).await.unwrap();
    assert_eq!(list.version, other.version);
    assert_eq!(list.items, [other, updated.clone()]);

    platform.delete(kind, "b", updated.version).await.unwrap();
    assert_eq!(platform.get(kind, "b").await.unwrap(), None);
    let gone = platform.delete(kind, "b", updated.version).await;
    assert_eq!(gone.unwrap_err().kind(), PlatformErrorKind::NotFound);
    let recreated = platform.create(kind, "b", json!(6)).await.unwrap();
    assert!(recreated.version > list.version);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn one_of_many_racing_updates_wins() {
    const WRITERS: usize = 16;
    let standin = start().await;
    let platform = Arc::new(client(&standin));
    let kind = ObjectKind::ConfigHead;
    let before = platform.create(kind, "site", json!(0)).await.unwrap();
    let mut writers = tokio::task::JoinSet::new();
    for writer in 0..WRITERS {
        let platform = Arc::clone(&platform);
        let expected = before.version;
        writers.spawn(async move { platform.update(kind, "site", json!(writer), expected).await });
    }
    let outcomes = writers.join_all().await;
    let winners: Vec<Value> = outcomes
        .iter()
        .filter_map(|outcome| outcome.as_ref().ok())
        .map(|object| object.spec.clone())
        .collect();
    let kept = platform.get(kind, "site").await.unwrap().unwrap();
    assert_eq!(winners, [kept.spec]);
    let losers = outcomes.iter().filter_map(|outcome| outcome.as_ref().err());
    assert!(
        losers
            .clone()
            .all(|e| e.kind() == PlatformErrorKind::Conflict)
    );
    assert_eq!(losers.count(), WRITERS - 1);
}

#[tokio::test]
async fn a_watch_ends_with_the_next_event_or_its_time() {
    let standin = start().await;
    let platform = Arc::new(client(&standin));
    let kind = ObjectKind::ConfigHead;
    let short_us = DurationUs::from_ms(1_000);
    let long_us = DurationUs::from_ms(20_000);
    let start = ObjectVersion::default();

    let nothing = platform.watch(kind, "site", start, short_us).await.unwrap();
    assert_eq!(nothing, None);

    let waiting = tokio::spawn({
        let platform = Arc::clone(&platform);
        async move { platform.watch(kind, "site", start, long_us).await }
    });
    control::wait_for(async || {
        let state = control::get(standin.address(), "/control").await;
        (state["calls"]["watch"]["configheads"] == 2).then_some(())
    })
    .await;
    let other = platform
        .create(ObjectKind::Claim, "a", json!(0))
        .await
        .unwrap();
    let created = platform.create(kind, "site", json!(1)).await.unwrap();
    assert_eq!(waiting.await.unwrap().unwrap(), Some(created.clone()));

    let missed = platform
        .watch(kind, "site", other.version, long_us)
        .await
        .unwrap();
    assert_eq!(missed, Some(created.clone()));
    platform
        .delete(kind, "site", created.version)
        .await
        .unwrap();
    let deleted = platform.watch(kind, "site", created.version, long_us).await;
    assert_eq!(deleted.unwrap_err().kind(), PlatformErrorKind::NotFound);
}

/// Symptom: a daemon takes a write for lost or for done although it was neither. Sequence: the
/// platform fails in one of its ways while a claim is written. Cause: the ways look alike.
#[tokio::test]
async fn outages_write_nothing_and_are_told_apart() {
    let _no_copied_sockets = STARTING.lock().await;
    struct Case {
        mode: PlatformMode,
        expected: PlatformErrorKind,
    }
    let cases = [
        Case {
            mode: PlatformMode::Down,
            expected: PlatformErrorKind::AnswerLost,
        },
        Case {
            mode: PlatformMode::Refuse,
            expected: PlatformErrorKind::Unavailable,
        },
        Case {
            mode: PlatformMode::Unavailable,
            expected: PlatformErrorKind::Unavailable,
        },
        Case {
            mode: PlatformMode::Hang,
            expected: PlatformErrorKind::AnswerLost,
        },
    ];
    let standin = start().await;
    let platform = client(&standin);
    // A connection is kept from here on, as in a daemon that meets an outage midway.
    platform.list(ObjectKind::Claim).await.unwrap();
    let impatient = client_of(&[standin.address()], DurationUs::from_ms(1_000));
    for case in cases {
        set_mode(&standin, case.mode).await;
        let error = impatient
            .create(ObjectKind::Claim, "a", json!(0))
            .await
            .unwrap_err();
        assert_eq!(error.kind(), case.expected, "{:?}: {error}", case.mode);
        set_mode(&standin, PlatformMode::Up).await;
        let read = control::wait_for(async || platform.get(ObjectKind::Claim, "a").await.ok());
        assert_eq!(read.await, None, "{:?}", case.mode);
    }
}

#[tokio::test]
async fn a_write_refused_at_one_address_goes_to_the_next() {
    let _no_copied_sockets = STARTING.lock().await;
    let standin = start().await;
    let addresses = [standin.address(), standin.control_address()];
    let platform = client_of(&addresses, DurationUs::from_ms(20_000));
    set_mode(&standin, PlatformMode::Refuse).await;
    // The second address shares the mode, so what arrives there is cut off unanswered.
    let error = platform
        .create(ObjectKind::Claim, "a", json!(0))
        .await
        .unwrap_err();
    assert_eq!(error.kind(), PlatformErrorKind::AnswerLost);
    let state = control::get(standin.control_address(), "/control").await;
    assert_eq!(state["calls"]["create"]["claims"], 1);
}

/// Symptom: a claim is taken for free and its request runs twice. Sequence: the claim is written,
/// the connection breaks before the answer, and the daemon writes it again. Cause: a lost answer
/// is taken for a write that had no effect.
#[tokio::test]
async fn a_lost_answer_leaves_its_write_in_place() {
    let standin = start().await;
    let platform = client(&standin);
    let change = PlatformControl {
        lose_answers: Some(1),
        lose_answer_kinds: Some(vec!["claims".to_owned()]),
        ..PlatformControl::default()
    };
    control::post(standin.address(), "/control", &change).await;
    let lease = platform.create(ObjectKind::Lease, "a", json!(0)).await;
    assert!(lease.is_ok(), "{lease:?}");
    let lost = platform.create(ObjectKind::Claim, "a", json!(0)).await;
    let error = lost.unwrap_err();
    assert_eq!(error.kind(), PlatformErrorKind::AnswerLost);
    assert!(error.is_outcome_unknown());
    assert!(
        platform
            .get(ObjectKind::Claim, "a")
            .await
            .unwrap()
            .is_some()
    );
    let next = platform.create(ObjectKind::Claim, "b", json!(0)).await;
    assert!(next.is_ok(), "{next:?}");
}

/// Symptom: a claim that was read back as absent exists later. Sequence: the platform is slow, the
/// daemon gives the write up, reads nothing back, and the write takes effect then. Cause: a write
/// that was given up is taken for one that won't happen.
#[tokio::test]
async fn a_write_that_was_given_up_may_take_effect_later() {
    let standin = start().await;
    let change = PlatformControl {
        slow_ms: Some(2_000),
        ..PlatformControl::default()
    };
    control::post(standin.address(), "/control", &change).await;
    let impatient = client_of(&[standin.address()], DurationUs::from_ms(500));
    let error = impatient
        .create(ObjectKind::Claim, "a", json!(0))
        .await
        .unwrap_err();
    assert_eq!(error.kind(), PlatformErrorKind::AnswerLost);
    let platform = client(&standin);
    control::wait_for(async || platform.get(ObjectKind::Claim, "a").await.unwrap()).await;
}

#[tokio::test]
async fn calls_over_the_rate_are_refused() {
    let slow = CallRate::new(0.001);
    let options = PlatformOptions {
        writes_per_s: slow,
        reads_per_s: slow,
        ..PlatformOptions::default()
    };
    let standin = PlatformStandin::start(&options).await.unwrap();
    let platform = client(&standin);
    let kind = ObjectKind::Claim;
    assert!(platform.create(kind, "a", json!(0)).await.is_ok());
    let refused = platform.create(kind, "b", json!(0)).await.unwrap_err();
    assert_eq!(refused.kind(), PlatformErrorKind::RateLimited);
    assert!(refused.retry_after_us().unwrap() >= DurationUs::from_ms(1_000));
    assert_eq!(platform.list(kind).await.unwrap().items.len(), 1);
    let refused = platform.get(kind, "a").await.unwrap_err();
    assert_eq!(refused.kind(), PlatformErrorKind::RateLimited);
    let state = control::get(standin.address(), "/control").await;
    assert_eq!(state["rate_limited"], 2);
}

#[tokio::test]
async fn a_value_above_a_megabyte_is_refused() {
    struct Case {
        text_bytes: usize,
        expected: Result<(), PlatformErrorKind>,
    }
    // A string's quotes count, too.
    let cases = [
        Case {
            text_bytes: 999_998,
            expected: Ok(()),
        },
        Case {
            text_bytes: 999_999,
            expected: Err(PlatformErrorKind::TooLarge),
        },
    ];
    let standin = start().await;
    let platform = client(&standin);
    for case in cases {
        let spec = json!("x".repeat(case.text_bytes));
        let name = case.text_bytes.to_string();
        let created = platform
            .create(ObjectKind::ConfigSection, &name, spec)
            .await;
        let outcome = created.map(|_| ()).map_err(|error| error.kind());
        assert_eq!(outcome, case.expected);
    }
}

#[tokio::test]
async fn the_list_of_vms_lags_and_is_the_platforms_own() {
    struct Case {
        vm_lag_us: DurationUs,
        is_shown: bool,
    }
    let cases = [
        Case {
            vm_lag_us: DurationUs::ZERO,
            is_shown: true,
        },
        Case {
            vm_lag_us: DurationUs::from_ms(3_600_000),
            is_shown: false,
        },
    ];
    let kind = ObjectKind::VirtualMachine;
    let vm = |name: &str, phase| VmEntry {
        name: name.to_owned(),
        address: "127.0.0.1".to_owned(),
        availability_zone: "colombo-a".parse().unwrap(),
        phase,
    };
    for case in cases {
        let options = PlatformOptions {
            vm_lag_us: case.vm_lag_us,
            ..PlatformOptions::default()
        };
        let standin = PlatformStandin::start(&options).await.unwrap();
        let platform = client(&standin);
        let write = platform.create(kind, "a", json!(0)).await.unwrap_err();
        assert_eq!(write.kind(), PlatformErrorKind::Unavailable);

        let vms = vec![vm("a", VmPhase::Live), vm("b", VmPhase::Live)];
        control::post(standin.address(), "/control/vms", &VmList { vms }).await;
        if !case.is_shown {
            assert!(platform.list(kind).await.unwrap().items.is_empty());
            continue;
        }
        let names = async |expected: &[&str]| {
            let list = platform.list(kind).await.unwrap();
            let names: Vec<&str> = list.items.iter().map(|item| item.name.as_str()).collect();
            (names == expected).then_some(list.items)
        };
        control::wait_for(|| names(&["a", "b"])).await;
        let vms = vec![vm("b", VmPhase::Leaving)];
        control::post(standin.address(), "/control/vms", &VmList { vms }).await;
        let left = control::wait_for(|| names(&["b"])).await;
        assert_eq!(left[0].spec["phase"], "leaving");
    }
}
