//! The other daemons, as their own messages tell.
//!
//! Each daemon sends a small datagram to the others several times a second. What they believe of
//! each other makes the fleet faster, never wrong; what must be right rests on the platform's store.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};
use wisteriahitch_types::{DurationUs, Incarnation, TimeUs};

use super::backlog::Load;

/// Silence after which a member is no longer named to callers. Members send at least every 250 ms,
/// so that a few lost datagrams don't count.
const SILENCE_US: DurationUs = DurationUs::from_ms(900);
/// Silence after which a member is forgotten.
const FORGET_US: DurationUs = DurationUs::from_ms(30_000);

/// Says what a member does.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum MemberPhase {
    /// It has no configuration or endpoints yet.
    Starting,
    /// It serves.
    Ready,
    /// It will leave; it takes requests but is named to nobody.
    Draining,
}

/// Work that the sender has at one endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct EndpointNews {
    /// Short name of the endpoint.
    pub endpoint: u64,
    /// Work.
    pub load: Load,
    /// Whether the sender gives it an order now, so that it takes no requests.
    pub is_reserved: bool,
}

/// A part that an endpoint has read.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PartNews {
    /// Short name of the endpoint.
    pub endpoint: u64,
    /// Key of the part.
    pub part: u64,
    /// Size.
    pub tokens: u32,
}

/// What one daemon tells the others.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Beacon {
    /// Life of the sender.
    pub incarnation: Incarnation,
    /// Counts the sender's messages, so that a late one isn't taken for the newest.
    pub number: u64,
    /// Address of the sender's VM; its ports are those of every daemon.
    pub ip: Ipv4Addr,
    /// Availability zone of the sender.
    pub zone: String,
    /// What the sender does.
    pub phase: MemberPhase,
    /// Whether the store answers the sender.
    pub is_store_reachable: bool,
    /// Revision of the last change of each kind of object that the sender knows, in the order
    /// in which daemons follow the kinds.
    pub revisions: Vec<u64>,
    /// Work of the sender.
    pub endpoints: Vec<EndpointNews>,
    /// Parts that were read for the sender since its last message.
    pub parts: Vec<PartNews>,
    /// Other daemons that the sender hears from.
    pub heard: Vec<Ipv4Addr>,
}

/// One other daemon.
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
    /// Whether the store answers it.
    pub is_store_reachable: bool,
    number: u64,
    heard_at_us: TimeUs,
}

/// The other daemons by address.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<Ipv4Addr, PeerRow>,
    /// Addresses that are known from elsewhere: the settings, the store, or other daemons.
    known: BTreeMap<Ipv4Addr, TimeUs>,
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
    /// Notes an address that may be a daemon's.
    pub fn know(&mut self, ip: Ipv4Addr, now: TimeUs) {
        self.known.entry(ip).or_insert(now);
    }

    /// Takes a message in.
    pub fn heard(&mut self, beacon: &Beacon, now: TimeUs) -> Heard {
        for ip in &beacon.heard {
            self.know(*ip, now);
        }
        let old = self.peers.get(&beacon.ip);
        let is_same_life = old.is_some_and(|old| old.incarnation == beacon.incarnation);
        if is_same_life && old.is_some_and(|old| old.number >= beacon.number) {
            return Heard::Old;
        }
        let was_there = old.is_some_and(|old| is_same_life && !is_silent(old, now));
        self.known.insert(beacon.ip, now);
        let row = PeerRow {
            incarnation: beacon.incarnation,
            ip: beacon.ip,
            zone: beacon.zone.clone(),
            phase: beacon.phase,
            is_store_reachable: beacon.is_store_reachable,
            number: beacon.number,
            heard_at_us: now,
        };
        self.peers.insert(beacon.ip, row);
        match was_there {
            true => Heard::Again,
            false => Heard::Joined,
        }
    }

    /// Forgets those that have been silent for long, and returns those that fell silent since
    /// `last`.
    pub fn tick(&mut self, last: TimeUs, now: TimeUs) -> Vec<Incarnation> {
        self.peers
            .retain(|_, peer| now.since(peer.heard_at_us) < FORGET_US);
        self.known.retain(|_, since| now.since(*since) < FORGET_US);
        let fell_silent = |peer: &&PeerRow| is_silent(peer, now) && !is_silent(peer, last);
        let silent = self.peers.values().filter(fell_silent);
        silent.map(|peer| peer.incarnation).collect()
    }

    /// Lists the daemons that are heard.
    pub fn alive(&self, now: TimeUs) -> impl Iterator<Item = &PeerRow> {
        self.peers
            .values()
            .filter(move |peer| !is_silent(peer, now))
    }

    /// Lists the daemons that callers may be sent to.
    pub fn ready(&self, now: TimeUs) -> impl Iterator<Item = &PeerRow> {
        self.alive(now)
            .filter(|peer| peer.phase == MemberPhase::Ready)
    }

    /// Lists every address that may be a daemon's.
    pub fn addresses(&self) -> Vec<Ipv4Addr> {
        self.known.keys().copied().collect()
    }

    /// Returns how long ago anything was heard from an address.
    pub fn silence(&self, ip: Ipv4Addr, now: TimeUs) -> Option<DurationUs> {
        self.peers.get(&ip).map(|peer| now.since(peer.heard_at_us))
    }
}

fn is_silent(peer: &PeerRow, now: TimeUs) -> bool {
    now.since(peer.heard_at_us) > SILENCE_US
}
