//! Gossip among daemons: UDP messages sent several times per second.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::Instant;
use wisteriahitch_types::{DurationUs, TimeUs};

use super::crashes::apply_suspect_update;
use super::gossip::{MAX_GOSSIP_BYTES, RoundUpdates, encode_message};
use super::peer_client::{catch_up, fetch_store_parts};
use super::peer_state::enqueue_parts;
use super::shared::Shared;
use super::statements::{apply_brittle_services, apply_leaving_updates, apply_limit_updates};
use super::stream_origins::receive_record;
use super::watch::log_confirmations;
use super::watch_state::ObjectPeer;
use super::work_shares::receive_work_report;
use crate::decide::configuration_section::ConfigurationSection;
use crate::decide::gossip_message::{GossipMessage, MemberPhase};
use crate::decide::hubs::HubCandidate;
use crate::decide::member_updates::ReportReceiver;
use crate::decide::members::ReceiveOutcome;
use crate::decide::parts::PartKey;
use crate::decide::rates_section::RatesSection;
use crate::observe::Event;

/// Time between two messages. Placement depends on the load that other daemons have sent meanwhile.
/// Each message costs a system call per target.
pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two messages in a large fleet if the daemon's link is narrower than
/// [`WIDE_LINK_MBPS`].
const NARROW_LINK_GOSSIP_INTERVAL: Duration = Duration::from_millis(200);

/// Minimum bandwidth of a link that allows sending to many targets at the shorter interval, in
/// Mbit/s.
const WIDE_LINK_MBPS: u16 = 50;

/// Time for which a reported reservation keeps an endpoint from taking requests, unless it is
/// reported again.
const RESERVATION_TTL_US: DurationUs = DurationUs::from_ms(600);

/// Time for which an engine's memory counts as followed by a peer, unless it is reported again.
const FOLLOWED_TTL_US: DurationUs = DurationUs::from_ms(800);

/// Returns this daemon as a candidate for a hub.
fn own_candidate(shared: &Shared) -> HubCandidate {
    HubCandidate {
        ip: shared.settings.ip,
        zone: shared.settings.zone.to_string(),
        link_mbps: shared.link_mbps(),
    }
}

/// Sends and receives gossip, for as long as the process runs.
pub(crate) async fn run_gossip(shared: Arc<Shared>, socket: UdpSocket) {
    let socket = Arc::new(socket);
    // Set once: a process binds its gossip socket a single time.
    let _ = shared.peers.gossip_socket.set(Arc::clone(&socket));
    let receiver = receive_loop(Arc::clone(&shared), Arc::clone(&socket));
    tokio::join!(send_loop(shared, socket), receiver);
}

async fn send_loop(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut last = shared.now();
    loop {
        let is_small = shared.peers.current_hub_plan.lock().is_small;
        let interval = match is_small || shared.link_mbps() >= WIDE_LINK_MBPS {
            true => GOSSIP_INTERVAL,
            false => NARROW_LINK_GOSSIP_INTERVAL,
        };
        wait_until_due(&shared, interval).await;
        let now = shared.now();
        update_membership(&shared, last, now);
        last = now;
        shared.peers.gossip_schedule.lock().record_send(now);
        send_round(&shared, &socket, now);
    }
}

/// Waits until the next message is due: after the interval, or earlier for an urgent update.
async fn wait_until_due(shared: &Shared, interval: Duration) {
    let now = shared.now();
    let due_us = shared.peers.gossip_schedule.lock().due_at(interval.into());
    let due = Instant::now() + Duration::from(due_us.since(now));
    if tokio::time::timeout_at(due, shared.peers.wake_sender.notified())
        .await
        .is_err()
    {
        shared.peers.record_timer_lag(due.elapsed());
    }
    let gap_us = shared
        .peers
        .gossip_schedule
        .lock()
        .earliest_send()
        .since(shared.now());
    if gap_us > DurationUs::ZERO {
        tokio::time::sleep(gap_us.into()).await;
    }
}

