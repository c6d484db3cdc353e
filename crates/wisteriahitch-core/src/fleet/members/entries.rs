//! The answer to `GET /v1/entries`.

use std::net::SocketAddr;

use serde::Serialize;
use wisteriahitch_types::{AvailabilityZone, Incarnation, WorkspaceId};

use super::{Member, MemberState, Membership};
use crate::fleet::Rendezvous;

/// How much more often a daemon in the caller's own availability zone comes first.
const SAME_ZONE_WEIGHT: f64 = 4.0;
/// Least weight that a fully loaded daemon keeps, so that all the callers never leave it at once.
const MIN_IDLE_WEIGHT: f64 = 0.05;
const FULL_PERMILLE: f64 = 1_000.0;

/// Names an address that a caller may use.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct EntryAddress {
    /// Where callers connect.
    pub address: SocketAddr,
    /// Availability zone it is in.
    pub availability_zone: AvailabilityZone,
    /// Incarnation that answers there now.
    pub incarnation: Incarnation,
}

impl Membership {
    /// Returns addresses for a caller in `zone`, the best first.
    ///
    /// Each answer is shuffled by its own `seed`, weighted by zone and load: callers keep an
    /// answer a while, so one order for all of them would send all to one daemon. A workspace is
    /// spread over a fixed few daemons of a large fleet, so that its mistakes reach only these.
    /// Draining, leaving, suspect and starting daemons are left out at once.
    pub fn entries(
        &self,
        zone: Option<&AvailabilityZone>,
        workspace: &WorkspaceId,
        seed: u64,
    ) -> Vec<EntryAddress> {
        let (ready, starting): (Vec<&Member>, Vec<&Member>) =
            self.workers().partition(|member| member.is_ready());
        // A daemon that starts answers nothing but `not ready`, in an outage for many seconds. It is
        // named only where nobody else is, since its readiness may not have been heard of yet.
        let listed = if ready.is_empty() { starting } else { ready };
        let candidates = if listed.is_empty() {
            // An empty answer would cut the callers off although some daemon may well answer:
            // this daemon drains and all others are suspect.
            let is_suspect = |member: &&Member| member.state == MemberState::Suspect;
            self.members().filter(is_suspect).collect()
        } else {
            listed
        };
        let share = self.share_of(zone, workspace, candidates);
        let order = Rendezvous::new("entries-order", &seed.to_string());
        let ranked = rank(share, |member| {
            order.weighted_score(&bytes_of(member), weight(member, zone))
        });
        ranked.into_iter().map(to_entry).collect()
    }

    /// Returns the daemons that this workspace is spread over, whatever their load.
    fn share_of<'a>(
        &self,
        zone: Option<&AvailabilityZone>,
        workspace: &WorkspaceId,
        candidates: Vec<&'a Member>,
    ) -> Vec<&'a Member> {
        let order = Rendezvous::new("entries-share", workspace.as_str());
        let mut ranked = rank(candidates, |member| {
            order.weighted_score(&bytes_of(member), zone_weight(member, zone))
        });
        ranked.truncate(self.settings.max_entries);
        ranked
    }
}

fn rank(members: Vec<&Member>, score: impl Fn(&Member) -> f64) -> Vec<&Member> {
    let mut scored: Vec<(f64, &Member)> = members.into_iter().map(|m| (score(m), m)).collect();
    scored.sort_by(|a, b| a.0.total_cmp(&b.0));
    scored.into_iter().map(|(_, member)| member).collect()
}

fn weight(member: &Member, zone: Option<&AvailabilityZone>) -> f64 {
    let idle = 1.0 - f64::from(member.load_permille) / FULL_PERMILLE;
    zone_weight(member, zone) * idle.max(MIN_IDLE_WEIGHT)
}

fn zone_weight(member: &Member, zone: Option<&AvailabilityZone>) -> f64 {
    if zone == Some(&member.availability_zone) {
        SAME_ZONE_WEIGHT
    } else {
        1.0
    }
}

fn bytes_of(member: &Member) -> [u8; 8] {
    member.incarnation.get().to_le_bytes()
}

fn to_entry(member: &Member) -> EntryAddress {
    EntryAddress {
        address: member.addresses.caller,
        availability_zone: member.availability_zone.clone(),
        incarnation: member.incarnation,
    }
}
