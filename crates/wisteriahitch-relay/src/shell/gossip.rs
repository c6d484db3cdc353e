//! Builds the gossip messages that a daemon sends.
//!
//! In a small fleet every daemon sends to every other one. In a large fleet each daemon sends to
//! its hub, and hubs send to each other and to their spokes, the daemons that they serve.

use std::net::Ipv4Addr;

use wisteriahitch_types::{EndpointInstance, TimeUs};

use super::endpoint_connections::is_partitioned_from_engines;
use super::shared::Shared;
use super::work_shares::add_work_report;
use crate::decide::configuration_section::ConfigurationSection;
use crate::decide::endpoint_round::{EndpointRound, RoundPeer, RoundScope, RoundTarget};
use crate::decide::gossip_message::{
    GossipMessage, LimitUpdate, MembershipUpdate, PartUpdate, StoreUpdate, StoredPartUpdate,
    SuspectUpdate,
};
use crate::decide::hubs::HubPlan;
use crate::decide::member_rows::PeerRow;
use crate::decide::member_updates::{ReportReceiver, add_member_updates, current_page};
use crate::decide::message_sections::MessageSections;
use crate::observe::Event;

/// Maximum size of a message: the load of a few hundred endpoints and the updates of a tenth of a
/// second. The network splits it into a few packets, and losing one packet loses one message.
pub(super) const MAX_GOSSIP_BYTES: usize = 8 * 1024;

/// Maximum number of cached-part updates in a message. If there are more, the newest are sent.
const MAX_PART_UPDATES: usize = 60;

/// Maximum number of cached-part updates in a message where load is managed: 18 bytes each, less
/// than half of a message. A daemon of a large fleet receives the updates of all engines from one
/// hub, and an eviction that it doesn't learn of costs the reading of a whole prompt.
const MAX_MANAGED_PART_UPDATES: usize = 200;

/// Maximum number of part store updates in a message. The rest is sent with the next one.
const MAX_STORED_PART_UPDATES: usize = 80;

/// Maximum number of endpoint limits in a message. More are sent in rotating pages.
const MAX_LIMIT_UPDATES: usize = 100;

/// Maximum number of leaving endpoints in a message. More are sent in rotating pages.
const MAX_LEAVING_UPDATES: usize = 100;

/// Updates that are sent to several targets of one gossip round.
pub(super) struct RoundUpdates {
    /// Parts cached by engines, from this daemon and its spokes.
    local_parts: Vec<PartUpdate>,
    /// Parts cached by engines, from other hubs.
    remote_parts: Vec<PartUpdate>,
    /// Maximum number of cached-part updates in a message.
    max_part_updates: usize,
    /// Changes of the contents of part stores.
    stored_parts: Vec<StoredPartUpdate>,
    /// Load, reservations and reachability of endpoints.
    endpoints: EndpointRound,
    /// Suspect and blocked attributes of calls.
    suspects: SuspectUpdate,
    /// Rate limits of endpoints.
    limits: Vec<LimitUpdate>,
    /// Short names of endpoints that announced that they are leaving.
    leaving: Vec<u32>,
}

impl RoundUpdates {
    /// Collects the updates of a round. `local_parts` come from this daemon and its spokes,
    /// `remote_parts` from other hubs.
    pub(super) fn new(
        shared: &Shared,
        plan: &HubPlan,
        local_parts: Vec<PartUpdate>,
        remote_parts: Vec<PartUpdate>,
        now: TimeUs,
    ) -> Self {
        let number = shared.peers.next_round_number();
        let manages_load = shared.endpoints.lock().manages_load();
        // In a small fleet every daemon polls the stores itself.
        let updates = shared
            .part_stores
            .lock()
            .take_part_updates(MAX_STORED_PART_UPDATES);
        let stored_parts = if plan.is_small { Vec::new() } else { updates };
        Self {
            local_parts,
            remote_parts,
            max_part_updates: if manages_load {
                MAX_MANAGED_PART_UPDATES
            } else {
                MAX_PART_UPDATES
            },
            stored_parts,
            endpoints: collect_endpoints(shared, plan, now),
            suspects: shared.suspects.lock().suspect_update(number, now),
            limits: limit_updates(shared, now),
            leaving: leaving_updates(shared, now),
        }
    }
}

/// Encodes the message for `spoke`, a daemon that isn't a hub for this one, or for all other targets
/// if `None`.
pub(super) fn encode_message(
    shared: &Shared,
    plan: &HubPlan,
    round: &RoundUpdates,
    spoke: Option<(Ipv4Addr, ReportReceiver)>,
    now: TimeUs,
) -> Vec<u8> {
    let mut message = base_message(shared, plan, round, now);
    let target = match spoke {
        Some((ip, _)) => {
            let table = shared.peers.table();
            let peer = table.alive(now).find(|peer| peer.ip == ip);
            RoundTarget::Spoke(peer.map(|peer| peer.incarnation))
        }
        None => RoundTarget::Other,
    };
    // A daemon with another view of the hubs may count itself one, and add up what hubs report.
    let work_target = match spoke {
        Some((_, ReportReceiver::OtherView)) => RoundTarget::Other,
        _ => target,
    };
    add_work_report(shared, plan, &mut message, work_target, now);
    message.endpoints = {
        let endpoints = shared.endpoints.lock();
        round.endpoints.endpoint_updates(&endpoints, target)
    };
    message.followed = round.endpoints.followed(target).to_vec();
    message.unreachable = round.endpoints.unreachable(target).to_vec();
    message.parts = round.local_parts.clone();
    if spoke.is_some() {
        message.parts.extend(&round.remote_parts);
    }
    let surplus = message.parts.len().saturating_sub(round.max_part_updates);
    message.parts.drain(..surplus);
    if !plan.is_small && message.is_hub {
        message.stores = store_updates(shared, now);
        // Hubs that don't watch the stores themselves relay updates about them only to their
        // spokes.
        if spoke.is_some() || shared.peers.follows_stores() {
            message.stored_parts.clone_from(&round.stored_parts);
        }
        let receiver = spoke.map_or(ReportReceiver::Hub, |(_, receiver)| receiver);
        add_member_updates(&shared.peers.table(), &mut message, receiver, now);
    }
    message.encoded(MAX_GOSSIP_BYTES)
}

