//! Daemons that send each other gossip in rounds.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wisteriahitch_relay::{
    GossipMessage, HubCandidate, HubPlan, MemberPhase, MembershipUpdate, MessageSections,
    PeerTable, ReportReceiver, SuspectUpdate, add_member_updates,
};
use wisteriahitch_types::{Incarnation, TimeUs};

/// Time between two messages of a daemon with a narrow link, in milliseconds.
pub const ROUND_MS: u64 = 200;

/// Silence after which a hub no longer reports a daemon, in milliseconds.
const SILENCE_TIMEOUT_MS: u64 = 900;

/// Number of daemons in each zone with a wide link.
const WIDE_LINKS_PER_ZONE: usize = 10;
const WIDE_LINK_MBPS: u16 = 1_000;
const NARROW_LINK_MBPS: u16 = 20;

/// Number of spokes whose views are modelled.
const MODELLED_SPOKES: usize = 5;

/// First address of the fleet.
const FIRST_ADDRESS: u32 = 0x0a00_0001;

/// Size and conditions of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct ModelOptions {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of availability zones, over which the daemons are spread evenly.
    pub zones: usize,
    /// Fraction of the messages that are lost, from 0 to 1.
    pub loss: f64,
    /// Seed of the losses.
    pub seed: u64,
}

/// Errors in the modelled views of the fleet.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ViewErrors {
    /// Number of running daemons that are missing from a view although they were reachable.
    pub missing: usize,
    /// Number of failed daemons that are still in a view.
    pub stale: usize,
}

/// The daemons that one daemon would list for callers.
#[derive(Clone, Debug)]
pub struct View {
    /// Address of the daemon that has the view.
    pub viewer: Ipv4Addr,
    /// Whether it is a hub.
    pub is_hub: bool,
    /// Addresses of the listed daemons.
    pub entries: BTreeSet<Ipv4Addr>,
}

/// A fleet in which daemons send gossip about its members.
///
/// Some spokes and their hubs have a complete view. The other hubs only report their own spokes,
/// and the other spokes only send, since their views would be like those that are modelled.
pub struct MembershipModel {
    members: Vec<HubCandidate>,
    /// Hub of each daemon; `None` for a hub.
    hubs: Vec<Option<Ipv4Addr>>,
    /// Whether each daemon has a complete view: the modelled spokes and their hubs.
    has_complete_view: Vec<bool>,
    /// Tables of all hubs and of the modelled spokes, by index, in the order of their addresses.
    tables: Vec<(usize, PeerTable)>,
    failed: BTreeSet<Ipv4Addr>,
    /// When the messages of each daemon had last failed to reach those that report it.
    silent_at_ms: Vec<u64>,
    now_ms: u64,
    message_number: u64,
    loss: f64,
    rng: ChaCha8Rng,
    max_message_bytes: usize,
}

impl MembershipModel {
    /// Creates a fleet whose daemons have listed each other's registrations.
    pub fn new(options: ModelOptions) -> Self {
        let members: Vec<HubCandidate> = (0..options.daemons)
            .map(|index| candidate(index, options.zones.max(1)))
            .collect();
        let plan = HubPlan::for_members(&members);
        let hub_of = |member: &HubCandidate| match plan.is_hub(member.ip) {
            true => None,
            false => plan.hub_of(member),
        };
        let hubs: Vec<Option<Ipv4Addr>> = members.iter().map(hub_of).collect();
        let hub_indices = (0..members.len()).filter(|index| hubs[*index].is_none());
        let spoke_indices = (0..members.len()).filter(|index| hubs[*index].is_some());
        let modelled_spokes: Vec<usize> = spoke_indices.take(MODELLED_SPOKES).collect();
        let serves_modelled = |ip: Ipv4Addr| {
            let mut hubs_of_modelled = modelled_spokes.iter().map(|spoke| hubs[*spoke]);
            hubs_of_modelled.any(|hub| hub == Some(ip))
        };
        let has_complete_view = (0..members.len())
            .map(|index| modelled_spokes.contains(&index) || serves_modelled(members[index].ip))
            .collect();
        let with_table: BTreeSet<usize> = hub_indices.chain(modelled_spokes.clone()).collect();
        let table_of = |index: usize| (index, registered_members(index, &members));
        Self {
            tables: with_table.into_iter().map(table_of).collect(),
            hubs,
            has_complete_view,
            failed: BTreeSet::new(),
            silent_at_ms: vec![0; members.len()],
            now_ms: 0,
            message_number: 0,
            loss: options.loss.clamp(0.0, 1.0),
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            max_message_bytes: 0,
            members,
        }
    }

