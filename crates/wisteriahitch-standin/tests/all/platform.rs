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
use crate::process::PROCESS_START_LOCK;

const UNLIMITED_RATE: CallRate = CallRate::new(10_000.0);

async fn start_platform() -> PlatformStandin {
    PlatformStandin::start(&PlatformOptions::default())
        .await
        .unwrap()
}

fn client_with(addresses: &[SocketAddr], call_timeout_us: DurationUs) -> HttpPlatform {
    HttpPlatform::new(HttpPlatformOptions {
        addresses: addresses.to_vec(),
        call_timeout_us,
        reads_per_s: UNLIMITED_RATE,
        writes_per_s: UNLIMITED_RATE,
        ..HttpPlatformOptions::default()
    })
}

fn client(standin: &PlatformStandin) -> HttpPlatform {
    client_with(&[standin.address()], DurationUs::from_ms(20_000))
}

async fn set_mode(standin: &PlatformStandin, mode: PlatformMode) {
    let change = PlatformControl {
        mode: Some(mode),
        ..PlatformControl::default()
    };
    control::post(standin.control_address(), "/control", &change).await;
}

#[tokio::test]
async fn objects_change_only_with_their_current_version() {
    let standin = start_platform().await;
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
async fn exactly_one_of_concurrent_updates_succeeds() {
    const WRITERS: usize = 16;
    let standin = start_platform().await;
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
async fn a_watch_ends_with_the_next_event_or_its_timeout() {
    let standin = start_platform().await;
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

/// Guards against a daemon that misjudges whether a write took effect. That happens if the platform
/// fails while a claim is written and the client doesn't distinguish the kinds of failure.
#[tokio::test]
async fn outages_write_nothing_and_are_distinguished() {
    let _no_copied_sockets = PROCESS_START_LOCK.lock().await;
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
    let standin = start_platform().await;
    let platform = client(&standin);
    // The client keeps a connection open from here on, like a daemon that was running before the
    // outage.
    platform.list(ObjectKind::Claim).await.unwrap();
    let short_timeout_client = client_with(&[standin.address()], DurationUs::from_ms(1_000));
    for case in cases {
        set_mode(&standin, case.mode).await;
        let error = short_timeout_client
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
async fn a_write_refused_at_one_address_is_sent_to_the_next() {
    let _no_copied_sockets = PROCESS_START_LOCK.lock().await;
    let standin = start_platform().await;
    let addresses = [standin.address(), standin.control_address()];
    let platform = client_with(&addresses, DurationUs::from_ms(20_000));
    set_mode(&standin, PlatformMode::Refuse).await;
    // The second address shares the mode, so it closes the connections of calls unanswered.
    let error = platform
        .create(ObjectKind::Claim, "a", json!(0))
        .await
        .unwrap_err();
    assert_eq!(error.kind(), PlatformErrorKind::AnswerLost);
    let state = control::get(standin.control_address(), "/control").await;
    assert_eq!(state["calls"]["create"]["claims"], 1);
}

/// Guards against a request that runs twice because its claim is believed to be free. That happens
/// if the claim is written, the connection breaks before the answer, and the daemon treats the lost
/// answer as a write without effect and writes again.
#[tokio::test]
async fn a_write_with_a_lost_answer_has_taken_effect() {
    let standin = start_platform().await;
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

/// Guards against a claim that was read back as absent and exists later. That happens if the
/// platform is slow and the daemon abandons a write, reads nothing back and concludes that the
/// write won't take effect, which it then does.
#[tokio::test]
async fn an_abandoned_write_may_take_effect_later() {
    let standin = start_platform().await;
    let change = PlatformControl {
        slow_ms: Some(2_000),
        ..PlatformControl::default()
    };
    control::post(standin.address(), "/control", &change).await;
    let short_timeout_client = client_with(&[standin.address()], DurationUs::from_ms(500));
    let error = short_timeout_client
        .create(ObjectKind::Claim, "a", json!(0))
        .await
        .unwrap_err();
    assert_eq!(error.kind(), PlatformErrorKind::AnswerLost);
    let platform = client(&standin);
    control::wait_for(async || platform.get(ObjectKind::Claim, "a").await.unwrap()).await;
}

#[tokio::test]
async fn calls_over_the_rate_limit_are_refused() {
    let low_rate = CallRate::new(0.001);
    let options = PlatformOptions {
        writes_per_s: low_rate,
        reads_per_s: low_rate,
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
async fn a_spec_above_one_megabyte_is_refused() {
    struct Case {
        text_bytes: usize,
        expected: Result<(), PlatformErrorKind>,
    }
    // The quotes of the JSON string count towards the limit.
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
    let standin = start_platform().await;
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
async fn the_vm_list_is_delayed_and_read_only() {
    struct Case {
        vm_lag_us: DurationUs,
        is_visible: bool,
    }
    let cases = [
        Case {
            vm_lag_us: DurationUs::ZERO,
            is_visible: true,
        },
        Case {
            vm_lag_us: DurationUs::from_ms(3_600_000),
            is_visible: false,
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
        if !case.is_visible {
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
