//! Tests of leases: orders of two daemons never overlap, whatever messages are lost or late and
//! whatever daemons are paused.

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use wisteriahitch_core::fleet::{
    LeaseCommand, LeaseEvent, LeaseGroup, LeaseHolder, LeaseObject, LeasePhase, LeaseSettings,
    LeaseTable, MemberState, Membership, MembershipEvent, MembershipUpdate, OrderGrant,
    WriteFailure,
};
use wisteriahitch_types::{Code, DurationUs, FenceNumber, TimeUs};

use crate::fleet::{SEED, full_membership, member};
use crate::generated::seeded_config;

const DAEMONS: usize = 3;

/// The lease's object in the platform.
#[derive(Default)]
struct Store {
    object: Option<(LeaseObject, u64)>,
    last_version: u64,
}

impl Store {
    fn write(&mut self, object: LeaseObject, expected: u64) -> Option<u64> {
        let version = self.object.as_ref().map_or(0, |(_, version)| *version);
        if version != expected {
            return None;
        }
        self.last_version += 1;
        self.object = Some((object, self.last_version));
        Some(self.last_version)
    }
}

#[derive(Clone)]
enum InFlight {
    Write(usize, LeaseObject, u64),
    Event(usize, LeaseEvent),
}

/// One order that was sent, with times of the site's clock.
#[derive(Clone, Copy, Debug)]
struct SentOrder {
    daemon: usize,
    from: u64,
    /// Latest time at which the endpoint may take it.
    until: u64,
    fence: FenceNumber,
    is_done: bool,
}

struct Node {
    leases: LeaseTable,
    members: Membership,
    /// How far this daemon's clock is ahead of the site's clock.
    clock_offset_us: u64,
    is_paused: bool,
}

struct Site {
    nodes: Vec<Node>,
    store: Store,
    in_flight: Vec<InFlight>,
    orders: Vec<SentOrder>,
    now_us: u64,
    group: LeaseGroup,
    settings: LeaseSettings,
}

/// A term shorter than the wait for the orders of the previous holder, so that it can end during
/// the wait.
const SHORT_TERM: LeaseSettings = LeaseSettings {
    term_us: DurationUs::from_ms(1_100),
    renew_before_us: DurationUs::from_ms(700),
    order_timeout_us: DurationUs::from_ms(3_400),
    margin_us: DurationUs::from_ms(250),
    read_interval_us: DurationUs::from_ms(300),
};

impl Site {
    /// Runs a new site until a daemon holds the lease; returns the site and the holder.
    fn with_holder() -> (Self, usize) {
        let mut site = Self::new();
        site.run(5_000);
        let holder = site.holder().unwrap();
        (site, holder)
    }

    fn new() -> Self {
        Self::with_settings(LeaseSettings::default())
    }

    fn with_settings(settings: LeaseSettings) -> Self {
        let group = LeaseGroup::Endpoints {
            service: "assistant".parse().unwrap(),
            shard: 0,
        };
        let restarts = vec![0; DAEMONS];
        let node = |index: usize| {
            let me = member(index as u16, 0);
            let holder = LeaseHolder {
                daemon: me.daemon,
                incarnation: me.incarnation,
            };
            let mut leases = LeaseTable::new(holder, settings);
            leases.set_groups([group.clone()]);
            Node {
                leases,
                members: full_membership(index as u16, &restarts),
                clock_offset_us: 1_000_000_000 * index as u64,
                is_paused: false,
            }
        };
        Self {
            nodes: (0..DAEMONS).map(node).collect(),
            store: Store::default(),
            in_flight: Vec::new(),
            orders: Vec::new(),
            now_us: 0,
            group,
            settings,
        }
    }

    fn clock(&self, index: usize) -> TimeUs {
        TimeUs::new(self.now_us + self.nodes[index].clock_offset_us)
    }

    fn handle_event(&mut self, index: usize, event: LeaseEvent) {
        let now = self.clock(index);
        let node = &mut self.nodes[index];
        for command in node.leases.handle(event, now, &node.members) {
            match command {
                LeaseCommand::Read(group) => {
                    let object = self.store.object.clone();
                    let read = LeaseEvent::Read { group, object };
                    self.in_flight.push(InFlight::Event(index, read));
                }
                LeaseCommand::Write {
                    object, expected, ..
                } => self
                    .in_flight
                    .push(InFlight::Write(index, object, expected)),
            }
        }
    }

