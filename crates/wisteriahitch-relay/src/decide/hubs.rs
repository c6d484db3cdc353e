//! Who tells whom: a few daemons of each availability zone gather the news of the others.
//!
//! Told by everybody to everybody, news grows with the square of the fleet; at some dozen daemons on
//! slow links it would crowd out the callers' own bytes. In a small fleet everybody is a hub, and
//! news takes one step. In a larger one each daemon tells its hub, hubs tell each other and their
//! own, and news takes three. `docs/design/platform.md` has the figures.

use std::net::Ipv4Addr;

use wisteriahitch_core::fleet::Rendezvous;

/// Fleets up to this size tell everything directly.
pub(crate) const SMALL_FLEET_MAX_SIZE: usize = 12;

/// Daemons of a zone that follow the platform's store and the part stores in a larger fleet. A part
/// store serves about a dozen such questions at once, and each return of a watch is paid for.
const STORE_WATCHERS_PER_ZONE: usize = 2;

/// A link counts as wide from this part of the widest one of its zone on.
const WIDE_LINK_DIVISOR: u16 = 4;

/// One daemon as far as it matters here.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HubCandidate {
    /// Address.
    pub ip: Ipv4Addr,
    /// Availability zone.
    pub zone: String,
    /// Rate of its VM's link.
    pub link_mbps: u16,
}

/// The hubs of a fleet as one daemon sees them.
///
/// They follow from the members' addresses alone. A daemon that is a hub among all is one in every
/// part of the fleet too, so that daemons which don't know of each other yet still meet at a hub.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HubPlan {
    /// All hubs with their zones.
    pub hubs: Vec<HubCandidate>,
    /// Whether the fleet is small, so that everybody is a hub.
    pub is_small: bool,
}

impl HubPlan {
    /// Makes the plan of a fleet.
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

    /// Returns the hub of a daemon that isn't one.
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

    /// Returns whether a daemon follows the stores itself instead of hearing of them.
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

/// Returns the hubs of one zone, the first by hash first: as many as the root of its daemons, so
/// that a hub has about as many daemons as other hubs of its zone.
///
/// Only wide links count where a zone has some: a hub sends a few megabits a second, and on a link of
/// ten its callers' own bytes would wait behind them. One would notice by connections that don't
/// open in time although both ends are well.
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
