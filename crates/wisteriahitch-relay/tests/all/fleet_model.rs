//! Membership of a fleet of thousands of daemons, with the real decisions and messages.
//!
//! Some of the daemons and their hubs are modelled whole; the others only send what they hear
//! themselves. `WISTERIAHITCH_FLEET_SEED` sets another seed for the messages that are lost.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wisteriahitch_relay::{
    GossipMessage, HubCandidate, HubPlan, MemberPhase, PeerTable, add_member_updates,
};

use crate::fixture::at_ms;
use crate::members::message;

const DEFAULT_SEED: u64 = 1;

/// Time between two messages of a daemon.
const ROUND_MS: u64 = 200;

/// One of this many messages is lost, once each daemon was named.
const LOST_ONE_IN: u32 = 20;

/// Silence after which a hub no longer names a daemon.
const SILENT_AFTER_MS: u64 = 900;

/// Maximum size of a message.
const MAX_MESSAGE_BYTES: usize = 8 * 1024;

/// Number of spokes that are modelled whole.
const MODELLED_SPOKES: usize = 5;

struct Fleet {
    members: Vec<HubCandidate>,
    /// Hub of each daemon; `None` for a hub.
    hubs: Vec<Option<Ipv4Addr>>,
    /// The daemons that are modelled whole, by index, in the order of their addresses.
    views: Vec<(usize, PeerTable)>,
    dead: BTreeSet<Ipv4Addr>,
    /// When each daemon's hub last didn't hear it, because some messages in a row were lost.
    unheard_at_ms: Vec<u64>,
    now_ms: u64,
    number: u64,
    rng: ChaCha8Rng,
    is_lossy: bool,
    max_message_bytes: usize,
}

impl Fleet {
    fn new(size: usize, seed: u64) -> Self {
        let members: Vec<HubCandidate> = (0..size)
            .map(|index| HubCandidate {
                ip: Ipv4Addr::from_bits(0x0a00_0000 + 1 + u32::try_from(index).unwrap()),
                zone: format!("zone-{}", index % 5),
                // Ten VMs of each zone have wide links.
                link_mbps: if index < 50 { 1_000 } else { 20 },
            })
            .collect();
        let plan = HubPlan::for_members(&members);
        let is_hub = |index: &usize| plan.is_hub(members[*index].ip);
        let hubs = (0..size).filter(is_hub);
        let spokes = (0..size)
            .filter(|index| !is_hub(index))
            .take(MODELLED_SPOKES);
        let modelled: BTreeSet<usize> = hubs.chain(spokes).collect();
        let modelled = modelled.into_iter();
        let mut views: Vec<_> = modelled
            .map(|index| (index, PeerTable::default()))
            .collect();
        for (index, table) in &mut views {
            for other in members
                .iter()
                .filter(|other| other.ip != members[*index].ip)
            {
                let place = Some((other.zone.clone(), other.link_mbps));
                table.record_address(other.ip, place, at_ms(0));
            }
        }
        let hub_of = |member: &HubCandidate| match plan.is_hub(member.ip) {
            true => None,
            false => plan.hub_of(member),
        };
        Self {
            hubs: members.iter().map(hub_of).collect(),
            members,
            views,
            dead: BTreeSet::new(),
            unheard_at_ms: vec![0; size],
            now_ms: 0,
            number: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            is_lossy: false,
            max_message_bytes: 0,
        }
    }

    fn is_lost(&mut self) -> bool {
        self.is_lossy && self.rng.random_range(0..LOST_ONE_IN) == 0
    }

    fn message_of(&self, index: usize) -> GossipMessage {
        let incarnation = u64::try_from(index).unwrap() + 1;
        GossipMessage {
            ip: self.members[index].ip,
            zone: self.members[index].zone.clone(),
            link_mbps: self.members[index].link_mbps,
            is_hub: self.hubs[index].is_none(),
            ..message(1, incarnation, self.number, MemberPhase::Ready)
        }
    }

    /// Lets each daemon send to its targets once.
    fn step(&mut self) {
        self.now_ms += ROUND_MS;
        self.number += 1;
        let now = at_ms(self.now_ms);
        self.record_unheard();
        let mut sent: Vec<(usize, GossipMessage)> = Vec::new();
        for index in 0..self.members.len() {
            let ip = self.members[index].ip;
            if self.dead.contains(&ip) {
                continue;
            }
            if let Some(hub) = self.hubs[index] {
                let hub = self.view_at(hub).unwrap();
                sent.push((hub, self.message_of(index)));
                continue;
            }
            let table = &self.views[self.view_at(ip).unwrap()].1;
            for is_for_spoke in [false, true] {
                if is_for_spoke && !self.is_whole(index) {
                    continue;
                }
                let mut message = self.message_of(index);
                add_member_updates(table, &mut message, is_for_spoke, now);
                let bytes = message.encoded(usize::MAX);
                self.max_message_bytes = self.max_message_bytes.max(bytes.len());
                let message = GossipMessage::decode(&bytes).unwrap();
                for (to, (receiver, _)) in self.views.iter().enumerate() {
                    let is_target = match self.hubs[*receiver] {
                        Some(hub) => is_for_spoke && hub == ip,
                        None => !is_for_spoke && *receiver != index && self.is_whole(*receiver),
                    };
                    if is_target {
                        sent.push((to, message.clone()));
                    }
                }
            }
        }
        for (to, message) in sent {
            if !self.is_lost() {
                self.views[to].1.receive(&message, now);
            }
        }
        for (_, table) in &mut self.views {
            table.tick(at_ms(self.now_ms - ROUND_MS), now);
        }
        self.record_unheard();
    }

