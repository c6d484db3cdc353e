//! Tests of membership: it converges, limits its traffic and lists the right addresses.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use proptest::test_runner::TestRunner;
use wisteriahitch_core::fleet::{
    ListedVm, MemberState, Membership, MembershipCommand, MembershipEvent, MembershipUpdate,
};
use wisteriahitch_types::{ConfigVersion, DurationUs, Incarnation, TimeUs};

use crate::fleet::{SEED, ZONES, incarnation, member, membership, membership_of};
use crate::generated::seeded_config;

/// Twice `max_round_update_bytes`: the limit that is never exceeded.
const HARD_ROUND_BYTES: usize = 4_096;
const ROUND_US: DurationUs = DurationUs::from_ms(1_000);

/// Daemons connected by a simulated network that delivers probes immediately.
struct Fleet {
    nodes: BTreeMap<u16, Membership>,
    restarts: BTreeMap<u16, u64>,
    /// Pairs of daemons that cannot reach each other.
    partitioned_pairs: BTreeSet<(u16, u16)>,
    now: TimeUs,
    /// Bytes of updates that each daemon has sent since its last round.
    sent_bytes: BTreeMap<u16, usize>,
    max_round_bytes_seen: usize,
}

impl Fleet {
    fn new(count: u16) -> Self {
        Self {
            nodes: (0..count).map(|i| (i, membership(i, 0))).collect(),
            restarts: (0..count).map(|i| (i, 0)).collect(),
            partitioned_pairs: BTreeSet::new(),
            now: TimeUs::ZERO,
            sent_bytes: BTreeMap::new(),
            max_round_bytes_seen: 0,
        }
    }

    fn partition(&mut self, left: &[u16], right: &[u16]) {
        for (a, b) in left
            .iter()
            .flat_map(|a| right.iter().map(move |b| (*a, *b)))
        {
            self.partitioned_pairs.insert((a, b));
            self.partitioned_pairs.insert((b, a));
        }
    }

    fn kill(&mut self, index: u16) {
        self.nodes.remove(&index);
    }

    fn start(&mut self, index: u16) {
        let restart = self.restarts.entry(index).or_default();
        *restart += 1;
        self.nodes.insert(index, membership(index, *restart));
    }

    fn run(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.now = self.now + ROUND_US;
            for index in self.nodes.keys().copied().collect::<Vec<_>>() {
                let sent_bytes = self.sent_bytes.insert(index, 0).unwrap_or(0);
                self.max_round_bytes_seen = self.max_round_bytes_seen.max(sent_bytes);
                let commands = self.handle_event(index, MembershipEvent::Tick);
                self.execute(index, commands);
            }
        }
    }

    fn handle_event(&mut self, index: u16, event: MembershipEvent) -> Vec<MembershipCommand> {
        let now = self.now;
        let node = self.nodes.get_mut(&index);
        node.map_or(Vec::new(), |node| node.handle(event, now))
    }

    fn execute(&mut self, from: u16, commands: Vec<MembershipCommand>) {
        for command in commands {
            let event = match command {
                MembershipCommand::Probe {
                    address,
                    meant_for,
                    updates,
                    sync_after,
                } => {
                    *self.sent_bytes.entry(from).or_default() += size(&updates);
                    let to = address.port() - 20_000;
                    match self.deliver(from, to, &updates, sync_after) {
                        Some((answered_by, updates)) => {
                            *self.sent_bytes.entry(to).or_default() += size(&updates);
                            MembershipEvent::ProbeAnswered {
                                address,
                                meant_for,
                                answered_by,
                                updates,
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
                        updates: Vec::new(),
                    }
                }
                MembershipCommand::Changed { .. } => continue,
            };
            let more = self.handle_event(from, event);
            self.execute(from, more);
        }
    }

    fn can_reach(&self, from: u16, to: u16) -> bool {
        self.nodes.contains_key(&to) && !self.partitioned_pairs.contains(&(from, to))
    }

    fn deliver(
        &mut self,
        from: u16,
        to: u16,
        updates: &[MembershipUpdate],
        sync_after: Option<Incarnation>,
    ) -> Option<(Incarnation, Vec<MembershipUpdate>)> {
        if !self.can_reach(from, to) {
            return None;
        }
        let sender = self.nodes[&from].me().incarnation;
        let now = self.now;
        let node = self.nodes.get_mut(&to)?;
        let (updates, _) = node.answer_probe(sender, updates, sync_after, now);
        Some((node.me().incarnation, updates))
    }

    /// Returns whether every daemon lists exactly the running daemons as alive.
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

fn size(updates: &[MembershipUpdate]) -> usize {
    updates.iter().map(MembershipUpdate::size_bytes).sum()
}

#[test]
fn daemons_that_know_one_seed_find_each_other() {
    for count in [1, 2, 9, 60] {
        let mut fleet = Fleet::new(count);
        assert!(fleet.run_until_converged(60), "{count} daemons");
    }
}

/// Failure: callers are sent to a crashed daemon. A crash is not announced; only unanswered probes
/// reveal it.
#[test]
fn a_crashed_daemon_is_removed_from_every_list() {
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

/// Failure: a ticket of a crashed daemon is looked up at its successor. A daemon crashes and
/// another one starts at its address before the crash is detected, so the address still answers
/// probes, but with another incarnation.
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

/// Failure: after a partition heals, the two halves stay separate. Each half believes the other
/// dead, dead members are not probed, and they cannot refute updates that they do not receive.
#[test]
fn halves_rejoin_after_a_partition() {
    let mut fleet = Fleet::new(8);
    assert!(fleet.run_until_converged(60));
    fleet.partition(&[0, 1, 2, 3], &[4, 5, 6, 7]);
    fleet.run(40);
    assert_eq!(fleet.nodes[&0].workers().count(), 4);
    assert_eq!(fleet.nodes[&7].workers().count(), 4);
    fleet.partitioned_pairs.clear();
    assert!(fleet.run_until_converged(60));
}

/// Failure: a healthy daemon is removed because one peer cannot reach it. The failed probe is
/// caused by the prober's own link; other peers still reach the daemon.
#[test]
fn one_broken_link_raises_no_suspicion() {
    let mut fleet = Fleet::new(6);
    assert!(fleet.run_until_converged(60));
    fleet.partition(&[1], &[2]);
    for _ in 0..40 {
        fleet.run(1);
        assert!(fleet.has_converged());
    }
}

#[test]
fn membership_converges_after_random_crashes_restarts_and_partitions() {
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
                    2 => fleet.partition(&[a], &[b]),
                    _ => fleet.partitioned_pairs.clear(),
                }
                fleet.run(rounds);
            }
            fleet.partitioned_pairs.clear();
            prop_assert!(fleet.run_until_converged(120));
            Ok(())
        })
        .unwrap();
}

