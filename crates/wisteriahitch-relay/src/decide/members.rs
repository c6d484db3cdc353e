//! Membership of the fleet, from gossip messages.
//!
//! Each daemon sends small datagrams several times a second. What they convey is only used to make
//! the fleet faster; correctness relies on the platform's store.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

use wisteriahitch_types::{DurationUs, Incarnation, TimeUs};

use super::departures::DEPARTURE_REPEAT_US;
use super::gossip_message::{GossipMessage, MemberPhase, MemberUpdate};
use super::hubs::HubCandidate;
use super::lost_members::LostMembers;
use super::member_rows::{EntryPoint, IndirectPeerRow, KnownAddress, MemberReport, PeerRow};
use super::message_delay::MessageDelay;
use super::permit_shares::ViewObservation;

/// Silence after which a member is no longer listed for callers. Members send at least four messages
/// a second, so losing a few doesn't matter.
pub(super) const DIRECT_TIMEOUT_US: DurationUs = DurationUs::from_ms(900);
/// How long a member that is only known through a hub counts after the hub's last report of it.
/// If the hub reports its members on several pages, [`ROTATIONS_TO_LAPSE`] rotations are added.
pub(super) const INDIRECT_TTL_US: DurationUs = DurationUs::from_ms(2_500);
/// Maximum plausible rotation: that of a hub that reports 18,000 daemons.
const MAX_ROTATION_US: DurationUs = DurationUs::from_ms(60_000);
/// Number of rotations of a hub's pages after which a member lapses, so that losing a few messages in
/// a row doesn't matter.
const ROTATIONS_TO_LAPSE: u64 = 5;
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

