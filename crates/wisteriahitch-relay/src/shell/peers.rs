//! Gossip among daemons: datagrams several times a second.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::Instant;
use wisteriahitch_types::{DurationUs, TimeUs};

use super::crashes::apply_request_update;
use super::gossip::{MAX_GOSSIP_BYTES, Relayed, encode};
use super::peer_client::{ask_parts, catch_up};
use super::peer_state::add_parts;
use super::shared::Shared;
use super::statements::{take_leaving, take_limits};
use crate::decide::gossip_message::{GossipMessage, MemberPhase};
use crate::decide::hubs::HubCandidate;
use crate::decide::members::ReceiveOutcome;
use crate::decide::parts::PartKey;
use crate::observe::Event;

/// Time between two messages. Placement rests on what the others have sent meanwhile; one costs a
/// system call for each daemon that is told.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(100);

/// The same in a large fleet for a daemon whose link isn't wide.
const NARROW_GOSSIP_INTERVAL: Duration = Duration::from_millis(200);

/// Rate from which a link is wide enough for messages to many.
const WIDE_LINK_MBPS: u16 = 50;

/// How long a told order keeps an endpoint from taking requests, if nothing more is heard.
const RESERVED_US: DurationUs = DurationUs::from_ms(600);

/// How long a told following of an engine's memory counts, if nothing more is heard.
const FOLLOWED_US: DurationUs = DurationUs::from_ms(800);

fn me(shared: &Shared) -> HubCandidate {
    HubCandidate {
        ip: shared.settings.ip,
        zone: shared.settings.zone.to_string(),
        link_mbps: shared.link_mbps(),
    }
}

/// Sends messages and takes those of the others, for as long as the process lives.
pub(crate) async fn run_gossip(shared: Arc<Shared>, socket: UdpSocket) {
    let socket = Arc::new(socket);
    let receiver = receive(Arc::clone(&shared), Arc::clone(&socket));
    tokio::join!(send(shared, socket), receiver);
}

async fn send(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut last = shared.now();
    loop {
        let is_small = shared.peers.plan.lock().is_small;
        let interval = match is_small || shared.link_mbps() >= WIDE_LINK_MBPS {
            true => GOSSIP_INTERVAL,
            false => NARROW_GOSSIP_INTERVAL,
        };
        wait_for_turn(&shared, interval).await;
        let now = shared.now();
        tick(&shared, last, now);
        last = now;
        shared.peers.pace.lock().record_send(now);
        tell(&shared, &socket, now);
    }
}

/// Waits until the next message is due: after the interval, or earlier where something can't wait.
async fn wait_for_turn(shared: &Shared, interval: Duration) {
    let now = shared.now();
    let due_us = shared.peers.pace.lock().due_at(interval.into());
    let due = Instant::now() + Duration::from(due_us.since(now));
    if tokio::time::timeout_at(due, shared.peers.hurry.notified())
        .await
        .is_err()
    {
        shared.peers.note_lag(due.elapsed());
    }
    let gap_us = shared.peers.pace.lock().earliest_send().since(shared.now());
    if gap_us > DurationUs::ZERO {
        tokio::time::sleep(gap_us.into()).await;
    }
}

fn tick(shared: &Arc<Shared>, last: TimeUs, now: TimeUs) {
    let me = me(shared);
    let (silent, plan, count) = {
        let mut table = shared.peers.table();
        let silent = table.tick(last, now);
        (silent, table.hub_plan(&me, now), table.count(now))
    };
    for incarnation in silent {
        shared.log.write(&Event::MemberChanged {
            member: incarnation.to_string(),
            change: "silent",
        });
    }
    let follows = plan.follows_stores(&me);
    shared
        .peers
        .follows_stores
        .store(follows, Ordering::Relaxed);
    *shared.peers.plan.lock() = plan;
    share_permits(shared, now);
    shared.peers.daemons.store(count + 1, Ordering::Relaxed);
    shared.budgets.set_daemon_count(count + 1);
    // One that follows the store itself soon hears the same from it.
    let patience = if follows {
        shared.bounds.catch_up_delay()
    } else {
        DurationUs::ZERO
    };
    for (role, ip) in shared.watches.behind(patience, now) {
        tokio::spawn(catch_up(Arc::clone(shared), role, ip));
    }
}

/// Finds out which permits of endpoints whose calls are bounded this daemon holds.
pub(super) fn share_permits(shared: &Shared, now: TimeUs) {
    let is_complete = shared.peers.others_listed.is_cancelled();
    let me = shared.settings.ip;
    let mut sighting = shared.peers.table().observe_members(me, is_complete, now);
    if shared.phase() == MemberPhase::Draining {
        sighting.alive.remove(&me);
    }
    let mut shares = shared.permit_shares.lock();
    shares.observe(&sighting, now);
    shared.endpoints.lock().set_permit_shares(&shares, now);
}

