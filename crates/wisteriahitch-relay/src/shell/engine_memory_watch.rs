//! Knowing what engines keep: from what they tell themselves, and from daemons that were there before.
//!
//! What an engine keeps is otherwise guessed from the calls that were sent to it. The guess is wrong
//! both ways when the engine is busy, and a daemon that has just started has none: prompts are read
//! again that an engine still keeps. So one daemon for each engine follows what the engine tells of
//! its memory and passes it on, and a daemon that starts takes over what another one knows.

use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use wisteriahitch_core::fleet::Rendezvous;
use wisteriahitch_types::{DurationUs, EndpointInstance, Incarnation};

use super::peer_client::fetch_engine_memory_snapshot;
use super::shared::Shared;
use crate::decide::endpoint_row::EndpointLife;
use crate::observe::Event;

/// Time between two looks which engines are this daemon's to follow.
const OWNERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Longest wait of one question; engines allow a second.
const CHANGES_POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Least time between two questions to one engine. A busy one always has changes to tell.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// The same for an engine that names a limit or has asked for rest, which may count questions too: one in the span in which
/// the platform's rule counts.
const THROTTLED_POLL_INTERVAL: Duration = Duration::from_secs(4);

/// Pause after an engine didn't answer.
const RETRY_BACKOFF: Duration = Duration::from_millis(700);

/// How long an answer counts, for the way of the next one.
const POLL_RESULT_TTL_US: DurationUs = DurationUs::from_ms(1_200);

/// Pauses before each question to another daemon after the start. If all have started together, those
/// that gather news have heard of the engines' memories by the later ones.
const FETCH_DELAYS: [Duration; 5] = [
    Duration::from_millis(100),
    Duration::from_millis(200),
    Duration::from_millis(500),
    Duration::from_millis(800),
    Duration::from_millis(1_500),
];

/// Time since its start from which a daemon knows what can be known, so that no other one is asked.
const WARMED_UP_AFTER_MS: u64 = 4_000;

/// Follows the engines that are this daemon's, for as long as the process lives.
pub(crate) async fn run_engine_memory_watch(shared: Arc<Shared>) {
    wait_for_peers(&shared).await;
    loop {
        let owned_engines = owned_engines(&shared);
        for (instance, address) in owned_engines {
            if shared.followed_engines.lock().insert(instance.clone()) {
                tokio::spawn(follow_engine(Arc::clone(&shared), instance, address));
            }
        }
        tokio::time::sleep(OWNERSHIP_CHECK_INTERVAL).await;
    }
}

/// Waits until the other daemons would have been heard.
///
/// A daemon that hears no other one takes all engines for its own. Where all daemons of a large fleet start at
/// once, each engine would be asked by each of them for all that it has ever told, and the answers take
/// the time of calls: one would notice by calls that are late for seconds after the start. Waiting, 76
/// daemons that had all lost power had a day worth 0.730 in place of 0.617 (one run each).
async fn wait_for_peers(shared: &Shared) {
    // Without the store they can't be known, and whoever is there is followed by nobody else.
    shared.peers.wait_for_peer_list().await;
    shared.peers.wait_for_gossip().await;
}

/// Returns the engines that this daemon is the first to follow by hash, among those that gather news.
fn owned_engines(shared: &Shared) -> Vec<(EndpointInstance, SocketAddr)> {
    let collectors = collectors(shared);
    if !collectors.contains(&shared.incarnation) {
        return Vec::new();
    }
    let endpoints = shared.endpoints.lock();
    let engines = endpoints.iter().filter(|row| {
        row.life == EndpointLife::Ready && !row.is_displaced && !row.endpoint.weights.is_empty()
    });
    engines
        .filter(|row| is_owner(shared, &collectors, row.instance()))
        .map(|row| (row.instance().clone(), row.endpoint.address))
        .collect()
}

/// Returns the daemons that gather news for others: all of a small fleet, else its hubs.
fn collectors(shared: &Shared) -> Vec<Incarnation> {
    let now = shared.now();
    let plan = shared.peers.hub_plan.lock().clone();
    let table = shared.peers.table();
    let peers = table.ready(now).filter(|peer| plan.is_hub(peer.ip));
    let mut collectors: Vec<Incarnation> = peers.map(|peer| peer.incarnation).collect();
    if plan.is_hub(shared.settings.ip) && !shared.drain.is_draining() {
        collectors.push(shared.incarnation);
    }
    collectors
}

