//! Calls that a cold endpoint gets, and when.

use std::collections::{BTreeSet, HashMap};
use std::net::Ipv4Addr;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use wisteriahitch_relay::{
    Admission, CallPermits, Endpoint, EndpointTable, LimitCause, ModelWeights, PartStores,
    PermitShares, PlacementRequest, RateBound, RateLimit, ServiceColdLimit, ViewObservation, place,
};
use wisteriahitch_types::{Code, DurationUs, EndpointInstance, EndpointStart, TimeUs};
use wisteriahitch_wire::object_store::Revision;

use crate::fixture::{CallSetting, at_ms, engine, id, ms, prompt, service};

const ME: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const BOUND: RateBound = RateBound {
    rate_ratio: 1.5,
    burst_calls: 5.0,
    span_us: DurationUs::from_ms(1_000),
};

/// Guards against permits that exceed the bound while two views of the members are in force.
#[test]
fn permits_of_two_views_stay_within_the_bound() {
    struct Case {
        calls_per_s: f64,
        bound: RateBound,
        permits: u32,
        window: DurationUs,
    }
    let no_slack = RateBound {
        rate_ratio: 1.0,
        burst_calls: 0.0,
        span_us: DurationUs::from_ms(1_000),
    };
    let cases = [
        Case {
            calls_per_s: 8.8,
            bound: BOUND,
            permits: 8,
            window: ms(1_020),
        },
        Case {
            calls_per_s: 9.0,
            bound: no_slack,
            permits: 4,
            window: ms(1_020),
        },
        Case {
            calls_per_s: 0.5,
            bound: BOUND,
            permits: 1,
            window: ms(2_020),
        },
        Case {
            calls_per_s: 0.5,
            bound: no_slack,
            permits: 0,
            window: ms(1_000),
        },
        Case {
            calls_per_s: 0.0,
            bound: BOUND,
            permits: 0,
            window: ms(1_000),
        },
    ];
    for case in cases {
        let limit = RateLimit::new(case.calls_per_s, case.bound);
        let most_per_s = case.calls_per_s * case.bound.rate_ratio + case.bound.burst_calls;
        assert_eq!(
            (limit.permits, limit.window_us),
            (case.permits, case.window)
        );
        assert!(f64::from(limit.permits * 2) <= most_per_s.max(2.0));
    }
}

struct Daemon {
    table: EndpointTable,
    shares: PermitShares,
    alive: BTreeSet<Ipv4Addr>,
}

impl Daemon {
    /// Creates a daemon that is the only member and has observed the members until `now`.
    fn alone(now: TimeUs) -> Self {
        let mut daemon = Self {
            table: EndpointTable::default(),
            shares: PermitShares::new(ME, at_ms(0)),
            alive: BTreeSet::from([ME]),
        };
        let cold_limit = ServiceColdLimit {
            limit: RateLimit::new(8.8, BOUND),
            cold_period_us: ms(3_000),
        };
        let limits = HashMap::from([(service(), cold_limit)]);
        daemon.table.set_cold_limits(limits);
        let mut at = at_ms(0);
        while at < now {
            at = at + ms(100);
            daemon.observe(at);
        }
        daemon
    }

    fn observe(&mut self, now: TimeUs) {
        let observation = ViewObservation {
            alive: self.alive.clone(),
            is_complete: true,
            ..ViewObservation::default()
        };
        self.shares.observe(&observation, now);
        self.table.set_permit_shares(&self.shares, now);
    }

    fn apply_registration(&mut self, cold_ms: u64, revision: u64, now: TimeUs) {
        let endpoint = Endpoint {
            remaining_cold_us: ms(cold_ms),
            revision: Revision::from_u64(revision),
            ..engine("a")
        };
        self.table.apply_registration(endpoint, now);
        self.table.set_permit_shares(&self.shares, now);
    }

    fn admission(&self, now: TimeUs) -> Admission {
        self.table.admission(self.table.get(&id("a")).unwrap(), now)
    }

    /// Sends as many calls as are admitted, and returns how many.
    fn send_all(&mut self, now: TimeUs) -> usize {
        let mut sent = 0;
        while let Admission::Permit(permits) = self.admission(now) {
            self.table.mark_permits_used(&id("a"), permits, now);
            assert!(self.table.try_admit(&id("a"), permits, now));
            sent += 1;
        }
        sent
    }
}

