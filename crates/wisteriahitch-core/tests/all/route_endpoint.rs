//! The endpoint table: leaving, load correction, ejection and probing.

use proptest::prelude::*;
use wisteriahitch_config::ServiceKind;
use wisteriahitch_core::route::{
    EndpointLoad, EndpointOptions, EndpointTable, FlightFailure, LeavingSource, LifeState, NoLinks,
};
use wisteriahitch_types::{BlockKey, DurationUs, TimeUs, TokenCount};

use crate::generated::seeded_config;
use crate::route_fixture::{START, after_ms, configuration, endpoint, idle, request, router};

const EXPECTED: DurationUs = DurationUs::from_ms(100);

fn table(endpoints: usize) -> EndpointTable {
    let mut table = EndpointTable::new(EndpointOptions::default());
    table.configured(&configuration(ServiceKind::Engine, endpoints), START);
    for number in 0..endpoints {
        table.report(&endpoint(number), idle(START), START);
    }
    table
}

fn state(table: &EndpointTable, number: usize) -> LifeState {
    table.get_state(&endpoint(number)).unwrap()
}

fn fail(table: &mut EndpointTable, number: usize, times: usize, now: TimeUs) {
    for _ in 0..times {
        let flight = table
            .sent(&endpoint(number), TokenCount::ZERO, EXPECTED, now)
            .unwrap();
        table.failed(flight, FlightFailure::Broken, now);
    }
}

fn succeed(table: &mut EndpointTable, number: usize, taken_ms: u64, now: TimeUs) {
    let flight = table
        .sent(&endpoint(number), TokenCount::ZERO, EXPECTED, now)
        .unwrap();
    table.finished(flight, now + DurationUs::from_ms(taken_ms));
}