fn is_owner(shared: &Shared, collectors: &[Incarnation], instance: &EndpointInstance) -> bool {
    let rank = Rendezvous::new("engine", &instance.to_string());
    let first = rank.top(collectors.iter().copied(), 1, |incarnation| {
        incarnation.get().to_le_bytes().to_vec()
    });
    first.first() == Some(&shared.incarnation)
}

/// Follows one engine for as long as it is this daemon's.
async fn follow_engine(shared: Arc<Shared>, instance: EndpointInstance, address: SocketAddr) {
    let mut since = 0;
    let mut epoch = None;
    while is_owned(&shared, &instance) {
        let control = &shared.borders.part_stores;
        let changes = match control.changes(address, since, CHANGES_POLL_TIMEOUT).await {
            Ok(changes) => changes,
            Err(error) => {
                shared.log.write(&Event::Failure {
                    what: "following an engine's memory",
                    detail: format!("{instance}: {error}"),
                });
                tokio::time::sleep(RETRY_BACKOFF).await;
                continue;
            }
        };
        // Another process answers: its registration comes soon, with another instance.
        if epoch.is_some_and(|known| known != changes.epoch) {
            break;
        }
        epoch = Some(changes.epoch);
        since = changes.next;
        let now = shared.now();
        let expires_at_us = now + POLL_RESULT_TTL_US;
        let part_updates = {
            let mut endpoints = shared.endpoints.lock();
            endpoints.part_events(&instance, &changes.events, expires_at_us, now)
        };
        shared.peers.queue_part_updates(part_updates);
        tokio::time::sleep(poll_interval(&shared, &instance)).await;
    }
    shared.followed_engines.lock().remove(&instance);
}

fn poll_interval(shared: &Shared, instance: &EndpointInstance) -> Duration {
    let now = shared.now();
    match shared.endpoints.lock().is_in_need(instance, now) {
        true => THROTTLED_POLL_INTERVAL,
        false => POLL_INTERVAL,
    }
}

fn is_owned(shared: &Shared, instance: &EndpointInstance) -> bool {
    let is_there = shared.endpoints.lock().get(instance).is_some();
    is_there && is_owner(shared, &collectors(shared), instance)
}

/// Takes over what other daemons know of engines, after the start.
///
/// A daemon that starts knows neither what engines keep nor how long their queues are. The queues it
/// hears of within a tenth of a second; what engines keep it would learn by having prompts read again.
/// No step of the start waits for this.
pub(crate) async fn fetch_engine_memories(shared: Arc<Shared>) {
    let mut asked = HashSet::new();
    for delay in FETCH_DELAYS {
        tokio::time::sleep(delay.mul_f64(rand::random_range(0.8..1.2))).await;
        let Some(ip) = pick_peer(&shared, &asked) else {
            continue;
        };
        asked.insert(ip);
        match fetch_engine_memory_snapshot(&shared, ip).await {
            Ok(snapshot) => {
                let now = shared.now();
                shared.endpoints.lock().take_over(&snapshot.engines, now);
                if snapshot.up_ms >= WARMED_UP_AFTER_MS {
                    return;
                }
            }
            Err(detail) => shared.log.write(&Event::Failure {
                what: "asking a peer for the engines' memories",
                detail: format!("{ip}: {detail}"),
            }),
        }
    }
}

/// Returns a daemon that serves and wasn't asked yet, one that gathers news if there is one.
fn pick_peer(shared: &Shared, asked: &HashSet<Ipv4Addr>) -> Option<Ipv4Addr> {
    let now = shared.now();
    let table = shared.peers.table();
    let ready = table.ready(now).filter(|peer| !asked.contains(&peer.ip));
    let (hubs, others): (Vec<_>, Vec<_>) = ready.partition(|peer| peer.is_hub);
    let candidates = if hubs.is_empty() { others } else { hubs };
    let ips: Vec<Ipv4Addr> = candidates.iter().map(|peer| peer.ip).collect();
    ips.choose(&mut rand::rng()).copied()
}
