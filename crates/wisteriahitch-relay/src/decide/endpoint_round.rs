//! What one gossip round says about endpoints, collected once for all targets.
//!
//! Load pattern: a hub of a fleet of thousands of endpoints sends to dozens of daemons ten times a
//! second, and hardly any endpoint has a request in flight. Summing the reports of all peers for
//! each endpoint and target would take the hub's whole processor. Sums are therefore made once a
//! round, over the endpoints that any report names, and a target's own report is subtracted.

use std::collections::HashMap;

use wisteriahitch_types::{EndpointInstance, Incarnation, TimeUs};

use super::backlog::Load;
use super::endpoint_table::EndpointTable;
use super::gossip_message::EndpointUpdate;

/// Maximum number of followed engines in a message. Beyond it idle engines are left out: an idle
/// engine's parts are assumed to be kept for the longest time whether it is followed or not.
const MAX_FOLLOWED_UPDATES: usize = 400;

/// How this daemon takes part in a gossip round.
#[derive(Debug)]
pub struct RoundScope<'a> {
    /// Whether this daemon is a hub of a large fleet and forwards what others report.
    pub is_hub: bool,
    /// Daemons that this one hears, and whether each is a hub.
    pub peers: &'a [(Incarnation, bool)],
    /// Engines that this daemon has reserved for an order.
    pub reserved: &'a [EndpointInstance],
}

/// Daemon that a message goes to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RoundTarget {
    /// A daemon that this hub serves, by its incarnation if it was heard.
    Spoke(Option<Incarnation>),
    /// Any other daemon.
    Other,
}

/// What one gossip round says about endpoints, by short name.
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
        let told = match target {
            RoundTarget::Spoke(Some(spoke)) => table.peer_load_of(spoke),
            _ => None,
        };
        let mut updates: HashMap<u32, EndpointUpdate> = HashMap::with_capacity(loads.len());
        for (endpoint, load) in loads {
            let mut load = *load;
            if let Some(told) = told.and_then(|told| told.get(endpoint)) {
                load.sub(*told);
            }
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
    /// Collects what a gossip round says about endpoints, in one pass over them. `follows` returns
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
        let mut idle_followed = Vec::new();
        let mut idle_tracked = Vec::new();
        for row in self.iter() {
            let name = row.short_name;
            if row.own_load != Load::default() {
                round.local_loads.insert(name, row.own_load);
            }
            if row.is_displaced || scope.reserved.contains(row.instance()) {
                round.withheld.push(name);
            }
            if row.reserved_until_us > now {
                round.reserved.push(name);
            }
            if row.parts_tracked_until_us > now {
                let is_busy = row.load() != Load::default();
                if follows(row.instance()) {
                    let followed = if is_busy {
                        &mut round.followed
                    } else {
                        &mut idle_followed
                    };
                    followed.push(name);
                }
                let tracked = if is_busy {
                    &mut round.tracked
                } else {
                    &mut idle_tracked
                };
                tracked.push(name);
            }
            if row.unreachable_until_us > now {
                round.unreachable.push(name);
            }
            if row.corroborated_until_us > now {
                round.corroborated.push(name);
            }
            if row.suspected_until_us > now {
                round.suspected.push(name);
            }
        }
        extend_up_to(&mut round.followed, idle_followed, MAX_FOLLOWED_UPDATES);
        extend_up_to(&mut round.tracked, idle_tracked, MAX_FOLLOWED_UPDATES);
        if scope.is_hub {
            round.all_loads.clone_from(&round.local_loads);
            for (peer, is_hub) in scope.peers {
                for (endpoint, load) in self.peer_load_of(*peer).into_iter().flatten() {
                    round.all_loads.entry(*endpoint).or_default().add(*load);
                    if !is_hub {
                        round.local_loads.entry(*endpoint).or_default().add(*load);
                    }
                }
            }
        }
        round
    }
}

/// Appends elements up to a length.
fn extend_up_to(list: &mut Vec<u32>, more: Vec<u32>, max_len: usize) {
    let room = max_len.saturating_sub(list.len());
    list.extend(more.into_iter().take(room));
}
