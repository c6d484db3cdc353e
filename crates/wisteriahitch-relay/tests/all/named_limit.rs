//! Endpoints that name a limit: which limit applies, and how many calls are sent.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use wisteriahitch_relay::{
    Admission, CallPermits, EndpointTable, LimitCause, LimitUpdate, PartStores, PermitShares,
    PlacementRequest, ViewObservation, place,
};
use wisteriahitch_types::{CallRate, Code, DurationUs, TimeUs};

use crate::fixture::{CallSetting, at_ms, engine, id, ms, prompt};

const ME: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);

/// How long a limit stays in force without being repeated.
const LIMIT_TTL: DurationUs = DurationUs::from_ms(60_000);

/// Time at which a daemon has observed the members for long enough to use permits.
const START_MS: u64 = 5_000;

fn rate(per_s: f64) -> Option<CallRate> {
    Some(CallRate::try_from(per_s).unwrap())
}

struct Daemon {
    table: EndpointTable,
    shares: PermitShares,
}

impl Daemon {
    /// Creates a daemon that is the only member and has observed the members until the start.
    fn alone() -> Self {
        let mut daemon = Self {
            table: EndpointTable::default().with_limit_ttl(LIMIT_TTL),
            shares: PermitShares::new(ME, at_ms(0)),
        };
        daemon.table.apply_registration(engine("a"), at_ms(0));
        daemon.observe_until(START_MS);
        daemon
    }

    fn observe(&mut self, now: TimeUs) {
        let observation = ViewObservation {
            alive: BTreeSet::from([ME]),
            is_complete: true,
            ..ViewObservation::default()
        };
        self.shares.observe(&observation, now);
        self.table.set_permit_shares(&self.shares, now);
    }

    fn observe_until(&mut self, now_ms: u64) {
        let from_ms = now_ms.saturating_sub(START_MS);
        for ms in (from_ms..=now_ms).step_by(100) {
            self.observe(at_ms(ms));
        }
    }

    fn receive_answer(&mut self, per_s: Option<f64>, now_ms: u64) {
        let rate = per_s.and_then(rate);
        self.table.record_limit(&id("a"), rate, at_ms(now_ms));
        self.observe(at_ms(now_ms));
    }

    fn receive_update(&mut self, per_s: Option<f64>, age_ms: u64, now_ms: u64) {
        let update = LimitUpdate {
            endpoint: self.table.get(&id("a")).unwrap().short_name,
            rate: per_s.and_then(rate),
            age_ms,
        };
        self.table.apply_limit_update(&update, at_ms(now_ms));
        self.observe(at_ms(now_ms));
    }

    fn admission(&self, now_ms: u64) -> Admission {
        let row = self.table.get(&id("a")).unwrap();
        self.table.admission(row, at_ms(now_ms))
    }

    fn named(&self) -> Option<f64> {
        let row = self.table.get(&id("a")).unwrap();
        row.statements.limit.rate().map(CallRate::per_s)
    }

    /// Sends as many calls as are admitted, and returns how many; `None` if there is no bound.
    fn send_all(&mut self, now_ms: u64) -> Option<usize> {
        let mut sent = 0;
        loop {
            match self.admission(now_ms) {
                Admission::Permit(permits) => {
                    let now = at_ms(now_ms);
                    self.table.mark_permits_used(&id("a"), permits, now);
                    assert!(self.table.try_admit(&id("a"), permits, now));
                    sent += 1;
                }
                Admission::Limited(LimitCause::Named, _) => return Some(sent),
                _ => return None,
            }
        }
    }
}

