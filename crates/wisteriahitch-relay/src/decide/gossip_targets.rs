//! To whom a daemon sends its gossip, and which daemon asks the store first.

use std::net::Ipv4Addr;

use wisteriahitch_core::fleet::Rendezvous;
use wisteriahitch_types::TimeUs;

use super::gossip_message::MemberPhase;
use super::hubs::{HubCandidate, HubPlan};
use super::member_rows::PeerRow;
use super::member_updates::ReportReceiver;
use super::members::{INDIRECT_TTL_US, PeerTable, is_silent};
use super::staleness::QueryRank;

/// Maximum number of daemons with another view of the fleet that a hub replies to in one round. When
/// all daemons start at once, a hub would otherwise encode a message for each of them.
const MAX_OTHER_VIEW_REPLIES: usize = 16;

impl PeerTable {
    /// Chooses the hubs of the fleet, including `me`.
    pub fn hub_plan(&self, me: &HubCandidate, now: TimeUs) -> HubPlan {
        HubPlan::for_members(&self.hub_candidates(me, now))
    }

    /// Lists the daemons that may be hubs, including `me`.
    pub(super) fn hub_candidates(&self, me: &HubCandidate, now: TimeUs) -> Vec<HubCandidate> {
        let mut members = vec![me.clone()];
        for (ip, known) in &self.known {
            let is_departed = self
                .peers
                .get(ip)
                .is_some_and(|peer| is_silent(peer, now) || peer.phase == MemberPhase::Draining);
            if *ip == me.ip || (is_departed && !self.is_reported(*ip, now)) {
                continue;
            }
            members.push(HubCandidate {
                ip: *ip,
                zone: known.zone.clone().unwrap_or_default(),
                link_mbps: known.link_mbps,
            });
        }
        members
    }

    /// Returns whether a hub has reported a member lately.
    pub(super) fn is_reported(&self, ip: Ipv4Addr, now: TimeUs) -> bool {
        let report = self.indirect.get(&ip);
        report.is_some_and(|row| now.since(row.received_at_us) < INDIRECT_TTL_US)
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
        let mut other_view_replies = 0;
        for ip in others {
            let zone = self.known.get(&ip).and_then(|known| known.zone.clone());
            let member = HubCandidate {
                ip,
                zone: zone.unwrap_or_default(),
                link_mbps: 0,
            };
            let is_assigned = plan.hub_of(&member) == Some(me.ip);
            let peer = self.get(ip).filter(|peer| !is_silent(peer, now));
            let sends_to_me = peer.is_some_and(|peer| !peer.is_hub);
            // A daemon that considers itself a hub and isn't one has an incomplete view of the fleet.
            // The reply completes it.
            let has_other_view = !is_assigned && peer.is_some_and(|peer| peer.is_hub);
            let is_answered = has_other_view && other_view_replies < MAX_OTHER_VIEW_REPLIES;
            if (is_assigned || sends_to_me || is_answered) && !targets.contains(&ip) {
                other_view_replies += usize::from(is_answered);
                targets.push(ip);
            }
        }
        targets.retain(|ip| *ip != me.ip);
        targets
    }

    /// Returns which members a message of this daemon, as a hub, reports to another one.
    pub fn report_receiver(&self, plan: &HubPlan, ip: Ipv4Addr, now: TimeUs) -> ReportReceiver {
        if plan.is_hub(ip) {
            return ReportReceiver::Hub;
        }
        let has_other_view = |peer: &PeerRow| peer.is_hub || is_silent(peer, now);
        match self.get(ip).is_some_and(has_other_view) {
            true => ReportReceiver::OtherView,
            false => ReportReceiver::Spoke,
        }
    }

    /// Lists the hubs from which this daemon receives updates about the store. `is_hub` is whether this
    /// daemon is a hub itself.
    ///
    /// A hub only relies on hubs that watch the store themselves. Two hubs that relied on each other
    /// would report the store as reachable forever after it has failed.
    pub fn upstream_hubs(&self, is_hub: bool, now: TimeUs) -> impl Iterator<Item = &PeerRow> {
        self.alive(now)
            .filter(move |peer| peer.is_hub && (!is_hub || peer.follows_stores))
    }

    /// Returns this daemon's place in the order in which daemons ask the store about the objects
    /// named by `kind`. The answer to each of them confirms for the whole fleet what is known.
    ///
    /// A daemon that doesn't watch the store asks after those that do. Its place among the others is
    /// a hash modulo the size of the fleet, since most of those daemons don't receive each other's
    /// messages.
    pub fn query_rank(&self, kind: &str, me: Ipv4Addr, follows: bool, now: TimeUs) -> QueryRank {
        let rank = Rendezvous::new("confirms", kind);
        let mine = rank.score(&me.octets());
        let followers = self.alive(now).filter(|peer| {
            let is_asking = peer.follows_stores && peer.is_store_reachable;
            is_asking && peer.phase != MemberPhase::Draining
        });
        let scores: Vec<u64> = followers
            .map(|peer| rank.score(&peer.ip.octets()))
            .collect();
        if follows {
            return QueryRank {
                place: scores.iter().filter(|score| **score > mine).count(),
                places: scores.len() + 1,
            };
        }
        let daemons = self.count(now) + 1;
        QueryRank {
            place: 1 + scores.len() + usize::try_from(mine).unwrap_or(0) % daemons,
            places: 1 + scores.len() + daemons,
        }
    }
}
