//! A configuration in force never reverts, whatever dies, is lost or comes late.

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use wisteriahitch_config::{Section, SectionHash, SectionName};
use wisteriahitch_core::fleet::{
    ConfigCommand, ConfigEvent, ConfigPhase, ConfigReplica, ConfigSettings, HeadChange, HeadObject,
    Membership, head_watchers,
};
use wisteriahitch_types::{Code, ConfigVersion, DurationUs, Incarnation, TimeUs};

use crate::fleet::{SEED, full_membership, incarnation, membership_of};
use crate::generated::seeded_config;

const DAEMONS: usize = 5;
const STEP_US: DurationUs = DurationUs::from_ms(250);

/// A message under way, or an answer that is still to come.
#[derive(Clone)]
enum Flight {
    Event(usize, u64, ConfigEvent),
    Push(usize, u64, usize, HeadChange, Vec<Section>),
    Pull(usize, u64, usize, ConfigVersion, Vec<SectionHash>),
    Read(usize, u64, Option<SectionHash>),
}

impl Flight {
    /// Returns the daemons that have to run for it to land.
    fn waits_for(&self) -> impl Iterator<Item = usize> + use<> {
        let (a, b) = match self {
            Flight::Event(index, ..) | Flight::Read(index, ..) => (*index, *index),
            Flight::Pull(index, _, to, ..) | Flight::Push(index, _, to, ..) => (*index, *to),
        };
        [a, b].into_iter()
    }
}

struct Node {
    replica: ConfigReplica,
    members: Membership,
    is_up: bool,
    /// Whether the process is paused: whatever is sent to it waits.
    is_frozen: bool,
    /// Highest version that was in force in any life, if peers held it then.
    highest: Option<ConfigVersion>,
}

/// Five daemons, one store and a network that loses, repeats and reorders.
struct Site {
    nodes: Vec<Node>,
    lives: Vec<u64>,
    flights: Vec<Flight>,
    head: HeadObject,
    objects: BTreeMap<SectionHash, String>,
    is_store_up: bool,
    now: TimeUs,
}

impl Site {
    fn new() -> Self {
        let lives = vec![0; DAEMONS];
        let nodes = (0..DAEMONS).map(|index| Node {
            replica: ConfigReplica::new(ConfigSettings::default()),
            members: full_membership(index as u16, &lives),
            is_up: false,
            is_frozen: false,
            highest: None,
        });
        let mut site = Self {
            nodes: nodes.collect(),
            lives,
            flights: Vec::new(),
            head: HeadObject::default(),
            objects: BTreeMap::new(),
            is_store_up: true,
            now: TimeUs::ZERO,
        };
        site.accept();
        for index in 0..DAEMONS {
            site.start(index);
        }
        site
    }

    fn accept(&mut self) {
        if !self.is_store_up {
            return;
        }
        let number = self.head.version.next();
        let section = Section::new(format!("version = {number}"));
        self.objects
            .insert(section.hash(), section.text().to_owned());
        let name = format!("workspace/w-{}", number.get() % 3).parse().unwrap();
        let id = format!("s-{number}").parse().unwrap();
        self.head = self
            .head
            .with_changes([(name, Some(section.hash()))], id, 0);
        for index in 0..DAEMONS {
            if self.nodes[index].is_up && self.nodes[index].replica.is_watching() {
                let head = Some(self.head.clone());
                self.fly_event(index, ConfigEvent::StoreHead(head));
            }
        }
    }

    fn kill(&mut self, index: usize) {
        self.nodes[index].is_up = false;
        self.nodes[index].is_frozen = false;
    }

    fn is_running(&self, index: usize) -> bool {
        self.nodes[index].is_up && !self.nodes[index].is_frozen
    }

    fn start(&mut self, index: usize) {
        if self.nodes[index].is_up {
            return;
        }
        self.lives[index] += 1;
        for other in 0..DAEMONS {
            let versions = self.nodes[other].members.me().config_version;
            self.nodes[other].members = full_membership(other as u16, &self.lives);
            let applied = wisteriahitch_core::fleet::MembershipEvent::ConfigApplied(versions);
            self.nodes[other].members.handle(applied, self.now);
        }
        self.nodes[index].members = full_membership(index as u16, &self.lives);
        self.nodes[index].is_up = true;
        self.nodes[index].replica = ConfigReplica::new(ConfigSettings::default());
        self.feed(index, ConfigEvent::Restart);
    }