/// Guards against a rate below one call a second that is rounded to zero or to one, against a large
/// rate that is cut down to nothing, and against an endpoint that never gets a call again.
#[test]
fn permits_follow_the_named_rate() {
    struct Case {
        per_s: f64,
        /// Number of calls admitted at once; `None` if there is no bound. `again_after_ms` later
        /// the next one is.
        sent: Option<usize>,
        again_after_ms: u64,
    }
    let cases = [
        Case {
            per_s: 2.1,
            sent: Some(8),
            again_after_ms: 4_020,
        },
        Case {
            per_s: 1.0,
            sent: Some(4),
            again_after_ms: 4_020,
        },
        Case {
            per_s: 0.3,
            sent: Some(1),
            again_after_ms: 4_020,
        },
        Case {
            per_s: 0.2,
            sent: Some(1),
            again_after_ms: 5_020,
        },
        Case {
            per_s: 0.0,
            sent: Some(1),
            again_after_ms: 10_020,
        },
        Case {
            per_s: 40.0,
            sent: Some(122),
            again_after_ms: 4_020,
        },
        Case {
            per_s: 1e12,
            sent: None,
            again_after_ms: 0,
        },
    ];
    for case in cases {
        let mut daemon = Daemon::alone();
        daemon.receive_answer(Some(case.per_s), START_MS);
        assert_eq!(daemon.send_all(START_MS), case.sent, "{}", case.per_s);
        let again_ms = START_MS + case.again_after_ms;
        if case.sent.is_some() {
            daemon.observe_until(again_ms - 1);
            assert_eq!(daemon.send_all(again_ms - 1), Some(0), "{}", case.per_s);
            daemon.observe(at_ms(again_ms));
            assert!(daemon.send_all(again_ms) > Some(0), "{}", case.per_s);
        }
    }
}

/// A notice of a limit: time in ms, rate, and its age in ms if a peer reports it.
type Notice = (u64, Option<f64>, Option<u64>);

/// Guards against a limit that outlives the endpoint's latest statement, and against one that an
/// outdated report of a peer restores or removes.
#[test]
fn the_newest_notice_of_a_limit_counts() {
    struct Case {
        name: &'static str,
        notices: &'static [Notice],
        named: Option<f64>,
    }
    let cases = [
        Case {
            name: "never named",
            notices: &[(5_000, None, None)],
            named: None,
        },
        Case {
            name: "changed from answer to answer",
            notices: &[(5_000, Some(2.0), None), (5_010, Some(3.0), None)],
            named: Some(3.0),
        },
        Case {
            name: "over",
            notices: &[(5_000, Some(2.0), None), (5_010, None, None)],
            named: None,
        },
        Case {
            name: "reported by a peer",
            notices: &[(5_000, Some(2.0), Some(100))],
            named: Some(2.0),
        },
        Case {
            name: "a peer reports that it is over",
            notices: &[(5_000, Some(2.0), None), (6_000, None, Some(100))],
            named: None,
        },
        Case {
            name: "a peer that doesn't know of the end reports it again",
            notices: &[
                (5_000, Some(2.0), None),
                (6_000, None, None),
                (6_100, Some(2.0), Some(1_100)),
            ],
            named: None,
        },
        Case {
            name: "a peer reports an earlier answer without a limit",
            notices: &[(5_000, Some(2.0), None), (5_100, None, Some(200))],
            named: Some(2.0),
        },
        Case {
            name: "two notices of about the same time: the lower one",
            notices: &[(5_000, Some(2.0), None), (5_400, Some(9.0), Some(100))],
            named: Some(2.0),
        },
        Case {
            name: "two notices of about the same time, the lower one later",
            notices: &[(5_000, Some(9.0), None), (5_400, Some(2.0), Some(100))],
            named: Some(2.0),
        },
    ];
    for case in cases {
        let mut daemon = Daemon::alone();
        for (now_ms, per_s, age_ms) in case.notices {
            match age_ms {
                None => daemon.receive_answer(*per_s, *now_ms),
                Some(age_ms) => daemon.receive_update(*per_s, *age_ms, *now_ms),
            }
        }
        assert_eq!(daemon.named(), case.named, "{}", case.name);
        let sent = daemon.send_all(6_200);
        assert_eq!(sent.is_some(), case.named.is_some(), "{}", case.name);
    }
}

