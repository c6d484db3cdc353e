//! The endpoint table: leaving, load correction, ejection and probing.

use proptest::prelude::*;
use wisteriahitch_config::ServiceKind;
use wisteriahitch_core::route::{
    AttemptFailure, EndpointLoad, EndpointOptions, EndpointState, EndpointTable, LeavingSource,
    NoLinks,
};
use wisteriahitch_types::{BlockKey, DurationUs, TimeUs, TokenCount};

use crate::generated::seeded_config;
use crate::route_fixture::{
    START, after_ms, configuration, endpoint, idle_report, request, router,
};

const EXPECTED: DurationUs = DurationUs::from_ms(100);

fn table(endpoints: usize) -> EndpointTable {
    let mut table = EndpointTable::new(EndpointOptions::default());
    table.apply_endpoint_configuration(&configuration(ServiceKind::Engine, endpoints), START);
    for number in 0..endpoints {
        table.record_report(&endpoint(number), idle_report(START), START);
    }
    table
}

fn state(table: &EndpointTable, number: usize) -> EndpointState {
    table.get_state(&endpoint(number)).unwrap()
}

/// Sends attempts to an endpoint that all fail.
fn fail_attempts(table: &mut EndpointTable, number: usize, times: usize, now: TimeUs) {
    for _ in 0..times {
        let attempt = table
            .begin_attempt(&endpoint(number), TokenCount::ZERO, EXPECTED, now)
            .unwrap();
        table.record_failure(attempt, AttemptFailure::Broken, now);
    }
}

/// Sends an attempt to an endpoint that succeeds after `elapsed_ms`.
fn succeed_once(table: &mut EndpointTable, number: usize, elapsed_ms: u64, now: TimeUs) {
    let attempt = table
        .begin_attempt(&endpoint(number), TokenCount::ZERO, EXPECTED, now)
        .unwrap();
    table.record_success(attempt, now + DurationUs::from_ms(elapsed_ms));
}

