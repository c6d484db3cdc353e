//! How old the known state of the store may become.

use std::net::Ipv4Addr;

use wisteriahitch_relay::{
    BoundSettings, Bounds, GossipMessage, MemberPhase, MessageDelay, PeerTable, QueryRank,
    StalenessLimits, answered_as_of,
};
use wisteriahitch_types::{DurationUs, TimeUs};
use wisteriahitch_wire::object_store::ObjectRole;

use crate::fixture::{at_ms, ms};
use crate::members::message;

const LIMITS: StalenessLimits = StalenessLimits {
    confirm_us: ms(1_000),
    wait_us: ms(6_000),
    last_query_us: ms(3_700),
    final_us: ms(1_800),
};

/// Rank among ten daemons that watch the store.
const fn rank(place: usize) -> QueryRank {
    QueryRank { place, places: 10 }
}

/// The first daemon of the fleet has its watch answered often enough to confirm for all in time
/// what they know; the watches of the others may wait.
#[test]
fn one_daemon_confirms_for_the_fleet() {
    struct Case {
        what: &'static str,
        place: usize,
        as_of: Option<TimeUs>,
        wait: DurationUs,
    }
    let cases = [
        Case {
            what: "the first, at its start",
            place: 0,
            as_of: None,
            wait: ms(1_000),
        },
        Case {
            what: "the first, right after an answer",
            place: 0,
            as_of: Some(at_ms(10_000)),
            wait: ms(1_000),
        },
        Case {
            what: "the first, after an answer with changes",
            place: 0,
            as_of: Some(at_ms(9_300)),
            wait: ms(300),
        },
        Case {
            what: "the first, when a confirmation is due",
            place: 0,
            as_of: Some(at_ms(8_000)),
            wait: ms(50),
        },
        Case {
            what: "another one",
            place: 1,
            as_of: Some(at_ms(9_300)),
            wait: ms(6_000),
        },
    ];
    for case in cases {
        let wait = LIMITS.wait(rank(case.place), case.as_of, at_ms(10_000));
        assert_eq!(wait, case.wait, "{}", case.what);
    }
}

/// Guards against a daemon that claims for seconds to be up to date after the connection of its
/// watch has failed silently, because a silent watch counts as one without changes.
#[test]
fn unconfirmed_watches_are_given_up_one_after_the_other() {
    struct Case {
        what: &'static str,
        place: usize,
        as_of: Option<TimeUs>,
        asked_at: TimeUs,
        give_up_at: TimeUs,
    }
    let cases = [
        Case {
            what: "the first",
            place: 0,
            as_of: Some(at_ms(10_000)),
            asked_at: at_ms(10_000),
            give_up_at: at_ms(11_700),
        },
        Case {
            what: "the third",
            place: 2,
            as_of: Some(at_ms(10_000)),
            asked_at: at_ms(7_000),
            give_up_at: at_ms(12_100),
        },
        Case {
            what: "the last",
            place: 9,
            as_of: Some(at_ms(10_000)),
            asked_at: at_ms(7_000),
            give_up_at: at_ms(13_500),
        },
        Case {
            what: "one whose watch has just begun",
            place: 0,
            as_of: Some(at_ms(5_000)),
            asked_at: at_ms(10_000),
            give_up_at: at_ms(10_700),
        },
        Case {
            what: "one that never received a confirmation",
            place: 0,
            as_of: None,
            asked_at: at_ms(10_000),
            give_up_at: at_ms(11_700),
        },
    ];
    for case in cases {
        let give_up_at = LIMITS.give_up_at(rank(case.place), case.as_of, case.asked_at);
        assert_eq!(give_up_at, case.give_up_at, "{}", case.what);
    }
}

/// Guards against acknowledged objects that are refused as unknown right after an answer, because
/// an answer that was delayed counts as of its arrival.
#[test]
fn an_answer_counts_as_of_its_request_or_the_end_of_its_wait() {
    struct Case {
        what: &'static str,
        has_changes: bool,
        answered_at: TimeUs,
        as_of: TimeUs,
    }
    let cases = [
        Case {
            what: "no changes, at the end of the wait",
            has_changes: false,
            answered_at: at_ms(11_004),
            as_of: at_ms(11_000),
        },
        Case {
            what: "no changes, and delayed",
            has_changes: false,
            answered_at: at_ms(15_000),
            as_of: at_ms(11_000),
        },
        Case {
            what: "no changes, and earlier than the wait",
            has_changes: false,
            answered_at: at_ms(10_500),
            as_of: at_ms(10_000),
        },
        Case {
            what: "changes, which may have been delayed",
            has_changes: true,
            answered_at: at_ms(15_000),
            as_of: at_ms(10_000),
        },
    ];
    for case in cases {
        let as_of = answered_as_of(at_ms(10_000), ms(1_000), case.has_changes, case.answered_at);
        assert_eq!(as_of, case.as_of, "{}", case.what);
    }
}

