//! Discovery of other daemons: each daemon registers itself in the platform's store at its start.

use std::collections::{BTreeSet, HashSet};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use wisteriahitch_types::{DurationUs, Incarnation};
use wisteriahitch_wire::object_store::{
    ObjectContent, ObjectRole, Reception, Revision, StoredObject, UnreadableKind,
};
use wisteriahitch_wire::platform::{PlatformError, PlatformErrorKind};

use super::shared::Shared;
use super::store_updates::{log_skipped_objects, log_unreadable_object};
use crate::decide::registration_listing::registration_listing_interval;
use crate::observe::Event;

/// Base wait after a failed store call.
const RETRY_BACKOFF: Duration = Duration::from_millis(500);

/// Time between two checks of whether the next listing is due.
const DUE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum delay of a daemon's new registration after the store has returned with an older copy, in a
/// small fleet.
const MIN_RENEWAL_SPREAD: Duration = Duration::from_secs(2);

/// What each daemon adds to it. All of them make up to four calls, at most 130 a second together.
const RENEWAL_SPREAD_PER_DAEMON: Duration = Duration::from_millis(30);

/// Number of intervals for which a listing is valid, so that one failed listing doesn't matter.
const LISTING_TTL_INTERVALS: u64 = 2;

/// Time since the last message of a registered daemon after which another one removes its
/// registration.
const MAX_SILENCE_US: DurationUs = DurationUs::from_ms(20_000);

/// Maximum number of unreadable registrations that are remembered as already logged.
const MAX_LOGGED_REGISTRATIONS: usize = 1_000;

/// Content of a daemon's registration.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
struct DaemonRegistration {
    ip: Ipv4Addr,
    zone: String,
    link_mbps: u16,
    incarnation: Incarnation,
}

/// Registers this daemon and discovers the others, for as long as the process runs.
pub(crate) async fn run_registration(shared: Arc<Shared>) {
    let is_new = loop {
        match register(&shared).await {
            Ok(is_new) => break is_new,
            Err(error) => shared.log.write(&Event::Failure {
                what: "registering this daemon",
                detail: error.to_string(),
            }),
        }
        tokio::time::sleep(RETRY_BACKOFF).await;
    };
    if is_new {
        tokio::spawn(fill_budgets(Arc::clone(&shared)));
    }
    tokio::spawn(run_renewed_registrations(Arc::clone(&shared)));
    tokio::spawn(await_peer_messages(Arc::clone(&shared)));
    // Two daemons that start at the same time both write before they list, so at least one sees the
    // other.
    let mut is_first = true;
    let mut logged = HashSet::new();
    loop {
        match shared
            .borders
            .store
            .list(ObjectRole::Members, !is_first, &Reception::default())
            .await
        {
            Ok(listing) => {
                is_first = false;
                log_skipped_objects(&shared, ObjectRole::Members, &listing.skipped);
                apply_registrations(&shared, listing.objects, &mut logged).await;
                shared.peers.peers_listed.cancel();
                wait_until_due(&shared).await;
            }
            Err(error) => {
                shared.log.write(&Event::Failure {
                    what: "listing the daemons",
                    detail: error.to_string(),
                });
                // Once the other daemons were listed, gossip finds new ones. The list only repairs
                // what gossip missed.
                match is_first {
                    true => tokio::time::sleep(RETRY_BACKOFF * 2).await,
                    false => wait_until_due(&shared).await,
                }
            }
        }
    }
}

/// Waits until the next listing is due. The interval may change meanwhile, for example if this daemon
/// becomes a hub.
async fn wait_until_due(shared: &Shared) {
    let listed_at = shared.now();
    let jitter = rand::random_range(0.8..1.2);
    let due_after = |jitter| Duration::from(listing_interval(shared)).mul_f64(jitter);
    let is_due = || Duration::from(shared.now().since(listed_at)) >= due_after(jitter);
    while !is_due() {
        tokio::time::sleep(DUE_CHECK_INTERVAL).await;
    }
}

/// Registers this daemon again whenever the store has returned with an older copy, for as long as the
/// process runs. The copy may lack its registration, or have that of the process before.
async fn run_renewed_registrations(shared: Arc<Shared>) {
    let mut registered_in = shared.borders.store.epoch();
    loop {
        shared.watches.wait_for_epoch_after(registered_in).await;
        let epoch = shared.watches.epoch();
        // All daemons learn of the return at about the same time.
        let daemons = u32::try_from(shared.peers.daemon_count()).unwrap_or(u32::MAX);
        let spread = MIN_RENEWAL_SPREAD + RENEWAL_SPREAD_PER_DAEMON.saturating_mul(daemons);
        tokio::time::sleep(spread.mul_f64(rand::random())).await;
        match renew_registration(&shared).await {
            Ok(()) => registered_in = epoch,
            Err(error) => shared.log.write(&Event::Failure {
                what: "registering this daemon again",
                detail: error.to_string(),
            }),
        }
    }
}