/// Guards against a permit that is used twice in a window, and against one that is never free
/// again.
#[test]
fn each_permit_allows_one_call_per_window() {
    let mut daemon = Daemon::alone(at_ms(5_000));
    daemon.apply_registration(60_000, 1, at_ms(5_000));
    assert_eq!(daemon.send_all(at_ms(5_000)), 8);
    for ms in [5_100, 5_300, 5_600, 6_000] {
        daemon.observe(at_ms(ms));
        assert_eq!(daemon.send_all(at_ms(ms)), 0, "{ms}");
    }
    assert_eq!(
        daemon.admission(at_ms(6_000)),
        Admission::Limited(LimitCause::Cold, at_ms(6_020))
    );
    daemon.observe(at_ms(6_020));
    assert_eq!(daemon.send_all(at_ms(6_020)), 8);
}

/// Guards against a caller that returns at the time it was told and is refused again because the
/// daemon hasn't observed the members at that moment.
#[test]
fn permits_are_usable_from_the_reported_time() {
    struct Case {
        observed_at: u64,
        asked_at: u64,
    }
    let cases = [
        Case {
            observed_at: 300,
            asked_at: 300,
        },
        Case {
            observed_at: 3_200,
            asked_at: 3_200,
        },
        Case {
            observed_at: 3_500,
            asked_at: 3_550,
        },
    ];
    for case in cases {
        let mut daemon = Daemon::alone(at_ms(case.observed_at));
        daemon.apply_registration(60_000, 1, at_ms(case.observed_at));
        let Admission::Limited(LimitCause::Cold, free_at) = daemon.admission(at_ms(case.asked_at))
        else {
            panic!("expected a limited endpoint: the daemon has just started");
        };
        assert_eq!(free_at, at_ms(3_600));
        let mut at = at_ms(case.observed_at);
        while at + ms(150) < free_at {
            at = at + ms(150);
            daemon.observe(at);
        }
        assert_eq!(daemon.send_all(free_at), 8, "{}", case.asked_at);
    }
}

/// Guards against a daemon that hasn't read the registrations yet and refuses callers until the
/// endpoint is warm, although it may use permits long before.
#[test]
fn a_daemon_that_has_just_started_reports_when_it_may_use_permits() {
    let mut daemon = Daemon::alone(at_ms(0));
    daemon.apply_registration(60_000, 1, at_ms(50));
    assert_eq!(
        daemon.admission(at_ms(50)),
        Admission::Limited(LimitCause::Cold, at_ms(3_550))
    );
}

/// Guards against a call that is counted only when it is placed, although it then waits for its
/// connection.
#[test]
fn a_permit_counts_as_used_when_its_call_is_sent() {
    let mut daemon = Daemon::alone(at_ms(5_000));
    daemon.apply_registration(60_000, 1, at_ms(5_000));
    let Admission::Permit(permits) = daemon.admission(at_ms(5_000)) else {
        panic!("no permit");
    };
    daemon
        .table
        .mark_permits_used(&id("a"), permits, at_ms(5_000));
    daemon.observe(at_ms(5_400));
    assert!(daemon.table.try_admit(&id("a"), permits, at_ms(5_400)));
    daemon.observe(at_ms(6_020));
    assert_eq!(daemon.send_all(at_ms(6_020)), 7);
    daemon.observe(at_ms(6_420));
    assert_eq!(daemon.send_all(at_ms(6_420)), 1);
}