/// Failure: control traffic grows with the fleet until it displaces callers' traffic. A large fleet
/// starts at once and then a whole zone dies at once, so there are updates about all members at the
/// same time.
#[test]
fn bytes_of_a_round_stay_bounded() {
    let mut fleet = Fleet::new(120);
    assert!(fleet.run_until_converged(150));
    for index in (0..120).filter(|index| index % 3 == 1) {
        fleet.kill(index);
    }
    assert!(fleet.run_until_converged(150));
    assert!(fleet.max_round_bytes_seen <= HARD_ROUND_BYTES);
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
            MembershipEvent::VmList(vec![ListedVm {
                address: member(2, 0).addresses.peer.ip(),
                is_leaving: true,
            }])
        },
        is_listed: false,
    },
    EntryCase {
        name: "it is draining",
        event: || update_event(MemberState::Draining),
        is_listed: false,
    },
    EntryCase {
        name: "it is suspect",
        event: || update_event(MemberState::Suspect),
        is_listed: false,
    },
    EntryCase {
        name: "it has left",
        event: || update_event(MemberState::Left),
        is_listed: false,
    },
];

fn update_event(state: MemberState) -> MembershipEvent {
    let mut subject = member(2, 0);
    subject.state = state;
    subject.update_number += 1;
    MembershipEvent::ProbeAnswered {
        address: member(1, 0).addresses.peer,
        meant_for: None,
        answered_by: member(1, 0).incarnation,
        updates: vec![MembershipUpdate::of(&subject)],
    }
}

#[test]
fn entries_omit_departing_members() {
    let workspace = "kandy-1".parse().unwrap();
    for case in ENTRY_CASES {
        let mut members = membership_of(4);
        members.handle((case.event)(), TimeUs::ZERO);
        let entries = members.entries(None, &workspace, 1);
        let is_listed = entries.iter().any(|e| e.incarnation == incarnation(2, 0));
        assert_eq!(is_listed, case.is_listed, "{}", case.name);
    }
}

/// Failure: all callers connect to the same daemon. Many callers request entries at the same time
/// and use the first one of a list whose order is the same for everyone.
#[test]
fn entries_are_spread_by_zone_and_load() {
    let mut members = membership_of(6);
    let mut loaded_peer = member(3, 0);
    loaded_peer.load_permille = 900;
    members.answer_probe(
        loaded_peer.incarnation,
        &[MembershipUpdate::of(&loaded_peer)],
        None,
        TimeUs::ZERO,
    );
    let zone = ZONES[0].parse().unwrap();
    let workspace = "kandy-1".parse().unwrap();
    let mut first_entry_counts: BTreeMap<Incarnation, u32> = BTreeMap::new();
    for seed in 0..4_000 {
        let entries = members.entries(Some(&zone), &workspace, seed);
        assert_eq!(entries.len(), 6);
        *first_entry_counts
            .entry(entries[0].incarnation)
            .or_default() += 1;
    }
    let count = |index| {
        first_entry_counts
            .get(&incarnation(index, 0))
            .copied()
            .unwrap_or(0)
    };
    // Daemons 0 and 3 are in the caller's zone, 3 is busy; 1 is in another zone and idle.
    assert!(count(0) > 2 * count(1), "{first_entry_counts:?}");
    assert!(count(1) > count(3), "{first_entry_counts:?}");
    assert!(first_entry_counts.len() == 6, "{first_entry_counts:?}");
}

#[test]
fn a_large_fleet_restricts_each_workspace_to_a_fixed_subset() {
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
    let before = members.me().update_number;
    members.handle(MembershipEvent::Drain, later);
    let (updates, _) = members.answer_probe(incarnation(1, 0), &[], None, later);
    let own = &updates[0];
    assert_eq!(own.incarnation, incarnation(0, 0));
    assert_eq!(own.config_version, ConfigVersion::new(5));
    assert_eq!(own.load_permille, 400);
    assert_eq!(own.state, MemberState::Draining);
    assert_eq!(own.update_number, before + 1);
}

#[test]
fn a_member_serializes_under_stable_names() {
    let text = serde_json::to_string(&member(1, 0)).unwrap();
    expect_test::expect![[r#"{"daemon":"entry-1","incarnation":2,"news_number":1,"state":"alive","addresses":{"caller":"127.0.0.1:10001","peer":"127.0.0.1:20001","operator":"127.0.0.1:30001"},"availability_zone":"colombo-b","config_version":0,"load_permille":0,"changed_at_us":0,"is_vm_leaving":false}"#]].assert_eq(&text);
}
