//! What a daemon tells another one.

use std::net::Ipv4Addr;

use wisteriahitch_types::{EndpointInstance, TimeUs};

use super::shared::Shared;
use crate::decide::backlog::Load;
use crate::decide::endpoint_row::EndpointRow;
use crate::decide::gossip_message::{
    EndpointUpdate, GossipMessage, LimitUpdate, MemberPhase, MemberUpdate, PartUpdate,
    RequestUpdate, StoreUpdate, StoredPartUpdate,
};
use crate::decide::hubs::HubPlan;
use crate::decide::members::EntryPoint;

/// Largest message: the load of some hundred endpoints and the news of a tenth of a second. A network
/// breaks it into a few packets, and one lost packet loses one message.
pub(super) const MAX_GOSSIP_BYTES: usize = 8 * 1024;

/// Most parts in a message; of more, the newest go first.
const MAX_PARTS: usize = 60;

/// Most news of part stores in a message; the rest goes with the next one.
const MAX_KEPT: usize = 80;

/// Most daemons in a message; messages of a larger fleet take turns.
const MAX_MEMBERS: usize = 60;

/// Most limits of endpoints in a message; more take turns.
const MAX_LIMITS: usize = 100;

/// Most leaving endpoints in a message; more take turns.
const MAX_LEAVING: usize = 100;

/// Time for which messages hold the same part of what takes turns, in microseconds: two messages of a narrow link.
const PAGE_US: u64 = 200_000;

/// What goes to several targets of one round.
pub(super) struct Relayed {
    near_parts: Vec<PartUpdate>,
    far_parts: Vec<PartUpdate>,
    kept: Vec<StoredPartUpdate>,
    reserved: Vec<EndpointInstance>,
    requests: RequestUpdate,
    limits: Vec<LimitUpdate>,
    leaving: Vec<u32>,
}

impl Relayed {
    /// Gathers it.
    pub(super) fn new(
        shared: &Shared,
        plan: &HubPlan,
        near_parts: Vec<PartUpdate>,
        far_parts: Vec<PartUpdate>,
        now: TimeUs,
    ) -> Self {
        let number = shared.peers.round();
        // In a small fleet everybody asks the stores.
        let news = shared.part_stores.lock().take_part_updates(MAX_KEPT);
        let kept = if plan.is_small { Vec::new() } else { news };
        Self {
            near_parts,
            far_parts,
            kept,
            reserved: shared.rollout.lock().reserved().cloned().collect(),
            requests: shared.suspects.lock().request_update(number, now),
            limits: limit_updates(shared, now),
            leaving: leaving(shared, now),
        }
    }
}

/// Encodes the message for `own`, one of this hub's daemons, or else for everybody else.
pub(super) fn encode(
    shared: &Shared,
    plan: &HubPlan,
    relayed: &Relayed,
    own: Option<Ipv4Addr>,
    now: TimeUs,
) -> Vec<u8> {
    let mut message = base(shared, plan, relayed, now);
    message.endpoints = endpoint_updates(shared, plan, relayed, own, now);
    message.followed = followed(shared, own, now);
    message.unreachable = unreachable(shared, plan, own, now);
    message.parts = relayed.near_parts.clone();
    if own.is_some() {
        message.parts.extend(&relayed.far_parts);
    }
    let surplus = message.parts.len().saturating_sub(MAX_PARTS);
    message.parts.drain(..surplus);
    if !plan.is_small && message.is_hub {
        message.stores = store_updates(shared, now);
        // Hubs that only hear of the stores tell their own daemons alone.
        if own.is_some() || shared.peers.follows_stores() {
            message.stored_parts.clone_from(&relayed.kept);
        }
        add_members(shared, &mut message, own, now);
    }
    message.encoded(MAX_GOSSIP_BYTES)
}

fn base(shared: &Shared, plan: &HubPlan, relayed: &Relayed, now: TimeUs) -> GossipMessage {
    let is_store_reachable = match shared.peers.follows_stores() {
        true => shared.watches.is_store_reachable(),
        false => shared.peers.hears_of_store(shared.settings.ip, now),
    };
    GossipMessage {
        incarnation: shared.incarnation,
        number: shared.peers.next_number(),
        ip: shared.settings.ip,
        zone: shared.settings.zone.to_string(),
        phase: shared.phase(),
        capacity: shared.peers.capacity(shared.settings.limits.cores),
        link_mbps: shared.link_mbps(),
        is_hub: plan.is_hub(shared.settings.ip),
        follows_stores: shared.peers.follows_stores(),
        is_store_reachable,
        sent_at_us: now,
        kinds: shared.watches.news(now),
        endpoints: Vec::new(),
        limits: relayed.limits.clone(),
        leaving: relayed.leaving.clone(),
        followed: Vec::new(),
        unreachable: Vec::new(),
        parts: Vec::new(),
        stores: Vec::new(),
        stored_parts: Vec::new(),
        requests: relayed.requests.clone(),
        zones: Vec::new(),
        members: Vec::new(),
    }
}

