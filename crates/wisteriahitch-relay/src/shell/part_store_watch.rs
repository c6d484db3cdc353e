//! Tracks the contents of the part stores and frees parts that are no longer used.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use wisteriahitch_core::fleet::Rendezvous;
use wisteriahitch_types::{ModelName, TimeUs, WeightNumber};

use super::shared::Shared;
use crate::decide::part_stores::FreeOrder;
use crate::decide::parts::weights_of_scope;
use crate::observe::{Event, FreedModel};

/// Maximum wait of one poll for changes. Stores allow one second; a shorter wait keeps the contents
/// fresh for daemons that receive them by gossip.
const CHANGES_POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two checks of whether this daemon must poll the stores itself.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Mean wait after a failed poll.
const RETRY_BACKOFF: Duration = Duration::from_millis(300);

/// Time between two searches for parts to free.
const FREE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Maximum number of freed parts that a log line names.
const MAX_NAMED_PARTS: usize = 8;

/// Tracks one store until the configuration no longer contains it.
pub(crate) async fn run_part_store_watch(shared: Arc<Shared>, store: SocketAddr) {
    let mut since = None;
    let mut was_reachable = true;
    while shared.part_stores.lock().is_configured(store) {
        if !shared.peers.follows_stores() {
            // Another daemon polls the store now, and its updates carry their own age. They
            // continue from the contents that are known here.
            since = None;
            tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
            continue;
        }
        let step = match since {
            None => list_parts(&shared, store).await.map(Some),
            Some(since) => poll_changes(&shared, store, since).await,
        };
        let is_reachable = step.is_ok();
        if is_reachable != was_reachable {
            was_reachable = is_reachable;
            shared.log.write(&Event::PartStoreReachable {
                store: store.to_string(),
                is_reachable,
                detail: step.as_ref().err().cloned().unwrap_or_default(),
            });
        }
        match step {
            Ok(next) => since = next,
            Err(_) => {
                since = None;
                shared.part_stores.lock().record_unreachable(store);
                tokio::time::sleep(RETRY_BACKOFF.mul_f64(rand::random_range(0.8..1.2))).await;
            }
        }
    }
}

/// Lists a store's contents and returns the position to poll changes from.
async fn list_parts(shared: &Shared, store: SocketAddr) -> Result<u64, String> {
    let listing = shared.borders.part_stores.list(store).await;
    let listing = listing.map_err(|error| error.to_string())?;
    let next = listing.next;
    shared
        .part_stores
        .lock()
        .apply_listing(store, listing, shared.now());
    Ok(next)
}

/// Waits for changes once. Returns the next position, or `None` if the store must be listed again.
async fn poll_changes(
    shared: &Shared,
    store: SocketAddr,
    since: u64,
) -> Result<Option<u64>, String> {
    let changes = shared
        .borders
        .part_stores
        .changes(store, since, CHANGES_POLL_TIMEOUT)
        .await;
    let changes = changes.map_err(|error| error.to_string())?;
    let next = changes.next;
    let is_continuous = shared
        .part_stores
        .lock()
        .apply_changes(store, changes, shared.now());
    Ok(is_continuous.then_some(next))
}

/// Frees parts of replaced weights, for as long as the process runs.
///
/// One daemon does this. If two both consider themselves responsible, they free the same parts,
/// which is harmless.
pub(crate) async fn run_part_freeing(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(FREE_INTERVAL).await;
        let now = shared.now();
        let lowest = lowest_weights(&shared);
        let orders = {
            let mut stores = shared.part_stores.lock();
            stores.record_lowest_weights(&lowest, now);
            stores.parts_to_free(weights_of_scope, may_be_fetched(&shared, now), now)
        };
        if !orders.is_empty() && is_freeing_daemon(&shared) {
            for order in orders {
                free_parts(&shared, order).await;
            }
        }
    }
}

/// Returns a predicate: whether a call that was sent to an engine with the given weights may still
/// fetch parts.
fn may_be_fetched(shared: &Shared, now: TimeUs) -> impl Fn(&ModelName, WeightNumber) -> bool {
    move |model, weights| {
        let wanted = shared.site.wanted_versions(model);
        wanted.is_none_or(|wanted| wanted.may_fetch_parts(weights, now))
    }
}

/// Returns the oldest weight version of each model that any engine has. Engines that are leaving
/// count, and so do those whose registration has lapsed: if one returns, its weights are no older.
fn lowest_weights(shared: &Shared) -> BTreeMap<ModelName, WeightNumber> {
    let mut lowest = BTreeMap::new();
    let endpoints = shared.endpoints.lock();
    for row in endpoints.iter() {
        for (model, weights) in row.endpoint.weights.iter() {
            let known = lowest.entry(model.clone()).or_insert(weights);
            *known = (*known).min(weights);
        }
    }
    lowest
}

/// Returns whether this daemon ranks first by hash among the ready ones that poll the stores.
fn is_freeing_daemon(shared: &Shared) -> bool {
    let now = shared.now();
    let table = shared.peers.table();
    let followers = table.ready(now).filter(|peer| peer.follows_stores);
    let mut candidates: Vec<_> = followers.map(|peer| peer.incarnation).collect();
    if shared.peers.follows_stores() {
        candidates.push(shared.incarnation);
    }
    let rank = Rendezvous::new("free", "");
    let first = rank.top(candidates, 1, |i| i.get().to_le_bytes().to_vec());
    first.first() == Some(&shared.incarnation) && !shared.drain.is_draining()
}

async fn free_parts(shared: &Shared, order: FreeOrder) {
    let control = &shared.borders.part_stores;
    let freed = control.free(order.store, &order.parts, order.epoch).await;
    let now = shared.now();
    let named = order.parts.iter().take(MAX_NAMED_PARTS);
    shared.log.write(&Event::PartsFreed {
        store: order.store.to_string(),
        parts: order.parts.len(),
        named: named.map(|p| format!("{}/{:x}", p.scope, p.id)).collect(),
        models: freed_models(shared, &order, now),
        clock_ms: shared.part_stores.lock().clock_ms(now),
        outcome: freed
            .as_ref()
            .err()
            .map_or("freed".to_owned(), ToString::to_string),
    });
    if freed.is_ok() {
        shared.part_stores.lock().remove_freed_parts(&order);
    }
}

/// Returns what is known of the models whose parts an order frees.
fn freed_models(shared: &Shared, order: &FreeOrder, now: TimeUs) -> Vec<FreedModel> {
    let mut newest_freed: BTreeMap<&ModelName, WeightNumber> = BTreeMap::new();
    for part in &order.parts {
        if let Some(weights) = weights_of_scope(&part.scope) {
            let newest = newest_freed.entry(&part.model).or_insert(weights);
            *newest = weights.max(*newest);
        }
    }
    let stores = shared.part_stores.lock();
    let models = newest_freed.into_iter().filter_map(|(model, newest)| {
        let (lowest, since) = stores.lowest_weights(model)?;
        let wanted = shared.site.wanted_versions(model);
        let learned_at = wanted.and_then(|wanted| wanted.learned_replaced_at(newest));
        Some(FreedModel {
            model: model.to_string(),
            lowest: lowest.get(),
            lowest_for_ms: now.since(since).as_ms(),
            learned_for_ms: learned_at.map(|at| now.since(at).as_ms()),
        })
    });
    models.collect()
}