    /// Returns the time since the start, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Returns the size of the largest message so far.
    pub fn max_message_bytes(&self) -> usize {
        self.max_message_bytes
    }

    /// Returns the number of hubs.
    pub fn hub_count(&self) -> usize {
        self.hubs.iter().filter(|hub| hub.is_none()).count()
    }

    /// Lets one in `one_in` of the spokes without a modelled view fail, and returns them.
    pub fn fail_spokes(&mut self, one_in: usize) -> BTreeSet<Ipv4Addr> {
        let members = self.members.iter().zip(&self.hubs);
        let spokes = members.filter(|(_, hub)| hub.is_some());
        let spokes = spokes.map(|(member, _)| member.ip).skip(MODELLED_SPOKES);
        self.failed = spokes.step_by(one_in.max(1)).collect();
        self.failed.clone()
    }

    /// Plays rounds until a time.
    pub fn run_until(&mut self, ms: u64) {
        while self.now_ms < ms {
            self.step();
        }
    }

    /// Lets each daemon send to its targets once.
    pub fn step(&mut self) {
        self.now_ms += ROUND_MS;
        self.message_number += 1;
        self.record_silence();
        let now = TimeUs::new(self.now_ms * 1_000);
        for (to, message) in self.messages(now) {
            let is_lost = self.rng.random_bool(self.loss);
            if !is_lost {
                self.tables[to].1.receive(&message, now);
            }
        }
        let last = TimeUs::new((self.now_ms - ROUND_MS) * 1_000);
        for (_, table) in &mut self.tables {
            table.tick(last, now);
        }
        self.record_silence();
    }

    /// Returns the errors in the complete views. A daemon whose messages didn't get through within
    /// the last `recovery_ms` may be missing.
    pub fn errors(&self, recovery_ms: u64) -> ViewErrors {
        let mut missing = BTreeSet::new();
        let mut stale = BTreeSet::new();
        for View {
            viewer, entries, ..
        } in self.views()
        {
            let others = self.members.iter().zip(&self.silent_at_ms);
            for (other, silent_at_ms) in others.filter(|(other, _)| other.ip != viewer) {
                let was_reachable = silent_at_ms + recovery_ms < self.now_ms;
                let is_listed = entries.contains(&other.ip);
                match self.failed.contains(&other.ip) {
                    true if is_listed => stale.insert(other.ip),
                    false if !is_listed && was_reachable => missing.insert(other.ip),
                    _ => false,
                };
            }
        }
        ViewErrors {
            missing: missing.len(),
            stale: stale.len(),
        }
    }

    /// Lists the complete views.
    pub fn views(&self) -> impl Iterator<Item = View> {
        let complete = self.tables.iter();
        let complete = complete.filter(|(index, _)| self.has_complete_view[*index]);
        complete.map(|(index, table)| View {
            viewer: self.members[*index].ip,
            is_hub: self.is_hub(*index),
            entries: self.entries(table),
        })
    }

    fn entries(&self, table: &PeerTable) -> BTreeSet<Ipv4Addr> {
        let entries = table.entries(TimeUs::new(self.now_ms * 1_000));
        entries.into_iter().map(|entry| entry.ip).collect()
    }

    /// Returns the messages of a round, with the indices of the receivers' tables.
    fn messages(&mut self, now: TimeUs) -> Vec<(usize, GossipMessage)> {
        let mut messages = Vec::new();
        for index in 0..self.members.len() {
            let ip = self.members[index].ip;
            if self.failed.contains(&ip) {
                continue;
            }
            match self.hubs[index].and_then(|hub| self.table_index(hub)) {
                Some(hub) => messages.push((hub, self.message_from(index))),
                None => messages.extend(self.hub_messages(index, now)),
            }
        }
        messages
    }

    /// Returns the messages of a hub to the daemons with a complete view.
    fn hub_messages(&mut self, index: usize, now: TimeUs) -> Vec<(usize, GossipMessage)> {
        let mut messages = Vec::new();
        for is_for_spoke in [false, true] {
            if is_for_spoke && !self.has_complete_view[index] {
                continue;
            }
            let message = self.hub_message(index, is_for_spoke, now);
            for (to, (receiver, _)) in self.tables.iter().enumerate() {
                if self.is_target(index, *receiver, is_for_spoke) {
                    messages.push((to, message.clone()));
                }
            }
        }
        messages
    }