    /// Records which daemons their hubs don't hear now, or which hubs other hubs don't.
    fn record_unheard(&mut self) {
        let now = at_ms(self.now_ms);
        let whole: Vec<usize> = (0..self.views.len())
            .filter(|view| self.is_whole(self.views[*view].0))
            .filter(|view| self.hubs[self.views[*view].0].is_none())
            .collect();
        for (index, hub) in self.hubs.iter().enumerate() {
            let hearers = match hub {
                Some(hub) => &[self.view_at(*hub).unwrap()],
                None => &whole[..],
            };
            let ip = self.members[index].ip;
            let mut hearers = hearers.iter().map(|view| &self.views[*view]);
            let is_unheard = |(hearer, table): &(usize, PeerTable)| {
                let silence = table.silence(ip, now);
                *hearer != index && silence.is_none_or(|silence| silence.as_ms() > SILENT_AFTER_MS)
            };
            if hearers.any(is_unheard) {
                self.unheard_at_ms[index] = self.now_ms;
            }
        }
    }

    /// Returns whether a daemon is modelled whole: all that aren't hubs, and the hubs that serve
    /// them.
    fn is_whole(&self, index: usize) -> bool {
        let ip = self.members[index].ip;
        let mut served = self.views.iter().map(|(spoke, _)| self.hubs[*spoke]);
        self.hubs[index].is_some() || served.any(|hub| hub == Some(ip))
    }

    fn view_at(&self, ip: Ipv4Addr) -> Option<usize> {
        let find = |(index, _): &(usize, PeerTable)| self.members[*index].ip.cmp(&ip);
        self.views.binary_search_by(find).ok()
    }

    fn run_until(&mut self, ms: u64) {
        while self.now_ms < ms {
            self.step();
        }
    }

    /// Returns how many live daemons are missing from some view, and how many dead ones are in one.
    /// A daemon that its hub didn't hear within `recovery_ms` may be missing.
    fn errors(&self, recovery_ms: u64) -> (usize, usize) {
        let mut missing = BTreeSet::new();
        let mut dead = BTreeSet::new();
        for (index, table) in &self.views {
            let me = self.members[*index].ip;
            if self.dead.contains(&me) || !self.is_whole(*index) {
                continue;
            }
            let named: BTreeSet<Ipv4Addr> = table
                .entries(at_ms(self.now_ms))
                .into_iter()
                .map(|entry| entry.ip)
                .collect();
            let others = self.members.iter().zip(&self.unheard_at_ms);
            for (other, unheard_at_ms) in others.filter(|(other, _)| other.ip != me) {
                let ip = other.ip;
                let is_heard = unheard_at_ms + recovery_ms < self.now_ms;
                match (self.dead.contains(&ip), named.contains(&ip)) {
                    (false, false) if is_heard => missing.insert(ip),
                    (true, true) => dead.insert(ip),
                    _ => false,
                };
            }
        }
        (missing.len(), dead.len())
    }
}

pub(crate) fn seed() -> u64 {
    let seed = std::env::var("WISTERIAHITCH_FLEET_SEED").ok();
    seed.map_or(DEFAULT_SEED, |seed| seed.parse().unwrap())
}

/// Guards against members of a large fleet that lapse between two pages of their hub's list, and
/// against callers that are sent to dead daemons for the time of a whole list.
#[test]
fn every_view_of_a_large_fleet_is_whole_and_forgets_the_dead() {
    struct Case {
        daemons: usize,
        /// Time after which each member was named once: 60 in a page of 200 ms.
        listed_ms: u64,
    }
    let cases = [
        Case {
            daemons: 100,
            listed_ms: 400,
        },
        Case {
            daemons: 1_000,
            listed_ms: 3_400,
        },
        Case {
            daemons: 2_000,
            listed_ms: 6_800,
        },
    ];
    for case in cases {
        let mut fleet = Fleet::new(case.daemons, seed());
        fleet.run_until(case.listed_ms + 1_000);
        let name = format!("{} daemons", case.daemons);
        let recovery_ms = 2 * case.listed_ms + 1_000;
        assert_eq!(fleet.errors(recovery_ms), (0, 0), "{name}, after the start");
        fleet.is_lossy = true;
        let calm_until_ms = fleet.now_ms + case.listed_ms + 3_000;
        while fleet.now_ms < calm_until_ms {
            fleet.step();
            assert_eq!(
                fleet.errors(recovery_ms),
                (0, 0),
                "{name}, at {} ms",
                fleet.now_ms
            );
        }
        // A third of the spokes die. Their hubs notice after 0.9 s; 1.2 s later other hubs tell their
        // spokes, and 2.5 s later they forget the dead themselves.
        let members = fleet.members.iter().zip(&fleet.hubs);
        let spokes = members.filter(|(_, hub)| hub.is_some());
        let spokes = spokes.map(|(member, _)| member.ip);
        fleet.dead = spokes.skip(MODELLED_SPOKES).step_by(3).collect();
        fleet.run_until(fleet.now_ms + 900 + 2_500 + 2 * ROUND_MS);
        assert_eq!(fleet.errors(recovery_ms), (0, 0), "{name}, after deaths");
        assert!(
            fleet.max_message_bytes <= MAX_MESSAGE_BYTES,
            "{name}: {} bytes",
            fleet.max_message_bytes
        );
    }
}
