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
use super::permit_shares::Sighting;

/// Silence after which a member is no longer named to callers. Members send at least four times a
/// second, so that a few lost datagrams don't count.
const SILENCE_US: DurationUs = DurationUs::from_ms(900);
/// The same for a member that a hub tells of.
const TOLD_LIFE_US: DurationUs = DurationUs::from_ms(2_500);
/// Silence up to which what a daemon said itself goes before what hubs tell of it: the time after which no hub tells any
/// more of one that fell silent, and as much again for its own silence.
const OWN_WORD_LIFE_US: DurationUs = DurationUs::from_ms(4_000);
/// Age up to which what a hub has told is told on; each step adds its own.
const TELL_ON_US: DurationUs = DurationUs::from_ms(1_200);
/// Time for which a registration that was listed counts: two listings.
const REGISTERED_LIFE_US: DurationUs = DurationUs::from_ms(10_000);
/// Silence after which a member is forgotten.
const FORGET_US: DurationUs = DurationUs::from_ms(30_000);
/// Time for which an address that was never heard is still taken for a daemon's.
const NEVER_HEARD_US: DurationUs = DurationUs::from_ms(3_000);

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
    pub held_up_us: DurationUs,
    delay: MessageDelay,
    number: u64,
    heard_at_us: TimeUs,
}

impl PeerRow {
    /// Returns it as callers are told of it.
    pub fn entry(&self) -> Entry {
        Entry {
            ip: self.ip,
            zone: self.zone.clone(),
            capacity: self.capacity,
            link_mbps: self.link_mbps,
        }
    }
}

/// One daemon that a hub tells of.
#[derive(Clone, Debug)]
struct ToldRow {
    zone: String,
    phase: MemberPhase,
    capacity: u16,
    link_mbps: u16,
    told_at_us: TimeUs,
}

/// A daemon that callers may be sent to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
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
struct KnownRow {
    zone: Option<String>,
    link_mbps: u16,
    since_us: TimeUs,
}

/// The other daemons by address.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<Ipv4Addr, PeerRow>,
    told: BTreeMap<Ipv4Addr, ToldRow>,
    known: BTreeMap<Ipv4Addr, KnownRow>,
    /// When each address was last seen registered in the store.
    registered: BTreeMap<Ipv4Addr, TimeUs>,
}

/// What a message changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Heard {
    /// It is an old one.
    Old,
    /// The sender was known.
    Again,
    /// The sender is new, or is back.
    Joined,
}

