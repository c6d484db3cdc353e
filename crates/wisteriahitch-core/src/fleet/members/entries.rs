//! Selection of the addresses that `GET /v1/entries` returns.

use std::net::SocketAddr;

use serde::Serialize;
use wisteriahitch_types::{AvailabilityZone, Incarnation, WorkspaceId};

use super::{Member, MemberState, Membership};
use crate::fleet::Rendezvous;

/// Factor by which a daemon in the caller's availability zone is more likely to be listed first.
const SAME_ZONE_WEIGHT: f64 = 4.0;
/// Minimum weight of a fully loaded daemon, so that callers never all leave it at once.
const MIN_IDLE_WEIGHT: f64 = 0.05;
const FULL_PERMILLE: f64 = 1_000.0;

/// Address of a daemon that a caller may connect to.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct EntryAddress {
    /// Address for callers.
    pub address: SocketAddr,
    /// Availability zone of the daemon.
    pub availability_zone: AvailabilityZone,
    /// Incarnation of the daemon that serves the address now.
    pub incarnation: Incarnation,
}

impl Membership {
    /// Returns addresses for a caller in `zone`, best first.
    ///
    /// Each answer is shuffled with its own `seed`, weighted by zone and load: callers cache an
    /// answer, so one common order would send all of them to the same daemon. In a large fleet each
    /// workspace is restricted to a fixed small set of daemons, so that a faulty workspace affects
    /// only these. Draining, leaving, suspect and starting daemons are omitted.
    pub fn entries(
        &self,
        zone: Option<&AvailabilityZone>,
        workspace: &WorkspaceId,
        seed: u64,
    ) -> Vec<EntryAddress> {
        let (ready, starting): (Vec<&Member>, Vec<&Member>) =
            self.workers().partition(|member| member.is_ready());
        // A starting daemon answers only `not ready`, for many seconds during an outage. It is
        // listed only if no daemon is known to be ready, since the update about its readiness may
        // not have arrived yet.
        let listed = if ready.is_empty() { starting } else { ready };
        let candidates = if listed.is_empty() {
            // An empty answer would cut callers off although a suspect daemon may still answer.
            // This happens when this daemon drains and all others are suspect.
            let is_suspect = |member: &&Member| member.state == MemberState::Suspect;
            self.members().filter(is_suspect).collect()
        } else {
            listed
        };
        let subset = self.workspace_subset(zone, workspace, candidates);
        let order = Rendezvous::new("entries-order", &seed.to_string());
        let ranked = rank(subset, |member| {
            order.weighted_score(&incarnation_bytes(member), selection_weight(member, zone))
        });
        ranked.into_iter().map(to_entry).collect()
    }

    /// Returns the daemons that serve this workspace, independent of their load.
    fn workspace_subset<'a>(
        &self,
        zone: Option<&AvailabilityZone>,
        workspace: &WorkspaceId,
        candidates: Vec<&'a Member>,
    ) -> Vec<&'a Member> {
        let order = Rendezvous::new("entries-share", workspace.as_str());
        let mut ranked = rank(candidates, |member| {
            order.weighted_score(&incarnation_bytes(member), zone_weight(member, zone))
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

fn selection_weight(member: &Member, zone: Option<&AvailabilityZone>) -> f64 {
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

fn incarnation_bytes(member: &Member) -> [u8; 8] {
    member.incarnation.get().to_le_bytes()
}

fn to_entry(member: &Member) -> EntryAddress {
    EntryAddress {
        address: member.addresses.caller,
        availability_zone: member.availability_zone.clone(),
        incarnation: member.incarnation,
    }
}
