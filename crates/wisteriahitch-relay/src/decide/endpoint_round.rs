//! Endpoint updates of one gossip round, collected once for all targets.
//!
//! Load pattern: a hub of a fleet of thousands of endpoints sends to dozens of daemons ten times a
//! second, and few endpoints have a request in flight. Looking up each endpoint in the reports of
//! all peers for each target would exceed the hub's processor time. Therefore loads are summed once
//! per round, over the endpoints that occur in a report, and a target's own report is subtracted.

use std::collections::HashMap;

use wisteriahitch_types::{EndpointInstance, Incarnation, TimeUs};

use super::backlog::Load;
use super::endpoint_row::EndpointRow;
use super::endpoint_table::EndpointTable;
use super::gossip_message::EndpointUpdate;

/// Number of followed engines in a message above which idle ones are omitted. The parts of an idle
/// engine are assumed to be retained for the maximum time, whether it is followed or not.
const MAX_FOLLOWED_UPDATES: usize = 400;

/// How this daemon takes part in a gossip round.
#[derive(Debug)]
pub struct RoundScope<'a> {
    /// Whether this daemon is a hub of a large fleet and forwards what others report.
    pub is_hub: bool,
    /// Daemons from which this one receives messages.
    pub peers: &'a [RoundPeer],
    /// Engines that this daemon has reserved for an order.
    pub reserved: &'a [EndpointInstance],
}

/// A daemon whose reports a round includes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RoundPeer {
    /// Start of the daemon's process.
    pub incarnation: Incarnation,
    /// Whether the daemon is a hub.
    pub is_hub: bool,
}

/// Receiver of a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RoundTarget {
    /// A daemon that this hub serves. The incarnation is `None` if no message from it has arrived.
    Spoke(Option<Incarnation>),
    /// Any other daemon.
    Other,
}

/// Endpoint updates of one gossip round, by the endpoints' short names.
#[derive(Debug, Default)]
pub struct EndpointRound {
    /// Load of this daemon and, if it is a hub, of its spokes.
    local_loads: HashMap<u32, Load>,
    /// Load of all daemons; empty unless this daemon is a hub.
    all_loads: HashMap<u32, Load>,
    /// Endpoints that this daemon keeps from taking requests.
    withheld: Vec<u32>,
    /// Endpoints that any daemon keeps from taking requests.
    reserved: Vec<u32>,
    /// Engines whose memory this daemon follows.
    followed: Vec<u32>,
    /// Engines whose memory any daemon follows.
    tracked: Vec<u32>,
    /// Endpoints that this daemon failed to connect to.
    unreachable: Vec<u32>,
    /// Endpoints that several daemons reported directly as unreachable.
    corroborated: Vec<u32>,
    /// Endpoints that count as unreachable by any report.
    suspected: Vec<u32>,
    is_hub: bool,
}

impl EndpointRound {
    /// Lists the endpoints with a load or a reservation that the target doesn't learn from another
    /// daemon.
    ///
    /// A spoke gets the load of all daemons but itself. Other hubs get the load of this daemon and
    /// its spokes. In a small fleet, or if this daemon is no hub, all targets get its own load
    /// alone.
    pub fn endpoint_updates(
        &self,
        table: &EndpointTable,
        target: RoundTarget,
    ) -> Vec<EndpointUpdate> {
        let is_spoke = matches!(target, RoundTarget::Spoke(_));
        let loads = match is_spoke && self.is_hub {
            true => &self.all_loads,
            false => &self.local_loads,
        };
        let reported_by_target = match target {
            RoundTarget::Spoke(Some(spoke)) => table.peer_load_of(spoke),
            _ => None,
        };
        let mut updates: HashMap<u32, EndpointUpdate> = HashMap::with_capacity(loads.len());
        for (endpoint, load) in loads {
            let mut load = *load;
            let known = reported_by_target.and_then(|reported| reported.get(endpoint));
            load.sub(known.copied().unwrap_or_default());
            if load != Load::default() {
                updates.insert(*endpoint, EndpointUpdate::unreserved(*endpoint, load));
            }
        }
        let reported = if is_spoke { &self.reserved[..] } else { &[] };
        for endpoint in self.withheld.iter().chain(reported) {
            let idle = EndpointUpdate::unreserved(*endpoint, Load::default());
            updates.entry(*endpoint).or_insert(idle).is_reserved = true;
        }
        updates.into_values().collect()
    }

