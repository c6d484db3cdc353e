//! What a cold endpoint may get, and when.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::Ipv4Addr;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use wisteriahitch_relay::{
    Admission, CallPermits, Endpoint, EndpointTable, LimitCause, PartStores, PermitShares,
    PlacementRequest, RateBound, RateLimit, ServiceColdness, Sighting, place,
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

/// Guards against permits that go beyond the bound where two views of the members are in force.
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
    /// A daemon that is alone and has looked around until `now`.
    fn alone(now: TimeUs) -> Self {
        let mut daemon = Self {
            table: EndpointTable::default(),
            shares: PermitShares::new(ME, at_ms(0)),
            alive: BTreeSet::from([ME]),
        };
        let coldness = ServiceColdness {
            limit: RateLimit::new(8.8, BOUND),
            start_us: ms(3_000),
        };
        let limits = HashMap::from([(service(), coldness)]);
        daemon.table.set_cold_limits(limits);
        let mut at = at_ms(0);
        while at < now {
            at = at + ms(100);
            daemon.look(at);
        }
        daemon
    }

    fn look(&mut self, now: TimeUs) {
        let sighting = Sighting {
            alive: self.alive.clone(),
            is_complete: true,
            ..Sighting::default()
        };
        self.shares.look(&sighting, now);
        self.table.set_shares(&self.shares, now);
    }

    fn registered(&mut self, cold_ms: u64, revision: u64, now: TimeUs) {
        let endpoint = Endpoint {
            remaining_cold_us: ms(cold_ms),
            revision: Revision(revision),
            ..engine("a")
        };
        self.table.registered(endpoint, now);
        self.table.set_shares(&self.shares, now);
    }

    fn admission(&self, now: TimeUs) -> Admission {
        self.table.admission(self.table.get(&id("a")).unwrap(), now)
    }

    /// Sends as many calls as are let through, and returns how many.
    fn send_all(&mut self, now: TimeUs) -> usize {
        let mut sent = 0;
        while let Admission::Permit(permits) = self.admission(now) {
            self.table.use_permits(&id("a"), permits, now);
            assert!(self.table.admits(&id("a"), permits, now));
            sent += 1;
        }
        sent
    }
}

/// Guards against a permit that is used twice in a window, and against one that is never free again.
#[test]
fn each_permit_is_good_for_one_call_in_a_window() {
    let mut daemon = Daemon::alone(at_ms(5_000));
    daemon.registered(60_000, 1, at_ms(5_000));
    assert_eq!(daemon.send_all(at_ms(5_000)), 8);
    for ms in [5_100, 5_300, 5_600, 6_000] {
        daemon.look(at_ms(ms));
        assert_eq!(daemon.send_all(at_ms(ms)), 0, "{ms}");
    }
    assert_eq!(
        daemon.admission(at_ms(6_000)),
        Admission::Limited(LimitCause::Cold, at_ms(6_020))
    );
    daemon.look(at_ms(6_020));
    assert_eq!(daemon.send_all(at_ms(6_020)), 8);
}

/// Guards against a caller that comes back at the time it was told and is sent away again, since the daemon hasn't
/// looked at the members in that moment.
#[test]
fn permits_are_good_from_the_time_that_was_told() {
    struct Case {
        looked_at: u64,
        told_at: u64,
    }
    let cases = [
        Case {
            looked_at: 300,
            told_at: 300,
        },
        Case {
            looked_at: 3_200,
            told_at: 3_200,
        },
        Case {
            looked_at: 3_500,
            told_at: 3_550,
        },
    ];
    for case in cases {
        let mut daemon = Daemon::alone(at_ms(case.looked_at));
        daemon.registered(60_000, 1, at_ms(case.looked_at));
        let Admission::Limited(LimitCause::Cold, free_at) = daemon.admission(at_ms(case.told_at))
        else {
            panic!("it has just started");
        };
        assert_eq!(free_at, at_ms(3_600));
        let mut at = at_ms(case.looked_at);
        while at + ms(150) < free_at {
            at = at + ms(150);
            daemon.look(at);
        }
        assert_eq!(daemon.send_all(free_at), 8, "{}", case.told_at);
    }
}

/// Guards against a caller that is sent away until the endpoint is warm, by a daemon that hasn't read yet who is
/// registered and may use permits long before.
#[test]
fn a_daemon_that_has_just_started_tells_when_it_may_have_permits() {
    let mut daemon = Daemon::alone(at_ms(0));
    daemon.registered(60_000, 1, at_ms(50));
    assert_eq!(
        daemon.admission(at_ms(50)),
        Admission::Limited(LimitCause::Cold, at_ms(3_550))
    );
}