fn listing_interval(shared: &Shared) -> DurationUs {
    let plan = shared.peers.current_hub_plan.lock();
    let is_hub = plan.is_small || plan.is_hub(shared.settings.ip);
    registration_listing_interval(is_hub, shared.peers.daemon_count())
}

fn decode(content: &ObjectContent) -> Result<DaemonRegistration, (UnreadableKind, String)> {
    let registration: DaemonRegistration = content
        .parse()
        .map_err(|error| (UnreadableKind::Field, error.to_string()))?;
    let ip = registration.ip;
    // Gossip would be sent to this address several times per second.
    match ip.is_unspecified() || ip.is_multicast() || ip.is_broadcast() {
        true => Err((
            UnreadableKind::Value,
            format!("the address {ip} is unspecified, multicast or broadcast"),
        )),
        false => Ok(registration),
    }
}

/// Fills the retry budgets of a new daemon once it knows the size of the fleet.
async fn fill_budgets(shared: Arc<Shared>) {
    if shared.peers.wait_for_peer_list().await {
        shared.peers.wait_for_gossip().await;
        shared.budgets.fill(shared.now());
    }
}

/// Registers this daemon unless the store has its registration.
async fn renew_registration(shared: &Shared) -> Result<(), PlatformError> {
    let name = shared.settings.id.as_str();
    let stored = shared.borders.store.get(ObjectRole::Members, name).await?;
    let registered = stored.and_then(|object| decode(&object.content).ok());
    if registered.is_some_and(|registered| registered.incarnation == shared.incarnation) {
        return Ok(());
    }
    register(shared).await.map(drop)
}

/// Records when messages of all other daemons should have arrived.
async fn await_peer_messages(shared: Arc<Shared>) {
    if shared.peers.wait_for_peer_list().await {
        shared.peers.wait_for_gossip().await;
    }
    shared.site.record_peer_messages();
}

/// Registers this daemon, and returns whether it is new, that is, wasn't registered before. If the
/// answer to its first write is lost, it doesn't count as new, because a restart looks the same.
async fn register(shared: &Shared) -> Result<bool, PlatformError> {
    let store = &shared.borders.store;
    let name = shared.settings.id.as_str();
    let registration = DaemonRegistration {
        ip: shared.settings.ip,
        zone: shared.settings.zone.to_string(),
        link_mbps: shared.link_mbps(),
        incarnation: shared.incarnation,
    };
    let content = serde_json::to_value(&registration).unwrap_or_default();
    let created = store
        .create(ObjectRole::Members, name, content.clone())
        .await;
    match created {
        Err(error) if error.kind() == PlatformErrorKind::AlreadyExists => {}
        created => return created.map(|_| true),
    }
    let Some(old) = store.get(ObjectRole::Members, name).await? else {
        return Ok(false);
    };
    let replaced = store
        .replace(ObjectRole::Members, name, content, old.revision)
        .await;
    replaced.map(|_| false)
}

/// Adds the registered daemons to the known peers, and removes registrations of silent ones.
///
/// Unreadable registrations are skipped and logged once each: `logged` contains their names and
/// revisions, and is cleared before it grows large.
async fn apply_registrations(
    shared: &Shared,
    objects: Vec<StoredObject>,
    logged: &mut HashSet<(String, Revision)>,
) {
    let now = shared.now();
    let mut registered = BTreeSet::new();
    if logged.len() > MAX_LOGGED_REGISTRATIONS {
        logged.clear();
    }
    for object in objects {
        let registration = match decode(&object.content) {
            Ok(registration) => registration,
            Err((kind, detail)) => {
                if logged.insert((object.name.clone(), object.revision)) {
                    log_unreadable_object(shared, ObjectRole::Members, &object.name, kind, detail);
                }
                continue;
            }
        };
        if registration.ip == shared.settings.ip {
            continue;
        }
        let silence = shared.peers.table().silence(registration.ip, now);
        let is_gossiped = shared.peers.table().is_known_indirectly(registration.ip);
        if !is_gossiped && silence.is_some_and(|silence| silence > MAX_SILENCE_US) {
            let role = ObjectRole::Members;
            // The result is ignored: another daemon may have removed it first, or the silent daemon
            // may have just registered again.
            let _ = shared
                .borders
                .store
                .delete(role, &object.name, object.revision)
                .await;
        } else {
            let zone_and_link = Some((registration.zone, registration.link_mbps));
            let mut peers = shared.peers.table();
            peers.record_address(registration.ip, zone_and_link, now);
            registered.insert(registration.ip);
        }
    }
    let ttl_us = DurationUs::new(listing_interval(shared).get() * LISTING_TTL_INTERVALS);
    let mut peers = shared.peers.table();
    peers.record_registrations(registered, now + ttl_us);
    drop(peers);
    shared.peers.wake_sender.notify_one();
}
