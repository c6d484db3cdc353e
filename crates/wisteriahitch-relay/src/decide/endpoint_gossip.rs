//! What peers report about endpoints: the load that they send there, endpoints that an order
//! reserves, and failures to connect.

use std::collections::{HashMap, HashSet};

use wisteriahitch_types::{DurationUs, EndpointInstance, Incarnation, TimeUs};

use super::backlog::Load;
use super::endpoint_table::EndpointTable;

/// Time after which the load that a peer last reported no longer counts.
const PEER_LOAD_TTL_US: DurationUs = DurationUs::from_ms(1_000);

/// Number of daemons that must have failed to connect to an endpoint before it is suspected.
const MIN_REPORTERS: usize = 2;

/// How long a failure to connect counts as evidence: long enough for several gossip messages to
/// carry it to the other daemons.
const CONNECT_FAILURE_TTL_US: DurationUs = DurationUs::from_ms(1_200);

/// How long an endpoint stays suspected after the last evidence against it. Then calls try it
/// again.
const SUSPICION_TTL_US: DurationUs = DurationUs::from_ms(800);

/// Latest report of one peer.
#[derive(Debug)]
pub(super) struct PeerReport {
    pub(super) received_at_us: TimeUs,
    /// Unfinished work that the peer has sent, by the endpoints' short names.
    pub(super) loads: HashMap<u32, Load>,
    /// Endpoints that an order keeps from taking requests, according to the peer.
    pub(super) reserved: HashSet<u32>,
    /// Endpoints that the peer failed to connect to lately.
    pub(super) unreachable: HashSet<u32>,
}

impl EndpointTable {
    /// Replaces the load that a peer has sent to endpoints, by short name.
    pub fn apply_peer_load(&mut self, peer: Incarnation, loads: HashMap<u32, Load>, now: TimeUs) {
        let previous = self.peer_reports.remove(&peer);
        let reserved = previous.as_ref().map(|previous| previous.reserved.clone());
        let unreachable = previous
            .as_ref()
            .map(|previous| previous.unreachable.clone());
        for (short_name, load) in previous.iter().flat_map(|previous| &previous.loads) {
            if let Some(row) = self.row_by_short_name(*short_name) {
                row.peers_load.sub(*load);
            }
        }
        for (short_name, load) in &loads {
            if let Some(row) = self.row_by_short_name(*short_name) {
                row.peers_load.add(*load);
            }
        }
        let report = PeerReport {
            received_at_us: now,
            loads,
            reserved: reserved.unwrap_or_default(),
            unreachable: unreachable.unwrap_or_default(),
        };
        self.peer_reports.insert(peer, report);
    }

    /// Replaces the set of endpoints that an order keeps from taking requests until `until`,
    /// according to a peer. Returns whether one of them wasn't reserved before.
    ///
    /// An endpoint that the peer no longer names is free at once, unless another peer still names
    /// it. Engines with new weights are needed most, and each of them used to stay idle until the
    /// reservation ran out.
    pub fn apply_peer_reservations(
        &mut self,
        peer: Incarnation,
        reserved: HashSet<u32>,
        until: TimeUs,
        now: TimeUs,
    ) -> bool {
        let mut is_new = false;
        for short_name in &reserved {
            is_new |= self.reserve(*short_name, until, now);
        }
        let Some(report) = self.peer_reports.get_mut(&peer) else {
            return is_new;
        };
        let before = std::mem::replace(&mut report.reserved, reserved);
        for short_name in before {
            let mut peers = self.peer_reports.values();
            if peers.any(|report| report.reserved.contains(&short_name)) {
                continue;
            }
            if let Some(row) = self.row_by_short_name(short_name) {
                row.reserved_until_us = row.reserved_until_us.min(now);
            }
        }
        is_new
    }

