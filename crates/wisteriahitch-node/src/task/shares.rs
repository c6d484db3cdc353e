//! What falls to this daemon as its share of the site's work.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use wisteriahitch_config::Configuration;
use wisteriahitch_core::fleet::{Membership, Rendezvous};
use wisteriahitch_types::{Incarnation, StoreId};

use crate::shared::Shared;

/// Separates this share from every other use of the rendezvous hash.
const ROOM_KEEPER: &str = "room-keeper";

/// Remembers among how many daemons the quotas are split.
#[derive(Debug, Default)]
pub(crate) struct QuotaSplit {
    daemons: AtomicU32,
}

/// Takes over this daemon's share after the other daemons have changed.
pub(crate) fn update_shares(shared: &Arc<Shared>, split: &QuotaSplit) {
    let Some(in_force) = shared.in_force.load_full() else {
        return;
    };
    let configuration = &in_force.configuration;
    let (daemons, stores) = {
        let members = shared.fleet.members.lock();
        let daemons = u32::try_from(members.workers().count())
            .unwrap_or(u32::MAX)
            .max(1);
        (daemons, stores_to_keep(configuration, &members))
    };
    shared.tiers.with(|tiers| tiers.keep_room_at(stores));
    // Each daemon grants its part of a workspace's quota. With the count of an earlier moment the
    // parts wouldn't add up: a workspace would get less, or more, than its operators allow.
    if split.daemons.swap(daemons, Ordering::AcqRel) != daemons {
        let now = shared.clock.now();
        shared.admission.configured(configuration, daemons, now);
    }
}

/// Returns the store VMs whose full tiers this daemon empties; each has one daemon at a time.
///
/// Two daemons that both evict do harm only in part: the store refuses the second one's order for a
/// block that is gone.
fn stores_to_keep(configuration: &Configuration, members: &Membership) -> BTreeSet<StoreId> {
    let me = members.me().incarnation;
    let is_mine = |store: &StoreId| {
        let rank = Rendezvous::new(ROOM_KEEPER, store.as_str());
        let workers = members.workers().map(|member| member.incarnation);
        let name = |incarnation: &Incarnation| incarnation.get().to_le_bytes().to_vec();
        rank.top(workers, 1, name).contains(&me)
    };
    configuration
        .stores
        .keys()
        .filter(|store| is_mine(store))
        .cloned()
        .collect()
}
