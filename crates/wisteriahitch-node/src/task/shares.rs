//! Which store VMs' full tiers fall to this daemon.

use std::collections::BTreeSet;

use wisteriahitch_config::Configuration;
use wisteriahitch_core::fleet::{Membership, Rendezvous};
use wisteriahitch_types::{Incarnation, StoreId};

use crate::shared::Shared;

/// Separates this share from every other use of the rendezvous hash.
const EVICTION_HASH_SCOPE: &str = "room-keeper";

/// Takes over this daemon's share after the other daemons have changed.
pub(crate) fn update_eviction_shares(shared: &Shared) {
    let Some(in_force) = shared.in_force.load_full() else {
        return;
    };
    let stores = {
        let members = shared.fleet.members.lock();
        assigned_stores(&in_force.configuration, &members)
    };
    shared.tiers.with(|tiers| tiers.keep_room_at(stores));
}

/// Returns the store VMs whose full tiers this daemon empties; each has one daemon at a time.
///
/// Two daemons that both evict do harm only in part: the store refuses the second one's order for a
/// block that is gone.
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
