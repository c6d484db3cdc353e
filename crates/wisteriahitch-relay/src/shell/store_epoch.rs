//! What changes when the platform's store returns with an older copy of its objects.
//!
//! What was written since the copy was made is gone, and its revisions are given out again. Revisions
//! carry the store's epoch, so objects of the copy replace the known ones; this module does the rest
//! (`docs/design/store-epochs.md`).

use wisteriahitch_core::fleet::LeaseEvent;
use wisteriahitch_wire::object_store::StoreEpoch;

use super::blocked_requests::write_blocks_again;
use super::lease::standalone_membership;
use super::shared::Shared;
use crate::observe::Event;

/// Records the store's epoch, which `source` has named. If it is a later one, gives up all leases and
/// has written again what the copy may lack.
pub(super) fn record_store_epoch(shared: &Shared, epoch: StoreEpoch, source: &str) {
    let now = shared.now();
    let Some(previous) = shared.watches.raise_epoch(epoch, now) else {
        return;
    };
    shared.endpoints.lock().set_store_epoch(epoch);
    let members = standalone_membership(shared);
    shared
        .leases
        .lock()
        .handle(LeaseEvent::StoreRestored, now, &members);
    let gauge = i64::try_from(epoch.get()).unwrap_or(i64::MAX);
    shared.metrics.store_epoch.set(gauge);
    shared.log.write(&Event::StoreEpochChanged {
        from: previous.get(),
        to: epoch.get(),
        source: source.to_owned(),
    });
    write_blocks_again(shared);
}
