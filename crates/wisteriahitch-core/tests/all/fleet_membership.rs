//! Membership converges, bounds its bytes and lists the right addresses.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use proptest::test_runner::TestRunner;
use wisteriahitch_core::fleet::{
    MemberState, Membership, MembershipCommand, MembershipEvent, News, VmNotice,
};
use wisteriahitch_types::{ConfigVersion, DurationUs, Incarnation, TimeUs};

use crate::fleet::{SEED, ZONES, incarnation, member, membership, membership_of};
use crate::generated::seeded_config;

/// Twice `max_round_news_bytes`, which nothing exceeds.
const HARD_ROUND_BYTES: usize = 4_096;
const ROUND_US: DurationUs = DurationUs::from_ms(1_000);

/// Daemons whose probes are carried at once, without a network of their own.
struct Fleet {
    nodes: BTreeMap<u16, Membership>,
    lives: BTreeMap<u16, u64>,
    /// Pairs that can't reach each other.
    cut: BTreeSet<(u16, u16)>,
    now: TimeUs,
    /// Bytes of news that each has sent since its own last round.
    sent: BTreeMap<u16, usize>,
    most_round_bytes: usize,
}

impl Fleet {
    fn new(count: u16) -> Self {
        Self {
            nodes: (0..count).map(|i| (i, membership(i, 0))).collect(),
            lives: (0..count).map(|i| (i, 0)).collect(),
            cut: BTreeSet::new(),
            now: TimeUs::ZERO,
            sent: BTreeMap::new(),
            most_round_bytes: 0,
        }
    }

    fn cut(&mut self, side: &[u16], other: &[u16]) {
        for (a, b) in side
            .iter()
            .flat_map(|a| other.iter().map(move |b| (*a, *b)))
        {
            self.cut.insert((a, b));
            self.cut.insert((b, a));
        }
    }

    fn kill(&mut self, index: u16) {
        self.nodes.remove(&index);
    }

    fn start(&mut self, index: u16) {
        let life = self.lives.entry(index).or_default();
        *life += 1;
        self.nodes.insert(index, membership(index, *life));
    }

    fn run(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.now = self.now + ROUND_US;
            for index in self.nodes.keys().copied().collect::<Vec<_>>() {
                let sent = self.sent.insert(index, 0).unwrap_or(0);
                self.most_round_bytes = self.most_round_bytes.max(sent);
                let commands = self.feed(index, MembershipEvent::Tick);
                self.carry(index, commands);
            }
        }
    }

    fn feed(&mut self, index: u16, event: MembershipEvent) -> Vec<MembershipCommand> {
        let now = self.now;
        let node = self.nodes.get_mut(&index);
        node.map_or(Vec::new(), |node| node.handle(event, now))
    }

    fn carry(&mut self, from: u16, commands: Vec<MembershipCommand>) {
        for command in commands {
            let event = match command {
                MembershipCommand::Probe {
                    address,
                    meant_for,
                    news,
                    sync_after,
                } => {
                    *self.sent.entry(from).or_default() += size(&news);
                    let to = address.port() - 20_000;
                    match self.deliver(from, to, &news, sync_after) {
                        Some((answered_by, news)) => {
                            *self.sent.entry(to).or_default() += size(&news);
                            MembershipEvent::ProbeAnswered {
                                address,
                                meant_for,
                                answered_by,
                                news,
                            }
                        }
                        None => MembershipEvent::ProbeFailed { meant_for },
                    }
                }
                MembershipCommand::IndirectProbe {
                    helper,
                    target,
                    target_address,
                    ..
                } => {
                    let (via, to) = (helper.port() - 20_000, target_address.port() - 20_000);
                    let is_asked = self.can_reach(from, via);
                    let is_there = self.nodes.get(&to).map(|n| n.me().incarnation) == Some(target);
                    MembershipEvent::IndirectAnswered {
                        target,
                        is_reached: is_asked && is_there && self.can_reach(via, to),
                        news: Vec::new(),
                    }
                }
                MembershipCommand::Changed { .. } => continue,
            };
            let more = self.feed(from, event);
            self.carry(from, more);
        }
    }

    fn can_reach(&self, from: u16, to: u16) -> bool {
        self.nodes.contains_key(&to) && !self.cut.contains(&(from, to))
    }

    fn deliver(
        &mut self,
        from: u16,
        to: u16,
        news: &[News],
        sync_after: Option<Incarnation>,
    ) -> Option<(Incarnation, Vec<News>)> {
        if !self.can_reach(from, to) {
            return None;
        }
        let sender = self.nodes[&from].me().incarnation;
        let now = self.now;
        let node = self.nodes.get_mut(&to)?;
        let (news, _) = node.answer_probe(sender, news, sync_after, now);
        Some((node.me().incarnation, news))
    }

    /// Returns whether every daemon lists exactly the running ones as alive.
    fn has_converged(&self) -> bool {
        let running: BTreeSet<Incarnation> =
            self.nodes.values().map(|n| n.me().incarnation).collect();
        self.nodes.values().all(|node| {
            let alive: BTreeSet<Incarnation> = node.workers().map(|m| m.incarnation).collect();
            alive == running
        })
    }

    fn run_until_converged(&mut self, max_rounds: usize) -> bool {
        for _ in 0..max_rounds {
            if self.has_converged() {
                return true;
            }
            self.run(1);
        }
        self.has_converged()
    }
}