/// Detects silent peers, recomputes the hubs and starts due catch-ups.
fn update_membership(shared: &Arc<Shared>, last: TimeUs, now: TimeUs) {
    let me = own_candidate(shared);
    let (silent, plan, count) = {
        let mut table = shared.peers.table();
        let silent = table.tick(last, now);
        let plan = table.hub_plan(&me, now);
        (silent, plan, table.count(now))
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
    *shared.peers.current_hub_plan.lock() = plan;
    update_permit_shares(shared, now);
    shared
        .peers
        .daemon_count
        .store(count + 1, Ordering::Relaxed);
    // A daemon that is leaving still retries its last calls.
    let members = shared.permit_shares.lock().member_count();
    shared.budgets.set_daemon_count(members.max(count + 1), now);
    log_confirmations(shared, now);
    // A daemon that watches the store itself soon receives the same objects from it.
    let delay_us = if follows {
        shared.bounds.catch_up_delay()
    } else {
        DurationUs::ZERO
    };
    let own_ip = shared.settings.ip;
    for (role, ip) in shared.watches.begin_due_catch_ups(own_ip, delay_us, now) {
        tokio::spawn(catch_up(Arc::clone(shared), role, ip));
    }
}

/// Recomputes which permits of rate-limited endpoints belong to this daemon.
pub(super) fn update_permit_shares(shared: &Shared, now: TimeUs) {
    let is_complete = shared.peers.peers_listed.is_cancelled();
    let me = shared.settings.ip;
    let mut observation = shared.peers.table().observe_members(me, is_complete, now);
    match shared.phase() {
        MemberPhase::Starting => {
            observation.starting.insert(me);
        }
        MemberPhase::Ready => {}
        MemberPhase::Draining => {
            observation.alive.remove(&me);
        }
    }
    let mut shares = shared.permit_shares.lock();
    shares.observe(&observation, now);
    shared.endpoints.lock().set_permit_shares(&shares, now);
}

/// Sends each target the updates that it doesn't receive from another daemon.
fn send_round(shared: &Shared, socket: &UdpSocket, now: TimeUs) {
    let me = own_candidate(shared);
    let plan = shared.peers.current_hub_plan.lock().clone();
    let targets: Vec<(Ipv4Addr, ReportReceiver)> = {
        let mut table = shared.peers.table();
        let lost = table.lost_hubs_to_probe(&me, &plan, now);
        let mut targets = table.targets(&me, &plan, now);
        targets.retain(|ip| !lost.contains(ip));
        let lost = lost.into_iter().map(|ip| (ip, ReportReceiver::OtherView));
        let targets = targets.into_iter();
        let targets = targets.map(|ip| (ip, table.report_receiver(&plan, ip, now)));
        targets.chain(lost).collect()
    };
    let local = std::mem::take(&mut *shared.peers.local_parts.lock());
    let remote = std::mem::take(&mut *shared.peers.remote_parts.lock());
    let round = RoundUpdates::new(shared, &plan, local, remote, now);
    let mut shared_message: Option<Vec<u8>> = None;
    for (ip, receiver) in targets {
        let to = SocketAddr::from((ip, shared.settings.listen.peer_port));
        // A hub encodes one message per spoke, the daemons that it serves. All other targets get
        // the same message.
        let is_spoke = !plan.is_small && plan.is_hub(me.ip) && !plan.is_hub(ip);
        let message = match is_spoke {
            true => encode_message(shared, &plan, &round, Some((ip, receiver)), now),
            false => shared_message
                .get_or_insert_with(|| encode_message(shared, &plan, &round, None, now))
                .clone(),
        };
        // A message that can't be sent counts as lost. The next one follows soon.
        let _ = socket.try_send_to(&message, to);
    }
}

async fn receive_loop(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; MAX_GOSSIP_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => handle_message(&shared, &buffer[..length], from),
            Err(error) => {
                shared.log.write(&Event::Failure {
                    what: "receiving gossip",
                    detail: error.to_string(),
                });
                tokio::time::sleep(GOSSIP_INTERVAL).await;
            }
        }
    }
}

/// Decodes a received message and applies its updates.
fn handle_message(shared: &Arc<Shared>, bytes: &[u8], from: SocketAddr) {
    if receive_record(shared, bytes, from) {
        return;
    }
    let now = shared.now();
    let Ok(message) = GossipMessage::decode(bytes) else {
        shared.log.write(&Event::Failure {
            what: "decoding gossip",
            detail: format!("invalid message of {} bytes from {from}", bytes.len()),
        });
        return;
    };
    // The sender's address must match its message, because others relay the message's data and send
    // to the address in it.
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
    let peer = ObjectPeer {
        ip: message.ip,
        link_mbps: message.link_mbps,
    };
    let is_behind = watches.apply_peer_kinds(&peer, &message.kinds, held_up_us, now);
    if is_behind && !shared.peers.follows_stores() {
        shared.peers.wake_sender.notify_one();
    }
    apply_load(shared, &message, now);
    apply_leaving_updates(shared, &message.leaving);
    apply_limit_updates(shared, &message.limits, now);
    apply_brittle_services(shared, &message, held_up_us, now);
    apply_suspect_update(shared, &message.suspects);
    receive_work_report(shared, &message, now);
    apply_store_updates(shared, &message, now);
    apply_rates(shared, &message);
    apply_lost_configuration(shared, &message);
    relay_parts(shared, message);
}