    fn fly_event(&mut self, index: usize, event: ConfigEvent) {
        self.flights
            .push(Flight::Event(index, self.lives[index], event));
    }

    fn feed(&mut self, index: usize, event: ConfigEvent) {
        let node = &mut self.nodes[index];
        let commands = node.replica.handle(event, self.now, &node.members);
        self.carry(index, commands);
    }

    fn index_of(&self, peer: Incarnation) -> Option<usize> {
        (0..DAEMONS).find(|index| incarnation(*index as u16, self.lives[*index]) == peer)
    }

    fn me(&self, index: usize) -> Incarnation {
        incarnation(index as u16, self.lives[index])
    }

    fn carry(&mut self, index: usize, commands: Vec<ConfigCommand>) {
        let life = self.lives[index];
        for command in commands {
            match command {
                ConfigCommand::ReadHead => self.flights.push(Flight::Read(index, life, None)),
                ConfigCommand::ReadSection(hash) => {
                    self.flights.push(Flight::Read(index, life, Some(hash)));
                }
                ConfigCommand::PullHead { peer, after } => match self.index_of(peer) {
                    Some(to) => {
                        let pull = Flight::Pull(index, life, to, after, Vec::new());
                        self.flights.push(pull);
                    }
                    None => self.fly_event(index, ConfigEvent::PeerFailed(peer)),
                },
                ConfigCommand::PullSections { peer, wanted } => match self.index_of(peer) {
                    Some(to) => {
                        let after = self.head.version;
                        self.flights
                            .push(Flight::Pull(index, life, to, after, wanted));
                    }
                    None => self.fly_event(index, ConfigEvent::PeerFailed(peer)),
                },
                ConfigCommand::Push {
                    peer,
                    change,
                    sections,
                } => {
                    if let Some(to) = self.index_of(peer) {
                        let push = Flight::Push(index, life, to, change, sections);
                        self.flights.push(push);
                    }
                }
                ConfigCommand::Apply { head, sections } => {
                    assert_eq!(sections.len(), head.sections.values().count());
                    self.applied(index, head.version);
                }
                ConfigCommand::WatchHead(_) | ConfigCommand::Report { .. } => {}
            }
        }
    }

    fn applied(&mut self, index: usize, version: ConfigVersion) {
        assert!(version <= self.head.version);
        let node = &mut self.nodes[index];
        let applied = wisteriahitch_core::fleet::MembershipEvent::ConfigApplied(version);
        node.members.handle(applied, self.now);
        let highest = node.highest;
        let is_confirmed = node.replica.holders(&node.members).daemons > 0;
        let dump = serde_json::to_value(node.replica.table()).unwrap();
        let started_us = dump["replication"]["started_at_us"].as_u64().unwrap();
        let waited_us = self.now.since(TimeUs::new(started_us));
        let has_waited = waited_us >= ConfigSettings::default().replicate_wait_us;
        assert!(
            is_confirmed || has_waited,
            "in force before any peer held it"
        );
        if highest.is_some_and(|highest| version < highest) {
            // The written bound: it may only happen while the store is away and every daemon
            // that holds the higher version has died with it or can't be reached.
            let holder = (0..DAEMONS).find(|other| {
                let other_node = &self.nodes[*other];
                *other != index
                    && self.is_running(*other)
                    && other_node.replica.held().map(|head| head.version) >= highest
            });
            assert!(!self.is_store_up, "reverted with the store up");
            assert_eq!(holder, None, "reverted although a peer holds it");
        }
        let node = &mut self.nodes[index];
        if is_confirmed {
            node.highest = node.highest.max(Some(version));
        }
    }