    /// Returns the load that a peer has sent to endpoints, by short name.
    pub fn peer_load_of(&self, peer: Incarnation) -> Option<&HashMap<u32, Load>> {
        self.peer_reports.get(&peer).map(|report| &report.loads)
    }

    /// Records that this daemon failed to connect to an endpoint, while connections to others open.
    pub fn record_connect_failure(&mut self, instance: &EndpointInstance, now: TimeUs) {
        if let Some(row) = self.get_mut(instance) {
            row.unreachable_until_us = now + CONNECT_FAILURE_TTL_US;
            let short_name = row.short_name;
            self.update_suspicion(short_name, now);
        }
    }

    /// Withdraws this daemon's failure to connect to an endpoint, because another daemon connects to
    /// it, and ends its ejection.
    pub fn withdraw_connect_failure(&mut self, instance: &EndpointInstance, now: TimeUs) {
        let options = self.outlier_options;
        if let Some(row) = self.get_mut(instance) {
            row.unreachable_until_us = row.unreachable_until_us.min(now);
            row.outlier.record_success(&options);
        }
    }

    /// Replaces the set of endpoints that a peer failed to connect to lately. `is_corroborated`
    /// means that the peer names only endpoints that several daemons failed to connect to.
    pub fn apply_peer_connect_failures(
        &mut self,
        peer: Incarnation,
        unreachable: HashSet<u32>,
        is_corroborated: bool,
        now: TimeUs,
    ) {
        for short_name in unreachable.iter().filter(|_| is_corroborated) {
            if let Some(row) = self.row_by_short_name(*short_name) {
                row.suspected_until_us = now + SUSPICION_TTL_US;
            }
        }
        let Some(report) = self.peer_reports.get_mut(&peer) else {
            return;
        };
        report.unreachable.clone_from(&unreachable);
        for short_name in unreachable {
            self.update_suspicion(short_name, now);
        }
    }

    /// Suspects an endpoint if [`MIN_REPORTERS`] daemons failed to connect to it.
    ///
    /// Without this, when engines stop answering, each daemon of a large fleet finds out about each
    /// of them by a call that waits in vain. A daemon that is cut off from all endpoints reports
    /// none. Two that are cut off from some may report these; then the others lose only these
    /// endpoints, and if all endpoints are suspected, the suspicion is ignored.
    fn update_suspicion(&mut self, short_name: u32, now: TimeUs) {
        let peers = self.peer_reports.values();
        let peers = peers.filter(|report| report.unreachable.contains(&short_name));
        let peers = peers.take(MIN_REPORTERS).count();
        let Some(row) = self.row_by_short_name(short_name) else {
            return;
        };
        let own = usize::from(row.unreachable_until_us > now);
        if peers + own >= MIN_REPORTERS {
            row.corroborated_until_us = now + SUSPICION_TTL_US;
            row.suspected_until_us = now + SUSPICION_TTL_US;
        }
    }

    /// Records that an order keeps an endpoint from taking requests until `until`. Returns whether
    /// the endpoint wasn't reserved before.
    pub fn reserve(&mut self, short_name: u32, until: TimeUs, now: TimeUs) -> bool {
        let Some(row) = self.row_by_short_name(short_name) else {
            return false;
        };
        let is_new = row.reserved_until_us <= now;
        row.reserved_until_us = row.reserved_until_us.max(until);
        is_new
    }

    /// Removes the reports of peers that have been silent for longer than [`PEER_LOAD_TTL_US`].
    pub(super) fn prune_silent_peers(&mut self, now: TimeUs) {
        let is_expired = |load: &PeerReport| now.since(load.received_at_us) > PEER_LOAD_TTL_US;
        let expired: Vec<Incarnation> = self
            .peer_reports
            .iter()
            .filter(|(_, load)| is_expired(load))
            .map(|(peer, _)| *peer)
            .collect();
        for peer in expired {
            self.apply_peer_load(peer, HashMap::new(), now);
            self.peer_reports.remove(&peer);
        }
    }
}
