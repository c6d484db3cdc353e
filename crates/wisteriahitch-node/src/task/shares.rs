//! Assigns the eviction of blocks at full store VMs to daemons.

use std::collections::BTreeSet;

use wisteriahitch_config::Configuration;
use wisteriahitch_core::fleet::{Membership, Rendezvous};
use wisteriahitch_types::{Incarnation, StoreId};

use crate::shared::Shared;

/// Keeps this use of the rendezvous hash independent of every other use.
const EVICTION_HASH_SCOPE: &str = "room-keeper";

/// Recomputes which store VMs this daemon evicts blocks at.
pub(crate) fn update_eviction_shares(shared: &Shared) {
    let Some(in_force) = shared.in_force.load_full() else {
        return;
    };
    let stores = {
        let members = shared.fleet.members.lock();
        assigned_stores(&in_force.configuration, &members)
    };
    shared.tiers.with(|tiers| tiers.set_managed_stores(stores));
}

/// Returns the store VMs at whose full tiers this daemon evicts blocks. Each store VM is assigned
/// to one daemon.
///
/// If two daemons evict during a membership change, little harm is done: the store refuses the
/// second order for a block that has already been freed.
fn assigned_stores(configuration: &Configuration, members: &Membership) -> BTreeSet<StoreId> {
    let me = members.me().incarnation;
    let is_mine = |store: &StoreId| {
        let rank = Rendezvous::new(EVICTION_HASH_SCOPE, store.as_str());
        let workers = members.workers().map(|member| member.incarnation);
        let name = |incarnation: &Incarnation| incarnation.get().to_le_bytes().to_vec();
        rank.top(workers, 1, name).contains(&me)
    };
    let stores = configuration.stores.keys();
    stores.filter(|store| is_mine(store)).cloned().collect()
}