    /// Carries one flight; an answer to one who has died since goes nowhere.
    fn land(&mut self, flight: Flight) {
        let is_here = |site: &Self, index: usize, life: u64| {
            site.nodes[index].is_up && site.lives[index] == life
        };
        if flight.waits_for().any(|index| self.nodes[index].is_frozen) {
            self.flights.push(flight);
            return;
        }
        match flight {
            Flight::Event(index, life, event) => {
                if is_here(self, index, life) {
                    self.feed(index, event);
                }
            }
            Flight::Read(index, life, hash) => {
                if is_here(self, index, life) {
                    let event = self.read(hash);
                    self.feed(index, event);
                }
            }
            Flight::Pull(index, life, to, after, wanted) => {
                if !is_here(self, index, life) {
                    return;
                }
                let from = self.me(to);
                let event = if !self.nodes[to].is_up {
                    ConfigEvent::PeerFailed(from)
                } else if wanted.is_empty() {
                    let head = self.nodes[to].replica.answer_pull(after, &[]).head;
                    ConfigEvent::PeerHead { from, head }
                } else {
                    let sections = self.nodes[to].replica.answer_pull(after, &wanted).sections;
                    ConfigEvent::PeerSections { from, sections }
                };
                self.fly_event(index, event);
            }
            Flight::Push(index, life, to, change, sections) => {
                if !self.nodes[to].is_up {
                    return;
                }
                let from = incarnation(index as u16, life);
                let (now, node) = (self.now, &mut self.nodes[to]);
                let (answer, commands) =
                    node.replica
                        .answer_push(from, &change, sections, now, &node.members);
                self.carry(to, commands);
                if is_here(self, index, life) {
                    let to = self.me(to);
                    self.fly_event(index, ConfigEvent::PushAnswered { to, answer });
                }
            }
        }
    }

    fn read(&self, hash: Option<SectionHash>) -> ConfigEvent {
        match hash {
            None if !self.is_store_up => ConfigEvent::StoreFailed,
            None => ConfigEvent::StoreHead(Some(self.head.clone())),
            Some(hash) if !self.is_store_up => ConfigEvent::SectionFailed(hash),
            Some(hash) => {
                let text = self.objects[&hash].clone();
                ConfigEvent::SectionRead { hash, text }
            }
        }
    }

    /// Lets time pass so often, and everything land that is under way.
    fn pass_rounds(&mut self, count: usize) {
        for _ in 0..count {
            self.pass();
            self.land_all();
        }
    }

    /// Lets time pass; the news of probes goes along.
    fn pass(&mut self) {
        self.now = self.now + STEP_US;
        for index in 0..DAEMONS {
            if !self.is_running(index) {
                continue;
            }
            for other in 0..DAEMONS {
                if other == index || !self.is_running(other) {
                    continue;
                }
                let peer = self.nodes[other].members.me().clone();
                let news = wisteriahitch_core::fleet::News::of(&peer);
                let now = self.now;
                let members = &mut self.nodes[index].members;
                members.answer_probe(peer.incarnation, &[news], None, now);
                let event = ConfigEvent::PeerVersion {
                    from: peer.incarnation,
                    version: peer.config_version,
                };
                self.feed(index, event);
            }
            self.feed(index, ConfigEvent::Tick);
        }
    }

    fn settle(&mut self) {
        self.is_store_up = true;
        for index in 0..DAEMONS {
            self.nodes[index].is_frozen = false;
            self.start(index);
        }
        for _ in 0..200 {
            self.pass();
            self.land_all();
        }
    }

    fn land_all(&mut self) {
        for flight in std::mem::take(&mut self.flights) {
            self.land(flight);
        }
    }

