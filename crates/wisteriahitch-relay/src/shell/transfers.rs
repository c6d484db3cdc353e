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
    /// Names for each shared part where it can be fetched, or else where it is to be saved.
    ///
    /// That holds also for parts that the engine is believed to keep: it fetches only what it
    /// doesn't, and what is believed here may be wrong. Parts are fetched only for the weights
    /// that are wanted, since those of older ones may be freed at any moment.
    pub(super) fn plan(shared: &Shared, call: &Call, placement: &Placement) -> Self {
        let (Some(prompt), Some(scope)) = (&call.head.prompt, &placement.cache_scope) else {
            return Self::default();
        };
        let now = shared.now();
        let wanted = shared.site.wanted(&prompt.model);
        let newest = wanted.and_then(|wanted| wanted.newest());
        if newest.is_some_and(|newest| placement.weights != Some(newest)) {
            return Self::default();
        }
        let Some(engine) = &call.engine else {
            return Self::default();
        };
        let zone = &placement.zone;
        let keys = part_keys(scope, prompt);
        let shared_parts = keys.len().saturating_sub(1);
        let mut stores = shared.part_stores.lock();
        let mut transfers = Self::default();
        for (index, (key, tokens)) in keys.iter().enumerate() {
            let is_shared = index < shared_parts;
            let fetch = is_shared
                .then(|| stores.fetch(*key, *tokens, engine, zone, now))
                .flatten();
            let save = match is_shared && fetch.is_none() {
                true => stores.save(*key, *tokens, now),
                false => None,
            };
            transfers.fetch_from.push(fetch.map(|fetch| fetch.from));
            transfers.save_to.push(save);
        }
        transfers.until_ms = stores.fetch_until_ms(now);
        transfers
    }
}