#[derive(Clone, Copy)]
enum Step {
    Leaving(&'static str),
    LeavingByStalePeer,
    VmListLive,
    Report { life: &'static str, leaving: bool },
}

fn apply_step(table: &mut EndpointTable, step: Step, now: TimeUs) {
    let id = endpoint(0);
    let peer = |life: &str| LeavingSource::Peer {
        life: Some(life.to_owned()),
    };
    match step {
        Step::Leaving("list") => table.mark_leaving(&id, &LeavingSource::VmList, now),
        Step::Leaving("peer") => table.mark_leaving(&id, &LeavingSource::Peer { life: None }, now),
        Step::Leaving(_) => table.mark_leaving(&id, &LeavingSource::OwnReport, now),
        Step::LeavingByStalePeer => table.mark_leaving(&id, &peer("first"), now),
        Step::VmListLive => table.retract_vm_list_leaving(&id, now),
        Step::Report { life, leaving } => {
            let load = EndpointLoad {
                life: Some(life.to_owned()),
                leaving,
                ..idle_report(now)
            };
            table.record_report(&id, load, now);
        }
    }
}

struct LeavingCase {
    name: &'static str,
    steps: &'static [Step],
    state: EndpointState,
}

const fn case(name: &'static str, state: EndpointState, steps: &'static [Step]) -> LeavingCase {
    LeavingCase { name, steps, state }
}

const fn report(life: &'static str, leaving: bool) -> Step {
    Step::Report { life, leaving }
}

const VM_LIST: Step = Step::Leaving("list");
const OWN_REPORT: Step = Step::Leaving("own");
const SAME_INSTANCE: Step = report("first", false);
const NEW_INSTANCE: Step = report("second", false);
const NEW_INSTANCE_LEAVING: Step = report("second", true);
const LEAVING: EndpointState = EndpointState::Leaving;
const READY: EndpointState = EndpointState::Ready;

const LEAVING_CASES: &[LeavingCase] = &[
    case("the VM list shows it as leaving", LEAVING, &[VM_LIST]),
    case("a peer announces it", LEAVING, &[Step::Leaving("peer")]),
    case(
        "its own report announces it",
        LEAVING,
        &[report("first", true)],
    ),
    case(
        "a lagging report of the same instance",
        LEAVING,
        &[VM_LIST, SAME_INSTANCE],
    ),
    case(
        "only the VM list retracts it",
        LEAVING,
        &[VM_LIST, Step::VmListLive, SAME_INSTANCE],
    ),
    case("a new instance", READY, &[OWN_REPORT, NEW_INSTANCE]),
    case(
        "a new instance that is leaving as well",
        LEAVING,
        &[OWN_REPORT, NEW_INSTANCE_LEAVING],
    ),
    case(
        "a late peer announcement about the previous instance",
        READY,
        &[OWN_REPORT, NEW_INSTANCE, Step::LeavingByStalePeer],
    ),
    case(
        "a VM list that catches up",
        READY,
        &[OWN_REPORT, NEW_INSTANCE, VM_LIST, Step::VmListLive],
    ),
    case(
        "a VM list that catches up, but the new instance itself is leaving",
        LEAVING,
        &[
            OWN_REPORT,
            NEW_INSTANCE,
            VM_LIST,
            NEW_INSTANCE_LEAVING,
            Step::VmListLive,
        ],
    ),
    case(
        "a late report of the previous instance",
        LEAVING,
        &[NEW_INSTANCE, OWN_REPORT, SAME_INSTANCE],
    ),
];

/// An endpoint that is going away must not get new requests, which would be cut off. One source
/// announces the leaving; another, which lags, still shows the endpoint as live. The later message
/// must not win over the newer knowledge.
#[test]
fn leaving_ends_only_with_a_new_instance() {
    for case in LEAVING_CASES {
        let mut table = table(3);
        for (number, step) in (1..).zip(case.steps) {
            apply_step(&mut table, *step, after_ms(number));
        }
        assert_eq!(state(&table, 0), case.state, "{}", case.name);
    }
}

/// Reports without an instance must neither keep a restarted endpoint out for ever nor let a stale
/// report make a leaving one ready. Both cases look alike, except for how far the clock went back
/// and how long no report arrived.
#[test]
fn reports_without_an_instance_end_leaving_only_when_far_apart() {
    struct Case {
        name: &'static str,
        /// When the report arrives and when it was made, in milliseconds.
        arrived_ms: u64,
        made_ms: u64,
        state: EndpointState,
    }
    let case = |name, arrived_ms, made_ms, state| Case {
        name,
        arrived_ms,
        made_ms,
        state,
    };
    let cases = [
        case("the next report", 60_200, 60_200, LEAVING),
        case("a stale report", 60_200, 59_000, LEAVING),
        case("a clock that restarted", 60_200, 300, READY),
        case("a short silence", 69_999, 69_999, LEAVING),
        case("a long silence", 70_000, 70_000, READY),
    ];
    for case in cases {
        let mut table = EndpointTable::new(EndpointOptions::default());
        table.apply_endpoint_configuration(&configuration(ServiceKind::Engine, 1), START);
        let load = |made_at_ms| EndpointLoad {
            life: None,
            made_at_ms,
            ..idle_report(START)
        };
        table.record_report(&endpoint(0), load(60_000), after_ms(60_000));
        table.mark_leaving(&endpoint(0), &LeavingSource::VmList, after_ms(60_001));
        table.record_report(&endpoint(0), load(case.made_ms), after_ms(case.arrived_ms));
        assert_eq!(state(&table, 0), case.state, "{}", case.name);
    }
}

/// An endpoint whose clock was set back must not look busier with each request. With the old clock
/// offset every report would look an hour old, and no sent request would be dropped from the
/// correction.
#[test]
fn load_correction_follows_a_clock_that_is_set_back() {
    let mut table = table(1);
    let hour_ms = 3_600_000;
    let later = |ms| after_ms(2 * hour_ms + ms);
    table.record_report(&endpoint(0), idle_report(later(0)), later(0));
    let sent = table.begin_attempt(&endpoint(0), TokenCount::ZERO, EXPECTED, later(1));
    assert!(sent.is_some());
    let load = EndpointLoad {
        running: 1,
        ..idle_report(after_ms(hour_ms))
    };
    table.record_report(&endpoint(0), load, later(1_000));
    let snapshot = &table.snapshot()[0];
    assert_eq!((snapshot.requests, snapshot.in_flight), (1, 1));
}

#[test]
fn missing_reports_make_an_endpoint_suspect_until_the_next_report() {
    let mut table = table(2);
    table.tick(after_ms(5_000));
    assert_eq!(state(&table, 0), EndpointState::Ready);
    table.tick(after_ms(5_001));
    assert_eq!(state(&table, 0), EndpointState::Suspect);
    table.record_report(&endpoint(0), idle_report(after_ms(5_100)), after_ms(5_100));
    assert_eq!(state(&table, 0), EndpointState::Ready);
    assert_eq!(table.drain_state_changes().len(), 5);
}

/// A daemon must not pile requests on an endpoint whose report looks idle. A report that was made
/// before requests were sent, but arrives after them, must not hide them.
#[test]
fn lagging_report_is_corrected_by_requests_sent_since() {
    let mut table = table(1);
    let load_at = |made: TimeUs, running| EndpointLoad {
        running,
        ..idle_report(made)
    };
    table.record_report(&endpoint(0), load_at(after_ms(1_000), 0), after_ms(1_000));
    let tokens = TokenCount::new(500);
    let first = table
        .begin_attempt(&endpoint(0), tokens, EXPECTED, after_ms(1_100))
        .unwrap();
    let second = table
        .begin_attempt(&endpoint(0), tokens, EXPECTED, after_ms(1_600))
        .unwrap();
    let corrected_load = |table: &EndpointTable| {
        let snapshot = &table.snapshot()[0];
        (snapshot.requests, snapshot.queued_tokens.get())
    };
    assert_eq!(corrected_load(&table), (2, 1_000));
    table.record_report(&endpoint(0), load_at(after_ms(1_050), 0), after_ms(1_700));
    assert_eq!(corrected_load(&table), (2, 1_000));
    table.record_report(&endpoint(0), load_at(after_ms(1_400), 1), after_ms(1_800));
    assert_eq!(corrected_load(&table), (2, 500));
    table.record_first_token(second, after_ms(1_900));
    assert_eq!(corrected_load(&table), (2, 0));
    table.record_success(first, after_ms(2_000));
    assert_eq!(corrected_load(&table), (1, 0));
    table.record_success(second, after_ms(2_100));
    assert_eq!(corrected_load(&table), (0, 0));
}

#[test]
fn consecutive_failures_eject_until_a_probe_succeeds() {
    let mut table = table(4);
    fail_attempts(&mut table, 0, 4, START);
    succeed_once(&mut table, 0, 100, START);
    fail_attempts(&mut table, 0, 4, START);
    assert_eq!(state(&table, 0), EndpointState::Ready);
    fail_attempts(&mut table, 0, 1, START);
    assert_eq!(state(&table, 0), EndpointState::Ejected);
    table.tick(after_ms(9_999));
    assert_eq!(state(&table, 0), EndpointState::Ejected);
    let report_and_tick = |table: &mut EndpointTable, now| {
        for number in 0..4 {
            table.record_report(&endpoint(number), idle_report(now), now);
        }
        table.tick(now);
    };
    report_and_tick(&mut table, after_ms(10_000));
    assert_eq!(state(&table, 0), EndpointState::Ready);
    assert!(table.snapshot()[0].is_probing);
    fail_attempts(&mut table, 0, 1, after_ms(10_001));
    assert_eq!(state(&table, 0), EndpointState::Ejected);
    report_and_tick(&mut table, after_ms(20_002));
    assert_eq!(state(&table, 0), EndpointState::Ejected);
    report_and_tick(&mut table, after_ms(30_001));
    succeed_once(&mut table, 0, 100, after_ms(30_002));
    assert!(!table.snapshot()[0].is_probing);
}

/// A fault that all endpoints share, such as a slow link, must not eject all of them although each
/// still answers some requests. Without the limit each endpoint is judged as if the others were
/// well.
#[test]
fn shared_fault_ejects_only_a_fraction_of_the_endpoints() {
    struct Case {
        endpoints: usize,
        ejected: usize,
    }
    let cases = [
        Case {
            endpoints: 1,
            ejected: 0,
        },
        Case {
            endpoints: 2,
            ejected: 1,
        },
        Case {
            endpoints: 4,
            ejected: 1,
        },
        Case {
            endpoints: 10,
            ejected: 3,
        },
    ];
    for case in cases {
        let mut table = table(case.endpoints);
        for number in 0..case.endpoints {
            fail_attempts(&mut table, number, 20, START);
        }
        let is_ejected = |number: &usize| state(&table, *number) == EndpointState::Ejected;
        let ejected = (0..case.endpoints).filter(is_ejected).count();
        assert_eq!(ejected, case.ejected, "{} endpoints", case.endpoints);
    }
}

/// Healthy endpoints must not be ejected because their estimates differ: one may get requests that
/// have to wait or long prompts while the others get short ones. A ratio to the estimate misleads
/// where the estimate is near zero, a difference where it is large.
#[test]
fn slowness_is_measured_against_the_median_of_the_service() {
    struct Case {
        name: &'static str,
        expected_ms: [u64; 4],
        elapsed_ms: [u64; 4],
        ejected: Option<usize>,
    }
    let case = |name, expected_ms, elapsed_ms, ejected| Case {
        name,
        expected_ms,
        elapsed_ms,
        ejected,
    };
    let alike = [100; 4];
    let cases = [
        case("one is slow", alike, [100, 100, 120, 500], Some(3)),
        case("all are slow", alike, [900; 4], None),
        case(
            "one is slower, below the limit",
            alike,
            [100, 100, 100, 290],
            None,
        ),
        case(
            "one is in the same zone",
            [0, 3, 3, 3],
            [8, 11, 11, 11],
            None,
        ),
        case("one has a queue", [0, 0, 0, 500], [8, 8, 8, 520], None),
        case("one is idle", [500, 500, 500, 0], [510, 510, 510, 12], None),
        case(
            "one has long prompts",
            [100, 100, 100, 9_000],
            [101, 99, 101, 9_900],
            None,
        ),
        case(
            "one is slow at short requests",
            [0; 4],
            [8, 8, 9, 200],
            Some(3),
        ),
    ];
    for case in cases {
        let mut table = table(4);
        for _ in 0..10 {
            for number in 0..4 {
                let expected = DurationUs::from_ms(case.expected_ms[number]);
                let attempt =
                    table.begin_attempt(&endpoint(number), TokenCount::ZERO, expected, START);
                table.record_success(attempt.unwrap(), after_ms(case.elapsed_ms[number]));
            }
        }
        table.tick(after_ms(1_000));
        let ejected = (0..4).find(|number| state(&table, *number) == EndpointState::Ejected);
        assert_eq!(ejected, case.ejected, "{}", case.name);
    }
}

/// Requests must not be refused while other endpoints have capacity. If a refusal removed its load
/// at once, an endpoint that reports to be idle and refuses everything would always look best.
#[test]
fn refusals_count_as_load_until_the_next_report_and_can_eject() {
    let mut table = table(2);
    let end = |table: &mut EndpointTable, failure, times| {
        for _ in 0..times {
            let attempt = table.begin_attempt(&endpoint(0), TokenCount::new(9), EXPECTED, START);
            table.record_failure(attempt.unwrap(), failure, START);
        }
    };
    end(&mut table, AttemptFailure::Cancelled, 50);
    assert_eq!(table.snapshot()[0].requests, 0);
    end(&mut table, AttemptFailure::Refused, 19);
    let snapshot = &table.snapshot()[0];
    let load = (
        snapshot.requests,
        snapshot.queued_tokens.get(),
        snapshot.in_flight,
    );
    assert_eq!(load, (19, 171, 0));
    assert_eq!(state(&table, 0), EndpointState::Ready);
    table.record_report(&endpoint(0), idle_report(after_ms(500)), after_ms(500));
    assert_eq!(table.snapshot()[0].requests, 0);
    end(&mut table, AttemptFailure::Refused, 1);
    assert_eq!(state(&table, 0), EndpointState::Ejected);
}

/// An endpoint that just restarted must not count as busy or failing because attempts at its
/// earlier instance end late.
#[test]
fn outcomes_of_attempts_at_an_earlier_instance_are_ignored() {
    let mut table = table(2);
    let sent: Vec<_> = (0..6)
        .filter_map(|_| table.begin_attempt(&endpoint(0), TokenCount::new(10), EXPECTED, START))
        .collect();
    let now = after_ms(500);
    let load = EndpointLoad {
        life: Some("second".to_owned()),
        ..idle_report(now)
    };
    table.record_report(&endpoint(0), load, now);
    let fresh = table.begin_attempt(&endpoint(0), TokenCount::new(10), EXPECTED, after_ms(600));
    for attempt in sent {
        table.record_failure(attempt, AttemptFailure::Broken, after_ms(700));
    }
    assert_eq!(state(&table, 0), EndpointState::Ready);
    assert_eq!(table.get_in_flight(&endpoint(0)), Some(1));
    assert_eq!(table.snapshot()[0].requests, 1);
    table.record_success(fresh.unwrap(), after_ms(800));
    assert_eq!(table.get_in_flight(&endpoint(0)), Some(0));
}

proptest! {
    #![proptest_config(seeded_config(ProptestConfig::default().cases, 13))]

    /// For any order of reports, stale ones included, and of announcements: once an instance is
    /// announced as leaving, its endpoint is not chosen before its own report of a later instance.
    #[test]
    fn a_leaving_endpoint_gets_no_work(steps in proptest::collection::vec(any_step(), 1..80)) {
        let mut router = router(2);
        // Instances are numbered from 0; the fixture reports the first of each endpoint.
        let mut newest = [0_u64; 2];
        let mut is_leaving = [false; 2];
        for (number, step) in (1..).zip(steps) {
            let now = after_ms(100 * number);
            let made_ms = now.get() / 1_000;
            let (target, life) = match step {
                RandomStep::Leaving(target, source) => {
                    is_leaving[target] = true;
                    router.endpoints.mark_leaving(&endpoint(target), &source, now);
                    continue;
                }
                RandomStep::NewInstance(target) => (target, newest[target] + 1),
                RandomStep::CurrentInstance(target) => (target, newest[target]),
                RandomStep::PreviousInstance(target) => (target, newest[target].saturating_sub(1)),
            };
            let load = EndpointLoad {
                life: Some(instance_name(life)),
                made_at_ms: made_ms,
                ..idle_report(now)
            };
            router.endpoints.record_report(&endpoint(target), load, now);
            if life > newest[target] {
                newest[target] = life;
                is_leaving[target] = false;
            }
            router.tick(now);
            for _ in 0..4 {
                let chosen = router.choose(&request(10), &NoLinks, now).ok();
                let chosen = chosen.map(|choice| choice.endpoint);
                let left: Vec<usize> = (0..2).filter(|number| is_leaving[*number]).collect();
                prop_assert!(left.iter().all(|number| chosen != Some(endpoint(*number))));
                prop_assert!(left.len() == 2 || chosen.is_some());
            }
        }
    }
}

#[derive(Clone, Debug)]
enum RandomStep {
    Leaving(usize, LeavingSource),
    NewInstance(usize),
    CurrentInstance(usize),
    PreviousInstance(usize),
}

fn any_step() -> impl Strategy<Value = RandomStep> {
    let source = prop_oneof![
        Just(LeavingSource::VmList),
        Just(LeavingSource::OwnReport),
        Just(LeavingSource::Peer { life: None }),
    ];
    prop_oneof![
        2 => (0..2_usize, source).prop_map(|(target, source)| RandomStep::Leaving(target, source)),
        2 => (0..2_usize).prop_map(RandomStep::NewInstance),
        4 => (0..2_usize).prop_map(RandomStep::CurrentInstance),
        2 => (0..2_usize).prop_map(RandomStep::PreviousInstance),
    ]
}

/// Returns the identifier of an instance; the first is that of the fixture's reports.
fn instance_name(number: u64) -> String {
    match number {
        0 => "first".to_owned(),
        _ => format!("life-{number}"),
    }
}

#[test]
fn undrained_state_changes_stay_bounded() {
    let mut table = table(1);
    for number in 0..2_000 {
        let now = after_ms(6_000 * (number + 1));
        table.tick(now);
        table.record_report(&endpoint(0), idle_report(now), now);
    }
    assert_eq!(table.drain_state_changes().len(), 1_024);
    assert!(table.drain_state_changes().is_empty());
}

#[test]
fn removed_endpoint_is_removed_from_the_directory() {
    let mut router = router(3);
    let key = BlockKey::derive("wisteriahitch test key", &[]);
    (0..3).for_each(|number| router.directory.record_stored(&endpoint(number), &key));
    assert_eq!(
        router.endpoints.ready_slots(&"assistant".parse().unwrap()),
        24
    );
    router
        .endpoints
        .apply_endpoint_configuration(&configuration(ServiceKind::Engine, 2), START);
    router.tick(START);
    assert_eq!(router.directory.snapshot().holders, 2);
    assert_eq!(
        router.endpoints.ready_slots(&"assistant".parse().unwrap()),
        16
    );
}

#[test]
fn configuration_adds_moves_and_removes_endpoints() {
    let mut table = table(3);
    table.apply_endpoint_configuration(&configuration(ServiceKind::Engine, 2), after_ms(1));
    assert_eq!(table.get_state(&endpoint(2)), None);
    assert_eq!(state(&table, 0), EndpointState::Ready);
    let mut moved = configuration(ServiceKind::Engine, 4);
    let service = moved.services.values_mut().next().unwrap();
    service.endpoints[0].address = "127.0.0.1:9000".parse().unwrap();
    table.apply_endpoint_configuration(&moved, after_ms(2));
    assert_eq!(state(&table, 0), EndpointState::Starting);
    assert_eq!(state(&table, 1), EndpointState::Ready);
    assert_eq!(state(&table, 3), EndpointState::Starting);
    let versions = table.ready_versions(&"assistant".parse().unwrap(), &"hist-7b".parse().unwrap());
    assert_eq!(versions, vec![("v1".parse().unwrap(), 1)]);
}