    fn assert_all_have(&self, version: ConfigVersion) {
        for node in &self.nodes {
            assert_eq!(node.replica.in_force(), Some(version));
            assert_eq!(node.replica.phase(), ConfigPhase::Applied);
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    Accept,
    Outage(bool),
    Kill(usize),
    Start(usize),
    Freeze(usize, bool),
    Pass,
    Land(usize),
    Lose(usize),
    Repeat(usize),
}

struct Reference;

impl ReferenceStateMachine for Reference {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        prop_oneof![
            2 => Just(Step::Accept),
            1 => any::<bool>().prop_map(Step::Outage),
            1 => (0..DAEMONS).prop_map(Step::Kill),
            2 => (0..DAEMONS).prop_map(Step::Start),
            2 => (0..DAEMONS, any::<bool>()).prop_map(|(i, on)| Step::Freeze(i, on)),
            6 => Just(Step::Pass),
            16 => any::<usize>().prop_map(Step::Land),
            1 => any::<usize>().prop_map(Step::Lose),
            1 => any::<usize>().prop_map(Step::Repeat),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct Replicas;

impl StateMachineTest for Replicas {
    type SystemUnderTest = Site;
    type Reference = Reference;

    fn init_test((): &()) -> Site {
        Site::new()
    }

    fn apply(mut site: Site, (): &(), step: Step) -> Site {
        let count = site.flights.len();
        match step {
            Step::Accept => site.accept(),
            Step::Outage(is_away) => site.is_store_up = !is_away,
            Step::Kill(index) => site.kill(index),
            Step::Start(index) => site.start(index),
            Step::Freeze(index, on) => site.nodes[index].is_frozen = on && site.nodes[index].is_up,
            Step::Pass => site.pass(),
            Step::Land(place) if count > 0 => {
                let flight = site.flights.swap_remove(place % count);
                site.land(flight);
            }
            Step::Lose(place) if count > 0 => {
                site.flights.swap_remove(place % count);
            }
            Step::Repeat(place) if count > 0 => {
                let flight = site.flights[place % count].clone();
                site.land(flight);
            }
            _ => {}
        }
        site
    }

    fn teardown(mut site: Site, (): ()) {
        site.settle();
        site.assert_all_have(site.head.version);
    }
}

prop_state_machine! {
    #![proptest_config(seeded_config(200, SEED))]

    /// Symptom: rules that were in force are replaced by older ones.
    /// Sequence: versions are accepted while daemons die and start, the store goes away, and
    /// messages are lost, repeated and reordered.
    /// Cause: a daemon takes the version of whoever it hears first.
    #[test]
    fn a_version_in_force_never_reverts(sequential 1..120 => Replicas);
}

/// Symptom: the accepted version 2 is replaced by version 1.
/// Sequence: one daemon is paused while the others put 2 in force; the store goes away; another
/// daemon dies and starts again, and the paused one goes on and answers it first.
/// Cause: the first answer is taken for the highest.
#[test]
fn a_start_in_an_outage_takes_the_highest_version_of_the_peers() {
    let mut site = Site::new();
    site.settle();
    site.nodes[3].is_frozen = true;
    site.accept();
    site.pass_rounds(8);
    assert_eq!(
        site.nodes[0].replica.in_force(),
        Some(ConfigVersion::new(2))
    );
    site.is_store_up = false;
    site.flights.clear();
    site.kill(0);
    site.nodes[3].is_frozen = false;
    site.start(0);
    // Only what goes between the two lands, until nothing more goes.
    let is_between =
        |flight: &Flight| matches!(flight, Flight::Pull(0, _, 3, ..) | Flight::Event(0, ..));
    while let Some(place) = site.flights.iter().position(is_between) {
        let flight = site.flights.remove(place);
        site.land(flight);
        site.feed(0, ConfigEvent::Tick);
    }
    assert_eq!(site.nodes[0].replica.in_force(), None);
    site.pass_rounds(40);
    site.assert_all_have(ConfigVersion::new(2));
}

/// Symptom: a daemon without any configuration is listed and refuses every caller.
/// Sequence: all daemons start while the store is away.
/// Cause: neither the store nor a peer holds anything.
#[test]
fn without_store_and_peers_nothing_is_in_force() {
    let mut site = Site::new();
    site.is_store_up = false;
    for index in 0..DAEMONS {
        site.kill(index);
        site.start(index);
    }
    site.pass_rounds(40);
    for node in &site.nodes {
        assert_eq!(node.replica.in_force(), None);
        assert_eq!(node.replica.phase(), ConfigPhase::Empty);
    }
    site.settle();
    site.assert_all_have(ConfigVersion::new(1));
}

/// Symptom: an accepted version is never put in force at a lone daemon.
/// Sequence: peers are known but none answers a push.
/// Cause: waiting for holders without a bound.
#[test]
fn a_version_is_put_in_force_although_no_peer_answers() {
    let mut replica = ConfigReplica::new(ConfigSettings::default());
    let members = membership_of(3);
    let section = Section::new("a");
    let changes = [(SectionName::Site, Some(section.hash()))];
    let head = HeadObject::default().with_changes(changes, "s-1".parse().unwrap(), 0);
    replica.handle(ConfigEvent::Restart, TimeUs::ZERO, &members);
    replica.handle(ConfigEvent::StoreHead(Some(head)), TimeUs::ZERO, &members);
    let read = ConfigEvent::SectionRead {
        hash: section.hash(),
        text: "a".to_owned(),
    };
    let commands = replica.handle(read, TimeUs::ZERO, &members);
    assert!(matches!(commands[0], ConfigCommand::Push { .. }));
    assert_eq!(replica.phase(), ConfigPhase::Replicating);
    assert_eq!(replica.in_force(), None);
    replica.handle(ConfigEvent::Tick, TimeUs::new(1_000_000), &members);
    assert_eq!(replica.in_force(), Some(ConfigVersion::new(1)));
    assert_eq!(replica.holders(&members).daemons, 0);
}

/// Symptom: one damaged object takes a whole site's rules away.
/// Sequence: a version is in force; the next one's section, head or content is damaged.
/// Cause: what the platform gives isn't what was accepted.
#[test]
fn a_corrupt_object_leaves_the_last_good_version_in_force() {
    let mut site = Site::new();
    site.settle();
    let in_force = site.nodes[0].replica.in_force();
    let rejects: [fn(&mut Site) -> ConfigEvent; 2] = [
        |_| ConfigEvent::StoreHeadCorrupt,
        |_| ConfigEvent::SectionRead {
            hash: SectionHash::of("good"),
            text: "bad".to_owned(),
        },
    ];
    for reject in rejects {
        let event = reject(&mut site);
        let (now, node) = (site.now, &mut site.nodes[0]);
        let commands = node.replica.handle(event, now, &node.members);
        let is_report = |command: &ConfigCommand| matches!(command, ConfigCommand::Report { code, .. } if *code == Code::ConfigCorrupt);
        assert!(commands.iter().any(is_report));
        assert_eq!(node.replica.in_force(), in_force);
    }
    site.accept();
    site.pass_rounds(8);
    assert_eq!(
        site.nodes[0].replica.in_force(),
        Some(ConfigVersion::new(2))
    );
    site.feed(0, ConfigEvent::Rejected(ConfigVersion::new(2)));
    assert_eq!(site.nodes[0].replica.in_force(), in_force);
}

#[test]
fn a_change_leads_from_one_head_to_the_next() {
    let hash = |text: &str| Some(SectionHash::of(text));
    let other = SectionName::Workspace("kandy-01".parse().unwrap());
    let base = HeadObject::default().with_changes(
        [(SectionName::Site, hash("a")), (other.clone(), hash("b"))],
        "s-1".parse().unwrap(),
        1,
    );
    let next = base.with_changes(
        [(SectionName::Site, hash("c")), (other, None)],
        "s-2".parse().unwrap(),
        2,
    );
    let change = HeadChange::between(&base, &next);
    assert_eq!(change.try_apply(Some(&base)), Some(next.clone()));
    assert_eq!(change.try_apply(None), None);
    assert_eq!(change.try_apply(Some(&next)), None);
    let whole = HeadChange::between(&HeadObject::default(), &next);
    assert_eq!(whole.try_apply(Some(&base)), Some(next.clone()));
    let mut forged = change;
    forged.sections.clear();
    assert_eq!(forged.try_apply(Some(&base)), None);
}

#[test]
fn a_few_daemons_of_each_zone_watch() {
    let members = membership_of(30);
    let zone = &members.me().availability_zone;
    let watchers = head_watchers(&members, zone, 2);
    assert_eq!(watchers.len(), 2);
    assert_eq!(watchers, head_watchers(&members, zone, 2));
    for watcher in watchers {
        let member = members.by_incarnation(watcher).unwrap();
        assert_eq!(&member.availability_zone, zone);
    }
}

/// Symptom: a submission is accepted, but a workspace in it never comes in force.
/// Sequence: an operator submits a workspace whose id has the greatest length.
/// Cause: the head's own type for section names counted the prefix into the bound, so the section
/// had no name there and was left out.
#[test]
fn a_head_names_a_workspace_of_the_longest_id() {
    let id = "w".repeat(128);
    let name: SectionName = format!("workspace/{id}").parse().unwrap();
    let changes = [(name.clone(), Some(SectionHash::of("a")))];
    let head = HeadObject::default().with_changes(changes, "s-1".parse().unwrap(), 0);
    let read: HeadObject = serde_json::from_value(serde_json::to_value(&head).unwrap()).unwrap();
    assert!(read.sections.contains_key(&name));
}
