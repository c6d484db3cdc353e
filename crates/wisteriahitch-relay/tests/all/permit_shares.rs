//! Permits of bounded endpoints over a whole fleet, whatever its daemons see of each other.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

use wisteriahitch_relay::{MinorityShare, PermitShares, RateBound, RateLimit, ViewObservation};
use wisteriahitch_types::{DurationUs, EndpointId, TimeUs};

use crate::fixture::{at_ms, ms};

const PERMITS: u32 = 8;

/// Time between two observations of a daemon.
const OBSERVATION_INTERVAL_MS: u64 = 200;

/// Time until a daemon notices that another one has left.
const LEAVE_NOTICED_AFTER_MS: u64 = 2_700;

/// Time until a daemon notices that another one has joined.
const JOIN_NOTICED_AFTER_MS: u64 = 600;

fn ip(number: usize) -> Ipv4Addr {
    let number = u32::try_from(number).unwrap();
    Ipv4Addr::from(u32::from(Ipv4Addr::new(10, 0, 0, 1)) + number)
}

fn endpoint(number: usize) -> EndpointId {
    format!("i-{number}").parse().unwrap()
}

/// A daemon that uses each permit as often as it may.
struct Member {
    shares: PermitShares,
    observed_at: TimeUs,
    /// When each permit of each endpoint was last used, by endpoint and permit.
    used_at: BTreeMap<(usize, usize), TimeUs>,
}

impl Member {
    fn new(number: usize, now: TimeUs) -> Self {
        Self {
            shares: PermitShares::new(ip(number), now),
            observed_at: now,
            used_at: BTreeMap::new(),
        }
    }
}

/// An event in a fleet. The first two numbers are a range of daemons.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// These daemons start.
    Start(usize, usize),
    /// These daemons are killed.
    Kill(usize, usize),
    /// These daemons are suspended until this time in ms.
    Freeze(usize, usize, u64),
    /// Each of these daemons no longer receives messages of any other, but still reaches the
    /// endpoints and the store.
    CutOff(usize, usize),
    /// These daemons receive messages only of each other.
    Split(usize, usize),
    /// All daemons receive each other's messages again.
    Heal,
}

struct Fleet {
    limit: RateLimit,
    rule: MinorityShare,
    members: BTreeMap<usize, Member>,
    /// Partition that each daemon is in.
    partition: BTreeMap<usize, usize>,
    /// Whether each daemon receives the messages of each other one, and since when.
    receives: BTreeMap<(usize, usize), (bool, u64)>,
    frozen_until: BTreeMap<usize, u64>,
    registered: BTreeSet<usize>,
    /// Times of the calls sent to each endpoint, in ms.
    sent: BTreeMap<usize, Vec<u64>>,
    endpoints: usize,
}

impl Fleet {
    fn new(endpoints: usize, limit: RateLimit, rule: MinorityShare) -> Self {
        Self {
            limit,
            rule,
            members: BTreeMap::new(),
            partition: BTreeMap::new(),
            receives: BTreeMap::new(),
            frozen_until: BTreeMap::new(),
            registered: BTreeSet::new(),
            sent: BTreeMap::new(),
            endpoints,
        }
    }

    fn apply(&mut self, event: Event, now_ms: u64) {
        match event {
            Event::Start(from, to) => (from..to).for_each(|number| {
                self.members
                    .insert(number, Member::new(number, at_ms(now_ms)));
                self.partition.insert(number, 0);
                self.registered.insert(number);
            }),
            Event::Kill(from, to) => (from..to).for_each(|number| {
                self.members.remove(&number);
            }),
            Event::Freeze(from, to, until) => (from..to).for_each(|number| {
                self.frozen_until.insert(number, until);
            }),
            Event::CutOff(from, to) => (from..to).for_each(|number| {
                self.partition.insert(number, 1_000 + number);
            }),
            Event::Split(from, to) => (from..to).for_each(|number| {
                self.partition.insert(number, 1);
            }),
            Event::Heal => self
                .partition
                .values_mut()
                .for_each(|partition| *partition = 0),
        }
    }

    fn is_frozen(&self, number: usize, now_ms: u64) -> bool {
        let until = self.frozen_until.get(&number);
        until.is_some_and(|until| *until > now_ms)
    }