/// Records the version of a configuration that the sender has and the store has lost.
fn apply_lost_configuration(shared: &Shared, message: &GossipMessage) {
    match message.sections.get::<ConfigurationSection>() {
        Ok(None) => {}
        Ok(Some(section)) => shared.site.record_peer_version(section.version),
        Err(error) => shared.log.write(&Event::Failure {
            what: "configuration of a peer",
            detail: format!("{error} from {}", message.ip),
        }),
    }
}

/// Applies the rates of a message.
fn apply_rates(shared: &Shared, message: &GossipMessage) {
    if !shared.manages_load() {
        return;
    }
    let dropped = match message.sections.get::<RatesSection>() {
        Ok(None) => return,
        Ok(Some(section)) => shared.endpoints.lock().apply_rates(&section),
        Err(_) => 1,
    };
    if dropped > 0 {
        let counter = &shared.metrics.invalid_peer_figures;
        counter.with_label_values(&["rates"]).inc_by(dropped as u64);
        shared.log.write(&Event::Failure {
            what: "rates of a peer",
            detail: format!("{dropped} out of range from {}", message.ip),
        });
    }
}

/// Applies the endpoint updates of a message: load, reservations, reachability and cached parts.
fn apply_load(shared: &Shared, message: &GossipMessage, now: TimeUs) {
    let mut endpoints = shared.endpoints.lock();
    let loads: HashMap<_, _> = message
        .endpoints
        .iter()
        .map(|update| (update.endpoint, update.load))
        .collect();
    endpoints.apply_peer_load(message.incarnation, loads, now);
    let reserved = message.endpoints.iter().filter(|update| update.is_reserved);
    let reserved = reserved.map(|update| update.endpoint).collect();
    let is_new = endpoints.apply_peer_reservations(
        message.incarnation,
        reserved,
        now + RESERVATION_TTL_US,
        now,
    );
    let unreachable = message.unreachable.iter().copied().collect();
    let is_aggregated = message.is_hub && !shared.peers.current_hub_plan.lock().is_small;
    endpoints.apply_peer_connect_failures(message.incarnation, unreachable, is_aggregated, now);
    for short_name in &message.followed {
        endpoints.extend_parts_tracking(*short_name, now + FOLLOWED_TTL_US);
    }
    if is_new {
        // A hub relays this at once, because calls sent to a reserved endpoint are refused until
        // the other daemons know of the reservation.
        shared.peers.wake_sender.notify_one();
    }
    for part in &message.parts {
        let tokens = u64::from(part.tokens);
        endpoints.record_part(part.endpoint, PartKey(part.part), tokens, now);
    }
}

/// Applies a hub's updates about part stores, and fetches the contents of unknown ones from it.
fn apply_store_updates(shared: &Arc<Shared>, message: &GossipMessage, now: TimeUs) {
    if !message.is_hub || shared.peers.follows_stores() {
        return;
    }
    let unknown = {
        let mut stores = shared.part_stores.lock();
        // A hub receives updates about the stores from several hubs, other daemons only from their
        // own.
        if !shared
            .peers
            .current_hub_plan
            .lock()
            .is_hub(shared.settings.ip)
        {
            stores.clear_unreported_stores(&message.stores);
        }
        let unknown = stores.apply_store_updates(&message.stores, now);
        stores.apply_stored_parts(&message.stored_parts);
        unknown
    };
    let mut pending = shared.peers.pending_store_fetches.lock();
    for store in unknown {
        if !pending.contains(&store) {
            pending.push(store);
            tokio::spawn(fetch_store_parts(Arc::clone(shared), store, message.ip));
        }
    }
}

/// Queues the cached parts of a received message for this hub's next messages.
fn relay_parts(shared: &Shared, message: GossipMessage) {
    let is_hub = {
        let plan = shared.peers.current_hub_plan.lock();
        !plan.is_small && plan.is_hub(shared.settings.ip)
    };
    match (is_hub, message.is_hub) {
        (false, _) => {}
        (true, false) => enqueue_parts(&shared.peers.local_parts, message.parts),
        (true, true) => enqueue_parts(&shared.peers.remote_parts, message.parts),
    }
}