/// Guards against an endpoint that counts as warm too early, by an older registration or after an
/// evacuation in which it restarted unnoticed, and against one that never becomes warm again.
#[test]
fn the_newest_registration_sets_the_end_of_the_cold_period() {
    struct Case {
        name: &'static str,
        /// Time in ms, revision, and the remaining cold period in ms.
        registrations: &'static [(u64, u64, u64)],
        /// When an evacuation of its zone ends, in ms.
        restored_at: Option<u64>,
        /// End of the cold period in ms; `None` if the endpoint is never cold.
        cold_until: Option<u64>,
    }
    let cases = [
        Case {
            name: "never cold",
            registrations: &[(5_000, 1, 0)],
            restored_at: None,
            cold_until: None,
        },
        Case {
            name: "at its start",
            registrations: &[(5_000, 1, 3_000)],
            restored_at: None,
            cold_until: Some(8_000),
        },
        Case {
            name: "the same registration listed again",
            registrations: &[(5_000, 1, 3_000), (7_000, 1, 3_000)],
            restored_at: None,
            cold_until: Some(8_000),
        },
        Case {
            name: "a newer registration with an earlier end",
            registrations: &[(5_000, 1, 3_000), (6_000, 2, 100)],
            restored_at: None,
            cold_until: Some(6_100),
        },
        Case {
            name: "an old registration",
            registrations: &[(5_000, 5, 3_000), (6_000, 4, 0)],
            restored_at: None,
            cold_until: Some(8_000),
        },
        Case {
            name: "cold again without a restart",
            registrations: &[(5_000, 1, 0), (6_000, 2, 2_000)],
            restored_at: None,
            cold_until: Some(8_000),
        },
        Case {
            name: "its zone is no longer evacuated",
            registrations: &[(5_000, 1, 0)],
            restored_at: Some(6_000),
            cold_until: Some(9_000),
        },
        Case {
            name: "its zone is no longer evacuated, and a registration says it is warm",
            registrations: &[(5_000, 1, 0), (6_500, 2, 0)],
            restored_at: Some(6_000),
            cold_until: Some(9_000),
        },
    ];
    for case in cases {
        let mut daemon = Daemon::alone(at_ms(5_000));
        let mut restored_at = case.restored_at;
        for (ms, revision, left) in case.registrations {
            if let Some(restored_at) = restored_at.take_if(|at| *at < *ms) {
                restore(&mut daemon, restored_at);
            }
            daemon.apply_registration(*left, *revision, at_ms(*ms));
        }
        if let Some(restored_at) = restored_at {
            restore(&mut daemon, restored_at);
        }
        let row = daemon.table.get(&id("a")).unwrap();
        let cold_at = |ms: u64| row.cold.is_cold(at_ms(ms));
        let until = case.cold_until.unwrap_or(5_000);
        assert!(!cold_at(until), "{}", case.name);
        if case.cold_until.is_some() {
            assert!(cold_at(until - 1), "{}", case.name);
        }
    }
}

fn restore(daemon: &mut Daemon, ms: u64) {
    let zone = "a".parse().unwrap();
    daemon
        .table
        .set_evacuated_zones(BTreeSet::from([zone]), at_ms(ms - 500));
    daemon.table.set_evacuated_zones(BTreeSet::new(), at_ms(ms));
}

/// Guards against an endpoint that has restarted under its id and counts as warm until its
/// registration is read, and against one that counts as restarted with each connection.
#[test]
fn a_process_with_an_unregistered_start_is_cold() {
    struct Case {
        name: &'static str,
        registered: Option<u64>,
        /// Time in ms, and the start that a process reports on a connection.
        seen: &'static [(u64, Option<u64>)],
        must_verify_start: bool,
        cold_until: Option<u64>,
    }
    let cases = [
        Case {
            name: "the registered one",
            registered: Some(1),
            seen: &[(5_000, Some(1)), (6_000, Some(1))],
            must_verify_start: true,
            cold_until: None,
        },
        Case {
            name: "another one",
            registered: Some(1),
            seen: &[(5_000, Some(1)), (6_000, Some(2)), (7_000, Some(2))],
            must_verify_start: true,
            cold_until: Some(9_000),
        },
        Case {
            name: "a third one",
            registered: Some(1),
            seen: &[(6_000, Some(2)), (7_000, Some(3)), (8_000, Some(3))],
            must_verify_start: true,
            cold_until: Some(10_000),
        },
        Case {
            name: "one that reports none",
            registered: Some(1),
            seen: &[(6_000, None), (7_000, None)],
            must_verify_start: true,
            cold_until: Some(10_000),
        },
        Case {
            name: "without a registered start, an id names one process",
            registered: None,
            seen: &[],
            must_verify_start: false,
            cold_until: None,
        },
    ];
    for case in cases {
        let mut daemon = Daemon::alone(at_ms(5_000));
        let start = case.registered.map(EndpointStart::from_unix_ms);
        let instance = EndpointInstance { start, ..id("a") };
        let endpoint = Endpoint {
            instance: instance.clone(),
            ..engine("a")
        };
        daemon.table.apply_registration(endpoint, at_ms(5_000));
        assert_eq!(
            daemon.table.must_verify_start(&instance),
            case.must_verify_start
        );
        for (ms, seen) in case.seen {
            let seen = seen.map(EndpointStart::from_unix_ms);
            daemon.table.record_seen_start(&instance, seen, at_ms(*ms));
        }
        let row = daemon.table.get(&instance).unwrap();
        let until = case.cold_until.unwrap_or(5_000);
        assert!(!row.cold.is_cold(at_ms(until)), "{}", case.name);
        if case.cold_until.is_some() {
            assert!(row.cold.is_cold(at_ms(until - 1)), "{}", case.name);
        }
    }
}