/// The other daemons by address.
#[derive(Debug, Default)]
pub struct PeerTable {
    pub(super) peers: BTreeMap<Ipv4Addr, PeerRow>,
    /// Daemons that hubs report.
    pub(super) indirect: BTreeMap<Ipv4Addr, IndirectPeerRow>,
    /// All addresses that may be a daemon's.
    pub(super) known: BTreeMap<Ipv4Addr, KnownAddress>,
    /// Addresses that the store listed last as registered.
    registered: BTreeSet<Ipv4Addr>,
    /// Until when that listing is valid.
    registered_until_us: TimeUs,
    /// Time in which this daemon's hub reports each member once, by its last message.
    rotation_us: DurationUs,
    /// Members that other hubs have listed as departed, and when they were removed.
    pub(super) departed: BTreeMap<Ipv4Addr, TimeUs>,
    /// Members that are no longer known otherwise.
    pub(super) lost: LostMembers,
    /// When this daemon last went on after it was suspended; `None` if it never was.
    pub(super) resumed_at_us: Option<TimeUs>,
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
            is_confirmed: false,
        });
        if let Some((zone, link_mbps)) = place {
            row.zone = Some(zone);
            row.link_mbps = link_mbps;
        }
    }

    /// Replaces the addresses that are registered in the store. The listing is valid until `until`.
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
            starting: BTreeSet::new(),
            registered: self.registered.clone(),
            leaving: BTreeSet::new(),
            is_complete,
        };
        for (ip, phase) in direct.chain(indirect) {
            if phase == MemberPhase::Starting {
                observation.starting.insert(ip);
            }
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
        self.apply_departures(message, now);
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
            is_partitioned: message.is_partitioned,
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
                is_confirmed: message.phase != MemberPhase::Draining,
            },
        );
        self.lost.remove(message.ip);
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
        let same_reporter = old.filter(|old| old.reporter == message.ip);
        let row = IndirectPeerRow {
            changed_at_us: unchanged.map_or(now, |old| old.changed_at_us),
            zone: zone.clone(),
            phase: member.phase,
            capacity: member.capacity,
            link_mbps: member.link_mbps,
            received_at_us: now,
            reporter: message.ip,
            reporter_since_us: same_reporter.map_or(now, |old| old.reporter_since_us),
            forwarded_until_us: now + FORWARD_MAX_AGE_US + rotations_us,
            expires_at_us: now + INDIRECT_TTL_US + rotations_us,
        };
        self.indirect.insert(member.ip, row);
        self.record_address(member.ip, Some((zone.clone(), member.link_mbps)), now);
        if let Some(known) = self.known.get_mut(&member.ip) {
            known.is_confirmed = member.phase != MemberPhase::Draining;
        }
        self.lost.remove(member.ip);
    }

    /// Removes expired members, and returns those that fell silent since `last`.
    pub fn tick(&mut self, last: TimeUs, now: TimeUs) -> Vec<Incarnation> {
        self.record_round(last, now);
        self.expire_departures(now);
        self.peers
            .retain(|_, peer| now.since(peer.received_at_us) < MEMBER_RETENTION_US);
        self.indirect.retain(|_, row| {
            now < row
                .expires_at_us
                .max(row.forwarded_until_us + DEPARTURE_REPEAT_US)
        });
        if now >= self.registered_until_us {
            self.registered.clear();
        }
        let (peers, indirect, rotation_us) = (&self.peers, &self.indirect, self.rotation_us);
        let expired = self.known.extract_if(.., |ip, known| {
            let ttl_us = match peers.contains_key(ip) || indirect.contains_key(ip) {
                true => MEMBER_RETENTION_US,
                false => UNCONFIRMED_ADDRESS_TTL_US + rotation_us,
            };
            now.since(known.since_us) >= ttl_us && !indirect.contains_key(ip)
        });
        for (ip, known) in expired.filter(|(_, known)| known.is_confirmed) {
            let member = HubCandidate {
                ip,
                zone: known.zone.unwrap_or_default(),
                link_mbps: known.link_mbps,
            };
            self.lost.insert(member, now);
        }
        self.lost.expire(now);
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

    /// Lists the daemons that callers may be sent to, whether they send to this one or are reported
    /// by a hub.
    pub fn entries(&self, now: TimeUs) -> Vec<EntryPoint> {
        let direct = self.ready(now).map(PeerRow::entry);
        let mut entries: Vec<EntryPoint> = direct.collect();
        for (ip, row) in self.indirect_members(now) {
            if row.phase == MemberPhase::Ready {
                entries.push(row.entry(*ip));
            }
        }
        entries
    }

    /// Lists the daemons that are known only through hubs.
    ///
    /// A daemon's own messages, and its silence, take precedence over what others report about it,
    /// but only for a while. When all daemons start at once, many send to this one before each
    /// has a hub, and never again.
    fn indirect_members(&self, now: TimeUs) -> impl Iterator<Item = (&Ipv4Addr, &IndirectPeerRow)> {
        self.indirect.iter().filter(move |(ip, row)| {
            let silence = self.silence(**ip, now);
            let has_precedence = silence.is_none_or(|silence| silence > DIRECT_PRECEDENCE_US);
            has_precedence && now < row.expires_at_us
        })
    }

    /// Lists the daemons that another hub has reported recently enough to be forwarded.
    pub fn recent_indirect_members(&self, now: TimeUs) -> impl Iterator<Item = MemberReport> + '_ {
        let indirect = self.indirect_members(now);
        let recent = indirect.filter(move |(_, row)| now < row.forwarded_until_us);
        recent.map(|(ip, row)| row.report(*ip))
    }

    /// Returns how many other daemons there seem to be.
    pub fn count(&self, now: TimeUs) -> usize {
        let alive = self.alive(now).count();
        alive + self.indirect_members(now).count()
    }

    /// Returns a daemon whose messages this one receives directly.
    pub fn get(&self, ip: Ipv4Addr) -> Option<&PeerRow> {
        self.peers.get(&ip)
    }

    /// Returns the phase of a member, whether it sends to this daemon or is reported by a hub; `None`
    /// if the address isn't a member's.
    pub fn member_phase(&self, ip: Ipv4Addr, now: TimeUs) -> Option<MemberPhase> {
        let direct = self.peers.get(&ip).filter(|peer| !is_silent(peer, now));
        let indirect = || {
            let row = self.indirect.get(&ip);
            row.filter(|row| now < row.expires_at_us)
        };
        let direct = direct.map(|peer| peer.phase);
        direct.or_else(|| indirect().map(|row| row.phase))
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

/// Returns the time in which the sender of a message reports each of its members once.
fn rotation_of(message: &GossipMessage) -> DurationUs {
    DurationUs::from_ms(u64::from(message.membership.rotation_ms)).min(MAX_ROTATION_US)
}

pub(super) fn is_silent(peer: &PeerRow, now: TimeUs) -> bool {
    now.since(peer.received_at_us) > DIRECT_TIMEOUT_US
}
