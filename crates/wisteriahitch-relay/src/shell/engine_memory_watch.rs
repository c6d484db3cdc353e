//! Tracks which prompt parts engines have cached, from the engines and from other daemons.
//!
//! Without this, a daemon estimates an engine's cache from the calls that it sent there. The
//! estimate is wrong in both directions when the engine is busy, and a daemon that has just started
//! has none, so prompts are processed again although an engine still has them cached. Therefore one
//! daemon per engine polls the changes of its cache and publishes them, and a starting daemon
//! fetches what another one knows.

use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use wisteriahitch_core::fleet::Rendezvous;
use wisteriahitch_types::{DurationUs, EndpointInstance, Incarnation};

use super::peer_client::fetch_engine_memory_snapshot;
use super::shared::Shared;
use crate::decide::endpoint_row::EndpointState;
use crate::observe::Event;

/// Time between two checks of which engines this daemon must poll.
const OWNERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Maximum wait of one poll for changes. Engines allow one second.
const CHANGES_POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Minimum time between two polls of an engine. A busy engine always has changes and answers at
/// once.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum time between two polls of an engine that has a rate limit or asked for rest, because the
/// engine may count polls as calls: one poll in the time span over which the platform's limit
/// counts.
const THROTTLED_POLL_INTERVAL: Duration = Duration::from_secs(4);

/// Wait after a failed poll.
const RETRY_BACKOFF: Duration = Duration::from_millis(700);

/// Time for which the events of a poll stay valid, which covers the next poll.
const POLL_RESULT_TTL_US: DurationUs = DurationUs::from_ms(1_200);

/// Delays before each attempt to fetch engine memory after the start. If all daemons start
/// together, the hubs have received the engines' caches by the later attempts.
const FETCH_DELAYS: [Duration; 5] = [
    Duration::from_millis(100),
    Duration::from_millis(200),
    Duration::from_millis(500),
    Duration::from_millis(800),
    Duration::from_millis(1_500),
];

/// Uptime after which a daemon is considered fully informed, so that no other one is asked.
const WARMED_UP_AFTER_MS: u64 = 4_000;

/// Polls the engines assigned to this daemon, for as long as the process runs.
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

/// Waits until gossip of the other daemons should have arrived.
///
/// A daemon that knows no other one considers itself responsible for all engines. If all daemons of
/// a large fleet start at once, each of them would ask every engine for its whole history, and
/// answering takes time away from calls, which are then late for seconds after the start. With this
/// wait, a fleet of 76 daemons that all lost power scored 0.730 instead of 0.617 over the day (one
/// run each).
async fn wait_for_peers(shared: &Shared) {
    // The result is ignored: without the store the other daemons can't be known, and no other
    // daemon polls the engines that are there.
    shared.peers.wait_for_peer_list().await;
    shared.peers.wait_for_gossip().await;
}

/// Returns the engines for which this daemon ranks first by hash among the ready hubs.
fn owned_engines(shared: &Shared) -> Vec<(EndpointInstance, SocketAddr)> {
    let ready_hubs = ready_hubs(shared);
    if !ready_hubs.contains(&shared.incarnation) {
        return Vec::new();
    }
    let endpoints = shared.endpoints.lock();
    let engines = endpoints.iter().filter(|row| {
        row.state == EndpointState::Ready && !row.is_displaced && !row.endpoint.weights.is_empty()
    });
    engines
        .filter(|row| is_owner(shared, &ready_hubs, row.instance()))
        .map(|row| (row.instance().clone(), row.endpoint.address))
        .collect()
}

/// Returns the ready daemons that collect updates for the others: the hubs of a large fleet, or all
/// daemons of a small one.
fn ready_hubs(shared: &Shared) -> Vec<Incarnation> {
    let now = shared.now();
    let plan = shared.peers.current_hub_plan.lock().clone();
    let table = shared.peers.table();
    let peers = table.ready(now).filter(|peer| plan.is_hub(peer.ip));
    let mut ready_hubs: Vec<Incarnation> = peers.map(|peer| peer.incarnation).collect();
    if plan.is_hub(shared.settings.ip) && !shared.drain.is_draining() {
        ready_hubs.push(shared.incarnation);
    }
    ready_hubs
}