    fn tick(&mut self, index: usize) {
        if !self.nodes[index].is_paused {
            self.handle_event(index, LeaseEvent::Tick);
        }
    }

    fn deliver(&mut self, message_index: usize, is_answer_lost: bool) {
        let message = self.in_flight.swap_remove(message_index);
        match message {
            InFlight::Event(index, event) if self.nodes[index].is_paused => {
                self.in_flight.push(InFlight::Event(index, event));
            }
            InFlight::Event(index, event) => self.handle_event(index, event),
            InFlight::Write(index, object, expected) => {
                let write_number = object.write_number;
                let written = self.store.write(object, expected);
                let group = self.group.clone();
                let event = match written {
                    _ if is_answer_lost => LeaseEvent::WriteFailed {
                        group,
                        write_number,
                        failure: WriteFailure::Lost,
                    },
                    Some(object_version) => LeaseEvent::Written {
                        group,
                        write_number,
                        object_version,
                    },
                    None => LeaseEvent::WriteFailed {
                        group,
                        write_number,
                        failure: WriteFailure::Conflict,
                    },
                };
                self.in_flight.push(InFlight::Event(index, event));
            }
        }
    }

    /// Reports a lost answer to the sender of a write while the write itself is still in flight.
    fn report_answer_lost(&mut self, message_index: usize) {
        if let InFlight::Write(index, object, _) = &self.in_flight[message_index] {
            let event = LeaseEvent::WriteFailed {
                group: self.group.clone(),
                write_number: object.write_number,
                failure: WriteFailure::Lost,
            };
            let index = *index;
            self.in_flight.push(InFlight::Event(index, event));
        }
    }

    fn order(&mut self, index: usize) -> Result<OrderGrant, Code> {
        let now = self.clock(index);
        let group = self.group.clone();
        let grant = self.nodes[index].leases.try_grant_order(&group, now)?;
        let order = SentOrder {
            daemon: index,
            from: self.now_us,
            until: self.now_us + grant.timeout_us.get(),
            fence: grant.fence,
            is_done: false,
        };
        for earlier in &self.orders {
            let is_other = earlier.daemon != index;
            let min_distance_us = self.settings.order_timeout_us.get();
            assert!(
                !is_other || earlier.until + min_distance_us <= order.from,
                "{earlier:?} is too close to {order:?}"
            );
            assert!(earlier.fence <= order.fence, "{earlier:?} {order:?}");
            assert!(!is_other || earlier.fence < order.fence);
        }
        self.orders.push(order);
        Ok(grant)
    }

    /// Ends the oldest open order of a daemon.
    fn finish_order(&mut self, index: usize) {
        let is_open = |order: &&mut SentOrder| order.daemon == index && !order.is_done;
        if let Some(order) = self.orders.iter_mut().find(is_open) {
            order.is_done = true;
            order.until = order.until.min(self.now_us);
        }
        let done = LeaseEvent::OrderDone(self.group.clone());
        self.handle_event(index, done);
    }

    /// Sets whether a daemon has work for which it needs the lease.
    fn want(&mut self, index: usize, is_wanted: bool) {
        let groups = is_wanted.then(|| self.group.clone());
        self.nodes[index].leases.set_groups(groups);
    }

    fn suspect(&mut self, index: usize, subject: usize) {
        let mut suspected = member(subject as u16, 0);
        suspected.state = MemberState::Suspect;
        let event = MembershipEvent::IndirectAnswered {
            target: suspected.incarnation,
            is_reached: false,
            updates: vec![MembershipUpdate::of(&suspected)],
        };
        let now = self.clock(index);
        self.nodes[index].members.handle(event, now);
    }

    fn suspect_all_peers(&mut self, index: usize) {
        self.reset_membership(index);
        for subject in (0..DAEMONS).filter(|subject| *subject != index) {
            self.suspect(index, subject);
        }
    }

    fn reset_membership(&mut self, index: usize) {
        let restarts = vec![0; DAEMONS];
        self.nodes[index].members = full_membership(index as u16, &restarts);
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 100 {
            self.now_us += 100_000;
            for index in 0..DAEMONS {
                self.tick(index);
            }
            for message_index in (0..self.in_flight.len()).rev() {
                self.deliver(message_index, false);
            }
            for message_index in (0..self.in_flight.len()).rev() {
                self.deliver(message_index, false);
            }
        }
    }