/// Guards against a limit that stays in force forever without being repeated.
#[test]
fn a_limit_that_is_not_repeated_expires() {
    let mut daemon = Daemon::alone();
    daemon.receive_answer(Some(2.1), START_MS);
    daemon.observe_until(64_999);
    assert_eq!(daemon.send_all(64_999), Some(8));
    daemon.observe(at_ms(65_000));
    assert_eq!(daemon.admission(65_000), Admission::Open);
    assert!(daemon.table.limit_updates(at_ms(65_000)).is_empty());
}

/// Guards against a limit whose end some daemons never learn: it is sent for as long as messages
/// may be lost.
#[test]
fn a_limit_and_its_end_are_gossiped() {
    let mut daemon = Daemon::alone();
    assert!(daemon.table.limit_updates(at_ms(START_MS)).is_empty());
    daemon.receive_answer(Some(2.1), START_MS);
    let updates = daemon.table.limit_updates(at_ms(6_000));
    assert_eq!((updates[0].rate, updates[0].age_ms), (rate(2.1), 1_000));
    daemon.receive_answer(None, 7_000);
    let updates = daemon.table.limit_updates(at_ms(11_900));
    assert_eq!((updates[0].rate, updates[0].age_ms), (None, 4_900));
    assert!(daemon.table.limit_updates(at_ms(12_000)).is_empty());
}

/// Guards against calls that were placed before the limit was known and are sent after it is used
/// up.
#[test]
fn a_call_placed_before_the_limit_needs_a_permit() {
    let mut daemon = Daemon::alone();
    daemon.receive_answer(Some(0.3), START_MS);
    let mut admits = || {
        let none = CallPermits::default();
        daemon.table.try_admit(&id("a"), none, at_ms(START_MS))
    };
    assert!(admits());
    assert!(!admits());
}

/// Guards against a daemon that was suspended and continues to use permits that others use
/// meanwhile.
#[test]
fn a_suspended_daemon_uses_no_permit() {
    let mut daemon = Daemon::alone();
    daemon.receive_answer(Some(2.1), START_MS);
    assert_eq!(daemon.send_all(START_MS + 800), Some(0));
    daemon.observe(at_ms(START_MS + 800));
    assert_eq!(daemon.send_all(START_MS + 800), Some(0));
}

/// Guards against a caller that waits in vain, or is refused with a wrong retry time.
#[test]
fn callers_are_refused_until_a_permit_is_free() {
    let mut daemon = Daemon::alone();
    daemon.receive_answer(Some(2.1), START_MS);
    assert_eq!(daemon.send_all(START_MS), Some(8));
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
    assert_eq!(refused.code, Code::EndpointsLimited);
    let wait = refused.retry_after_us.unwrap();
    let (min, spread) = (ms(3_620), ms(800));
    assert!(wait >= min && wait <= min + spread, "{wait}");
    daemon.observe_until(9_020);
    let now = at_ms(5_400) + wait;
    daemon.observe(now);
    assert!(!try_at(now, &daemon).unwrap().permits.is_empty());
}

/// Guards against an endpoint at its limit that is chosen again and again while others are free.
#[test]
fn an_endpoint_at_its_limit_is_not_chosen_while_others_are_free() {
    let mut daemon = Daemon::alone();
    daemon
        .table
        .apply_registration(engine("b"), at_ms(START_MS));
    daemon.receive_answer(Some(0.0), START_MS);
    assert_eq!(daemon.send_all(START_MS), Some(1));
    let (setting, prompt) = (CallSetting::in_zone("a"), prompt(100, 100));
    let request = setting.request(&prompt);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..50 {
        let stores = PartStores::default();
        let placed = place(&daemon.table, &stores, &request, at_ms(5_050), &mut rng);
        assert_eq!(placed.unwrap().endpoint, id("b"));
    }
}