    /// Returns whether `me` believes that `other` is there, after the time that gossip takes.
    fn believes_alive(&mut self, me: usize, other: usize, now_ms: u64) -> bool {
        let receives = self.members.contains_key(&other)
            && !self.is_frozen(other, now_ms)
            && self.partition[&me] == self.partition[&other];
        let entry = self.receives.entry((me, other)).or_insert((false, now_ms));
        if entry.0 != receives {
            *entry = (receives, now_ms);
        }
        let for_ms = now_ms - entry.1;
        match receives {
            true => for_ms >= JOIN_NOTICED_AFTER_MS,
            false => for_ms < LEAVE_NOTICED_AFTER_MS && entry.1 > 0,
        }
    }

    fn step(&mut self, now_ms: u64) {
        let numbers: Vec<usize> = self.members.keys().copied().collect();
        for me in numbers {
            let others: Vec<usize> = self.registered.iter().copied().collect();
            let mut alive = BTreeSet::from([ip(me)]);
            for other in others.into_iter().filter(|other| *other != me) {
                if self.believes_alive(me, other, now_ms) {
                    alive.insert(ip(other));
                }
            }
            if self.is_frozen(me, now_ms) {
                continue;
            }
            let registered = self.registered.iter().map(|number| ip(*number)).collect();
            let member = self.members.get_mut(&me).unwrap();
            // Calls are sent between two observations, and before the first one after a suspension.
            let bound = (&self.limit, self.rule);
            use_permits(member, bound, self.endpoints, now_ms, &mut self.sent);
            let is_due = at_ms(now_ms).since(member.observed_at) >= ms(OBSERVATION_INTERVAL_MS);
            if is_due
                || now_ms % OBSERVATION_INTERVAL_MS == (me as u64 * 50) % OBSERVATION_INTERVAL_MS
            {
                member.observed_at = at_ms(now_ms);
                let observation = ViewObservation {
                    alive,
                    starting: BTreeSet::new(),
                    registered,
                    leaving: BTreeSet::new(),
                    is_complete: true,
                };
                member.shares.observe(&observation, at_ms(now_ms));
            }
        }
    }

    fn max_calls_in(&self, span: DurationUs) -> usize {
        let max_of = |times: &Vec<u64>| {
            let in_span = |from: &u64| {
                let until = from + span.as_ms();
                times
                    .iter()
                    .filter(|at| (*from..until).contains(*at))
                    .count()
            };
            times.iter().map(in_span).max().unwrap_or(0)
        };
        self.sent.values().map(max_of).max().unwrap_or(0)
    }
}

fn use_permits(
    member: &mut Member,
    (limit, rule): (&RateLimit, MinorityShare),
    endpoints: usize,
    now_ms: u64,
    sent: &mut BTreeMap<usize, Vec<u64>>,
) {
    let now = at_ms(now_ms);
    for number in 0..endpoints {
        let shares = &member.shares;
        let share = shares
            .share(&endpoint(number), limit.permits, rule, now)
            .now;
        for permit in 0..share as usize {
            let used_at = member.used_at.get(&(number, permit));
            if used_at.is_some_and(|used_at| now.since(*used_at) < limit.window_us) {
                continue;
            }
            member.used_at.insert((number, permit), now);
            sent.entry(number).or_default().push(now_ms);
        }
    }
}

/// Events in a fleet, and how many calls must be sent in the end.
struct Case {
    name: &'static str,
    events: &'static [(u64, Event)],
    /// Percentage of the permits that must be used once everything has settled.
    used_at_the_end: usize,
}

