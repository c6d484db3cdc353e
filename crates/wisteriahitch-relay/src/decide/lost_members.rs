//! Lost members are probed, so that the parts of a partitioned fleet find each other again.
//!
//! Load pattern: links between daemons are cut for seconds and heal. Both sides count each other as
//! failed and stop sending, and only a listing of the registrations would bring them together again.
//! That needs the store, which may be unavailable just then: a daemon stays alone, or a fleet in
//! parts, although all links work. So lost members are remembered, and those of them that are hubs of
//! the whole fleet get a message once per second. A tenth of the usual messages to a hub is spent on
//! one that has failed for good. `docs/design/platform.md` has the figures.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use wisteriahitch_types::{DurationUs, TimeUs};

use super::gossip_message::MemberPhase;
use super::hubs::{HubCandidate, HubPlan};
use super::members::{PeerTable, is_silent};

/// Time between two rounds of probes.
const PROBE_INTERVAL_US: DurationUs = DurationUs::from_ms(1_000);

/// Maximum number of lost hubs probed in one round. The others follow in rotation.
const MAX_PROBES: usize = 16;

/// Time for which a lost member is remembered. Daemons find each other by the registrations after
/// that.
const LOST_RETENTION_US: DurationUs = DurationUs::from_ms(300_000);

/// Members that are no longer known otherwise.
#[derive(Debug, Default)]
pub(super) struct LostMembers {
    members: BTreeMap<Ipv4Addr, LostMember>,
    last_probe_us: TimeUs,
    /// Number of probes so far, for the rotation.
    probes: usize,
}

#[derive(Debug)]
struct LostMember {
    zone: String,
    link_mbps: u16,
    lost_at_us: TimeUs,
}

impl LostMembers {
    /// Remembers a member that is no longer known.
    pub(super) fn insert(&mut self, member: HubCandidate, now: TimeUs) {
        let lost = LostMember {
            zone: member.zone,
            link_mbps: member.link_mbps,
            lost_at_us: now,
        };
        self.members.insert(member.ip, lost);
    }

    /// Forgets a member that is known again.
    pub(super) fn remove(&mut self, ip: Ipv4Addr) {
        self.members.remove(&ip);
    }

    /// Forgets members that were lost long ago.
    pub(super) fn expire(&mut self, now: TimeUs) {
        self.members
            .retain(|_, lost| now.since(lost.lost_at_us) < LOST_RETENTION_US);
    }

    fn candidates(&self) -> impl Iterator<Item = HubCandidate> {
        self.members.iter().map(|(ip, lost)| HubCandidate {
            ip: *ip,
            zone: lost.zone.clone(),
            link_mbps: lost.link_mbps,
        })
    }
}

impl PeerTable {
    /// Returns the lost hubs to which this daemon sends a message now, in addition to its targets.
    ///
    /// They are hubs of the fleet with all lost members, so each one that is alive is also a hub of
    /// the part that it belongs to, and answers. A daemon that hears from its hub leaves this to the
    /// hub.
    pub fn lost_hubs_to_probe(
        &mut self,
        me: &HubCandidate,
        plan: &HubPlan,
        now: TimeUs,
    ) -> Vec<Ipv4Addr> {
        let is_hub = plan.is_hub(me.ip);
        let is_due = now.since(self.lost.last_probe_us) >= PROBE_INTERVAL_US;
        if !is_due || (!is_hub && self.upstream_hubs(false, now).next().is_some()) {
            return Vec::new();
        }
        self.lost.last_probe_us = now;
        let mut members = self.hub_candidates(me, now);
        members.extend(self.silent_members(now));
        members.extend(self.lost.candidates());
        let hubs = HubPlan::for_members(&members).hubs;
        let is_heard = |ip| self.get(ip).is_some_and(|peer| !is_silent(peer, now));
        let is_lost = |hub: &HubCandidate| hub.ip != me.ip && !is_heard(hub.ip);
        let mut lost: Vec<Ipv4Addr> = hubs.into_iter().filter(is_lost).map(|hub| hub.ip).collect();
        if !lost.is_empty() {
            let offset = self.lost.probes % lost.len();
            lost.rotate_left(offset);
        }
        lost.truncate(MAX_PROBES);
        self.lost.probes = self.lost.probes.wrapping_add(lost.len());
        lost
    }

    /// Lists the members that have fallen silent, but not those that announced their departure.
    fn silent_members(&self, now: TimeUs) -> impl Iterator<Item = HubCandidate> {
        let silent = self.peers.values().filter(move |peer| {
            is_silent(peer, now)
                && peer.phase != MemberPhase::Draining
                && !self.is_reported(peer.ip, now)
        });
        silent.map(|peer| HubCandidate {
            ip: peer.ip,
            zone: peer.zone.clone(),
            link_mbps: peer.link_mbps,
        })
    }
}