/// Sends each target what it doesn't know from elsewhere.
fn tell(shared: &Shared, socket: &UdpSocket, now: TimeUs) {
    let me = me(shared);
    let plan = shared.peers.plan.lock().clone();
    let targets = shared.peers.table().targets(&me, &plan, now);
    let near = std::mem::take(&mut *shared.peers.near_parts.lock());
    let far = std::mem::take(&mut *shared.peers.far_parts.lock());
    let relayed = Relayed::new(shared, &plan, near, far, now);
    let mut to_all: Option<Vec<u8>> = None;
    for ip in targets {
        let to = SocketAddr::from((ip, shared.settings.listen.peer_port));
        // Hubs tell their own daemons each something else; all others tell everybody the same.
        let is_own = !plan.is_small && plan.is_hub(me.ip) && !plan.is_hub(ip);
        let message = match is_own {
            true => encode(shared, &plan, &relayed, Some(ip), now),
            false => to_all
                .get_or_insert_with(|| encode(shared, &plan, &relayed, None, now))
                .clone(),
        };
        // A message that can't be sent is one that is lost; the next one follows soon.
        let _ = socket.try_send_to(&message, to);
    }
}

async fn receive(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; MAX_GOSSIP_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => heard(&shared, &buffer[..length], from),
            Err(error) => {
                shared.log.write(&Event::Failure {
                    what: "receiving news of a peer",
                    detail: error.to_string(),
                });
                tokio::time::sleep(GOSSIP_INTERVAL).await;
            }
        }
    }
}

fn heard(shared: &Arc<Shared>, bytes: &[u8], from: SocketAddr) {
    let now = shared.now();
    let Ok(message) = postcard::from_bytes::<GossipMessage>(bytes) else {
        shared.log.write(&Event::Failure {
            what: "reading news of a peer",
            detail: format!("{} bytes from {from}", bytes.len()),
        });
        return;
    };
    // What it says of itself is told on, and messages are sent where it says it is.
    if message.ip == shared.settings.ip || from.ip() != message.ip {
        return;
    }
    match shared.peers.table().receive(&message, now) {
        ReceiveOutcome::Stale => return,
        ReceiveOutcome::Known => {}
        ReceiveOutcome::Joined => shared.log.write(&Event::MemberChanged {
            member: format!("{} {}", message.ip, message.incarnation),
            change: "heard",
        }),
    }
    let held_up_us = {
        let table = shared.peers.table();
        table.get(message.ip).map(|peer| peer.message_delay_us)
    };
    let held_up_us = held_up_us.unwrap_or_default();
    let watches = &shared.watches;
    let is_behind = watches.peer_knows(message.ip, &message.kinds, held_up_us, now);
    if is_behind && !shared.peers.follows_stores() {
        shared.peers.hurry.notify_one();
    }
    take_load(shared, &message, now);
    take_leaving(shared, &message.leaving);
    take_limits(shared, &message.limits, now);
    apply_request_update(shared, &message.requests);
    apply_store_updates(shared, &message, now);
    relay(shared, message);
}

fn take_load(shared: &Shared, message: &GossipMessage, now: TimeUs) {
    let mut endpoints = shared.endpoints.lock();
    let loads: HashMap<_, _> = message
        .endpoints
        .iter()
        .map(|n| (n.endpoint, n.load))
        .collect();
    endpoints.apply_peer_load(message.incarnation, loads, now);
    let reserved = message.endpoints.iter().filter(|news| news.is_reserved);
    let reserved = reserved.map(|news| news.endpoint).collect();
    let is_new =
        endpoints.apply_peer_reservations(message.incarnation, reserved, now + RESERVED_US, now);
    let unreachable = message.unreachable.iter().copied().collect();
    let is_verdict = message.is_hub && !shared.peers.plan.lock().is_small;
    endpoints.apply_peer_connect_failures(message.incarnation, unreachable, is_verdict, now);
    for short_name in &message.followed {
        endpoints.extend_parts_tracking(*short_name, now + FOLLOWED_US);
    }
    if is_new {
        // A hub tells it on at once: what is sent there until the others know is refused.
        shared.peers.hurry.notify_one();
    }
    for part in &message.parts {
        let tokens = u64::from(part.tokens);
        endpoints.record_part(part.endpoint, PartKey(part.part), tokens, now);
    }
}

fn apply_store_updates(shared: &Arc<Shared>, message: &GossipMessage, now: TimeUs) {
    if !message.is_hub || shared.peers.follows_stores() {
        return;
    }
    let unknown = {
        let mut stores = shared.part_stores.lock();
        // A hub hears of the stores from several; other daemons from their hub alone.
        if !shared.peers.plan.lock().is_hub(shared.settings.ip) {
            stores.clear_unreported_stores(&message.stores);
        }
        let unknown = stores.apply_store_updates(&message.stores, now);
        stores.apply_stored_parts(&message.stored_parts);
        unknown
    };
    let mut asked = shared.peers.asked_stores.lock();
    for store in unknown {
        if !asked.contains(&store) {
            asked.push(store);
            tokio::spawn(ask_parts(Arc::clone(shared), store, message.ip));
        }
    }
}

/// Tells on what a hub has heard.
fn relay(shared: &Shared, message: GossipMessage) {
    let is_hub = {
        let plan = shared.peers.plan.lock();
        !plan.is_small && plan.is_hub(shared.settings.ip)
    };
    match (is_hub, message.is_hub) {
        (false, _) => {}
        (true, false) => add_parts(&shared.peers.near_parts, message.parts),
        (true, true) => add_parts(&shared.peers.far_parts, message.parts),
    }
}
