//! Following the store VMs: which life they are in, their room, their links and their blocks.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use wisteriahitch_config::{Configuration, Store};
use wisteriahitch_core::tier::TierEvent;
use wisteriahitch_types::{BlockKey, BlockState, StoreId, StoreIncarnation, Tier};
use wisteriahitch_wire::store::{BlockListing, StoreReport, StoredBlock};

use super::in_flight::InFlight;
use crate::shared::Shared;

/// Time between two looks at every store VM.
const PAUSE: Duration = Duration::from_millis(500);

/// Looks after which the blocks are listed again, for what other daemons saved or freed.
const LOOKS_PER_LISTING: u64 = 4;

/// Blocks of a listing that are taken over before other work on the thread has its turn.
const BLOCKS_BETWEEN_PAUSES: usize = 256;

/// The life that each store VM was last seen in.
type Lives = Mutex<HashMap<StoreId, StoreIncarnation>>;

/// Asks every store VM for its state until the process stops.
pub(crate) async fn run_stores(shared: Arc<Shared>) {
    let lives = Arc::new(Lives::default());
    let asked = InFlight::default();
    let mut ticks = tokio::time::interval(PAUSE);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut looks = 0;
    loop {
        tokio::select! {
            () = shared.end.cancelled() => return,
            _ = ticks.tick() => {}
        }
        ask_all(&shared, &lives, &asked, looks % LOOKS_PER_LISTING == 0);
        looks += 1;
    }
}

/// Asks all that aren't being asked; a frozen store VM holds up no other's report.
fn ask_all(
    shared: &Arc<Shared>,
    lives: &Arc<Lives>,
    asked: &InFlight<StoreId>,
    is_listing_due: bool,
) {
    let Some(in_force) = shared.in_force.load_full() else {
        return;
    };
    let stores = &in_force.configuration.stores;
    forget_removed(shared, lives, &in_force.configuration);
    for store in stores.values() {
        let Some(asking) = asked.try_begin(&store.id) else {
            continue;
        };
        let (shared, store, lives) = (Arc::clone(shared), store.clone(), Arc::clone(lives));
        tokio::spawn(async move {
            ask(&shared, &store, &lives, is_listing_due).await;
            drop(asking);
        });
    }
}

/// Forgets the blocks of store VMs that are no longer configured.
///
/// They would go on counting as readable: prompts would be sent where they seem cheap, and computed
/// again there.
fn forget_removed(shared: &Shared, lives: &Lives, configuration: &Configuration) {
    let mut lives = lives.lock();
    let is_known = |id: &StoreId| configuration.stores.contains_key(id);
    let removed: Vec<StoreId> = lives.keys().filter(|id| !is_known(id)).cloned().collect();
    for store in removed {
        lives.remove(&store);
        shared.router.lock().directory.remove_store(&store);
    }
}

/// Asks one store VM and notes the life that it is in.
async fn ask(shared: &Arc<Shared>, store: &Store, lives: &Lives, is_listing_due: bool) {
    let Ok(report) = shared.outside.store.report(store.address).await else {
        shared.note_tier(TierEvent::StoreLost {
            store: store.id.clone(),
        });
        shared.router.lock().directory.remove_store(&store.id);
        return;
    };
    let life = report.incarnation.clone();
    let known = lives.lock().insert(store.id.clone(), life.clone());
    let is_new_life = known.as_ref() != Some(&life);
    if is_new_life {
        shared.router.lock().directory.remove_store(&store.id);
    }
    shared.note_tier(seen(&store.id, &report));
    if is_new_life || is_listing_due {
        list(shared, store, &life).await;
    }
}

fn seen(store: &StoreId, report: &StoreReport) -> TierEvent {
    TierEvent::StoreSeen {
        store: store.clone(),
        incarnation: report.incarnation.clone(),
        memory_free_bytes: report.memory.capacity_bytes - report.memory.used_bytes,
        disk_free_bytes: report.disk.capacity_bytes - report.disk.used_bytes,
        queued_bytes: report.link.queued_bytes,
        is_leaving: report.leaving,
    }
}

async fn list(shared: &Arc<Shared>, store: &Store, incarnation: &StoreIncarnation) {
    let Ok(listing) = shared.outside.store.list(store.address).await else {
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
        // A large listing takes a good part of a second. Without a pause the requests that are
        // queued on this thread wait for all of it, which shows as late first tokens every two
        // seconds.
        if number % BLOCKS_BETWEEN_PAUSES == 0 {
            tokio::task::yield_now().await;
        }
        shared.note_tier(listed(&store.id, incarnation, block));
    }
    // What the listing doesn't hold is gone: without this a block that another daemon freed would
    // count as saved here for ever, and would never be saved again.
    let (store, incarnation) = (store.id.clone(), incarnation.clone());
    shared.note_tier(TierEvent::StoreListed {
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

fn listed(store: &StoreId, incarnation: &StoreIncarnation, block: StoredBlock) -> TierEvent {
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