/// Guards against a daemon that asks the store so late that the answer comes after the bound, because
/// its place in the order of a large fleet is far behind or it waits until what it knows is as old
/// as the bound allows. The answer takes 330 ms while the store is slow; a bound of two seconds only
/// leaves time for a prompt one.
#[test]
fn a_daemon_that_nobody_confirms_asks_in_time_for_an_answer() {
    struct Case {
        bound: DurationUs,
        answer: DurationUs,
    }
    let cases = [
        Case {
            bound: ms(2_000),
            answer: ms(100),
        },
        Case {
            bound: ms(3_000),
            answer: ms(330),
        },
        Case {
            bound: ms(5_000),
            answer: ms(330),
        },
    ];
    for Case { bound, answer } in cases {
        let limits = bounds(bound, bound + ms(1_000)).staleness_limits(ObjectRole::Configuration);
        for places in [1, 6, 70, 195, 984, 2_000] {
            for place in 0..places {
                let rank = QueryRank { place, places };
                let query_at = limits.query_at(rank, at_ms(0));
                assert!(query_at + answer <= at_ms(0) + bound, "{bound}: {rank:?}");
            }
        }
    }
}

/// Guards against a fleet whose daemons all ask at the same moment after the last confirmation. The
/// store of the largest fleet answers 16,000 calls per second, so 400 in 100 ms for each of four
/// kinds of objects.
#[test]
fn a_fleet_that_nobody_confirms_spreads_its_queries() {
    let limits = bounds(ms(5_000), ms(6_000)).staleness_limits(ObjectRole::Configuration);
    for places in [984, 2_000] {
        let query_at = |place| limits.query_at(QueryRank { place, places }, at_ms(0));
        let times: Vec<TimeUs> = (0..places).map(query_at).collect();
        for start in &times {
            let end = *start + ms(100);
            let queries = times.iter().filter(|at| **at >= *start && **at < end);
            let queries = queries.count();
            assert!(queries <= 400, "{queries} of {places} from {start} on");
        }
    }
}

#[test]
fn unknown_is_final_only_after_a_recent_confirmation() {
    assert!(!LIMITS.is_final(None, at_ms(10_000)));
    assert!(LIMITS.is_final(Some(at_ms(8_200)), at_ms(10_000)));
    assert!(!LIMITS.is_final(Some(at_ms(8_199)), at_ms(10_000)));
}

/// Guards against a daemon that wakes up after a suspension and refuses as unknown what was added
/// meanwhile. It receives the others' messages of that time late; each says that everything was
/// confirmed a moment ago, and would count as of its arrival.
#[test]
fn a_delayed_message_is_distinguished_from_a_prompt_one() {
    struct Case {
        what: &'static str,
        sent_ms: u64,
        received_ms: u64,
        delay_us: DurationUs,
    }
    // The sender's clock is behind by 50 s.
    let cases = [
        Case {
            what: "the first",
            sent_ms: 10_000,
            received_ms: 60_003,
            delay_us: ms(0),
        },
        Case {
            what: "a quicker one",
            sent_ms: 10_100,
            received_ms: 60_101,
            delay_us: ms(0),
        },
        Case {
            what: "one that waited for a suspended process",
            sent_ms: 10_200,
            received_ms: 65_000,
            delay_us: ms(4_799),
        },
        Case {
            what: "the last one of that time",
            sent_ms: 14_900,
            received_ms: 65_000,
            delay_us: ms(99),
        },
        Case {
            what: "one after a long suspension",
            sent_ms: 15_000,
            received_ms: 95_000,
            delay_us: ms(29_999),
        },
        Case {
            what: "a while later, after clocks have drifted apart",
            sent_ms: 60_000,
            received_ms: 110_041,
            delay_us: ms(0),
        },
    ];
    let mut delay = MessageDelay::default();
    for case in cases {
        let delay_us = delay.record(at_ms(case.sent_ms), at_ms(case.received_ms));
        assert_eq!(delay_us, case.delay_us, "{}", case.what);
    }
}

