//! Membership of the fleet, from gossip messages.
//!
//! Each daemon sends small datagrams several times a second. What they convey is only used to make
//! the fleet faster; correctness relies on the platform's store.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

use wisteriahitch_core::fleet::Rendezvous;
use wisteriahitch_types::{DurationUs, Incarnation, TimeUs};

use super::gossip_message::{GossipMessage, MemberPhase, MemberUpdate};
use super::hubs::{HubCandidate, HubPlan};
use super::message_delay::MessageDelay;
use super::permit_shares::ViewObservation;

/// Silence after which a member is no longer named to callers. Members send at least four messages
/// a second, so losing a few doesn't matter.
const DIRECT_TIMEOUT_US: DurationUs = DurationUs::from_ms(900);
/// How long a member that is only known through a hub counts after the hub last named it.
/// Where the list is spread over several messages, the time for some whole lists is added, so that
/// a few lost messages in a row don't matter.
const INDIRECT_TTL_US: DurationUs = DurationUs::from_ms(2_500);
/// Maximum plausible time in which a hub names each member once: that of 18,000 daemons.
const MAX_ROTATION_US: DurationUs = DurationUs::from_ms(60_000);
/// Number of whole lists in whose time a member must be named again.
const ROTATIONS_TO_LAPSE: u64 = 5;
/// Time since a member was last named after which a hub's report of its departure counts. Reports
/// of two hubs that disagree arrive closer together.
const DEPARTURE_GRACE_US: DurationUs = DurationUs::from_ms(400);
/// How long a hub tells its spokes that a daemon has departed. Long enough for several messages, so
/// that losing some doesn't matter.
const DEPARTURE_REPEAT_US: DurationUs = DurationUs::from_ms(2_000);
/// Silence up to which a daemon's own messages take precedence over what hubs report about it.
/// Twice the time after which no hub reports a silent daemon any more: once for that, and once for
/// the daemon's own silence.
const DIRECT_PRECEDENCE_US: DurationUs = DurationUs::from_ms(4_000);
/// Maximum age of a hub's report of a member that is forwarded. Each hop adds its own delay.
const FORWARD_MAX_AGE_US: DurationUs = DurationUs::from_ms(1_200);
/// Silence after which a member is removed.
const MEMBER_RETENTION_US: DurationUs = DurationUs::from_ms(30_000);
/// How long an address counts as a daemon's if no daemon there ever sent a message or was
/// reported by a hub.
const UNCONFIRMED_ADDRESS_TTL_US: DurationUs = DurationUs::from_ms(3_000);

/// Another daemon whose messages this one receives directly.
#[derive(Clone, Debug)]
pub struct PeerRow {
    /// Start of the daemon's process; a restarted daemon has another one.
    pub incarnation: Incarnation,
    /// Address.
    pub ip: Ipv4Addr,
    /// Availability zone.
    pub zone: String,
    /// Whether the daemon is starting, ready or draining.
    pub phase: MemberPhase,
    /// Capacity that the daemon reports, in thousandths of a core.
    pub capacity: u16,
    /// Rate of its VM's link in Mbit/s.
    pub link_mbps: u16,
    /// Whether the daemon is a hub.
    pub is_hub: bool,
    /// Whether the daemon watches the stores itself.
    pub follows_stores: bool,
    /// Whether the daemon reaches the store, or hears from another one that does.
    pub is_store_reachable: bool,
    /// How much longer its last message took than the fastest recent one.
    pub message_delay_us: DurationUs,
    delay_tracker: MessageDelay,
    message_number: u64,
    received_at_us: TimeUs,
    /// When the daemon was first heard, or its phase changed.
    changed_at_us: TimeUs,
}

impl PeerRow {
    /// Returns the daemon in the form in which hubs name it.
    pub fn report(&self) -> MemberReport {
        MemberReport {
            entry: self.entry(),
            phase: self.phase,
            changed_at_us: self.changed_at_us,
        }
    }

    /// Returns the daemon in the form in which callers are given it.
    pub fn entry(&self) -> EntryPoint {
        EntryPoint {
            ip: self.ip,
            zone: self.zone.clone(),
            capacity: self.capacity,
            link_mbps: self.link_mbps,
        }
    }
}