/// Guards against a call that waits for its connection and is counted at its placement alone.
#[test]
fn a_call_counts_from_when_its_bytes_leave() {
    let mut daemon = Daemon::alone(at_ms(5_000));
    daemon.registered(60_000, 1, at_ms(5_000));
    let Admission::Permit(permits) = daemon.admission(at_ms(5_000)) else {
        panic!("no permit");
    };
    daemon.table.use_permits(&id("a"), permits, at_ms(5_000));
    daemon.look(at_ms(5_400));
    assert!(daemon.table.admits(&id("a"), permits, at_ms(5_400)));
    daemon.look(at_ms(6_020));
    assert_eq!(daemon.send_all(at_ms(6_020)), 7);
    daemon.look(at_ms(6_420));
    assert_eq!(daemon.send_all(at_ms(6_420)), 1);
}

/// Guards against an endpoint that is taken for warm by an older registration, before its time, or after an
/// evacuation whose restarts nobody has heard of yet; and against one that never counts as warm again.
#[test]
fn an_endpoint_is_cold_for_as_long_as_the_newest_says() {
    struct Case {
        name: &'static str,
        /// Time, revision, and how much longer it says to stay cold.
        told: &'static [(u64, u64, u64)],
        /// When an evacuation of its zone ends.
        restored_at: Option<u64>,
        /// None where it never is.
        cold_until: Option<u64>,
    }
    let cases = [
        Case {
            name: "never",
            told: &[(5_000, 1, 0)],
            restored_at: None,
            cold_until: None,
        },
        Case {
            name: "at its start",
            told: &[(5_000, 1, 3_000)],
            restored_at: None,
            cold_until: Some(8_000),
        },
        Case {
            name: "listed again",
            told: &[(5_000, 1, 3_000), (7_000, 1, 3_000)],
            restored_at: None,
            cold_until: Some(8_000),
        },
        Case {
            name: "sooner warm",
            told: &[(5_000, 1, 3_000), (6_000, 2, 100)],
            restored_at: None,
            cold_until: Some(6_100),
        },
        Case {
            name: "an old registration",
            told: &[(5_000, 5, 3_000), (6_000, 4, 0)],
            restored_at: None,
            cold_until: Some(8_000),
        },
        Case {
            name: "cold again without a restart",
            told: &[(5_000, 1, 0), (6_000, 2, 2_000)],
            restored_at: None,
            cold_until: Some(8_000),
        },
        Case {
            name: "its zone is no longer evacuated",
            told: &[(5_000, 1, 0)],
            restored_at: Some(6_000),
            cold_until: Some(9_000),
        },
        Case {
            name: "the same, and an older state is told",
            told: &[(5_000, 1, 0), (6_500, 2, 0)],
            restored_at: Some(6_000),
            cold_until: Some(9_000),
        },
    ];
    for case in cases {
        let mut daemon = Daemon::alone(at_ms(5_000));
        let mut restored_at = case.restored_at;
        for (ms, revision, left) in case.told {
            if let Some(restored_at) = restored_at.take_if(|at| *at < *ms) {
                restore(&mut daemon, restored_at);
            }
            daemon.registered(*left, *revision, at_ms(*ms));
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
        .set_evacuated(BTreeSet::from([zone]), at_ms(ms - 500));
    daemon.table.set_evacuated(BTreeSet::new(), at_ms(ms));
}

/// Guards against an endpoint that has started again under its id and counts as warm until its registration is read; and
/// against one that counts as started again with each connection.
#[test]
fn a_process_with_another_start_is_cold() {
    struct Case {
        name: &'static str,
        registered: Option<u64>,
        /// Time, and the start that a process tells on a connection.
        seen: &'static [(u64, Option<u64>)],
        needs_start: bool,
        cold_until: Option<u64>,
    }
    let cases = [
        Case {
            name: "the registered one",
            registered: Some(1),
            seen: &[(5_000, Some(1)), (6_000, Some(1))],
            needs_start: true,
            cold_until: None,
        },
        Case {
            name: "another one",
            registered: Some(1),
            seen: &[(5_000, Some(1)), (6_000, Some(2)), (7_000, Some(2))],
            needs_start: true,
            cold_until: Some(9_000),
        },
        Case {
            name: "a third one",
            registered: Some(1),
            seen: &[(6_000, Some(2)), (7_000, Some(3)), (8_000, Some(3))],
            needs_start: true,
            cold_until: Some(10_000),
        },
        Case {
            name: "one that tells none",
            registered: Some(1),
            seen: &[(6_000, None), (7_000, None)],
            needs_start: true,
            cold_until: Some(10_000),
        },
        Case {
            name: "where no start is told, an id names one process",
            registered: None,
            seen: &[],
            needs_start: false,
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
        daemon.table.registered(endpoint, at_ms(5_000));
        assert_eq!(daemon.table.needs_start(&instance), case.needs_start);
        for (ms, seen) in case.seen {
            let seen = seen.map(EndpointStart::from_unix_ms);
            daemon.table.saw_start(&instance, seen, at_ms(*ms));
        }
        let row = daemon.table.get(&instance).unwrap();
        let until = case.cold_until.unwrap_or(5_000);
        assert!(!row.cold.is_cold(at_ms(until)), "{}", case.name);
        if case.cold_until.is_some() {
            assert!(row.cold.is_cold(at_ms(until - 1)), "{}", case.name);
        }
    }
}

/// Guards against a plain service that gets no call at all, since its endpoints have no report to tell their start in.
#[test]
fn endpoints_without_weights_are_not_asked_for_their_start() {
    let mut daemon = Daemon::alone(at_ms(5_000));
    let start = Some(EndpointStart::from_unix_ms(1));
    let instance = EndpointInstance { start, ..id("a") };
    let endpoint = Endpoint {
        instance: instance.clone(),
        weights: BTreeMap::new(),
        ..engine("a")
    };
    daemon.table.registered(endpoint, at_ms(5_000));
    assert!(!daemon.table.needs_start(&instance));
}

/// Guards against a herd at an endpoint that turns cold under its usual load, which no permit has counted.
#[test]
fn an_endpoint_that_turns_cold_gets_nothing_for_a_window() {
    let mut daemon = Daemon::alone(at_ms(5_000));
    daemon.registered(0, 1, at_ms(5_000));
    assert_eq!(daemon.admission(at_ms(5_000)), Admission::Open);
    daemon.registered(60_000, 2, at_ms(5_000));
    daemon.look(at_ms(5_500));
    assert_eq!(daemon.send_all(at_ms(5_500)), 0);
    daemon.look(at_ms(6_020));
    assert_eq!(daemon.send_all(at_ms(6_020)), 8);
}

/// Guards against a permit of an earlier cold time that another daemon has held since.
#[test]
fn permits_end_with_the_cold_time() {
    let mut daemon = Daemon::alone(at_ms(5_000));
    daemon.registered(1_000, 1, at_ms(5_000));
    assert_eq!(daemon.send_all(at_ms(5_000)), 8);
    let others = (2..12).map(|number| Ipv4Addr::new(10, 0, 0, number));
    daemon.alive.extend(others);
    let mut at = at_ms(6_000);
    while at < at_ms(9_000) {
        at = at + ms(100);
        daemon.look(at);
    }
    // Nothing is looked up between the end of the evacuation and the next call.
    restore(&mut daemon, 9_050);
    assert_eq!(daemon.send_all(at_ms(9_050)), 0);
}

/// Guards against calls that were placed at a warm endpoint and are sent after it has turned cold.
#[test]
fn what_was_placed_before_needs_a_permit() {
    let mut daemon = Daemon::alone(at_ms(5_000));
    daemon.registered(0, 1, at_ms(5_000));
    assert!(
        daemon
            .table
            .admits(&id("a"), CallPermits::default(), at_ms(5_000))
    );
    daemon.registered(60_000, 2, at_ms(5_000));
    assert!(
        !daemon
            .table
            .admits(&id("a"), CallPermits::default(), at_ms(5_000))
    );
    let mut admitted = 0;
    daemon.look(at_ms(5_500));
    daemon.look(at_ms(6_020));
    while daemon
        .table
        .admits(&id("a"), CallPermits::default(), at_ms(6_020))
    {
        admitted += 1;
    }
    assert_eq!(admitted, 8);
}

/// Guards against a caller that is sent away without a true time to return, or waits for nothing.
#[test]
fn callers_are_refused_until_a_permit_is_free() {
    let mut daemon = Daemon::alone(at_ms(5_000));
    daemon.registered(60_000, 1, at_ms(5_000));
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
    daemon.look(at_ms(5_400));
    let refused = try_at(at_ms(5_400), &daemon).unwrap_err();
    assert_eq!(refused.code, Code::EndpointsCold);
    let wait = refused.retry_after_us.unwrap();
    let now = at_ms(5_400) + wait;
    assert!(wait >= ms(620) && wait <= ms(1_200), "{wait}");
    daemon.look(at_ms(5_900));
    daemon.look(now);
    assert!(!try_at(now, &daemon).unwrap().permits.is_empty());
}