const CASES: &[Case] = &[
    Case {
        name: "one daemon",
        events: &[(100, Event::Start(0, 1))],
        used_at_the_end: 75,
    },
    Case {
        name: "a calm fleet",
        events: &[(100, Event::Start(0, 30))],
        used_at_the_end: 75,
    },
    Case {
        name: "all killed and started at once",
        events: &[
            (100, Event::Start(0, 30)),
            (8_000, Event::Kill(0, 30)),
            (9_000, Event::Start(0, 30)),
        ],
        used_at_the_end: 75,
    },
    Case {
        name: "more than half killed, started again",
        events: &[
            (100, Event::Start(0, 30)),
            (6_000, Event::Kill(4, 22)),
            (8_000, Event::Start(4, 22)),
        ],
        used_at_the_end: 75,
    },
    Case {
        name: "new ones join, old ones end",
        events: &[
            (100, Event::Start(0, 20)),
            (6_000, Event::Start(20, 25)),
            (7_000, Event::Kill(0, 3)),
            (8_000, Event::Start(25, 30)),
            (9_000, Event::Kill(3, 6)),
        ],
        used_at_the_end: 75,
    },
    Case {
        name: "suspended while holding permits",
        events: &[
            (100, Event::Start(0, 30)),
            (6_000, Event::Freeze(0, 10, 11_000)),
        ],
        used_at_the_end: 75,
    },
    Case {
        name: "a third cut off one by one",
        events: &[(100, Event::Start(0, 30)), (6_000, Event::CutOff(0, 10))],
        used_at_the_end: 75,
    },
    Case {
        name: "all cut off one by one, then healed",
        events: &[
            (100, Event::Start(0, 30)),
            (6_000, Event::CutOff(0, 30)),
            (12_000, Event::Heal),
        ],
        used_at_the_end: 75,
    },
    Case {
        name: "split, healed and split again",
        events: &[
            (100, Event::Start(0, 30)),
            (6_000, Event::Split(0, 13)),
            (9_000, Event::Heal),
            (10_000, Event::Split(5, 20)),
            (14_000, Event::Heal),
        ],
        used_at_the_end: 75,
    },
    Case {
        name: "cut off, restarted behind the cut",
        events: &[
            (100, Event::Start(0, 30)),
            (6_000, Event::CutOff(0, 8)),
            (8_000, Event::Kill(0, 8)),
            (8_500, Event::Start(0, 8)),
            (8_500, Event::CutOff(0, 8)),
        ],
        used_at_the_end: 75,
    },
    Case {
        name: "one of two daemons killed",
        events: &[(100, Event::Start(0, 2)), (6_000, Event::Kill(0, 1))],
        used_at_the_end: 0,
    },
];

/// A rate that an endpoint names, and the bound that the deployment derives from it.
struct Bounded {
    rule: MinorityShare,
    calls_per_s: f64,
    span: DurationUs,
    /// Maximum number of calls that the bound allows in any span.
    max_in_span: usize,
}

const BOUNDED: [Bounded; 4] = [
    Bounded {
        rule: MinorityShare::Nothing,
        calls_per_s: 8.8,
        span: DurationUs::from_ms(1_000),
        max_in_span: 18,
    },
    Bounded {
        rule: MinorityShare::Proportional,
        calls_per_s: 2.1,
        span: DurationUs::from_ms(4_000),
        max_in_span: 17,
    },
    Bounded {
        rule: MinorityShare::Proportional,
        calls_per_s: 0.3,
        span: DurationUs::from_ms(4_000),
        max_in_span: 6,
    },
    Bounded {
        rule: MinorityShare::Proportional,
        calls_per_s: 10.0,
        span: DurationUs::from_ms(4_000),
        max_in_span: 65,
    },
];

/// Guards against daemons that together exceed the bound while they see different members: as they
/// start, end, are suspended or are cut off from each other.
#[test]
fn all_daemons_together_stay_within_the_bound() {
    std::thread::scope(|scope| {
        for bounded in &BOUNDED {
            scope.spawn(|| CASES.iter().for_each(|case| stay_within(bounded, case)));
        }
    });
}

/// Time in ms by which all daemons have noticed the last event and have held their permits for long
/// enough.
const SETTLED_MS: u64 = 23_000;

fn stay_within(bounded: &Bounded, case: &Case) {
    let bound = RateBound {
        rate_ratio: 1.5,
        burst_calls: 5.0,
        span_us: bounded.span,
    };
    let limit = RateLimit::new(bounded.calls_per_s, bound);
    let mut fleet = Fleet::new(2, limit, bounded.rule);
    // Every permit may be used once more after everything has settled.
    let end_ms = SETTLED_MS + limit.window_us.as_ms() + OBSERVATION_INTERVAL_MS;
    for now_ms in (0..end_ms).step_by(50) {
        let due = case.events.iter().filter(|(at, _)| *at == now_ms);
        for (_, event) in due {
            fleet.apply(*event, now_ms);
        }
        fleet.step(now_ms);
    }
    let (rate, name) = (bounded.calls_per_s, case.name);
    let max = fleet.max_calls_in(bounded.span);
    assert!(
        max <= bounded.max_in_span,
        "{rate} a second, {name}: {max} calls in a span"
    );
    let min = limit.permits as usize * case.used_at_the_end / 100;
    for (number, times) in &fleet.sent {
        let late = times.iter().filter(|at| **at >= SETTLED_MS).count();
        assert!(late >= min, "{rate} a second, {name}: {late} at {number}");
    }
}