    fn holder(&self) -> Option<usize> {
        (0..DAEMONS).find(|index| self.nodes[*index].leases.held_groups().next().is_some())
    }
}

#[derive(Clone, Debug)]
enum Step {
    Run(u64),
    Pass(u64),
    Tick(usize),
    Deliver(usize),
    LoseAnswer(usize),
    Delay(usize),
    Order(usize),
    Done(usize),
    Pause(usize, bool),
    Suspect(usize, usize),
    ResetMembership(usize),
    SuspectAllPeers(usize),
    Want(usize, bool),
}

struct Reference;

impl ReferenceStateMachine for Reference {
    type State = LeaseSettings;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<LeaseSettings> {
        prop_oneof![Just(LeaseSettings::default()), Just(SHORT_TERM)].boxed()
    }

    fn transitions(_: &LeaseSettings) -> BoxedStrategy<Step> {
        let daemon = || 0..DAEMONS;
        prop_oneof![
            4 => prop_oneof![Just(300), Just(2_000), Just(16_000)].prop_map(Step::Run),
            6 => prop_oneof![Just(200), Just(1_000), Just(4_000), Just(16_000)]
                .prop_map(Step::Pass),
            8 => daemon().prop_map(Step::Tick),
            12 => any::<usize>().prop_map(Step::Deliver),
            2 => any::<usize>().prop_map(Step::LoseAnswer),
            2 => any::<usize>().prop_map(Step::Delay),
            6 => daemon().prop_map(Step::Order),
            3 => daemon().prop_map(Step::Done),
            2 => (daemon(), any::<bool>()).prop_map(|(i, on)| Step::Pause(i, on)),
            1 => (daemon(), daemon()).prop_map(|(a, b)| Step::Suspect(a, b)),
            1 => daemon().prop_map(Step::ResetMembership),
            1 => daemon().prop_map(Step::SuspectAllPeers),
            3 => (daemon(), any::<bool>()).prop_map(|(i, on)| Step::Want(i, on)),
        ]
        .boxed()
    }

    fn apply(settings: LeaseSettings, _: &Step) -> LeaseSettings {
        settings
    }
}

struct Leases;

impl StateMachineTest for Leases {
    type SystemUnderTest = Site;
    type Reference = Reference;

    fn init_test(settings: &LeaseSettings) -> Site {
        // Each daemon suspects all others at first, so that all of them contend for the lease.
        let mut site = Site::with_settings(*settings);
        for index in 0..DAEMONS {
            site.suspect_all_peers(index);
        }
        site
    }

    fn apply(mut site: Site, _: &LeaseSettings, step: Step) -> Site {
        let count = site.in_flight.len();
        match step {
            Step::Run(ms) => site.run(ms),
            Step::Pass(ms) => site.now_us += ms * 1_000,
            Step::Tick(index) => site.tick(index),
            Step::Deliver(message_index) if count > 0 => site.deliver(message_index % count, false),
            Step::LoseAnswer(message_index) if count > 0 => {
                site.deliver(message_index % count, true)
            }
            Step::Delay(message_index) if count > 0 => {
                site.report_answer_lost(message_index % count)
            }
            // A paused daemon that resumes gives its order before any timer has fired.
            Step::Order(index) => {
                let _ = site.order(index);
            }
            Step::Done(index) => site.finish_order(index),
            Step::Pause(index, on) => site.nodes[index].is_paused = on,
            Step::Suspect(index, subject) if index != subject => site.suspect(index, subject),
            Step::ResetMembership(index) => site.reset_membership(index),
            Step::SuspectAllPeers(index) => site.suspect_all_peers(index),
            Step::Want(index, is_wanted) => site.want(index, is_wanted),
            _ => {}
        }
        site
    }

    fn teardown(mut site: Site, _: LeaseSettings) {
        for index in 0..DAEMONS {
            site.nodes[index].is_paused = false;
            site.reset_membership(index);
            site.want(index, true);
            for _ in 0..200 {
                let done = LeaseEvent::OrderDone(site.group.clone());
                site.handle_event(index, done);
            }
        }
        site.run(120_000);
        let holder = site.holder().expect("a daemon holds the lease in the end");
        let members = &site.nodes[holder].members;
        let responsible = LeaseTable::responsible(&site.group, members);
        assert_eq!(responsible, Some(members.me().incarnation));
        assert!(site.order(holder).is_ok());
    }
}