/// A daemon that a hub reports.
#[derive(Clone, Debug)]
struct IndirectPeerRow {
    zone: String,
    phase: MemberPhase,
    capacity: u16,
    link_mbps: u16,
    /// When a hub last named the daemon.
    received_at_us: TimeUs,
    /// When a hub first named the daemon, or its phase changed.
    changed_at_us: TimeUs,
    /// Until when the daemon may be forwarded as a member.
    fresh_until_us: TimeUs,
    /// Until when the daemon counts as a member.
    expires_at_us: TimeUs,
}

/// A daemon that callers may be sent to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryPoint {
    /// Address.
    pub ip: Ipv4Addr,
    /// Availability zone.
    pub zone: String,
    /// Capacity that the daemon reports, in thousandths of a core.
    pub capacity: u16,
    /// Rate of its VM's link in Mbit/s.
    pub link_mbps: u16,
}

/// A daemon as hubs name it to others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberReport {
    /// The daemon.
    pub entry: EntryPoint,
    /// Whether it is starting, ready or draining.
    pub phase: MemberPhase,
    /// When it was first known, or its phase changed.
    pub changed_at_us: TimeUs,
}

/// An address that may be a daemon's, known from the settings, the store or other daemons.
#[derive(Clone, Debug)]
struct KnownAddress {
    zone: Option<String>,
    link_mbps: u16,
    /// When the address was first recorded, or the daemon's last message arrived.
    since_us: TimeUs,
}

/// The other daemons by address.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<Ipv4Addr, PeerRow>,
    /// Daemons that hubs report.
    indirect: BTreeMap<Ipv4Addr, IndirectPeerRow>,
    /// All addresses that may be a daemon's.
    known: BTreeMap<Ipv4Addr, KnownAddress>,
    /// Addresses that were registered in the store by the last list.
    registered: BTreeSet<Ipv4Addr>,
    /// Until when that list counts.
    registered_until_us: TimeUs,
    /// Time in which this daemon's hub names each member once, by its last message.
    rotation_us: DurationUs,
}

/// Effect of a received message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReceiveOutcome {
    /// The message is outdated and was ignored.
    Stale,
    /// The sender was known.
    Known,
    /// The sender is new, has restarted, or is back after a silence.
    Joined,
}

impl PeerTable {
    /// Records an address that may be a daemon's, with its zone and the rate of its link in Mbit/s
    /// if known.
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

    /// Replaces the addresses that are registered in the store. They count until `until`.
    pub fn record_registrations(&mut self, registered: BTreeSet<Ipv4Addr>, until: TimeUs) {
        self.registered = registered;
        self.registered_until_us = until;
    }

    /// Returns how many other addresses were registered lately.
    pub fn registered_count(&self) -> usize {
        self.registered.len()
    }

    /// Returns which members are alive, registered and leaving, for the distribution of permits.
    pub fn observe_members(&self, me: Ipv4Addr, is_complete: bool, now: TimeUs) -> ViewObservation {
        let is_staying = |phase: MemberPhase| phase != MemberPhase::Draining;
        let direct = self.alive(now).map(|peer| (peer.ip, peer.phase));
        let indirect = self.indirect_members(now).map(|(ip, row)| (*ip, row.phase));
        let mut observation = ViewObservation {
            alive: BTreeSet::from([me]),
            registered: self.registered.clone(),
            leaving: BTreeSet::new(),
            is_complete,
        };
        for (ip, phase) in direct.chain(indirect) {
            match is_staying(phase) {
                true => observation.alive.insert(ip),
                false => observation.leaving.insert(ip),
            };
        }
        observation
    }

