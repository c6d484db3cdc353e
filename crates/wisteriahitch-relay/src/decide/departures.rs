//! Members that a hub no longer reports.
//!
//! Load pattern: many daemons of a large fleet fail at the same time. A hub's messages report the
//! members page by page, and a missing one would only expire after several whole lists. Callers
//! would be sent to failed daemons for that long, so hubs also list departures.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use wisteriahitch_types::{DurationUs, TimeUs};

use super::gossip_message::GossipMessage;
use super::members::{DIRECT_TIMEOUT_US, PeerTable, is_silent};

/// Time since the last report of a member after which a departure counts. Reports of two hubs that
/// disagree arrive closer together.
const DEPARTURE_GRACE_US: DurationUs = DurationUs::from_ms(400);

/// How long a hub repeats a departure. Long enough for several messages, some of which may be lost.
pub(super) const DEPARTURE_REPEAT_US: DurationUs = DurationUs::from_ms(2_000);

impl PeerTable {
    /// Removes the departed members in a hub's message, unless another report of them has arrived
    /// within the grace period. Members that this daemon receives messages from aren't affected.
    pub(super) fn apply_departures(&mut self, message: &GossipMessage, now: TimeUs) {
        for ip in &message.membership.departed {
            let last_reported = self.indirect.get(ip).map(|row| row.received_at_us);
            let is_outdated = |reported_at| now.since(reported_at) >= DEPARTURE_GRACE_US;
            if last_reported.is_some_and(is_outdated) {
                self.indirect.remove(ip);
            }
        }
    }

    /// Lists the members that this daemon, as a hub, has recently stopped to report: those whose
    /// own messages have ceased, and those that no other hub reports any more.
    pub fn recent_departures(&self, now: TimeUs) -> BTreeSet<Ipv4Addr> {
        let silent = self.peers.values().filter(|peer| is_silent(peer, now));
        let silent = silent.map(|peer| (peer.received_at_us + DIRECT_TIMEOUT_US, peer.ip));
        let unreported = self.indirect.iter();
        let unreported = unreported.map(|(ip, row)| (row.forwarded_until_us, *ip));
        let departed = silent.chain(unreported).filter(|(since, ip)| {
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