const ME: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 9);

/// Daemons that can't reach the store, are leaving or are silent confirm nothing, and delay no
/// other daemon.
#[test]
fn daemons_that_can_t_ask_the_store_have_no_rank() {
    let change = |change: fn(&mut GossipMessage)| {
        let mut table = PeerTable::default();
        for last in 1..=8 {
            let mut message = message(last, u64::from(last), 1, MemberPhase::Ready);
            change(&mut message);
            table.receive(&message, at_ms(0));
        }
        table
    };
    let place = |table: &PeerTable, follows, now_ms| {
        let rank = table.query_rank("endpoints", ME, follows, at_ms(now_ms));
        assert!(rank.place < rank.places, "{rank:?}");
        rank.place
    };
    let all = change(|_| ());
    assert!(place(&all, true, 100) <= 8);
    assert!(
        place(&all, false, 100) > 8,
        "a daemon that doesn't watch the store asks after them"
    );
    assert_eq!(place(&all, true, 2_000), 0, "all others are silent");
    let turned_away = change(|message| message.is_store_reachable = false);
    assert_eq!(place(&turned_away, true, 100), 0);
    let unwatching = change(|message| message.follows_stores = false);
    assert_eq!(place(&unwatching, true, 100), 0);
    let leaving = change(|message| message.phase = MemberPhase::Draining);
    assert_eq!(place(&leaving, true, 100), 0);
}

/// A fleet that watches one kind of objects on a store that answers at once, with a simulated
/// clock.
struct Fleet {
    limits: StalenessLimits,
    /// Time until the other daemons receive what one daemon knows.
    gossip_delay: DurationUs,
    daemons: Vec<Follower>,
    /// Confirmations on their way to the others: time of arrival, and time as of which everything
    /// is known.
    in_transit: Vec<(TimeUs, TimeUs)>,
    calls: usize,
}

struct Follower {
    as_of: TimeUs,
    asked_at: TimeUs,
    wait: DurationUs,
    /// Whether its watch is never answered.
    is_silent: bool,
    /// Whether the daemon has died.
    is_dead: bool,
}

/// Step of the clock.
const STEP: DurationUs = ms(10);

/// Wait of a watch that replaces one that was given up.
const SHORT_WAIT: DurationUs = ms(300);

impl Fleet {
    fn new(limits: StalenessLimits, gossip_delay: DurationUs, size: usize) -> Self {
        let daemons = (0..size).map(|place| Follower {
            as_of: TimeUs::ZERO,
            asked_at: TimeUs::ZERO,
            wait: limits.wait(
                QueryRank {
                    place,
                    places: size,
                },
                Some(TimeUs::ZERO),
                TimeUs::ZERO,
            ),
            is_silent: false,
            is_dead: false,
        });
        Self {
            limits,
            gossip_delay,
            daemons: daemons.collect(),
            in_transit: Vec::new(),
            calls: 0,
        }
    }

    /// Runs the daemons up to `now`, in the order of their ranks.
    fn step(&mut self, now: TimeUs) {
        let alive = self.daemons.iter().filter(|daemon| !daemon.is_dead);
        let mut rank = QueryRank {
            place: 0,
            places: alive.count(),
        };
        for daemon in &mut self.daemons {
            if daemon.is_dead {
                continue;
            }
            let end_at = daemon.asked_at + daemon.wait;
            if !daemon.is_silent && now >= end_at {
                daemon.as_of = daemon.as_of.max(end_at);
                self.in_transit.push((now + self.gossip_delay, end_at));
                daemon.asked_at = now;
                daemon.wait = self.limits.wait(rank, Some(daemon.as_of), now);
                self.calls += 1;
            } else if now
                >= self
                    .limits
                    .give_up_at(rank, Some(daemon.as_of), daemon.asked_at)
            {
                daemon.asked_at = now;
                daemon.wait = SHORT_WAIT;
                daemon.is_silent = false;
                self.calls += 1;
            }
            rank.place += 1;
        }
        let there = self
            .in_transit
            .extract_if(.., |(there_at, _)| *there_at <= now);
        let newest = there.map(|(_, as_of)| as_of).max().unwrap_or_default();
        for daemon in &mut self.daemons {
            daemon.as_of = daemon.as_of.max(newest);
        }
    }