/// Returns the work that the receiver doesn't know from elsewhere.
///
/// One of this hub's daemons hears of everybody's but its own; other hubs hear of this daemon's and
/// of its daemons'; in a small fleet, and from one that is no hub, everybody hears of its own.
fn endpoint_updates(
    shared: &Shared,
    plan: &HubPlan,
    relayed: &Relayed,
    own: Option<Ipv4Addr>,
    now: TimeUs,
) -> Vec<EndpointUpdate> {
    let is_hub = !plan.is_small && plan.is_hub(shared.settings.ip);
    let peers: Vec<(bool, wisteriahitch_types::Incarnation, bool)> = {
        let table = shared.peers.table();
        let alive = table.alive(now);
        alive
            .map(|peer| (peer.is_hub, peer.incarnation, Some(peer.ip) == own))
            .collect()
    };
    let endpoints = shared.endpoints.lock();
    let counted = peers.iter().filter(|(peer_is_hub, _, is_receiver)| {
        is_hub && !is_receiver && (own.is_some() || !peer_is_hub)
    });
    let loads: Vec<_> = counted
        .filter_map(|(_, peer, _)| endpoints.peer_load_of(*peer))
        .collect();
    let news = |row: &EndpointRow| {
        let mut load = row.own_load;
        for told in &loads {
            load.add(told.get(&row.short_name).copied().unwrap_or_default());
        }
        let is_told = own.is_some() && row.reserved_until_us > now;
        EndpointUpdate {
            endpoint: row.short_name,
            load,
            is_reserved: is_told || row.is_displaced || relayed.reserved.contains(row.instance()),
        }
    };
    let says_something = |news: &EndpointUpdate| news.is_reserved || news.load != Load::default();
    endpoints.iter().map(news).filter(says_something).collect()
}

/// Returns what is known of endpoints' limits, whoever heard of it: the newest counts, so that it may be told in a circle.
fn limit_updates(shared: &Shared, now: TimeUs) -> Vec<LimitUpdate> {
    let updates = shared.endpoints.lock().limit_updates(now);
    page(updates, MAX_LIMITS, now).collect()
}

/// Returns the lives that have said in an answer that they leave, whoever heard it.
fn leaving(shared: &Shared, now: TimeUs) -> Vec<u32> {
    let lives = shared.endpoints.lock().leaving_updates(now);
    page(lives, MAX_LEAVING, now).collect()
}

/// Returns a part of `rows` that is small enough for one message; messages take turns.
fn page<T>(rows: Vec<T>, size: usize, now: TimeUs) -> impl Iterator<Item = T> {
    let pages = rows.len().div_ceil(size).max(1);
    let page = usize::try_from(now.get() / PAGE_US).unwrap_or(0) % pages;
    rows.into_iter().skip(page * size).take(size)
}

/// Returns the engines whose memory this daemon follows; for `own` all that are followed.
fn followed(shared: &Shared, own: Option<Ipv4Addr>, now: TimeUs) -> Vec<u32> {
    let endpoints = shared.endpoints.lock();
    let is_told = |row: &&EndpointRow| match own {
        Some(_) => row.parts_tracked_until_us > now,
        None => row.parts_tracked_until_us > now && shared.follows_engine(row.instance()),
    };
    let told = endpoints.iter().filter(is_told);
    told.map(|row| row.short_name).collect()
}

/// Returns the endpoints that can't be reached: what this daemon found itself; as a hub of a large fleet
/// what it has heard from several, and for `own` also what other hubs have.
fn unreachable(shared: &Shared, plan: &HubPlan, own: Option<Ipv4Addr>, now: TimeUs) -> Vec<u32> {
    let is_hub = !plan.is_small && plan.is_hub(shared.settings.ip);
    let endpoints = shared.endpoints.lock();
    let is_told = |row: &&EndpointRow| match (is_hub, own) {
        (true, Some(_)) => row.suspected_until_us > now,
        (true, None) => row.corroborated_until_us > now,
        (false, _) => row.unreachable_until_us > now,
    };
    let told = endpoints.iter().filter(is_told);
    told.map(|row| row.short_name).collect()
}

fn store_updates(shared: &Shared, now: TimeUs) -> Vec<StoreUpdate> {
    shared.part_stores.lock().store_updates(now)
}

/// Adds the daemons that are heard: for other hubs those of this hub, for its own all.
fn add_members(shared: &Shared, message: &mut GossipMessage, own: Option<Ipv4Addr>, now: TimeUs) {
    let table = shared.peers.table();
    let mut rows: Vec<(EntryPoint, MemberPhase)> = table
        .alive(now)
        .filter(|peer| own.is_some() || !peer.is_hub)
        .map(|peer| (peer.entry(), peer.phase))
        .collect();
    if own.is_some() {
        let told = table.recent_indirect_members(now);
        rows.extend(told);
    }
    drop(table);
    for (entry, phase) in page(rows, MAX_MEMBERS, now) {
        let known = message.zones.iter().position(|known| *known == entry.zone);
        let zone = known.unwrap_or_else(|| {
            message.zones.push(entry.zone);
            message.zones.len() - 1
        });
        message.members.push(MemberUpdate {
            ip: entry.ip,
            zone: u8::try_from(zone).unwrap_or(u8::MAX),
            phase,
            capacity: entry.capacity,
            link_mbps: entry.link_mbps,
        });
    }
}
