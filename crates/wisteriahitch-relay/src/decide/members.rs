//! The other daemons, as their own messages tell.
//!
//! Each daemon sends small datagrams several times a second. What they believe of each other makes
//! the fleet faster, never wrong; what must be right rests on the platform's store.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

use wisteriahitch_core::fleet::Rendezvous;
use wisteriahitch_types::{DurationUs, Incarnation, TimeUs};

use super::gossip_message::{GossipMessage, MemberPhase, MemberUpdate};
use super::hubs::{HubCandidate, HubPlan};
use super::message_delay::MessageDelay;
use super::permit_shares::ViewObservation;

/// Silence after which a member is no longer named to callers. Members send at least four times a
/// second, so that a few lost datagrams don't count.
const DIRECT_TIMEOUT_US: DurationUs = DurationUs::from_ms(900);
/// The same for a member that a hub tells of.
const INDIRECT_TTL_US: DurationUs = DurationUs::from_ms(2_500);
/// Silence up to which what a daemon said itself goes before what hubs tell of it: the time after which no hub tells any
/// more of one that fell silent, and as much again for its own silence.
const DIRECT_PRECEDENCE_US: DurationUs = DurationUs::from_ms(4_000);
/// Age up to which what a hub has told is told on; each step adds its own.
const FORWARD_MAX_AGE_US: DurationUs = DurationUs::from_ms(1_200);
/// Time for which a registration that was listed counts: two listings.
const REGISTRATION_TTL_US: DurationUs = DurationUs::from_ms(10_000);
/// Silence after which a member is forgotten.
const MEMBER_RETENTION_US: DurationUs = DurationUs::from_ms(30_000);
/// Time for which an address that was never heard is still taken for a daemon's.
const UNCONFIRMED_ADDRESS_TTL_US: DurationUs = DurationUs::from_ms(3_000);

/// One other daemon that is heard directly.
#[derive(Clone, Debug)]
pub struct PeerRow {
    /// Life.
    pub incarnation: Incarnation,
    /// Address.
    pub ip: Ipv4Addr,
    /// Availability zone.
    pub zone: String,
    /// What it does.
    pub phase: MemberPhase,
    /// What it can carry.
    pub capacity: u16,
    /// Rate of its VM's link.
    pub link_mbps: u16,
    /// Whether it is a hub.
    pub is_hub: bool,
    /// Whether it asks the stores itself.
    pub follows_stores: bool,
    /// Whether the store answers it, or one that it hears.
    pub is_store_reachable: bool,
    /// For how long its last message was held up on the way.
    pub message_delay_us: DurationUs,
    delay_tracker: MessageDelay,
    message_number: u64,
    received_at_us: TimeUs,
}

impl PeerRow {
    /// Returns it as callers are told of it.
    pub fn entry(&self) -> EntryPoint {
        EntryPoint {
            ip: self.ip,
            zone: self.zone.clone(),
            capacity: self.capacity,
            link_mbps: self.link_mbps,
        }
    }
}

/// One daemon that a hub tells of.
#[derive(Clone, Debug)]
struct IndirectPeerRow {
    zone: String,
    phase: MemberPhase,
    capacity: u16,
    link_mbps: u16,
    received_at_us: TimeUs,
}

/// A daemon that callers may be sent to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryPoint {
    /// Address.
    pub ip: Ipv4Addr,
    /// Availability zone.
    pub zone: String,
    /// What it can carry.
    pub capacity: u16,
    /// Rate of its VM's link.
    pub link_mbps: u16,
}

/// An address that is known from elsewhere: the settings, the store, or other daemons.
#[derive(Clone, Debug)]
struct KnownAddress {
    zone: Option<String>,
    link_mbps: u16,
    since_us: TimeUs,
}

/// The other daemons by address.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<Ipv4Addr, PeerRow>,
    indirect: BTreeMap<Ipv4Addr, IndirectPeerRow>,
    known: BTreeMap<Ipv4Addr, KnownAddress>,
    /// When each address was last seen registered in the store.
    registered: BTreeMap<Ipv4Addr, TimeUs>,
}

/// What a message changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReceiveOutcome {
    /// It is an old one.
    Stale,
    /// The sender was known.
    Known,
    /// The sender is new, or is back.
    Joined,
}

impl PeerTable {
    /// Notes an address that may be a daemon's, with its zone and link if those are known.
    pub fn record_address(&mut self, ip: Ipv4Addr, place: Option<(String, u16)>, now: TimeUs) {
        let row = self.known.entry(ip).or_insert(KnownAddress {
            zone: None,
            link_mbps: 0,
            since_us: now,
        });
        if let Some((zone, link_mbps)) = place {
            row.zone = Some(zone);
            row.link_mbps = link_mbps;
        }
    }

    /// Notes that the store holds a registration of an address.
    pub fn record_registration(&mut self, ip: Ipv4Addr, now: TimeUs) {
        self.registered.insert(ip, now);
    }

    /// Returns how many other addresses were registered lately.
    pub fn registered_count(&self) -> usize {
        self.registered.len()
    }