prop_state_machine! {
    #![proptest_config(seeded_config(300, SEED))]

    /// Failure: two daemons give an endpoint contradicting orders at the same time. Writes and
    /// answers are lost or late, daemons are paused, and membership views differ, while every
    /// daemon that believes that it holds the lease gives orders. The lease is held by one daemon's
    /// state but expires by another daemon's clock. The same for orders that don't overlap, but are
    /// closer to each other than an order timeout: a daemon loses its wait for the previous holder.
    #[test]
    fn orders_of_two_holders_never_overlap(sequential 1..200 => Leases);
}

/// Failure: a daemon gives an order under a lease that another daemon holds by now. The holder is
/// paused for longer than its term and resumes in the middle of its work, before its timers could
/// expire the lease.
#[test]
fn a_paused_holder_gives_no_order() {
    let (mut site, holder) = Site::with_holder();
    assert!(site.order(holder).is_ok());
    site.now_us += 15_000_000;
    assert_eq!(site.order(holder), Err(Code::LeaseLapsed));
}

/// Failure: orders continue although the holder of the lease is unknown. The store becomes
/// unavailable while the lease is held, so it is not renewed and its term ends.
#[test]
fn without_the_store_orders_end_with_the_term() {
    let (mut site, holder) = Site::with_holder();
    for _ in 0..200 {
        site.now_us += 100_000;
        site.tick(holder);
        for message in std::mem::take(&mut site.in_flight) {
            let group = site.group.clone();
            let event = match message {
                InFlight::Write(_, object, _) => LeaseEvent::WriteFailed {
                    group,
                    write_number: object.write_number,
                    failure: WriteFailure::Unavailable,
                },
                InFlight::Event(..) => LeaseEvent::ReadFailed(group),
            };
            site.handle_event(holder, event);
        }
    }
    assert_eq!(site.order(holder), Err(Code::LeaseLapsed));
    site.run(30_000);
    let holder = site.holder().unwrap();
    assert!(site.order(holder).is_ok());
}

/// Failure: an order outlives its lease. It is given shortly before the term ends, with a timeout
/// that ignores the remaining term.
#[test]
fn an_order_gets_less_time_than_the_lease_has_left() {
    let (mut site, holder) = Site::with_holder();
    let settings = LeaseSettings::default();
    let first = site.order(holder).unwrap();
    assert_eq!(first.timeout_us, settings.order_timeout_us);
    let mut shorter = 0;
    loop {
        site.now_us += 100_000;
        match site.order(holder) {
            Ok(grant) if grant.timeout_us < settings.order_timeout_us => shorter += 1,
            Ok(_) => {}
            Err(code) => {
                assert_eq!(code, Code::LeaseLapsed);
                break;
            }
        }
    }
    assert!(shorter > 0);
}

struct LossCase {
    name: &'static str,
    is_effective: bool,
    phase: LeasePhase,
}

const LOSS_CASES: &[LossCase] = &[
    LossCase {
        name: "the write took effect",
        is_effective: true,
        phase: LeasePhase::Held,
    },
    LossCase {
        name: "the write was lost",
        is_effective: false,
        phase: LeasePhase::Vacant,
    },
];

/// Failure: a daemon holds a lease without knowing it, or believes that it holds one that it does
/// not. The answer to the acquiring write is lost, which does not tell whether the write took
/// effect; only reading the object back does.
#[test]
fn a_lost_answer_is_settled_by_reading_back() {
    for case in LOSS_CASES {
        let mut site = Site::new();
        let index = (0..DAEMONS)
            .find(|index| {
                let members = &site.nodes[*index].members;
                let responsible = LeaseTable::responsible(&site.group, members);
                responsible == Some(members.me().incarnation)
            })
            .unwrap();
        site.tick(index);
        site.deliver(0, false);
        site.tick(index);
        site.report_answer_lost(0);
        let write = site.in_flight.remove(0);
        let InFlight::Write(_, object, expected) = write else {
            panic!("expected a pending write");
        };
        if case.is_effective {
            site.store.write(object, expected);
        }
        site.deliver(0, false);
        site.tick(index);
        site.deliver(0, false);
        let status = &site.nodes[index].leases.status()[0];
        assert_eq!(status.phase, case.phase, "{}", case.name);
    }
}