impl PeerTable {
    /// Notes an address that may be a daemon's, with its zone and link if those are known.
    pub fn know(&mut self, ip: Ipv4Addr, place: Option<(String, u16)>, now: TimeUs) {
        let row = self.known.entry(ip).or_insert(KnownRow {
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
    pub fn registered(&mut self, ip: Ipv4Addr, now: TimeUs) {
        self.registered.insert(ip, now);
    }

    /// Returns how many other addresses were registered lately.
    pub fn registered_count(&self) -> usize {
        self.registered.len()
    }

    /// Returns what is seen of the members, for the permits of cold endpoints.
    pub fn sighting(&self, me: Ipv4Addr, is_complete: bool, now: TimeUs) -> Sighting {
        let stays = |phase: MemberPhase| phase != MemberPhase::Draining;
        let direct = self.alive(now).map(|peer| (peer.ip, peer.phase));
        let told = self
            .known_by_gossip(now)
            .map(|(ip, told)| (*ip, told.phase));
        let mut sighting = Sighting {
            alive: BTreeSet::from([me]),
            registered: self.registered.keys().copied().collect(),
            leaving: BTreeSet::new(),
            is_complete,
        };
        for (ip, phase) in direct.chain(told) {
            match stays(phase) {
                true => sighting.alive.insert(ip),
                false => sighting.leaving.insert(ip),
            };
        }
        sighting
    }

    /// Takes a message in.
    pub fn heard(&mut self, message: &GossipMessage, now: TimeUs) -> Heard {
        let old = self.peers.get(&message.ip);
        let is_same_life = old.is_some_and(|old| old.incarnation == message.incarnation);
        if is_same_life && old.is_some_and(|old| old.number >= message.number) {
            return Heard::Old;
        }
        let was_there = old.is_some_and(|old| is_same_life && !is_silent(old, now));
        let mut delay = match old {
            Some(old) if is_same_life => old.delay,
            _ => MessageDelay::default(),
        };
        let held_up_us = delay.received(message.sent_at_us, now);
        for member in &message.members {
            self.told(message, member, now);
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
            held_up_us,
            delay,
            number: message.number,
            heard_at_us: now,
        };
        self.peers.insert(message.ip, row);
        self.known.insert(
            message.ip,
            KnownRow {
                zone: Some(message.zone.clone()),
                link_mbps: message.link_mbps,
                since_us: now,
            },
        );
        match was_there {
            true => Heard::Again,
            false => Heard::Joined,
        }
    }

    fn told(&mut self, message: &GossipMessage, member: &MemberUpdate, now: TimeUs) {
        let Some(zone) = message.zones.get(usize::from(member.zone)) else {
            return;
        };
        let row = ToldRow {
            zone: zone.clone(),
            phase: member.phase,
            capacity: member.capacity,
            link_mbps: member.link_mbps,
            told_at_us: now,
        };
        self.told.insert(member.ip, row);
        self.know(member.ip, Some((zone.clone(), member.link_mbps)), now);
    }

    /// Forgets those that have been silent for long, and returns those that fell silent since
    /// `last`.
    pub fn tick(&mut self, last: TimeUs, now: TimeUs) -> Vec<Incarnation> {
        self.peers
            .retain(|_, peer| now.since(peer.heard_at_us) < FORGET_US);
        self.told
            .retain(|_, told| now.since(told.told_at_us) < TOLD_LIFE_US);
        self.registered
            .retain(|_, seen_at| now.since(*seen_at) < REGISTERED_LIFE_US);
        let (peers, told) = (&self.peers, &self.told);
        self.known.retain(|ip, known| {
            let life = match peers.contains_key(ip) || told.contains_key(ip) {
                true => FORGET_US,
                false => NEVER_HEARD_US,
            };
            now.since(known.since_us) < life || told.contains_key(ip)
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
    pub fn entries(&self, now: TimeUs) -> Vec<Entry> {
        let direct = self.ready(now).map(PeerRow::entry);
        let mut entries: Vec<Entry> = direct.collect();
        for (ip, told) in self.known_by_gossip(now) {
            if told.phase == MemberPhase::Ready {
                entries.push(Entry {
                    ip: *ip,
                    zone: told.zone.clone(),
                    capacity: told.capacity,
                    link_mbps: told.link_mbps,
                });
            }
        }
        entries
    }

    /// Lists the daemons that are known through hubs alone.
    ///
    /// What a daemon says itself goes before what others tell of it, also its silence, but only for a while: when all
    /// start at once, many are heard directly before each has a hub, and never again.
    fn known_by_gossip(&self, now: TimeUs) -> impl Iterator<Item = (&Ipv4Addr, &ToldRow)> {
        self.told.iter().filter(move |(ip, _)| {
            let silence = self.silence(**ip, now);
            silence.is_none_or(|silence| silence > OWN_WORD_LIFE_US)
        })
    }

    /// Lists the daemons that a hub has told of a moment ago, to be told on.
    pub fn recently_gossiped(
        &self,
        now: TimeUs,
    ) -> impl Iterator<Item = (Entry, MemberPhase)> + '_ {
        let told = self.known_by_gossip(now);
        let fresh = told.filter(move |(_, told)| now.since(told.told_at_us) < TELL_ON_US);
        fresh.map(|(ip, told)| {
            let entry = Entry {
                ip: *ip,
                zone: told.zone.clone(),
                capacity: told.capacity,
                link_mbps: told.link_mbps,
            };
            (entry, told.phase)
        })
    }

    /// Returns how many other daemons there seem to be.
    pub fn count(&self, now: TimeUs) -> usize {
        let alive = self.alive(now).count();
        alive + self.known_by_gossip(now).count()
    }

    /// Makes the plan of hubs for a fleet with `me` in it.
    pub fn hub_plan(&self, me: &HubCandidate, now: TimeUs) -> HubPlan {
        let mut members = vec![me.clone()];
        for (ip, known) in &self.known {
            let is_gone = self
                .peers
                .get(ip)
                .is_some_and(|peer| is_silent(peer, now) || peer.phase == MemberPhase::Draining);
            if *ip == me.ip || (is_gone && !self.told.contains_key(ip)) {
                continue;
            }
            members.push(HubCandidate {
                ip: *ip,
                zone: known.zone.clone().unwrap_or_default(),
                link_mbps: known.link_mbps,
            });
        }
        HubPlan::of(&members)
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
            let is_mine = plan.hub_of(&member) == Some(me.ip);
            let tells_me = self.alive(now).any(|peer| peer.ip == ip && !peer.is_hub);
            if (is_mine || tells_me) && !targets.contains(&ip) {
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
    pub fn place_in_turn(&self, kind: &str, me: Ipv4Addr, follows: bool, now: TimeUs) -> usize {
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
        self.peers.get(&ip).map(|peer| now.since(peer.heard_at_us))
    }

    /// Returns whether a hub tells of an address.
    pub fn is_told(&self, ip: Ipv4Addr) -> bool {
        self.told.contains_key(&ip)
    }
}

fn is_silent(peer: &PeerRow, now: TimeUs) -> bool {
    now.since(peer.heard_at_us) > SILENCE_US
}