/// Guards against a daemon that uses all permits because it doesn't know the other members yet.
#[test]
fn a_daemon_without_a_complete_view_uses_no_permit() {
    struct Case {
        name: &'static str,
        is_complete: bool,
        registered: usize,
        expected: u32,
    }
    let cases = [
        Case {
            name: "nobody listed yet",
            is_complete: false,
            registered: 0,
            expected: 0,
        },
        Case {
            name: "others are registered but silent",
            is_complete: true,
            registered: 3,
            expected: 0,
        },
        Case {
            name: "alone",
            is_complete: true,
            registered: 1,
            expected: PERMITS,
        },
    ];
    for case in cases {
        let mut shares = PermitShares::new(ip(0), at_ms(0));
        let observation = ViewObservation {
            alive: BTreeSet::from([ip(0)]),
            starting: BTreeSet::new(),
            registered: (0..case.registered).map(ip).collect(),
            leaving: BTreeSet::new(),
            is_complete: case.is_complete,
        };
        for now_ms in (0..3_600).step_by(100) {
            assert_eq!(
                shares
                    .share(&endpoint(0), PERMITS, MinorityShare::Nothing, at_ms(now_ms))
                    .now,
                0
            );
            shares.observe(&observation, at_ms(now_ms));
        }
        let share = shares
            .share(&endpoint(0), PERMITS, MinorityShare::Nothing, at_ms(3_600))
            .now;
        assert_eq!(share, case.expected, "{}", case.name);
    }
}

/// Guards against members that have left in order and keep the others from using their permits.
#[test]
fn a_leaving_member_no_longer_counts() {
    let mut shares = PermitShares::new(ip(0), at_ms(0));
    let of = |alive: usize, leaving: &[usize]| ViewObservation {
        alive: (0..alive).map(ip).collect(),
        starting: BTreeSet::new(),
        registered: BTreeSet::new(),
        leaving: leaving.iter().map(|number| ip(*number)).collect(),
        is_complete: true,
    };
    for now_ms in (0..5_000).step_by(100) {
        shares.observe(&of(4, &[]), at_ms(now_ms));
    }
    for now_ms in (5_000..9_000).step_by(100) {
        shares.observe(&of(1, &[1, 2, 3]), at_ms(now_ms));
    }
    assert_eq!(
        shares
            .share(&endpoint(0), PERMITS, MinorityShare::Nothing, at_ms(8_900))
            .now,
        PERMITS
    );
}

/// Guards against a minute without calls for a service whose endpoints all name limits, after most
/// daemons are gone for good, and against partitions that together use more than all permits.
#[test]
fn a_minority_uses_a_proportional_share_of_the_permits() {
    struct Case {
        known: usize,
        alive: usize,
        rule: MinorityShare,
        /// Number of permits of all daemons that are alive.
        together: u32,
    }
    let cases = [
        Case {
            known: 6,
            alive: 4,
            rule: MinorityShare::Proportional,
            together: 8,
        },
        Case {
            known: 6,
            alive: 3,
            rule: MinorityShare::Proportional,
            together: 4,
        },
        Case {
            known: 6,
            alive: 1,
            rule: MinorityShare::Proportional,
            together: 1,
        },
        Case {
            known: 30,
            alive: 3,
            rule: MinorityShare::Proportional,
            together: 0,
        },
        Case {
            known: 6,
            alive: 3,
            rule: MinorityShare::Nothing,
            together: 0,
        },
    ];
    for case in cases {
        let observation = ViewObservation {
            alive: (0..case.alive).map(ip).collect(),
            starting: BTreeSet::new(),
            registered: (0..case.known).map(ip).collect(),
            leaving: BTreeSet::new(),
            is_complete: true,
        };
        let share = |number: usize| {
            let mut shares = PermitShares::new(ip(number), at_ms(0));
            for now_ms in (0..4_000).step_by(100) {
                shares.observe(&observation, at_ms(now_ms));
            }
            shares
                .share(&endpoint(0), PERMITS, case.rule, at_ms(3_900))
                .now
        };
        let together: u32 = (0..case.alive).map(share).sum();
        assert_eq!(together, case.together, "{} of {}", case.alive, case.known);
    }
}