#[test]
fn endpoints_are_grouped_by_service_and_shard() {
    let service = "assistant".parse().unwrap();
    let mut counts: BTreeMap<LeaseGroup, usize> = BTreeMap::new();
    for number in 0..400 {
        let endpoint = format!("runner-{number}").parse().unwrap();
        let group = LeaseGroup::of_endpoint(&service, &endpoint, 8);
        *counts.entry(group).or_default() += 1;
    }
    assert_eq!(counts.len(), 8);
    assert!(counts.values().all(|count| (20..=80).contains(count)));
    let name = counts.keys().next().unwrap().to_string();
    assert_eq!(name, "endpoints.assistant.0");
    let settings = LeaseSettings::default();
    assert!(settings.margin_us < settings.renew_before_us);
    assert!(settings.renew_before_us < settings.term_us);
    assert!(settings.order_timeout_us + settings.margin_us < DurationUs::from_ms(10_000));
}

/// Returns the responsible daemon after it has read that there is no object yet and has sent the
/// acquiring write.
fn first_write(site: &mut Site) -> usize {
    let members = &site.nodes[0].members;
    let responsible = LeaseTable::responsible(&site.group, members);
    let index = (0..DAEMONS)
        .find(|index| responsible == Some(site.nodes[*index].members.me().incarnation))
        .unwrap();
    site.tick(index);
    site.deliver(0, false);
    site.tick(index);
    assert!(matches!(site.in_flight[0], InFlight::Write(..)));
    index
}

/// Failure: two daemons hold the lease at the same time. A write takes effect immediately but its
/// answer arrives 14 seconds later, and the term is counted from the answer, while the other
/// daemons count it from the write.
#[test]
fn the_term_counts_from_the_sending_of_the_write() {
    let mut site = Site::new();
    let index = first_write(&mut site);
    site.deliver(0, false);
    site.now_us += 14_000_000;
    site.deliver(0, false);
    let grant = site.order(index).unwrap();
    assert_eq!(grant.timeout_us, DurationUs::from_ms(500));
    site.now_us += 1_000_000;
    assert_eq!(site.order(index), Err(Code::LeaseLapsed));
}

/// Failure: two daemons hold the lease at the same time. A slow write is abandoned because a read
/// shows no effect, and a second write is sent. Then the first one takes effect and is answered,
/// and the answer is counted for the second write, whose term began later.
#[test]
fn an_answer_to_an_earlier_write_counts_for_nothing() {
    let mut site = Site::new();
    let index = first_write(&mut site);
    let slow = site.in_flight.remove(0);
    site.now_us += 5_000_000;
    site.tick(index);
    site.deliver(0, false);
    site.tick(index);
    assert!(
        matches!(site.in_flight[0], InFlight::Write(..)),
        "the second write is in flight"
    );
    site.in_flight.push(slow);
    site.deliver(1, false);
    site.deliver(1, false);
    assert_eq!(
        site.nodes[index].leases.status()[0].phase,
        LeasePhase::Vacant
    );
}

/// Failure: an order of the previous holder arrives after an order of the new one. A holder is no
/// longer responsible while its order is in progress; it releases the lease, and a released lease
/// is acquired without a wait. An endpoint that stands still may take the order as late as at its end,
/// so the lease isn't released right after that either.
#[test]
fn a_lease_is_not_released_while_an_order_is_under_way() {
    let (mut site, holder) = Site::with_holder();
    site.order(holder).unwrap();
    site.nodes[holder].leases.set_groups([]);
    let object_holder = |site: &Site| {
        let (object, _) = site.store.object.clone().unwrap();
        object.holder.map(|holder| holder.incarnation)
    };
    let me = site.nodes[holder].members.me().incarnation;
    site.run(4_000);
    assert_eq!(object_holder(&site), Some(me));
    let done = LeaseEvent::OrderDone(site.group.clone());
    site.handle_event(holder, done);
    site.run(2_900);
    assert_eq!(object_holder(&site), Some(me));
    site.run(1_000);
    assert_eq!(object_holder(&site), None);
}

/// Failure: an order of the previous holder arrives after an order of the new one. The order was
/// abandoned and counted as done, and the lease was released, but the order may still be in
/// transit.
#[test]
fn a_lease_is_not_released_right_after_an_order() {
    let (mut site, holder) = Site::with_holder();
    site.order(holder).unwrap();
    let done = LeaseEvent::OrderDone(site.group.clone());
    site.handle_event(holder, done);
    site.nodes[holder].leases.set_groups([]);
    let is_held = |site: &Site| site.store.object.as_ref().unwrap().0.holder.is_some();
    site.run(2_900);
    assert!(is_held(&site));
    site.run(1_000);
    assert!(!is_held(&site));
}