    /// Returns what is seen of the members, for the permits of cold endpoints.
    pub fn observe_members(&self, me: Ipv4Addr, is_complete: bool, now: TimeUs) -> ViewObservation {
        let stays = |phase: MemberPhase| phase != MemberPhase::Draining;
        let direct = self.alive(now).map(|peer| (peer.ip, peer.phase));
        let indirect = self.indirect_members(now).map(|(ip, row)| (*ip, row.phase));
        let mut observation = ViewObservation {
            alive: BTreeSet::from([me]),
            registered: self.registered.keys().copied().collect(),
            leaving: BTreeSet::new(),
            is_complete,
        };
        for (ip, phase) in direct.chain(indirect) {
            match stays(phase) {
                true => observation.alive.insert(ip),
                false => observation.leaving.insert(ip),
            };
        }
        observation
    }

    /// Takes a message in.
    pub fn receive(&mut self, message: &GossipMessage, now: TimeUs) -> ReceiveOutcome {
        let old = self.peers.get(&message.ip);
        let is_same_incarnation = old.is_some_and(|old| old.incarnation == message.incarnation);
        if is_same_incarnation && old.is_some_and(|old| old.message_number >= message.number) {
            return ReceiveOutcome::Stale;
        }
        let was_known = old.is_some_and(|old| is_same_incarnation && !is_silent(old, now));
        let mut delay_tracker = match old {
            Some(old) if is_same_incarnation => old.delay_tracker,
            _ => MessageDelay::default(),
        };
        let message_delay_us = delay_tracker.record(message.sent_at_us, now);
        for member in &message.members {
            self.receive_member_update(message, member, now);
        }
        let row = PeerRow {
            incarnation: message.incarnation,
            ip: message.ip,
            zone: message.zone.clone(),
            phase: message.phase,
            capacity: message.capacity,
            link_mbps: message.link_mbps,
            is_hub: message.is_hub,
            follows_stores: message.follows_stores,
            is_store_reachable: message.is_store_reachable,
            message_delay_us,
            delay_tracker,
            message_number: message.number,
            received_at_us: now,
        };
        self.peers.insert(message.ip, row);
        self.known.insert(
            message.ip,
            KnownAddress {
                zone: Some(message.zone.clone()),
                link_mbps: message.link_mbps,
                since_us: now,
            },
        );
        match was_known {
            true => ReceiveOutcome::Known,
            false => ReceiveOutcome::Joined,
        }
    }

    fn receive_member_update(
        &mut self,
        message: &GossipMessage,
        member: &MemberUpdate,
        now: TimeUs,
    ) {
        let Some(zone) = message.zones.get(usize::from(member.zone)) else {
            return;
        };
        let row = IndirectPeerRow {
            zone: zone.clone(),
            phase: member.phase,
            capacity: member.capacity,
            link_mbps: member.link_mbps,
            received_at_us: now,
        };
        self.indirect.insert(member.ip, row);
        self.record_address(member.ip, Some((zone.clone(), member.link_mbps)), now);
    }

    /// Forgets those that have been silent for long, and returns those that fell silent since
    /// `last`.
    pub fn tick(&mut self, last: TimeUs, now: TimeUs) -> Vec<Incarnation> {
        self.peers
            .retain(|_, peer| now.since(peer.received_at_us) < MEMBER_RETENTION_US);
        self.indirect
            .retain(|_, row| now.since(row.received_at_us) < INDIRECT_TTL_US);
        self.registered
            .retain(|_, seen_at| now.since(*seen_at) < REGISTRATION_TTL_US);
        let (peers, indirect) = (&self.peers, &self.indirect);
        self.known.retain(|ip, known| {
            let ttl_us = match peers.contains_key(ip) || indirect.contains_key(ip) {
                true => MEMBER_RETENTION_US,
                false => UNCONFIRMED_ADDRESS_TTL_US,
            };
            now.since(known.since_us) < ttl_us || indirect.contains_key(ip)
        });
        let fell_silent = |peer: &&PeerRow| is_silent(peer, now) && !is_silent(peer, last);
        let silent = self.peers.values().filter(fell_silent);
        silent.map(|peer| peer.incarnation).collect()
    }

    /// Lists the daemons that are heard directly.
    pub fn alive(&self, now: TimeUs) -> impl Iterator<Item = &PeerRow> {
        self.peers
            .values()
            .filter(move |peer| !is_silent(peer, now))
    }

    /// Lists the daemons that serve and are heard directly.
    pub fn ready(&self, now: TimeUs) -> impl Iterator<Item = &PeerRow> {
        self.alive(now)
            .filter(|peer| peer.phase == MemberPhase::Ready)
    }

    /// Lists the daemons that callers may be sent to: those that are heard, and those that a hub
    /// tells of.
    pub fn entries(&self, now: TimeUs) -> Vec<EntryPoint> {
        let direct = self.ready(now).map(PeerRow::entry);
        let mut entries: Vec<EntryPoint> = direct.collect();
        for (ip, row) in self.indirect_members(now) {
            if row.phase == MemberPhase::Ready {
                entries.push(EntryPoint {
                    ip: *ip,
                    zone: row.zone.clone(),
                    capacity: row.capacity,
                    link_mbps: row.link_mbps,
                });
            }
        }
        entries
    }