fn size(news: &[News]) -> usize {
    news.iter().map(News::size_bytes).sum()
}

#[test]
fn daemons_that_know_one_seed_find_each_other() {
    for count in [1, 2, 9, 60] {
        let mut fleet = Fleet::new(count);
        assert!(fleet.run_until_converged(60), "{count} daemons");
    }
}

/// Symptom: callers are sent to a daemon that has died.
/// Sequence: a daemon is killed without a word; the others go on probing.
/// Cause: nobody tells of a crash; only unanswered probes show it.
#[test]
fn a_killed_daemon_leaves_every_list() {
    let mut fleet = Fleet::new(9);
    assert!(fleet.run_until_converged(60));
    fleet.kill(4);
    assert!(fleet.run_until_converged(30));
    fleet.run(30);
    let dead = incarnation(4, 0);
    for node in fleet.nodes.values() {
        assert_eq!(node.by_incarnation(dead).unwrap().state, MemberState::Dead);
    }
}

/// Symptom: a ticket of a dead daemon is asked for at its successor.
/// Sequence: a daemon dies and another one starts at its address before anybody noticed.
/// Cause: the address answers probes, but as another incarnation.
#[test]
fn a_successor_at_the_same_address_replaces_the_dead_incarnation() {
    let mut fleet = Fleet::new(6);
    assert!(fleet.run_until_converged(60));
    fleet.kill(3);
    fleet.start(3);
    assert!(fleet.run_until_converged(40));
    let daemon = member(3, 0).daemon;
    let known = fleet.nodes[&5].by_daemon(&daemon).unwrap();
    assert_eq!(known.incarnation, incarnation(3, 1));
}

/// Symptom: after a partition heals, each half goes on without the other.
/// Sequence: two halves lose each other until each believes the other dead; the cut ends.
/// Cause: nobody probes the dead, and the dead can't refute what they don't hear.
#[test]
fn halves_find_each_other_after_a_partition() {
    let mut fleet = Fleet::new(8);
    assert!(fleet.run_until_converged(60));
    fleet.cut(&[0, 1, 2, 3], &[4, 5, 6, 7]);
    fleet.run(40);
    assert_eq!(fleet.nodes[&0].workers().count(), 4);
    assert_eq!(fleet.nodes[&7].workers().count(), 4);
    fleet.cut.clear();
    assert!(fleet.run_until_converged(60));
}

/// Symptom: a healthy daemon is thrown out because one other can't reach it.
/// Sequence: one link is cut; the prober asks others, who reach the daemon.
/// Cause: a failed probe may be the prober's own link.
#[test]
fn one_broken_link_raises_no_suspicion() {
    let mut fleet = Fleet::new(6);
    assert!(fleet.run_until_converged(60));
    fleet.cut(&[1], &[2]);
    for _ in 0..40 {
        fleet.run(1);
        assert!(fleet.has_converged());
    }
}

#[test]
fn generated_kills_starts_and_cuts_end_in_agreement() {
    let config = seeded_config(24, SEED);
    let step = (0_u8..4, 1_u16..8, 1_u16..8, 0_usize..6);
    let steps = prop::collection::vec(step, 1..20);
    TestRunner::new(config)
        .run(&steps, |steps| {
            let mut fleet = Fleet::new(8);
            for (kind, a, b, rounds) in steps {
                match kind {
                    0 => fleet.kill(a),
                    1 => fleet.start(a),
                    2 => fleet.cut(&[a], &[b]),
                    _ => fleet.cut.clear(),
                }
                fleet.run(rounds);
            }
            fleet.cut.clear();
            prop_assert!(fleet.run_until_converged(120));
            Ok(())
        })
        .unwrap();
}

/// Symptom: control traffic grows with the fleet until it crowds out callers.
/// Sequence: a large fleet starts at once, and then a zone of it dies at once.
/// Cause: there is news of every member at the same time.
#[test]
fn bytes_of_a_round_stay_bounded() {
    let mut fleet = Fleet::new(120);
    assert!(fleet.run_until_converged(150));
    for index in (0..120).filter(|index| index % 3 == 1) {
        fleet.kill(index);
    }
    assert!(fleet.run_until_converged(150));
    assert!(fleet.most_round_bytes <= HARD_ROUND_BYTES);
}

struct EntryCase {
    name: &'static str,
    event: fn() -> MembershipEvent,
    is_listed: bool,
}

