//! Members that a hub no longer reports.
//!
//! Load pattern: many daemons of a large fleet fail at the same time. A hub's messages report the
//! members page by page, and a missing one would only expire after several whole lists. Callers
//! would be sent to failed daemons for that long, so hubs also list departures: to each other those of
//! the daemons that they serve, and to their own daemons those of all members.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use wisteriahitch_types::{DurationUs, TimeUs};

use super::gossip_message::GossipMessage;
use super::member_rows::PeerRow;
use super::members::{DIRECT_TIMEOUT_US, PeerTable, is_silent};

/// Time since another hub's last report of a member after which a departure counts. Reports of two
/// hubs that disagree arrive closer together.
const DEPARTURE_GRACE_US: DurationUs = DurationUs::from_ms(400);

/// Time between two rounds of messages above which the daemon counts as suspended. Rounds are 0.1 to
/// 0.2 s apart, and a silence counts after [`DIRECT_TIMEOUT_US`].
const MAX_ROUND_GAP_US: DurationUs = DurationUs::from_ms(400);

/// Time within which a hub must have received a message from some daemon before it reports the silence of
/// others. A hub that receives none is itself partitioned, or hasn't read its messages yet.
const RECEIVE_WINDOW_US: DurationUs = DurationUs::from_ms(400);

/// How long a hub repeats a departure. Long enough for several messages, some of which may be lost.
pub(super) const DEPARTURE_REPEAT_US: DurationUs = DurationUs::from_ms(2_000);

impl PeerTable {
    /// Removes the departed members in a hub's message, unless another hub has reported them within
    /// the grace period. Members that this daemon receives messages from aren't affected.
    pub(super) fn apply_departures(&mut self, message: &GossipMessage, now: TimeUs) {
        for ip in &message.membership.departed {
            let Some(row) = self.indirect.get(ip) else {
                continue;
            };
            let other_reported_at = match row.reporter == message.ip {
                true => row.reporter_since_us,
                false => row.received_at_us,
            };
            if now.since(other_reported_at) >= DEPARTURE_GRACE_US {
                self.indirect.remove(ip);
                self.departed.insert(*ip, now);
            }
        }
    }

    /// Forgets departures that are repeated no longer.
    pub(super) fn expire_departures(&mut self, now: TimeUs) {
        self.departed
            .retain(|_, since| now.since(*since) < DEPARTURE_REPEAT_US);
    }

    /// Records that this daemon sends a round of messages, the one before it at `last`.
    pub(super) fn record_round(&mut self, last: TimeUs, now: TimeUs) {
        if now.since(last) > MAX_ROUND_GAP_US {
            self.resumed_at_us = Some(now);
        }
    }

    /// Lists the daemons served by this one, as a hub, that have fallen silent lately.
    ///
    /// There are none just after this daemon was suspended, or while it receives no messages. It hasn't read the
    /// messages of that time, and all members would drop the daemons that it serves.
    pub(super) fn recent_silences(&self, now: TimeUs) -> BTreeSet<Ipv4Addr> {
        let has_just_resumed = |resumed_at| now.since(resumed_at) < DIRECT_TIMEOUT_US;
        let is_heard = |peer: &PeerRow| now.since(peer.received_at_us) < RECEIVE_WINDOW_US;
        if self.resumed_at_us.is_some_and(has_just_resumed) || !self.peers.values().any(is_heard) {
            return BTreeSet::new();
        }
        let silent = self.peers.values().filter(|peer| is_silent(peer, now));
        let served = silent.filter(|peer| !peer.is_hub);
        let since = served.map(|peer| (peer.received_at_us + DIRECT_TIMEOUT_US, peer.ip));
        self.unreported_since(since, now)
    }

    /// Lists the members that this daemon, as a hub, has recently stopped to report: those whose
    /// own messages have ceased, those that no other hub reports any more, and those that another hub
    /// has listed as departed.
    pub fn recent_departures(&self, now: TimeUs) -> BTreeSet<Ipv4Addr> {
        let silent = self.peers.values().filter(|peer| is_silent(peer, now));
        let silent = silent.map(|peer| (peer.received_at_us + DIRECT_TIMEOUT_US, peer.ip));
        let unreported = self.indirect.iter();
        let unreported = unreported.map(|(ip, row)| (row.forwarded_until_us, *ip));
        let departed = self.departed.iter().map(|(ip, since)| (*since, *ip));
        self.unreported_since(silent.chain(unreported).chain(departed), now)
    }

    /// Returns those of these daemons that this one, as a hub, stopped to report lately.
    fn unreported_since(
        &self,
        since: impl Iterator<Item = (TimeUs, Ipv4Addr)>,
        now: TimeUs,
    ) -> BTreeSet<Ipv4Addr> {
        let departed = since.filter(|(since, ip)| {
            let is_recent = *since <= now && now.since(*since) < DEPARTURE_REPEAT_US;
            is_recent && !self.is_reported_as_member(*ip, now)
        });
        departed.map(|(_, ip)| ip).collect()
    }

    /// Returns whether this daemon, as a hub, reports an address as a member.
    fn is_reported_as_member(&self, ip: Ipv4Addr, now: TimeUs) -> bool {
        let is_direct = self
            .peers
            .get(&ip)
            .is_some_and(|peer| !is_silent(peer, now));
        let row = self.indirect.get(&ip);
        is_direct || row.is_some_and(|row| now < row.forwarded_until_us)
    }
}