    /// Applies a message that another daemon sent to this one.
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
        let unchanged = old.filter(|old| was_known && old.phase == message.phase);
        let changed_at_us = unchanged.map_or(now, |old| old.changed_at_us);
        let message_delay_us = delay_tracker.record(message.sent_at_us, now);
        for member in &message.members {
            self.receive_member_update(message, member, now);
        }
        self.receive_departures(message, now);
        if !message.members.is_empty() {
            self.rotation_us = rotation_of(message);
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
            changed_at_us,
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
        let rotations_us = DurationUs::new(rotation_of(message).get() * ROTATIONS_TO_LAPSE);
        let old = self.indirect.get(&member.ip);
        let unchanged = old.filter(|old| old.phase == member.phase && now < old.expires_at_us);
        let row = IndirectPeerRow {
            changed_at_us: unchanged.map_or(now, |old| old.changed_at_us),
            zone: zone.clone(),
            phase: member.phase,
            capacity: member.capacity,
            link_mbps: member.link_mbps,
            received_at_us: now,
            fresh_until_us: now + FORWARD_MAX_AGE_US + rotations_us,
            expires_at_us: now + INDIRECT_TTL_US + rotations_us,
        };
        self.indirect.insert(member.ip, row);
        self.record_address(member.ip, Some((zone.clone(), member.link_mbps)), now);
    }

    /// Removes the daemons that a hub no longer names, unless this daemon hears them itself or
    /// another hub has named them since.
    fn receive_departures(&mut self, message: &GossipMessage, now: TimeUs) {
        for ip in &message.membership.departed {
            let last_named = self.indirect.get(ip).map(|row| row.received_at_us);
            let is_outdated = |named_at| now.since(named_at) >= DEPARTURE_GRACE_US;
            if last_named.is_some_and(is_outdated) {
                self.indirect.remove(ip);
            }
        }
    }

    /// Removes expired members, and returns those that fell silent since `last`.
    pub fn tick(&mut self, last: TimeUs, now: TimeUs) -> Vec<Incarnation> {
        self.peers
            .retain(|_, peer| now.since(peer.received_at_us) < MEMBER_RETENTION_US);
        self.indirect.retain(|_, row| {
            now < row
                .expires_at_us
                .max(row.fresh_until_us + DEPARTURE_REPEAT_US)
        });
        if now >= self.registered_until_us {
            self.registered.clear();
        }
        let (peers, indirect, rotation_us) = (&self.peers, &self.indirect, self.rotation_us);
        self.known.retain(|ip, known| {
            let ttl_us = match peers.contains_key(ip) || indirect.contains_key(ip) {
                true => MEMBER_RETENTION_US,
                false => UNCONFIRMED_ADDRESS_TTL_US + rotation_us,
            };
            now.since(known.since_us) < ttl_us || indirect.contains_key(ip)
        });
        let fell_silent = |peer: &&PeerRow| is_silent(peer, now) && !is_silent(peer, last);
        let silent = self.peers.values().filter(fell_silent);
        silent.map(|peer| peer.incarnation).collect()
    }

    /// Lists the daemons that have sent a message to this one lately.
    pub fn alive(&self, now: TimeUs) -> impl Iterator<Item = &PeerRow> {
        self.peers
            .values()
            .filter(move |peer| !is_silent(peer, now))
    }

    /// Lists the daemons that have sent a message to this one lately and are ready.
    pub fn ready(&self, now: TimeUs) -> impl Iterator<Item = &PeerRow> {
        self.alive(now)
            .filter(|peer| peer.phase == MemberPhase::Ready)
    }

    /// Lists the daemons that callers may be sent to, whether they are heard directly or reported
    /// by a hub.
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

    /// Lists the daemons that are known only through hubs.
    ///
    /// A daemon's own messages, and its silence, take precedence over what others report about it,
    /// but only for a while. When all daemons start at once, many are heard directly before each
    /// has a hub, and never again.
    fn indirect_members(&self, now: TimeUs) -> impl Iterator<Item = (&Ipv4Addr, &IndirectPeerRow)> {
        self.indirect.iter().filter(move |(ip, row)| {
            let silence = self.silence(**ip, now);
            let has_precedence = silence.is_none_or(|silence| silence > DIRECT_PRECEDENCE_US);
            has_precedence && now < row.expires_at_us
        })
    }