/// Failure: an order of the previous holder arrives after an order of the new one. The holder is
/// paused right after an order, its lease expires, and the daemon that acquires it gives orders
/// immediately.
#[test]
fn a_new_holder_waits_for_the_orders_before() {
    let (mut site, before) = Site::with_holder();
    site.order(before).unwrap();
    site.nodes[before].is_paused = true;
    for index in (0..DAEMONS).filter(|index| *index != before) {
        site.suspect(index, before);
    }
    let members = &site.nodes[(before + 1) % DAEMONS].members;
    let next = LeaseTable::responsible(&site.group, members);
    let next = (0..DAEMONS)
        .find(|index| next == Some(site.nodes[*index].members.me().incarnation))
        .unwrap();
    let phase = |site: &Site| site.nodes[next].leases.status()[0].phase;
    let mut waited_us = 0;
    while phase(&site) != LeasePhase::Held {
        site.run(100);
        if phase(&site) == LeasePhase::Waiting {
            waited_us += 100_000;
            assert_eq!(site.order(next), Err(Code::LeaseLapsed));
        }
        assert!(site.now_us < 120_000_000);
    }
    assert!(waited_us >= LeaseSettings::default().order_timeout_us.get());
    assert!(site.order(next).is_ok());
}

#[test]
fn the_rollout_lease_follows_the_rollout_owner() {
    let mut site = Site::new();
    site.group = LeaseGroup::RolloutSlot(0);
    for node in &mut site.nodes {
        node.leases.set_groups([LeaseGroup::RolloutSlot(0)]);
    }
    for owner in [2, 0] {
        let incarnation = site.nodes[owner].members.me().incarnation;
        for node in &mut site.nodes {
            node.leases.set_rollout_owner(Some(incarnation));
        }
        site.run(30_000);
        assert_eq!(site.holder(), Some(owner));
        assert!(site.order(owner).is_ok());
        let done = LeaseEvent::OrderDone(LeaseGroup::RolloutSlot(0));
        site.handle_event(owner, done);
    }
}

struct HandoverCase {
    name: &'static str,
    /// What happens after the first holder has ended. Daemon 0 is the first holder, and daemon 1
    /// takes over from it.
    steps: &'static [Step],
}

const HANDOVER_CASES: &[HandoverCase] = &[
    HandoverCase {
        name: "nothing happens",
        steps: &[],
    },
    HandoverCase {
        name: "the next holder has no work for a moment while it waits",
        steps: &[
            Step::Run(1_700),
            Step::Want(1, false),
            Step::Run(200),
            Step::Want(1, true),
        ],
    },
    HandoverCase {
        name: "it has no work while it waits, and then another daemon has some",
        steps: &[
            Step::Run(1_700),
            Step::Want(1, false),
            Step::Run(200),
            Step::Want(2, true),
        ],
    },
    HandoverCase {
        name: "its term ends during its wait, and it is still known as the holder",
        steps: &[Step::Run(1_700), Step::Pass(1_200)],
    },
    HandoverCase {
        name: "its term ends during its wait while it has no work",
        steps: &[
            Step::Run(1_700),
            Step::Want(1, false),
            Step::Pass(1_200),
            Step::Tick(1),
            Step::Want(1, false),
            Step::Want(1, true),
        ],
    },
    HandoverCase {
        name: "the answer to its acquisition is lost",
        steps: &[
            Step::Pass(1_300),
            Step::Tick(1),
            Step::LoseAnswer(0),
            Step::Run(300),
        ],
    },
    HandoverCase {
        name: "its acquisition takes effect after it was read as without effect",
        steps: &[
            Step::Pass(1_300),
            Step::Tick(1),
            Step::Delay(0),
            Step::Deliver(1),
            Step::Tick(1),
            Step::Deliver(1),
            Step::Deliver(0),
            Step::Run(300),
        ],
    },
    HandoverCase {
        name: "a third daemon takes over from it",
        steps: &[
            Step::Run(1_700),
            Step::Pause(1, true),
            Step::Want(2, true),
            Step::Run(1_300),
            Step::Want(2, false),
            Step::Run(100),
            Step::Want(2, true),
            Step::Pause(1, false),
        ],
    },
    HandoverCase {
        name: "it is suspended during its wait",
        steps: &[
            Step::Run(1_700),
            Step::Pause(1, true),
            Step::Pass(1_500),
            Step::Pause(1, false),
        ],
    },
    HandoverCase {
        name: "the first holder comes back, has no orders to give, and another daemon has some",
        steps: &[
            Step::Want(1, false),
            Step::Pause(0, false),
            Step::Want(0, false),
            Step::Pass(1_300),
            Step::Tick(0),
            Step::Want(0, false),
            Step::Want(0, true),
            Step::Tick(0),
            Step::Deliver(0),
            Step::Tick(0),
            Step::Deliver(0),
            Step::Deliver(0),
            Step::Want(0, false),
            Step::Run(300),
            Step::Want(2, true),
        ],
    },
];

