//! Polls the store VMs for their incarnation, free space, links and blocks.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use wisteriahitch_config::{Configuration, Store};
use wisteriahitch_core::tier::TierEvent;
use wisteriahitch_types::{BlockKey, BlockState, StoreId, StoreIncarnation, Tier};
use wisteriahitch_wire::store::{BlockListing, StoreReport, StoredBlock};

use super::in_flight::InFlightCalls;
use crate::shared::Shared;

/// Interval between two polls of a store VM.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Number of polls between two listings of the blocks, which show what other daemons saved or
/// freed.
const POLLS_PER_LISTING: u64 = 4;

/// Number of blocks of a listing that are applied before the task yields to others on its thread.
const BLOCKS_PER_YIELD: usize = 256;

/// The incarnation that each store VM was last seen in.
type StoreIncarnations = Mutex<HashMap<StoreId, StoreIncarnation>>;

/// Polls every store VM until the process stops.
pub(crate) async fn run_stores(shared: Arc<Shared>) {
    let incarnations = Arc::new(StoreIncarnations::default());
    let in_flight = InFlightCalls::default();
    let mut ticks = tokio::time::interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut polls = 0;
    loop {
        tokio::select! {
            () = shared.end.cancelled() => return,
            _ = ticks.tick() => {}
        }
        poll_stores(
            &shared,
            &incarnations,
            &in_flight,
            polls % POLLS_PER_LISTING == 0,
        );
        polls += 1;
    }
}

/// Polls all store VMs that have no poll in flight, so that a frozen one delays no other's report.
fn poll_stores(
    shared: &Arc<Shared>,
    incarnations: &Arc<StoreIncarnations>,
    in_flight: &InFlightCalls<StoreId>,
    is_listing_due: bool,
) {
    let Some(in_force) = shared.in_force.load_full() else {
        return;
    };
    let stores = &in_force.configuration.stores;
    remove_unconfigured(shared, incarnations, &in_force.configuration);
    for store in stores.values() {
        let Some(call) = in_flight.try_begin(&store.id) else {
            continue;
        };
        let (shared, store, incarnations) =
            (Arc::clone(shared), store.clone(), Arc::clone(incarnations));
        tokio::spawn(async move {
            poll_store(&shared, &store, &incarnations, is_listing_due).await;
            drop(call);
        });
    }
}

/// Removes the blocks of store VMs that are no longer configured.
///
/// Otherwise they would still count as readable: prompts would be routed where they seem cheap and
/// be computed again there.
fn remove_unconfigured(
    shared: &Shared,
    incarnations: &StoreIncarnations,
    configuration: &Configuration,
) {
    let mut incarnations = incarnations.lock();
    let is_configured = |id: &StoreId| configuration.stores.contains_key(id);
    let removed: Vec<StoreId> = incarnations
        .keys()
        .filter(|id| !is_configured(id))
        .cloned()
        .collect();
    for store in removed {
        incarnations.remove(&store);
        shared.router.lock().directory.remove_store(&store);
    }
}

/// Polls one store VM and records its incarnation.
async fn poll_store(
    shared: &Arc<Shared>,
    store: &Store,
    incarnations: &StoreIncarnations,
    is_listing_due: bool,
) {
    let Ok(report) = shared.clients.store.report(store.address).await else {
        shared.handle_tier_event(TierEvent::StoreLost {
            store: store.id.clone(),
        });
        shared.router.lock().directory.remove_store(&store.id);
        return;
    };
    let incarnation = report.incarnation.clone();
    let previous = incarnations
        .lock()
        .insert(store.id.clone(), incarnation.clone());
    let is_new_incarnation = previous.as_ref() != Some(&incarnation);
    if is_new_incarnation {
        shared.router.lock().directory.remove_store(&store.id);
    }
    shared.handle_tier_event(store_seen_event(&store.id, &report));
    if is_new_incarnation || is_listing_due {
        sync_listing(shared, store, &incarnation).await;
    }
}

fn store_seen_event(store: &StoreId, report: &StoreReport) -> TierEvent {
    TierEvent::StoreSeen {
        store: store.clone(),
        incarnation: report.incarnation.clone(),
        memory_free_bytes: report.memory.capacity_bytes - report.memory.used_bytes,
        disk_free_bytes: report.disk.capacity_bytes - report.disk.used_bytes,
        queued_bytes: report.link.queued_bytes,
        is_leaving: report.leaving,
    }
}

async fn sync_listing(shared: &Arc<Shared>, store: &Store, incarnation: &StoreIncarnation) {
    let Ok(listing) = shared.clients.store.list(store.address).await else {
        return;
    };
    if listing.incarnation != *incarnation {
        return;
    }
    let readable: Vec<(BlockKey, Tier)> = readable(&listing).collect();
    shared
        .router
        .lock()
        .directory
        .replace_store_listing(&store.id, &readable);
    let keys = readable.iter().map(|(key, _)| *key).collect();
    for (number, block) in listing.blocks.into_iter().enumerate() {
        // Applying a large listing takes a good part of a second. Without yielding, requests queued
        // on this thread wait for all of it, visible as late first tokens every two seconds.
        if number % BLOCKS_PER_YIELD == 0 {
            tokio::task::yield_now().await;
        }
        shared.handle_tier_event(block_listed_event(&store.id, incarnation, block));
    }
    // Blocks missing from the listing have been freed. Without this event, a block that another
    // daemon freed would count as saved here forever and never be saved again.
    let (store, incarnation) = (store.id.clone(), incarnation.clone());
    shared.handle_tier_event(TierEvent::StoreListed {
        store,
        incarnation,
        keys,
    });
}

fn readable(listing: &BlockListing) -> impl Iterator<Item = (BlockKey, Tier)> {
    let blocks = listing.blocks.iter();
    blocks
        .filter(|block| block.state == BlockState::Readable)
        .map(|block| (block.key, block.tier))
}

fn block_listed_event(
    store: &StoreId,
    incarnation: &StoreIncarnation,
    block: StoredBlock,
) -> TierEvent {
    TierEvent::BlockListed {
        store: store.clone(),
        incarnation: incarnation.clone(),
        key: block.key,
        generation: block.generation,
        bytes: block.bytes,
        tokens: block.tokens,
        weight_version: block.weight_version,
        tier: block.tier,
        state: block.state,
    }
}
