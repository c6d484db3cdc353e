//! Runs the time-dependent work of the tables.

use std::sync::Arc;
use std::time::Duration;

use super::capacity::update_capacity;
use super::endpoint_changes::log_state_changes;
use super::shares::update_eviction_shares;
use crate::shared::Shared;

const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Ticks between two updates of the service capacities.
const TICKS_PER_CAPACITY_UPDATE: u64 = 10;

/// Ticks every table until the process stops.
pub(crate) async fn run_housekeeping(shared: Arc<Shared>) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut count: u64 = 0;
    loop {
        tokio::select! {
            () = shared.end.cancelled() => return,
            _ = ticks.tick() => tick(&shared),
        }
        if count.is_multiple_of(TICKS_PER_CAPACITY_UPDATE) {
            update_capacity(&shared);
            update_eviction_shares(&shared);
            shared.expire_resumable_streams();
        }
        count += 1;
    }
}

fn tick(shared: &Arc<Shared>) {
    let now = shared.clock.now();
    shared.router.lock().tick(now);
    shared.admission.step(|admission| admission.tick(now));
    shared.run_tier_step(|tiers, now| tiers.tick(now));
    {
        let mut once = shared.once.lock();
        once.issuer.tick(now);
        once.table.tick(now);
    }
    shared.tick_claims();
    shared.tick_config();
    shared.tick_drain();
    log_state_changes(shared);
}