    fn hub_message(&mut self, index: usize, is_for_spoke: bool, now: TimeUs) -> GossipMessage {
        let mut message = self.message_from(index);
        if let Some(table) = self.table_index(self.members[index].ip) {
            let receiver = match is_for_spoke {
                true => ReportReceiver::Spoke,
                false => ReportReceiver::Hub,
            };
            add_member_updates(&self.tables[table].1, &mut message, receiver, now);
        }
        let bytes = message.clone().encoded(usize::MAX);
        self.max_message_bytes = self.max_message_bytes.max(bytes.len());
        // A message that doesn't survive its encoding would be a fault of the product.
        GossipMessage::decode(&bytes).unwrap_or(message)
    }

    fn is_target(&self, hub: usize, receiver: usize, is_for_spoke: bool) -> bool {
        match self.hubs[receiver] {
            Some(hub_of_receiver) => is_for_spoke && hub_of_receiver == self.members[hub].ip,
            None => !is_for_spoke && receiver != hub && self.has_complete_view[receiver],
        }
    }

    /// Records which daemons are silent for their hub or, if they are hubs, for another hub.
    fn record_silence(&mut self) {
        let now = TimeUs::new(self.now_ms * 1_000);
        let tables = 0..self.tables.len();
        let complete_hubs: Vec<usize> = tables
            .filter(|table| {
                let index = self.tables[*table].0;
                self.is_hub(index) && self.has_complete_view[index]
            })
            .collect();
        for index in 0..self.members.len() {
            let ip = self.members[index].ip;
            let hub = self.hubs[index].and_then(|hub| self.table_index(hub));
            let receivers = hub.map_or(complete_hubs.clone(), |hub| vec![hub]);
            let is_silent = |table: &usize| {
                let (receiver, table) = &self.tables[*table];
                let silence = table.silence(ip, now);
                let is_silent = silence.is_none_or(|silence| silence.as_ms() > SILENCE_TIMEOUT_MS);
                *receiver != index && is_silent
            };
            if receivers.iter().any(is_silent) {
                self.silent_at_ms[index] = self.now_ms;
            }
        }
    }

    fn is_hub(&self, index: usize) -> bool {
        self.hubs[index].is_none()
    }

    fn table_index(&self, ip: Ipv4Addr) -> Option<usize> {
        let compare = |(index, _): &(usize, PeerTable)| self.members[*index].ip.cmp(&ip);
        self.tables.binary_search_by(compare).ok()
    }

    /// Returns a daemon's message without members.
    fn message_from(&self, index: usize) -> GossipMessage {
        let member = &self.members[index];
        GossipMessage {
            incarnation: Incarnation::new(u64::from(member.ip.to_bits())),
            number: self.message_number,
            ip: member.ip,
            zone: member.zone.clone(),
            phase: MemberPhase::Ready,
            capacity: 1_000,
            link_mbps: member.link_mbps,
            is_hub: self.is_hub(index),
            follows_stores: false,
            is_store_reachable: true,
            sent_at_us: TimeUs::new(self.now_ms * 1_000),
            kinds: Vec::new(),
            endpoints: Vec::new(),
            limits: Vec::new(),
            leaving: Vec::new(),
            followed: Vec::new(),
            unreachable: Vec::new(),
            parts: Vec::new(),
            stores: Vec::new(),
            stored_parts: Vec::new(),
            suspects: SuspectUpdate::default(),
            zones: Vec::new(),
            members: Vec::new(),
            membership: MembershipUpdate::default(),
            is_partitioned: false,
            sections: MessageSections::default(),
        }
    }
}

fn candidate(index: usize, zones: usize) -> HubCandidate {
    let offset = u32::try_from(index).unwrap_or(u32::MAX);
    let is_wide = index < WIDE_LINKS_PER_ZONE * zones;
    HubCandidate {
        ip: Ipv4Addr::from_bits(FIRST_ADDRESS.saturating_add(offset)),
        zone: format!("zone-{}", index % zones),
        link_mbps: if is_wide {
            WIDE_LINK_MBPS
        } else {
            NARROW_LINK_MBPS
        },
    }
}

/// Returns the table of a daemon that has listed the registrations of all others.
fn registered_members(index: usize, members: &[HubCandidate]) -> PeerTable {
    let mut table = PeerTable::default();
    let others = members.iter().enumerate();
    for (_, other) in others.filter(|(other, _)| *other != index) {
        let place = Some((other.zone.clone(), other.link_mbps));
        table.record_address(other.ip, place, TimeUs::ZERO);
    }
    table
}