/// Failure: orders of two holders are closer to each other than an order timeout. The first one
/// ended right after an order; the next one took the lease over and lost its wait, because it
/// released the lease, or acquired it again as if it had never waited.
#[test]
fn the_wait_for_the_previous_holder_survives_every_interruption() {
    let is_broken = |case: &&HandoverCase| std::panic::catch_unwind(|| hand_over(case)).is_err();
    let broken: Vec<_> = HANDOVER_CASES.iter().filter(is_broken).collect();
    let broken: Vec<_> = broken.iter().map(|case| case.name).collect();
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Plays one case. [`Site::order`] checks the distance of each order to those of other holders.
fn hand_over(case: &HandoverCase) {
    let mut site = rollout_site();
    site.want(0, true);
    while site.order(0).is_err() {
        site.run(100);
    }
    site.finish_order(0);
    site.nodes[0].is_paused = true;
    site.want(1, true);
    // The others learn who holds the lease.
    site.run(100);
    for step in case.steps {
        site = match step {
            Step::Run(ms) => run_with_orders(site, *ms),
            step => Leases::apply(site, &SHORT_TERM, step.clone()),
        };
    }
    let orders = site.orders.len();
    site = run_with_orders(site, 20_000);
    assert!(site.orders.len() > orders, "{}: no more orders", case.name);
}

/// Advances the time while every daemon that is running gives the orders that it may give.
fn run_with_orders(mut site: Site, ms: u64) -> Site {
    for _ in 0..ms / 100 {
        site.run(100);
        for index in 0..DAEMONS {
            if !site.nodes[index].is_paused && site.order(index).is_ok() {
                site.finish_order(index);
            }
        }
    }
    site
}

struct LateWriteCase {
    name: &'static str,
    /// Whether the late write is a release; otherwise it is a renewal.
    is_release: bool,
    /// Daemon that has orders to give once the write was given up.
    next: usize,
}

const LATE_WRITE_CASES: &[LateWriteCase] = &[
    LateWriteCase {
        name: "a release, and the same daemon acquires the lease again",
        is_release: true,
        next: 0,
    },
    LateWriteCase {
        name: "a release, and another daemon has orders to give",
        is_release: true,
        next: 1,
    },
    LateWriteCase {
        name: "a renewal, and the same daemon goes on",
        is_release: false,
        next: 0,
    },
    LateWriteCase {
        name: "a renewal, and another daemon has orders to give",
        is_release: false,
        next: 1,
    },
];

/// Number of steps of 100 ms in which a late write takes effect: until the next holder has waited.
const LATE_STEPS: usize = 60;

/// Failure: two daemons give orders at once, or with falling fencing numbers. A release or a renewal
/// is given up, the object is read as unchanged, and the write takes effect seconds later.
#[test]
fn a_release_or_renewal_that_takes_effect_late_breaks_nothing() {
    for case in LATE_WRITE_CASES {
        for late_by_steps in 0..LATE_STEPS {
            for is_answered in [false, true] {
                let play = || play_late_write(case, late_by_steps, is_answered);
                let is_kept = std::panic::catch_unwind(play).is_ok();
                assert!(
                    is_kept,
                    "{}, {late_by_steps} steps late, answered: {is_answered}",
                    case.name
                );
            }
        }
    }
}

/// Plays one case. [`Site::order`] checks each order against those of other holders.
fn play_late_write(case: &LateWriteCase, late_by_steps: usize, is_answered: bool) {
    let mut site = rollout_site();
    site.want(0, true);
    while site.order(0).is_err() {
        site.run(100);
    }
    site.finish_order(0);
    // Settled, and renewed until then.
    site.run(3_500);
    if case.is_release {
        site.want(0, false);
    }
    while site.in_flight.is_empty() {
        site.now_us += 100_000;
        site.tick(0);
    }
    site.report_answer_lost(0);
    let late = site.in_flight.remove(0);
    let InFlight::Write(_, object, _) = &late else {
        panic!("expected a write");
    };
    assert_eq!(object.holder.is_none(), case.is_release, "{}", case.name);
    // The loss is reported; the object is read as unchanged until the write takes effect.
    site.deliver(0, false);
    site.want(0, case.next == 0);
    site.want(case.next, true);
    site = run_with_orders(site, 100 * late_by_steps as u64);
    site.in_flight.push(late);
    site.deliver(site.in_flight.len() - 1, !is_answered);
    let orders = site.orders.len();
    site = run_with_orders(site, 20_000);
    assert!(site.orders.len() > orders, "{}: no more orders", case.name);
}

/// Returns a site whose daemons each want to be the owner of the rollout while they have work.
fn rollout_site() -> Site {
    let mut site = Site::with_settings(SHORT_TERM);
    site.group = LeaseGroup::RolloutSlot(0);
    for node in &mut site.nodes {
        let me = node.members.me().incarnation;
        node.leases.set_groups([]);
        node.leases.set_rollout_owner(Some(me));
    }
    site
}

/// Returns a site whose daemon 0 has acquired the lease with its first write and given no order.
fn site_of_first_write() -> Site {
    let mut site = rollout_site();
    site.want(0, true);
    while site.holder().is_none() {
        site.run(100);
    }
    site
}

/// Lets a daemon make its next call, if one is due, which the platform carries out at once.
fn tick_and_deliver(site: &mut Site, index: usize) {
    let count = site.in_flight.len();
    site.tick(index);
    while site.in_flight.len() > count {
        site.deliver(site.in_flight.len() - 1, false);
    }
}

/// Failure: two daemons give orders at once. A daemon that has no work for a moment forgets the lease
/// while its release is under way, acquires the lease again with writes that are numbered anew, and
/// takes the answer to the release for that of an acquisition.
#[test]
fn an_answer_to_a_write_of_a_forgotten_lease_counts_for_nothing() {
    let mut site = site_of_first_write();
    site.want(0, false);
    site.tick(0);
    site.want(0, true);
    tick_and_deliver(&mut site, 0);
    site.deliver(0, false);
    let release_answer = site.in_flight.remove(0);
    // An acquisition conflicts with the release, and the next one is lost.
    tick_and_deliver(&mut site, 0);
    tick_and_deliver(&mut site, 0);
    site.tick(0);
    site.in_flight = vec![release_answer];
    site.deliver(0, false);
    site.want(1, true);
    run_with_orders(site, 20_000);
}

/// Failure: orders of two daemons are too close to each other. A daemon forgets a lease that has
/// expired, and acquires it again with a write that is numbered and looks like the one that acquired it
/// before. That write is lost, and the object that is read back is taken for its effect.
#[test]
fn a_lost_write_is_not_taken_for_one_of_a_forgotten_lease() {
    let mut site = site_of_first_write();
    site.want(1, true);
    site.run(100);
    site.nodes[1].is_paused = true;
    site.now_us += 1_200_000;
    site.want(0, false);
    site.tick(0);
    site.want(0, true);
    tick_and_deliver(&mut site, 0);
    site.tick(0);
    site.report_answer_lost(0);
    let InFlight::Write(..) = site.in_flight.remove(0) else {
        panic!("expected an acquisition");
    };
    site.deliver(0, false);
    tick_and_deliver(&mut site, 0);
    site.nodes[1].is_paused = false;
    run_with_orders(site, 20_000);
}

/// Failure: a daemon gives an order with a lower fencing number than the one before. It has no work for
/// a moment while it reads the lease, forgets it, acquires it again, and then gets the object as it was
/// before.
#[test]
fn a_read_of_a_forgotten_lease_does_not_lower_the_fence() {
    let mut site = site_of_first_write();
    site.now_us += 1_200_000;
    site.want(0, false);
    site.tick(0);
    site.want(0, true);
    site.tick(0);
    let slow = site.in_flight.remove(0);
    site.want(0, false);
    site.tick(0);
    site.want(0, true);
    site.run(300);
    let is_held = site.order(0).is_ok();
    site.finish_order(0);
    site.in_flight.push(slow);
    site.deliver(site.in_flight.len() - 1, false);
    let orders = site.orders.len();
    site = run_with_orders(site, 5_000);
    assert!(is_held || site.orders.len() > orders, "no orders");
}