    /// Lists the daemons that are known through hubs alone.
    ///
    /// What a daemon says itself goes before what others tell of it, also its silence, but only for a while: when all
    /// start at once, many are heard directly before each has a hub, and never again.
    fn indirect_members(&self, now: TimeUs) -> impl Iterator<Item = (&Ipv4Addr, &IndirectPeerRow)> {
        self.indirect.iter().filter(move |(ip, _)| {
            let silence = self.silence(**ip, now);
            silence.is_none_or(|silence| silence > DIRECT_PRECEDENCE_US)
        })
    }

    /// Lists the daemons that a hub has told of a moment ago, to be told on.
    pub fn recent_indirect_members(
        &self,
        now: TimeUs,
    ) -> impl Iterator<Item = (EntryPoint, MemberPhase)> + '_ {
        let indirect = self.indirect_members(now);
        let fresh =
            indirect.filter(move |(_, row)| now.since(row.received_at_us) < FORWARD_MAX_AGE_US);
        fresh.map(|(ip, row)| {
            let entry = EntryPoint {
                ip: *ip,
                zone: row.zone.clone(),
                capacity: row.capacity,
                link_mbps: row.link_mbps,
            };
            (entry, row.phase)
        })
    }

    /// Returns how many other daemons there seem to be.
    pub fn count(&self, now: TimeUs) -> usize {
        let alive = self.alive(now).count();
        alive + self.indirect_members(now).count()
    }

    /// Makes the plan of hubs for a fleet with `me` in it.
    pub fn hub_plan(&self, me: &HubCandidate, now: TimeUs) -> HubPlan {
        let mut members = vec![me.clone()];
        for (ip, known) in &self.known {
            let is_departed = self
                .peers
                .get(ip)
                .is_some_and(|peer| is_silent(peer, now) || peer.phase == MemberPhase::Draining);
            if *ip == me.ip || (is_departed && !self.indirect.contains_key(ip)) {
                continue;
            }
            members.push(HubCandidate {
                ip: *ip,
                zone: known.zone.clone().unwrap_or_default(),
                link_mbps: known.link_mbps,
            });
        }
        HubPlan::for_members(&members)
    }

    /// Returns the addresses that a daemon tells its news.
    pub fn targets(&self, me: &HubCandidate, plan: &HubPlan, now: TimeUs) -> Vec<Ipv4Addr> {
        let others = self.known.keys().copied().filter(|ip| *ip != me.ip);
        if plan.is_small {
            return others.collect();
        }
        if !plan.is_hub(me.ip) {
            return plan.hub_of(me).into_iter().collect();
        }
        let mut targets: Vec<Ipv4Addr> = plan.hubs.iter().map(|hub| hub.ip).collect();
        for ip in others {
            let zone = self.known.get(&ip).and_then(|known| known.zone.clone());
            let member = HubCandidate {
                ip,
                zone: zone.unwrap_or_default(),
                link_mbps: 0,
            };
            let is_assigned = plan.hub_of(&member) == Some(me.ip);
            let sends_to_me = self.alive(now).any(|peer| peer.ip == ip && !peer.is_hub);
            if (is_assigned || sends_to_me) && !targets.contains(&ip) {
                targets.push(ip);
            }
        }
        targets.retain(|ip| *ip != me.ip);
        targets
    }

    /// Returns how many daemons ask the store before this one does, each of which confirms for all what
    /// is known of the objects that `kind` names.
    ///
    /// One that doesn't follow the store asks after those that do, and its turn is drawn from the size
    /// of the fleet: most of those that don't hear of each other.
    pub fn confirmation_rank(&self, kind: &str, me: Ipv4Addr, follows: bool, now: TimeUs) -> usize {
        let rank = Rendezvous::new("confirms", kind);
        let mine = rank.score(&me.octets());
        let followers = self.alive(now).filter(|peer| {
            let is_asking = peer.follows_stores && peer.is_store_reachable;
            is_asking && peer.phase != MemberPhase::Draining
        });
        if follows {
            let before = followers.filter(|peer| rank.score(&peer.ip.octets()) > mine);
            return before.count();
        }
        let daemons = self.count(now) + 1;
        1 + followers.count() + usize::try_from(mine).unwrap_or(0) % daemons
    }

    /// Returns a daemon that is heard directly.
    pub fn get(&self, ip: Ipv4Addr) -> Option<&PeerRow> {
        self.peers.get(&ip)
    }

    /// Returns how long ago anything was heard from an address.
    pub fn silence(&self, ip: Ipv4Addr, now: TimeUs) -> Option<DurationUs> {
        self.peers
            .get(&ip)
            .map(|peer| now.since(peer.received_at_us))
    }

    /// Returns whether a hub tells of an address.
    pub fn is_known_indirectly(&self, ip: Ipv4Addr) -> bool {
        self.indirect.contains_key(&ip)
    }
}

fn is_silent(peer: &PeerRow, now: TimeUs) -> bool {
    now.since(peer.received_at_us) > DIRECT_TIMEOUT_US
}