#[derive(Clone, Copy)]
enum Step {
    Leaving(&'static str),
    LeavingByOldPeer,
    ListLive,
    Report { life: &'static str, leaving: bool },
}

fn take(table: &mut EndpointTable, step: Step, now: TimeUs) {
    let id = endpoint(0);
    let peer = |life: &str| LeavingSource::Peer {
        life: Some(life.to_owned()),
    };
    match step {
        Step::Leaving("list") => table.leaving(&id, &LeavingSource::VmList, now),
        Step::Leaving("peer") => table.leaving(&id, &LeavingSource::Peer { life: None }, now),
        Step::Leaving(_) => table.leaving(&id, &LeavingSource::OwnReport, now),
        Step::LeavingByOldPeer => table.leaving(&id, &peer("first"), now),
        Step::ListLive => table.vm_list_live(&id, now),
        Step::Report { life, leaving } => {
            let load = EndpointLoad {
                life: Some(life.to_owned()),
                leaving,
                ..idle(now)
            };
            table.report(&id, load, now);
        }
    }
}

struct LeavingCase {
    name: &'static str,
    steps: &'static [Step],
    state: LifeState,
}

const fn case(name: &'static str, state: LifeState, steps: &'static [Step]) -> LeavingCase {
    LeavingCase { name, steps, state }
}

const fn report(life: &'static str, leaving: bool) -> Step {
    Step::Report { life, leaving }
}

const LIST: Step = Step::Leaving("list");
const OWN: Step = Step::Leaving("own");
const SAME: Step = report("first", false);
const REBORN: Step = report("second", false);
const REBORN_LEAVING: Step = report("second", true);
const LEAVING: LifeState = LifeState::Leaving;
const READY: LifeState = LifeState::Ready;

const LEAVING_CASES: &[LeavingCase] = &[
    case("the list says so", LEAVING, &[LIST]),
    case("a peer says so", LEAVING, &[Step::Leaving("peer")]),
    case("its own report says so", LEAVING, &[report("first", true)]),
    case("a lagging report of the same life", LEAVING, &[LIST, SAME]),
    case(
        "the list takes it back alone",
        LEAVING,
        &[LIST, Step::ListLive, SAME],
    ),
    case("a new life", READY, &[OWN, REBORN]),
    case(
        "a new life that is leaving as well",
        LEAVING,
        &[OWN, REBORN_LEAVING],
    ),
    case(
        "late news of the life before",
        READY,
        &[OWN, REBORN, Step::LeavingByOldPeer],
    ),
    case(
        "a list that catches up",
        READY,
        &[OWN, REBORN, LIST, Step::ListLive],
    ),
    case(
        "a list that catches up, but the new life itself is leaving",
        LEAVING,
        &[OWN, REBORN, LIST, REBORN_LEAVING, Step::ListLive],
    ),
    case(
        "a late report of the life before",
        LEAVING,
        &[REBORN, OWN, SAME],
    ),
];

/// Symptom: an endpoint that is going away gets new work, which is cut off.
/// Sequence: one source says that it is leaving; another, which lags, still says that it is live.
/// Cause: the later message would win over the newer knowledge.
#[test]
fn leaving_ends_only_by_a_new_life() {
    for case in LEAVING_CASES {
        let mut table = table(3);
        for (number, step) in (1..).zip(case.steps) {
            take(&mut table, *step, after_ms(number));
        }
        assert_eq!(state(&table, 0), case.state, "{}", case.name);
    }
}

/// Symptom: an endpoint that tells no life is out for ever, or is put back by a late report.
/// Sequence: it leaves; then a late report comes, or its VM is replaced and reports anew.
/// Cause: both look alike, but for how far back the clock went and how long nothing came.
#[test]
fn reports_that_tell_no_life_end_a_leaving_only_when_far_apart() {
    struct Case {
        name: &'static str,
        /// When the report comes and when it was made, in milliseconds.
        came_ms: u64,
        made_ms: u64,
        state: LifeState,
    }
    let case = |name, came_ms, made_ms, state| Case {
        name,
        came_ms,
        made_ms,
        state,
    };
    let cases = [
        case("the next report", 60_200, 60_200, LEAVING),
        case("a late report", 60_200, 59_000, LEAVING),
        case("a clock that began again", 60_200, 300, READY),
        case("a short silence", 69_999, 69_999, LEAVING),
        case("a long silence", 70_000, 70_000, READY),
    ];
    for case in cases {
        let mut table = EndpointTable::new(EndpointOptions::default());
        table.configured(&configuration(ServiceKind::Engine, 1), START);
        let load = |made_at_ms| EndpointLoad {
            life: None,
            made_at_ms,
            ..idle(START)
        };
        table.report(&endpoint(0), load(60_000), after_ms(60_000));
        table.leaving(&endpoint(0), &LeavingSource::VmList, after_ms(60_001));
        table.report(&endpoint(0), load(case.made_ms), after_ms(case.came_ms));
        assert_eq!(state(&table, 0), case.state, "{}", case.name);
    }
}

/// Symptom: after its clock was set back, an endpoint looks busier with each request.
/// Sequence: reports go on with a clock that an operator set an hour back.
/// Cause: by the old difference of the clocks every report looks an hour old.
#[test]
fn a_clock_that_is_set_back_is_followed() {
    let mut table = table(1);
    let hour_ms = 3_600_000;
    let later = |ms| after_ms(2 * hour_ms + ms);
    table.report(&endpoint(0), idle(later(0)), later(0));
    let sent = table.sent(&endpoint(0), TokenCount::ZERO, EXPECTED, later(1));
    assert!(sent.is_some());
    let load = EndpointLoad {
        running: 1,
        ..idle(after_ms(hour_ms))
    };
    table.report(&endpoint(0), load, later(1_000));
    let shown = &table.snapshot()[0];
    assert_eq!((shown.requests, shown.in_flight), (1, 1));
}

#[test]
fn missing_reports_make_suspect_and_a_report_ready() {
    let mut table = table(2);
    table.tick(after_ms(5_000));
    assert_eq!(state(&table, 0), LifeState::Ready);
    table.tick(after_ms(5_001));
    assert_eq!(state(&table, 0), LifeState::Suspect);
    table.report(&endpoint(0), idle(after_ms(5_100)), after_ms(5_100));
    assert_eq!(state(&table, 0), LifeState::Ready);
    assert_eq!(table.take_changes().len(), 5);
}

/// Symptom: a daemon piles requests on the endpoint whose report looks idle.
/// Sequence: a report comes; requests are sent; a report made before them comes late.
/// Cause: the late report would hide what was sent after it was made.
#[test]
fn a_lagging_report_is_corrected_by_what_was_sent_since() {
    let mut table = table(1);
    let load_at = |made: TimeUs, running| EndpointLoad {
        running,
        ..idle(made)
    };
    table.report(&endpoint(0), load_at(after_ms(1_000), 0), after_ms(1_000));
    let tokens = TokenCount::new(500);
    let first = table
        .sent(&endpoint(0), tokens, EXPECTED, after_ms(1_100))
        .unwrap();
    let second = table
        .sent(&endpoint(0), tokens, EXPECTED, after_ms(1_600))
        .unwrap();
    let seen = |table: &EndpointTable| {
        let shown = &table.snapshot()[0];
        (shown.requests, shown.queued_tokens.get())
    };
    assert_eq!(seen(&table), (2, 1_000));
    table.report(&endpoint(0), load_at(after_ms(1_050), 0), after_ms(1_700));
    assert_eq!(seen(&table), (2, 1_000));
    table.report(&endpoint(0), load_at(after_ms(1_400), 1), after_ms(1_800));
    assert_eq!(seen(&table), (2, 500));
    table.first_token(second, after_ms(1_900));
    assert_eq!(seen(&table), (2, 0));
    table.finished(first, after_ms(2_000));
    assert_eq!(seen(&table), (1, 0));
    table.finished(second, after_ms(2_100));
    assert_eq!(seen(&table), (0, 0));
}

#[test]
fn failures_in_a_row_eject_and_a_probe_brings_back() {
    let mut table = table(4);
    fail(&mut table, 0, 4, START);
    succeed(&mut table, 0, 100, START);
    fail(&mut table, 0, 4, START);
    assert_eq!(state(&table, 0), LifeState::Ready);
    fail(&mut table, 0, 1, START);
    assert_eq!(state(&table, 0), LifeState::Ejected);
    table.tick(after_ms(9_999));
    assert_eq!(state(&table, 0), LifeState::Ejected);
    let keep_fresh = |table: &mut EndpointTable, now| {
        for number in 0..4 {
            table.report(&endpoint(number), idle(now), now);
        }
        table.tick(now);
    };
    keep_fresh(&mut table, after_ms(10_000));
    assert_eq!(state(&table, 0), LifeState::Ready);
    assert!(table.snapshot()[0].is_probing);
    fail(&mut table, 0, 1, after_ms(10_001));
    assert_eq!(state(&table, 0), LifeState::Ejected);
    keep_fresh(&mut table, after_ms(20_002));
    assert_eq!(state(&table, 0), LifeState::Ejected);
    keep_fresh(&mut table, after_ms(30_001));
    succeed(&mut table, 0, 100, after_ms(30_002));
    assert!(!table.snapshot()[0].is_probing);
}

/// Symptom: every endpoint of a service is ejected although each still answers some requests.
/// Sequence: a fault that all share, such as a slow link, makes requests fail everywhere.
/// Cause: without a floor each endpoint is judged as if the others were well.
#[test]
fn ejection_keeps_a_floor() {
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
            fail(&mut table, number, 20, START);
        }
        let is_ejected = |number: &usize| state(&table, *number) == LifeState::Ejected;
        let ejected = (0..case.endpoints).filter(is_ejected).count();
        assert_eq!(ejected, case.ejected, "{} endpoints", case.endpoints);
    }
}