fn is_owner(shared: &Shared, ready_hubs: &[Incarnation], instance: &EndpointInstance) -> bool {
    let rank = Rendezvous::new("engine", &instance.to_string());
    let score = |hub: &Incarnation| (rank.score(&hub.get().to_le_bytes()), *hub);
    let mine = score(&shared.incarnation);
    ready_hubs.contains(&shared.incarnation) && ready_hubs.iter().all(|hub| score(hub) <= mine)
}

/// Polls one engine for as long as this daemon is responsible for it.
async fn follow_engine(shared: Arc<Shared>, instance: EndpointInstance, address: SocketAddr) {
    let mut since = 0;
    let mut epoch = None;
    while is_owned(&shared, &instance) {
        let control = &shared.borders.part_stores;
        let changes = match control.changes(address, since, CHANGES_POLL_TIMEOUT).await {
            Ok(changes) => changes,
            Err(error) => {
                shared.log.write(&Event::Failure {
                    what: "polling an engine's memory changes",
                    detail: format!("{instance}: {error}"),
                });
                tokio::time::sleep(RETRY_BACKOFF).await;
                continue;
            }
        };
        // A different process answers at this address. Its registration with a new instance follows
        // soon.
        if epoch.is_some_and(|known| known != changes.epoch) {
            break;
        }
        epoch = Some(changes.epoch);
        since = changes.next;
        let now = shared.now();
        let expires_at_us = now + POLL_RESULT_TTL_US;
        let part_updates = {
            let mut endpoints = shared.endpoints.lock();
            endpoints.apply_part_events(&instance, &changes.events, expires_at_us, now)
        };
        shared.peers.queue_part_updates(part_updates);
        tokio::time::sleep(poll_interval(&shared, &instance)).await;
    }
    shared.followed_engines.lock().remove(&instance);
}

fn poll_interval(shared: &Shared, instance: &EndpointInstance) -> Duration {
    let now = shared.now();
    match shared.endpoints.lock().limits_calls(instance, now) {
        true => THROTTLED_POLL_INTERVAL,
        false => POLL_INTERVAL,
    }
}

fn is_owned(shared: &Shared, instance: &EndpointInstance) -> bool {
    let is_there = shared.endpoints.lock().get(instance).is_some();
    is_there && is_owner(shared, &ready_hubs(shared), instance)
}

/// Fetches the known contents of the engines' caches from other daemons after the start.
///
/// A starting daemon knows neither the caches nor the queues of the engines. Gossip about the
/// queues arrives within a tenth of a second, but the caches could otherwise only be learned by
/// having prompts processed again. No step of the start waits for this.
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
                shared
                    .endpoints
                    .lock()
                    .adopt_engine_memory(&snapshot.engines, now);
                if snapshot.up_ms >= WARMED_UP_AFTER_MS {
                    return;
                }
            }
            Err(detail) => shared.log.write(&Event::Failure {
                what: "fetching engine memory from a peer",
                detail: format!("{ip}: {detail}"),
            }),
        }
    }
}

/// Returns a random ready daemon that wasn't asked yet; hubs are preferred.
fn pick_peer(shared: &Shared, asked: &HashSet<Ipv4Addr>) -> Option<Ipv4Addr> {
    let now = shared.now();
    let table = shared.peers.table();
    let ready = table.ready(now).filter(|peer| !asked.contains(&peer.ip));
    let (hubs, others): (Vec<_>, Vec<_>) = ready.partition(|peer| peer.is_hub);
    let candidates = if hubs.is_empty() { others } else { hubs };
    let ips: Vec<Ipv4Addr> = candidates.iter().map(|peer| peer.ip).collect();
    ips.choose(&mut rand::rng()).copied()
}
