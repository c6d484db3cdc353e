//! Which parts of a prompt an engine is to fetch, and which to save.

use std::net::SocketAddr;

use super::attempt::Call;
use super::shared::Shared;
use crate::decide::parts::part_keys;
use crate::decide::placement::Placement;

/// What the engine is to fetch and to save for a call.
#[derive(Default)]
pub(super) struct Transfers {
    pub(super) fetch_from: Vec<Option<SocketAddr>>,
    pub(super) save_to: Vec<Option<SocketAddr>>,
    pub(super) until_ms: Option<u64>,
}

impl Transfers {
    /// Names for each shared part where it can be fetched, as the placement found it, and where it
    /// is to be saved if no store keeps it yet.
    ///
    /// Parts are saved only under the weights that are wanted: others are of no use soon.
    pub(super) fn plan(shared: &Shared, call: &Call, placement: &Placement) -> Self {
        let (Some(prompt), Some(scope)) = (&call.head.prompt, &placement.cache_scope) else {
            return Self::default();
        };
        let now = shared.now();
        let wanted = shared.site.wanted_versions(&prompt.model);
        let newest = wanted.and_then(|wanted| wanted.newest());
        let mut stores = shared.part_stores.lock();
        let mut transfers = Self {
            fetch_from: placement.fetch_from.clone(),
            save_to: Vec::new(),
            until_ms: stores.fetch_until_ms(now),
        };
        if newest.is_some_and(|newest| placement.weights != Some(newest)) {
            return transfers;
        }
        let keys = part_keys(scope, prompt);
        let shared_parts = keys.len().saturating_sub(1);
        for (index, (key, tokens)) in keys.iter().enumerate() {
            let save = match index < shared_parts {
                true => stores.save(*key, *tokens, &call.allowed_zones, now),
                false => None,
            };
            transfers.save_to.push(save);
        }
        transfers
    }
}