    /// Lists the daemons that a hub has reported a moment ago, for forwarding.
    pub fn recent_indirect_members(&self, now: TimeUs) -> impl Iterator<Item = MemberReport> + '_ {
        let indirect = self.indirect_members(now);
        let fresh = indirect.filter(move |(_, row)| now < row.fresh_until_us);
        fresh.map(|(ip, row)| MemberReport {
            entry: EntryPoint {
                ip: *ip,
                zone: row.zone.clone(),
                capacity: row.capacity,
                link_mbps: row.link_mbps,
            },
            phase: row.phase,
            changed_at_us: row.changed_at_us,
        })
    }

    /// Lists the daemons that a hub has recently stopped to name to its spokes: those that it no
    /// longer hears, and those that no hub names any more.
    ///
    /// Load pattern: many daemons of a large fleet die at once. Each message names a page of the
    /// members, so that callers would be sent to the dead ones for the time of a whole rotation.
    pub fn recent_departures(&self, now: TimeUs) -> BTreeSet<Ipv4Addr> {
        let is_named = |ip: &Ipv4Addr| {
            let row = self.indirect.get(ip);
            row.is_some_and(|row| now < row.fresh_until_us)
        };
        let is_heard = |ip: &Ipv4Addr| {
            let silence = self.silence(*ip, now);
            silence.is_some_and(|silence| silence <= DIRECT_TIMEOUT_US)
        };
        let silent = self.peers.values().filter(|peer| is_silent(peer, now));
        let silent = silent.map(|peer| (peer.received_at_us + DIRECT_TIMEOUT_US, peer.ip));
        let unnamed = self.indirect.iter();
        let unnamed = unnamed.map(|(ip, row)| (row.fresh_until_us, *ip));
        let departed = silent.chain(unnamed).filter(|(since, ip)| {
            let is_recent = *since <= now && now.since(*since) < DEPARTURE_REPEAT_US;
            is_recent && !is_named(ip) && !is_heard(ip)
        });
        departed.map(|(_, ip)| ip).collect()
    }

    /// Returns how many other daemons there seem to be.
    pub fn count(&self, now: TimeUs) -> usize {
        let alive = self.alive(now).count();
        alive + self.indirect_members(now).count()
    }

    /// Chooses the hubs of the fleet, including `me`.
    pub fn hub_plan(&self, me: &HubCandidate, now: TimeUs) -> HubPlan {
        let mut members = vec![me.clone()];
        for (ip, known) in &self.known {
            let is_departed = self
                .peers
                .get(ip)
                .is_some_and(|peer| is_silent(peer, now) || peer.phase == MemberPhase::Draining);
            let reported = self.indirect.get(ip);
            let is_reported =
                reported.is_some_and(|row| now.since(row.received_at_us) < INDIRECT_TTL_US);
            if *ip == me.ip || (is_departed && !is_reported) {
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

    /// Returns the addresses to which a daemon sends its gossip.
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

    /// Returns how many daemons ask the store about the objects named by `kind` before this one
    /// does. The answer to each of them confirms for the whole fleet what is known.
    ///
    /// A daemon that doesn't watch the store asks after those that do. Its rank among the others is
    /// a hash modulo the size of the fleet, since most of those daemons don't receive each other's
    /// messages.
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

    /// Returns a daemon whose messages this one receives directly.
    pub fn get(&self, ip: Ipv4Addr) -> Option<&PeerRow> {
        self.peers.get(&ip)
    }

    /// Returns the time since the last message from an address; `None` if there was none.
    pub fn silence(&self, ip: Ipv4Addr, now: TimeUs) -> Option<DurationUs> {
        self.peers
            .get(&ip)
            .map(|peer| now.since(peer.received_at_us))
    }

    /// Returns whether a hub reports an address.
    pub fn is_known_indirectly(&self, ip: Ipv4Addr) -> bool {
        self.indirect.contains_key(&ip)
    }
}

/// Returns the time in which the sender of a message names each member once.
fn rotation_of(message: &GossipMessage) -> DurationUs {
    DurationUs::from_ms(u64::from(message.membership.rotation_ms)).min(MAX_ROTATION_US)
}

fn is_silent(peer: &PeerRow, now: TimeUs) -> bool {
    now.since(peer.received_at_us) > DIRECT_TIMEOUT_US
}