/// Symptom: endpoints that are well are ejected because their estimates differ.
/// Sequence: one gets requests that should wait, or long prompts; the others get short ones.
/// Cause: a ratio to the estimate misleads where that is near zero, a difference where it is large.
#[test]
fn a_slow_endpoint_is_ejected_against_the_median() {
    struct Case {
        name: &'static str,
        expected_ms: [u64; 4],
        taken_ms: [u64; 4],
        ejected: Option<usize>,
    }
    let case = |name, expected_ms, taken_ms, ejected| Case {
        name,
        expected_ms,
        taken_ms,
        ejected,
    };
    let alike = [100; 4];
    let cases = [
        case("one is slow", alike, [100, 100, 120, 500], Some(3)),
        case("all are slow", alike, [900; 4], None),
        case(
            "one is slower, within reason",
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
                let flight = table.sent(&endpoint(number), TokenCount::ZERO, expected, START);
                table.finished(flight.unwrap(), after_ms(case.taken_ms[number]));
            }
        }
        table.tick(after_ms(1_000));
        let ejected = (0..4).find(|number| state(&table, *number) == LifeState::Ejected);
        assert_eq!(ejected, case.ejected, "{}", case.name);
    }
}

/// Symptom: requests are refused while other endpoints have room.
/// Sequence: an endpoint reports that it is idle and refuses at once whatever comes.
/// Cause: a refusal gives its load back at once, so that the endpoint looks best for ever.
#[test]
fn refusals_count_as_load_until_the_next_report_and_eject_in_the_end() {
    let mut table = table(2);
    let end = |table: &mut EndpointTable, failure, times| {
        for _ in 0..times {
            let flight = table.sent(&endpoint(0), TokenCount::new(9), EXPECTED, START);
            table.failed(flight.unwrap(), failure, START);
        }
    };
    end(&mut table, FlightFailure::Cancelled, 50);
    assert_eq!(table.snapshot()[0].requests, 0);
    end(&mut table, FlightFailure::Refused, 19);
    let shown = &table.snapshot()[0];
    let load = (shown.requests, shown.queued_tokens.get(), shown.in_flight);
    assert_eq!(load, (19, 171, 0));
    assert_eq!(state(&table, 0), LifeState::Ready);
    table.report(&endpoint(0), idle(after_ms(500)), after_ms(500));
    assert_eq!(table.snapshot()[0].requests, 0);
    end(&mut table, FlightFailure::Refused, 1);
    assert_eq!(state(&table, 0), LifeState::Ejected);
}