    /// Lists the engines whose memory this daemon follows or, for a spoke, that any daemon follows.
    pub fn followed(&self, target: RoundTarget) -> &[u32] {
        match target {
            RoundTarget::Spoke(_) => &self.tracked,
            RoundTarget::Other => &self.followed,
        }
    }

    /// Lists the endpoints that can't be reached.
    ///
    /// A daemon reports what it found itself. A hub of a large fleet reports to other hubs what
    /// several daemons confirmed, and to a spoke also what other hubs reported.
    pub fn unreachable(&self, target: RoundTarget) -> &[u32] {
        match (self.is_hub, target) {
            (false, _) => &self.unreachable,
            (true, RoundTarget::Other) => &self.corroborated,
            (true, RoundTarget::Spoke(_)) => &self.suspected,
        }
    }
}

impl EndpointTable {
    /// Collects the updates of a gossip round in one pass over the endpoints. `follows` returns
    /// whether this daemon follows an engine's memory itself.
    pub fn collect_round(
        &self,
        scope: &RoundScope<'_>,
        follows: impl Fn(&EndpointInstance) -> bool,
        now: TimeUs,
    ) -> EndpointRound {
        let mut round = EndpointRound {
            is_hub: scope.is_hub,
            ..EndpointRound::default()
        };
        let mut followed = TrackedEngines::default();
        let mut tracked = TrackedEngines::default();
        for row in self.iter() {
            round.add_row(row, scope.reserved, now);
            if row.parts_tracked_until_us > now {
                if follows(row.instance()) {
                    followed.add(row);
                }
                tracked.add(row);
            }
        }
        round.followed = followed.into_updates();
        round.tracked = tracked.into_updates();
        if scope.is_hub {
            round.add_peer_loads(self, scope.peers);
        }
        round
    }
}

impl EndpointRound {
    fn add_row(&mut self, row: &EndpointRow, reserved: &[EndpointInstance], now: TimeUs) {
        let name = row.short_name;
        if row.own_load != Load::default() {
            self.local_loads.insert(name, row.own_load);
        }
        let lists = [
            (
                &mut self.withheld,
                row.is_displaced || reserved.contains(row.instance()),
            ),
            (&mut self.reserved, row.reserved_until_us > now),
            (&mut self.unreachable, row.unreachable_until_us > now),
            (&mut self.corroborated, row.corroborated_until_us > now),
            (&mut self.suspected, row.suspected_until_us > now),
        ];
        for (list, is_included) in lists {
            if is_included {
                list.push(name);
            }
        }
    }

    /// Adds the loads that peers report. The local loads include those of spokes alone.
    fn add_peer_loads(&mut self, table: &EndpointTable, peers: &[RoundPeer]) {
        self.all_loads.clone_from(&self.local_loads);
        for peer in peers {
            let loads = table.peer_load_of(peer.incarnation);
            for (endpoint, load) in loads.into_iter().flatten() {
                self.all_loads.entry(*endpoint).or_default().add(*load);
                if !peer.is_hub {
                    self.local_loads.entry(*endpoint).or_default().add(*load);
                }
            }
        }
    }
}

/// Engines whose memory is followed, by short name.
#[derive(Default)]
struct TrackedEngines {
    busy: Vec<u32>,
    idle: Vec<u32>,
}

impl TrackedEngines {
    fn add(&mut self, row: &EndpointRow) {
        let is_idle = row.load() == Load::default();
        let list = if is_idle {
            &mut self.idle
        } else {
            &mut self.busy
        };
        list.push(row.short_name);
    }

    /// Returns all busy engines, and as many idle ones as there is room for.
    fn into_updates(self) -> Vec<u32> {
        let room = MAX_FOLLOWED_UPDATES.saturating_sub(self.busy.len());
        let idle = self.idle.into_iter().take(room);
        self.busy.into_iter().chain(idle).collect()
    }
}