/// Guards against a plain service that gets no calls because its endpoints have no report that
/// could contain their start.
#[test]
fn endpoints_without_weights_are_not_asked_for_their_start() {
    let mut daemon = Daemon::alone(at_ms(5_000));
    let start = Some(EndpointStart::from_unix_ms(1));
    let instance = EndpointInstance { start, ..id("a") };
    let endpoint = Endpoint {
        instance: instance.clone(),
        weights: ModelWeights::default(),
        ..engine("a")
    };
    daemon.table.apply_registration(endpoint, at_ms(5_000));
    assert!(!daemon.table.must_verify_start(&instance));
}

/// Guards against a burst of calls to an endpoint that turns cold under its usual load, which no
/// permit has counted.
#[test]
fn an_endpoint_that_turns_cold_gets_no_calls_for_a_window() {
    let mut daemon = Daemon::alone(at_ms(5_000));
    daemon.apply_registration(0, 1, at_ms(5_000));
    assert_eq!(daemon.admission(at_ms(5_000)), Admission::Open);
    daemon.apply_registration(60_000, 2, at_ms(5_000));
    daemon.observe(at_ms(5_500));
    assert_eq!(daemon.send_all(at_ms(5_500)), 0);
    daemon.observe(at_ms(6_020));
    assert_eq!(daemon.send_all(at_ms(6_020)), 8);
}

/// Guards against the use of a permit from an earlier cold period that another daemon has held
/// since.
#[test]
fn permits_end_with_the_cold_period() {
    let mut daemon = Daemon::alone(at_ms(5_000));
    daemon.apply_registration(1_000, 1, at_ms(5_000));
    assert_eq!(daemon.send_all(at_ms(5_000)), 8);
    let others = (2..12).map(|number| Ipv4Addr::new(10, 0, 0, number));
    daemon.alive.extend(others);
    let mut at = at_ms(6_000);
    while at < at_ms(9_000) {
        at = at + ms(100);
        daemon.observe(at);
    }
    // The shares aren't updated between the end of the evacuation and the next call.
    restore(&mut daemon, 9_050);
    assert_eq!(daemon.send_all(at_ms(9_050)), 0);
}

/// Guards against calls that were placed while the endpoint was warm and are sent after it turned
/// cold.
#[test]
fn a_call_placed_before_the_cold_period_needs_a_permit() {
    let mut daemon = Daemon::alone(at_ms(5_000));
    daemon.apply_registration(0, 1, at_ms(5_000));
    assert!(
        daemon
            .table
            .try_admit(&id("a"), CallPermits::default(), at_ms(5_000))
    );
    daemon.apply_registration(60_000, 2, at_ms(5_000));
    assert!(
        !daemon
            .table
            .try_admit(&id("a"), CallPermits::default(), at_ms(5_000))
    );
    let mut admitted = 0;
    daemon.observe(at_ms(5_500));
    daemon.observe(at_ms(6_020));
    while daemon
        .table
        .try_admit(&id("a"), CallPermits::default(), at_ms(6_020))
    {
        admitted += 1;
    }
    assert_eq!(admitted, 8);
}

/// Guards against a caller that is refused with a wrong retry time, or waits in vain.
#[test]
fn callers_are_refused_until_a_permit_is_free() {
    let mut daemon = Daemon::alone(at_ms(5_000));
    daemon.apply_registration(60_000, 1, at_ms(5_000));
    daemon.send_all(at_ms(5_000));
    let (setting, prompt) = (CallSetting::in_zone("a"), prompt(100, 100));
    let request = PlacementRequest {
        daemons: 1,
        ..setting.request(&prompt)
    };
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let stores = PartStores::default();
    let mut try_at =
        |now: TimeUs, daemon: &Daemon| place(&daemon.table, &stores, &request, now, &mut rng);
    daemon.observe(at_ms(5_400));
    let refused = try_at(at_ms(5_400), &daemon).unwrap_err();
    assert_eq!(refused.code, Code::EndpointsCold);
    let wait = refused.retry_after_us.unwrap();
    let now = at_ms(5_400) + wait;
    assert!(wait >= ms(620) && wait <= ms(1_200), "{wait}");
    daemon.observe(at_ms(5_900));
    daemon.observe(now);
    assert!(!try_at(now, &daemon).unwrap().permits.is_empty());
}