/// Symptom: an endpoint that just started counts as busy or as failing.
/// Sequence: requests are under way; the endpoint starts again; their ends come in late.
/// Cause: ends of the life before would be booked on the new one.
#[test]
fn late_ends_of_an_earlier_life_are_ignored() {
    let mut table = table(2);
    let sent: Vec<_> = (0..6)
        .filter_map(|_| table.sent(&endpoint(0), TokenCount::new(10), EXPECTED, START))
        .collect();
    let now = after_ms(500);
    let load = EndpointLoad {
        life: Some("second".to_owned()),
        ..idle(now)
    };
    table.report(&endpoint(0), load, now);
    let fresh = table.sent(&endpoint(0), TokenCount::new(10), EXPECTED, after_ms(600));
    for flight in sent {
        table.failed(flight, FlightFailure::Broken, after_ms(700));
    }
    assert_eq!(state(&table, 0), LifeState::Ready);
    assert_eq!(table.get_in_flight(&endpoint(0)), Some(1));
    assert_eq!(table.snapshot()[0].requests, 1);
    table.finished(fresh.unwrap(), after_ms(800));
    assert_eq!(table.get_in_flight(&endpoint(0)), Some(0));
}

proptest! {
    #![proptest_config(seeded_config(ProptestConfig::default().cases, 13))]

    /// Whatever the order of reports, late ones among them, and of the sources: once a life is
    /// said to be leaving, its endpoint is not chosen before its own report of a later life.
    #[test]
    fn a_leaving_endpoint_gets_no_work(steps in proptest::collection::vec(any_step(), 1..80)) {
        let mut router = router(2);
        // The lives are 0, 1 and so on; the first of each endpoint is reported by the fixture.
        let mut newest = [0_u64; 2];
        let mut is_leaving = [false; 2];
        for (number, step) in (1..).zip(steps) {
            let now = after_ms(100 * number);
            let made_ms = now.get() / 1_000;
            let (target, life) = match step {
                RandomStep::Leaving(target, source) => {
                    is_leaving[target] = true;
                    router.endpoints.leaving(&endpoint(target), &source, now);
                    continue;
                }
                RandomStep::NewLife(target) => (target, newest[target] + 1),
                RandomStep::Again(target) => (target, newest[target]),
                RandomStep::LateLife(target) => (target, newest[target].saturating_sub(1)),
            };
            let load = EndpointLoad {
                life: Some(life_name(life)),
                made_at_ms: made_ms,
                ..idle(now)
            };
            router.endpoints.report(&endpoint(target), load, now);
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
    NewLife(usize),
    Again(usize),
    LateLife(usize),
}

fn any_step() -> impl Strategy<Value = RandomStep> {
    let source = prop_oneof![
        Just(LeavingSource::VmList),
        Just(LeavingSource::OwnReport),
        Just(LeavingSource::Peer { life: None }),
    ];
    prop_oneof![
        2 => (0..2_usize, source).prop_map(|(target, source)| RandomStep::Leaving(target, source)),
        2 => (0..2_usize).prop_map(RandomStep::NewLife),
        4 => (0..2_usize).prop_map(RandomStep::Again),
        2 => (0..2_usize).prop_map(RandomStep::LateLife),
    ]
}

/// Names a life; the first is that of the fixture's reports.
fn life_name(number: u64) -> String {
    match number {
        0 => "first".to_owned(),
        _ => format!("life-{number}"),
    }
}

#[test]
fn what_nobody_takes_stays_bounded() {
    let mut table = table(1);
    for number in 0..2_000 {
        let now = after_ms(6_000 * (number + 1));
        table.tick(now);
        table.report(&endpoint(0), idle(now), now);
    }
    assert_eq!(table.take_changes().len(), 1_024);
    assert!(table.take_changes().is_empty());
}

#[test]
fn a_removed_endpoint_leaves_the_directory_too() {
    let mut router = router(3);
    let key = BlockKey::derive("wisteriahitch test key", &[]);
    (0..3).for_each(|number| router.directory.stored(&endpoint(number), &key));
    assert_eq!(
        router.endpoints.ready_slots(&"assistant".parse().unwrap()),
        24
    );
    router
        .endpoints
        .configured(&configuration(ServiceKind::Engine, 2), START);
    router.tick(START);
    assert_eq!(router.directory.snapshot().holders, 2);
    assert_eq!(
        router.endpoints.ready_slots(&"assistant".parse().unwrap()),
        16
    );
}

#[test]
fn a_configuration_adds_moves_and_removes() {
    let mut table = table(3);
    table.configured(&configuration(ServiceKind::Engine, 2), after_ms(1));
    assert_eq!(table.get_state(&endpoint(2)), None);
    assert_eq!(state(&table, 0), LifeState::Ready);
    let mut moved = configuration(ServiceKind::Engine, 4);
    let service = moved.services.values_mut().next().unwrap();
    service.endpoints[0].address = "127.0.0.1:9000".parse().unwrap();
    table.configured(&moved, after_ms(2));
    assert_eq!(state(&table, 0), LifeState::Starting);
    assert_eq!(state(&table, 1), LifeState::Ready);
    assert_eq!(state(&table, 3), LifeState::Starting);
    let versions = table.ready_versions(&"assistant".parse().unwrap(), &"hist-7b".parse().unwrap());
    assert_eq!(versions, vec![("v1".parse().unwrap(), 1)]);
}