const ENTRY_CASES: &[EntryCase] = &[
    EntryCase {
        name: "nothing happens",
        event: || MembershipEvent::Tick,
        is_listed: true,
    },
    EntryCase {
        name: "its VM is leaving",
        event: || {
            MembershipEvent::VmList(vec![VmNotice {
                address: member(2, 0).addresses.peer.ip(),
                is_leaving: true,
            }])
        },
        is_listed: false,
    },
    EntryCase {
        name: "it drains",
        event: || told(MemberState::Draining),
        is_listed: false,
    },
    EntryCase {
        name: "it is suspect",
        event: || told(MemberState::Suspect),
        is_listed: false,
    },
    EntryCase {
        name: "it has left",
        event: || told(MemberState::Left),
        is_listed: false,
    },
];

fn told(state: MemberState) -> MembershipEvent {
    let mut subject = member(2, 0);
    subject.state = state;
    subject.news_number += 1;
    MembershipEvent::ProbeAnswered {
        address: member(1, 0).addresses.peer,
        meant_for: None,
        answered_by: member(1, 0).incarnation,
        news: vec![News::of(&subject)],
    }
}

#[test]
fn entries_leave_out_whoever_goes() {
    let workspace = "kandy-1".parse().unwrap();
    for case in ENTRY_CASES {
        let mut members = membership_of(4);
        members.handle((case.event)(), TimeUs::ZERO);
        let entries = members.entries(None, &workspace, 1);
        let is_listed = entries.iter().any(|e| e.incarnation == incarnation(2, 0));
        assert_eq!(is_listed, case.is_listed, "{}", case.name);
    }
}

/// Symptom: all callers come to one daemon at the same moment.
/// Sequence: many callers ask for entries at once and use the first.
/// Cause: an order that is the same for everybody.
#[test]
fn entries_are_spread_by_zone_and_load() {
    let mut members = membership_of(6);
    let mut busy = member(3, 0);
    busy.load_permille = 900;
    members.answer_probe(busy.incarnation, &[News::of(&busy)], None, TimeUs::ZERO);
    let zone = ZONES[0].parse().unwrap();
    let workspace = "kandy-1".parse().unwrap();
    let mut firsts: BTreeMap<Incarnation, u32> = BTreeMap::new();
    for seed in 0..4_000 {
        let entries = members.entries(Some(&zone), &workspace, seed);
        assert_eq!(entries.len(), 6);
        *firsts.entry(entries[0].incarnation).or_default() += 1;
    }
    let count = |index| firsts.get(&incarnation(index, 0)).copied().unwrap_or(0);
    // Daemons 0 and 3 are in the caller's zone, 3 is busy, 1 is elsewhere and idle.
    assert!(count(0) > 2 * count(1), "{firsts:?}");
    assert!(count(1) > count(3), "{firsts:?}");
    assert!(firsts.len() == 6, "{firsts:?}");
}

#[test]
fn a_large_fleet_gives_each_workspace_its_own_few() {
    let members = membership_of(100);
    let set = |workspace: &str, seed| -> BTreeSet<Incarnation> {
        let workspace = workspace.parse().unwrap();
        let entries = members.entries(None, &workspace, seed);
        entries.into_iter().map(|e| e.incarnation).collect()
    };
    assert_eq!(set("kandy-1", 1).len(), 12);
    assert_eq!(set("kandy-1", 1), set("kandy-1", 2));
    assert_ne!(set("kandy-1", 1), set("galle-2", 1));
}

#[test]
fn own_changes_reach_the_peers() {
    let mut members = membership_of(3);
    members.handle(
        MembershipEvent::ConfigApplied(ConfigVersion::new(5)),
        TimeUs::ZERO,
    );
    let later = TimeUs::new(60_000_000);
    members.handle(MembershipEvent::Load(400), later);
    let before = members.me().news_number;
    members.handle(MembershipEvent::Drain, later);
    let (news, _) = members.answer_probe(incarnation(1, 0), &[], None, later);
    let own = &news[0];
    assert_eq!(own.incarnation, incarnation(0, 0));
    assert_eq!(own.config_version, ConfigVersion::new(5));
    assert_eq!(own.load_permille, 400);
    assert_eq!(own.state, MemberState::Draining);
    assert_eq!(own.news_number, before + 1);
}

#[test]
fn the_dump_shows_a_member() {
    let text = serde_json::to_string(&member(1, 0)).unwrap();
    expect_test::expect![[r#"{"daemon":"entry-1","incarnation":2,"news_number":1,"state":"alive","addresses":{"caller":"127.0.0.1:10001","peer":"127.0.0.1:20001","operator":"127.0.0.1:30001"},"availability_zone":"colombo-b","config_version":0,"load_permille":0,"changed_at_us":0,"is_vm_leaving":false}"#]].assert_eq(&text);
}