    /// Returns the expected number of calls in a time without changes.
    fn calm_calls(&self, time: DurationUs) -> usize {
        let calls = |wait: DurationUs| usize::try_from(time.get().div_ceil(wait.get())).unwrap();
        let others = self.daemons.len() - 1;
        calls(self.limits.confirm_us) + others * calls(self.limits.wait_us)
    }

    fn run(&mut self, from: TimeUs, until: TimeUs) {
        let mut now = from;
        while now < until {
            now = now + STEP;
            self.step(now);
        }
    }

    /// Returns the oldest time as of which a daemon knows everything.
    fn as_of(&self) -> TimeUs {
        let there = self.daemons.iter().filter(|daemon| !daemon.is_dead);
        there.map(|daemon| daemon.as_of).min().unwrap()
    }
}

/// A deployment: the number of daemons that watch the store, and its time limits.
struct Deployment {
    followers: usize,
    known_within: DurationUs,
    contact: DurationUs,
    gossip_delay: DurationUs,
}

const DEPLOYMENTS: [Deployment; 4] = [
    Deployment {
        followers: 1,
        known_within: ms(2_000),
        contact: ms(3_000),
        gossip_delay: ms(0),
    },
    Deployment {
        followers: 9,
        known_within: ms(2_000),
        contact: ms(3_000),
        gossip_delay: ms(100),
    },
    Deployment {
        followers: 6,
        known_within: ms(3_000),
        contact: ms(4_000),
        gossip_delay: ms(600),
    },
    Deployment {
        followers: 10,
        known_within: ms(4_000),
        contact: ms(5_000),
        gossip_delay: ms(600),
    },
];

pub(crate) fn bounds(known_within: DurationUs, contact: DurationUs) -> Bounds {
    let known_within_ms = known_within.as_ms() as f64;
    let bounds = BoundSettings {
        old_weights_ms: Some(8_000.0),
        all_weights_ms: Some(11_000.0),
        endpoint_drain_ms: Some(known_within_ms),
        configuration_ms: Some(known_within_ms),
        contact_ms: Some(contact.as_ms() as f64),
        store_history_s: Some(20.0),
        evacuation_ms: None,
        endpoint_heartbeat_ms: None,
    };
    bounds.checked().unwrap()
}

impl Deployment {
    fn fleet(&self) -> Fleet {
        let bounds = bounds(self.known_within, self.contact);
        let limits = bounds.staleness_limits(ObjectRole::Configuration);
        Fleet::new(limits, self.gossip_delay, self.followers)
    }
}

/// Guards against needless calls, and against daemons that can't call anything unknown, during a
/// minute without changes. One daemon asks the store as often as the bound demands, and the others
/// ask rarely.
#[test]
fn a_fleet_without_changes_asks_rarely_and_stays_confirmed() {
    for deployment in DEPLOYMENTS {
        let mut fleet = deployment.fleet();
        for second in 1..=60 {
            fleet.run(at_ms((second - 1) * 1_000), at_ms(second * 1_000));
            let as_of = Some(fleet.as_of());
            assert!(
                fleet.limits.is_final(as_of, at_ms(second * 1_000)),
                "{second}"
            );
        }
        let expected = fleet.calm_calls(ms(60_000));
        assert!(fleet.calls <= expected, "{} of {expected}", fleet.calls);
    }
}

/// Guards against daemons that stay out of date after all watches fail silently at once, or the
/// confirming daemon dies. All watches begin at the same moment, after a change that all were
/// waiting for. Everything that the store had acknowledged must be known within the bound, with few
/// calls.
#[test]
fn a_fleet_whose_watches_fall_silent_is_confirmed_again_in_time() {
    for deployment in DEPLOYMENTS {
        for harmed_ms in (0..6_000).step_by(50) {
            for is_first_dead in [false, true] {
                if is_first_dead && deployment.followers == 1 {
                    continue;
                }
                let mut fleet = deployment.fleet();
                fleet.run(TimeUs::ZERO, at_ms(harmed_ms));
                for daemon in &mut fleet.daemons {
                    daemon.is_silent = true;
                }
                fleet.daemons[0].is_dead = is_first_dead;
                fleet.calls = 0;
                let harmed_at = at_ms(harmed_ms);
                let deadline = harmed_at + deployment.contact;
                fleet.run(harmed_at, deadline);
                let as_of = fleet.as_of();
                assert!(as_of >= harmed_at, "{harmed_ms}: {as_of}");
                let expected = fleet.calm_calls(deployment.contact) + deployment.followers;
                assert!(fleet.calls <= expected, "{} of {expected}", fleet.calls);
            }
        }
    }
}
