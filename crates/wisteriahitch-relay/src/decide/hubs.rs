//! Gossip topology: which daemons exchange messages with which.
//!
//! If every daemon sent its gossip to every other one, the traffic would grow with the square of
//! the fleet size, and with some dozen daemons on slow links it would crowd out the callers' bytes.
//! In a small fleet every daemon is a hub, and gossip takes one hop. In a larger one a few daemons
//! of each availability zone are hubs: each daemon sends to its hub, hubs send to each other and to
//! their own daemons, and gossip takes three hops. `docs/design/platform.md` has the figures.

use std::net::Ipv4Addr;

use wisteriahitch_core::fleet::Rendezvous;

/// Maximum size of a fleet in which all daemons gossip with each other directly.
pub(crate) const SMALL_FLEET_MAX_SIZE: usize = 12;

/// Number of daemons in each zone of a larger fleet that watch the platform's store and the part
/// stores themselves. A part store serves about a dozen watches at once, and each answer to a watch
/// costs money.
const STORE_WATCHERS_PER_ZONE: usize = 2;

/// A link counts as wide if its rate is at least that of the zone's widest link divided by this.
const WIDE_LINK_DIVISOR: u16 = 4;

/// What the choice of hubs depends on for one daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HubCandidate {
    /// Address.
    pub ip: Ipv4Addr,
    /// Availability zone.
    pub zone: String,
    /// Rate of its VM's link in Mbit/s.
    pub link_mbps: u16,
}

/// The hubs of a fleet as one daemon sees them.
///
/// Hubs are chosen by hashing the members' addresses, without messages. A daemon that is a hub of
/// the whole fleet is also one of every subset that it belongs to, so daemons that know different
/// subsets of the fleet still meet at a hub.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HubPlan {
    /// All hubs.
    pub hubs: Vec<HubCandidate>,
    /// Whether the fleet is small, so that every daemon is a hub.
    pub is_small: bool,
}

impl HubPlan {
    /// Chooses the hubs of a fleet.
    pub fn for_members(members: &[HubCandidate]) -> Self {
        if members.len() <= SMALL_FLEET_MAX_SIZE {
            return Self {
                hubs: members.to_vec(),
                is_small: true,
            };
        }
        let mut zones: Vec<&str> = members.iter().map(|member| member.zone.as_str()).collect();
        zones.sort_unstable();
        zones.dedup();
        let mut hubs = Vec::new();
        for zone in zones {
            hubs.extend(hubs_of(zone, members));
        }
        Self {
            hubs,
            is_small: false,
        }
    }

    /// Returns whether a daemon is a hub.
    pub fn is_hub(&self, ip: Ipv4Addr) -> bool {
        self.hubs.iter().any(|hub| hub.ip == ip)
    }

    /// Returns the hub of a daemon that isn't one itself.
    pub fn hub_of(&self, member: &HubCandidate) -> Option<Ipv4Addr> {
        let same_zone = |hub: &&HubCandidate| hub.zone == member.zone;
        let in_zone: Vec<Ipv4Addr> = self
            .hubs
            .iter()
            .filter(same_zone)
            .map(|hub| hub.ip)
            .collect();
        let rank = Rendezvous::new("hub-of", &member.ip.to_string());
        rank.top(in_zone, 1, |ip| ip.octets().to_vec())
            .first()
            .copied()
    }

    /// Returns whether a daemon watches the stores itself instead of learning their contents by
    /// gossip.
    pub fn follows_stores(&self, member: &HubCandidate) -> bool {
        if self.is_small {
            return true;
        }
        let in_zone = self.hubs.iter().filter(|hub| hub.zone == member.zone);
        in_zone
            .take(STORE_WATCHERS_PER_ZONE)
            .any(|hub| hub.ip == member.ip)
    }
}

/// Returns the hubs of one zone in the order of their hash score. Their number is the square root
/// of the number of daemons in the zone, so that each hub has about as many daemons as there are
/// hubs.
///
/// Only daemons with wide links are chosen if the zone has enough of them. A hub sends a few
/// Mbit/s, and on a link of 10 Mbit/s its callers' bytes would wait behind these: connections would
/// time out although both ends are healthy.
fn hubs_of(zone: &str, members: &[HubCandidate]) -> Vec<HubCandidate> {
    let in_zone: Vec<HubCandidate> = members
        .iter()
        .filter(|member| member.zone == zone)
        .cloned()
        .collect();
    let count = (in_zone.len() as f64).sqrt().ceil() as usize;
    let rank = Rendezvous::new("hub", zone);
    let mut scored: Vec<(f64, HubCandidate)> = in_zone
        .into_iter()
        .map(|member| {
            let weight = f64::from(member.link_mbps.max(1));
            (rank.weighted_score(&member.ip.octets(), weight), member)
        })
        .collect();
    scored.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    let widest = scored
        .iter()
        .map(|(_, member)| member.link_mbps)
        .max()
        .unwrap_or(0);
    let wide = scored
        .iter()
        .filter(|(_, member)| member.link_mbps >= widest / WIDE_LINK_DIVISOR)
        .count();
    if wide >= STORE_WATCHERS_PER_ZONE {
        scored.retain(|(_, member)| member.link_mbps >= widest / WIDE_LINK_DIVISOR);
    }
    scored.truncate(count.max(STORE_WATCHERS_PER_ZONE));
    scored.into_iter().map(|(_, member)| member).collect()
}