/// Returns a message with the fields that are the same for all receivers.
fn base_message(
    shared: &Shared,
    plan: &HubPlan,
    round: &RoundUpdates,
    now: TimeUs,
) -> GossipMessage {
    let is_store_reachable = match shared.peers.follows_stores() {
        true => shared.watches.is_store_reachable(),
        false => shared.peers.hub_reaches_store(shared.settings.ip, now),
    };
    GossipMessage {
        incarnation: shared.incarnation,
        number: shared.peers.next_message_number(),
        ip: shared.settings.ip,
        zone: shared.settings.zone.to_string(),
        phase: shared.phase(),
        capacity: shared.peers.capacity(shared.settings.limits.cores),
        link_mbps: shared.link_mbps(),
        is_hub: plan.is_hub(shared.settings.ip),
        follows_stores: shared.peers.follows_stores(),
        is_store_reachable,
        sent_at_us: now,
        kinds: shared.watches.kind_updates(now),
        endpoints: Vec::new(),
        limits: round.limits.clone(),
        leaving: round.leaving.clone(),
        followed: Vec::new(),
        unreachable: Vec::new(),
        parts: Vec::new(),
        stores: Vec::new(),
        stored_parts: Vec::new(),
        suspects: round.suspects.clone(),
        zones: Vec::new(),
        members: Vec::new(),
        membership: MembershipUpdate::default(),
        is_partitioned: is_partitioned_from_engines(shared),
        sections: sections(shared, now),
    }
}

/// Returns the sections for all receivers.
fn sections(shared: &Shared, now: TimeUs) -> MessageSections {
    let mut sections = MessageSections::default();
    let manages_load = shared.manages_load();
    let (brittle, rates) = {
        let endpoints = shared.endpoints.lock();
        let rates = manages_load.then(|| endpoints.rates.section());
        (endpoints.brittle_services().section(now), rates.flatten())
    };
    // The most important section first.
    let pushed = [
        shared
            .site
            .lost_version()
            .map(|version| sections.push(&ConfigurationSection { version })),
        brittle.map(|brittle| sections.push(&brittle)),
        rates.map(|rates| sections.push(&rates)),
    ];
    for error in pushed.into_iter().flatten().filter_map(Result::err) {
        shared.log.write(&Event::Failure {
            what: "encoding a section",
            detail: error.to_string(),
        });
    }
    sections
}

/// Collects the endpoint updates of the round.
fn collect_endpoints(shared: &Shared, plan: &HubPlan, now: TimeUs) -> EndpointRound {
    let reserved: Vec<EndpointInstance> = shared.rollout.lock().reserved().cloned().collect();
    let peers: Vec<RoundPeer> = {
        let table = shared.peers.table();
        let round_peer = |peer: &PeerRow| RoundPeer {
            incarnation: peer.incarnation,
            is_hub: peer.is_hub,
        };
        table.alive(now).map(round_peer).collect()
    };
    let scope = RoundScope {
        is_hub: !plan.is_small && plan.is_hub(shared.settings.ip),
        peers: &peers,
        reserved: &reserved,
    };
    let followed = shared.followed_engines.lock().clone();
    let endpoints = shared.endpoints.lock();
    endpoints.collect_round(&scope, |instance| followed.contains(instance), now)
}

/// Returns the known limits of endpoints, from any source. Only the newest report of a limit
/// counts, so updates may travel in circles.
fn limit_updates(shared: &Shared, now: TimeUs) -> Vec<LimitUpdate> {
    let updates = shared.endpoints.lock().limit_updates(now);
    page_of_rows(updates, MAX_LIMIT_UPDATES, now)
}

/// Returns the short names of endpoints that announced in an answer that they are leaving,
/// whichever daemon received it.
fn leaving_updates(shared: &Shared, now: TimeUs) -> Vec<u32> {
    let short_names = shared.endpoints.lock().leaving_updates(now);
    page_of_rows(short_names, MAX_LEAVING_UPDATES, now)
}

/// Returns the page of `rows` for the current message.
fn page_of_rows<T>(rows: Vec<T>, size: usize, now: TimeUs) -> Vec<T> {
    let page = current_page(rows.len().div_ceil(size).max(1), now);
    rows.into_iter().skip(page * size).take(size).collect()
}

fn store_updates(shared: &Shared, now: TimeUs) -> Vec<StoreUpdate> {
    shared.part_stores.lock().store_updates(now)
}
