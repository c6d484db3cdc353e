//! Progress of a version's replication before it is put in force.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;
use wisteriahitch_types::{AvailabilityZone, ConfigVersion, Incarnation, TimeUs};

use crate::fleet::{Member, Membership, Rendezvous};

/// Numbers of daemons and availability zones that have stored a version.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct HolderCounts {
    /// Number of other daemons known to have stored the version.
    pub daemons: usize,
    /// Number of availability zones of these daemons, without this daemon's own zone.
    pub other_zones: usize,
}

/// Replication progress of one version.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Replication {
    pub(super) version: ConfigVersion,
    pub(super) started_at_us: TimeUs,
    pub(super) pushed_at_us: TimeUs,
    /// Peers of the last push.
    pub(super) targets: Vec<Incarnation>,
    /// Daemons known to have stored the version, with their zones.
    holders: BTreeMap<Incarnation, AvailabilityZone>,
}

impl Replication {
    pub(super) fn new(version: ConfigVersion, now: TimeUs) -> Self {
        Self {
            version,
            started_at_us: now,
            pushed_at_us: now,
            targets: Vec::new(),
            holders: BTreeMap::new(),
        }
    }

    /// Selects the peers to push to: first one in each zone without a holder, then any others.
    pub(super) fn choose_targets(&mut self, members: &Membership, fanout: usize) {
        let me = members.me();
        let subject = format!("{}/{}", self.version, me.incarnation);
        let rank = Rendezvous::new("config-push", &subject);
        let peers: Vec<&Member> = members
            .peers()
            .filter(|peer| !self.holders.contains_key(&peer.incarnation))
            .collect();
        let name = |peer: &&Member| peer.incarnation.get().to_le_bytes().to_vec();
        let ranked = rank.top(peers.iter().copied(), peers.len(), name);
        let mut zones: BTreeSet<_> = self.holders.values().collect();
        zones.insert(&me.availability_zone);
        let (first_of_zone, rest): (Vec<&Member>, Vec<&Member>) = ranked
            .into_iter()
            .partition(|peer| zones.insert(&peer.availability_zone));
        let ordered = first_of_zone.into_iter().chain(rest);
        self.targets = ordered.take(fanout).map(|peer| peer.incarnation).collect();
    }

    pub(super) fn add_holder(&mut self, members: &Membership, peer: Incarnation) {
        if let Some(member) = members.by_incarnation(peer) {
            let zone = member.availability_zone.clone();
            self.holders.insert(peer, zone);
        }
    }

    pub(super) fn holders(&self, members: &Membership) -> HolderCounts {
        let own = &members.me().availability_zone;
        let zones: BTreeSet<_> = self.holders.values().filter(|zone| *zone != own).collect();
        HolderCounts {
            daemons: self.holders.len(),
            other_zones: zones.len(),
        }
    }

    /// Returns whether enough zones have stored the version for it to survive this daemon. Requires
    /// no more zones and daemons than there are.
    pub(super) fn has_enough_holders(
        &self,
        members: &Membership,
        min_replica_zones: usize,
    ) -> bool {
        let own = &members.me().availability_zone;
        let peers: Vec<&Member> = members.peers().collect();
        let other_zones: BTreeSet<_> = peers
            .iter()
            .map(|peer| &peer.availability_zone)
            .filter(|zone| *zone != own)
            .collect();
        let holders = self.holders(members);
        let wanted_daemons = usize::from(!peers.is_empty());
        holders.other_zones >= min_replica_zones.min(other_zones.len())
            && holders.daemons >= wanted_daemons
    }
}
