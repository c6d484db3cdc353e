//! Plans which parts of a prompt an engine fetches, and which it saves.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use wisteriahitch_types::DurationUs;
use wisteriahitch_wire::object_store::ObjectRole;

use super::attempt::Call;
use super::shared::Shared;
use crate::decide::parts::part_keys;
use crate::decide::placement::Placement;
use crate::observe::Event;

/// Time since the wanted weights were last confirmed, or since those of a fetch were replaced, from which
/// a fetch from a store is logged as stale. A daemon that isn't cut off confirms them more often.
const STALE_AGE_US: DurationUs = DurationUs::from_ms(3_000);

/// Maximum number of stores that a log line names.
const MAX_NAMED_STORES: usize = 8;

/// What the engine is to fetch and to save for a call.
#[derive(Default)]
pub(super) struct PartTransfers {
    /// For each part, the address that it can be fetched from.
    pub(super) fetch_from: Vec<Option<SocketAddr>>,
    /// For each part, the store that it is to be saved to.
    pub(super) save_to: Vec<Option<SocketAddr>>,
    /// Time at which unfinished fetches are discarded, in milliseconds on the clock of stores and
    /// engines.
    pub(super) fetch_deadline_ms: Option<u64>,
}

impl PartTransfers {
    /// Plans, for each shared part, the source that the placement found and the store that it is to
    /// be saved in if no store has it yet.
    ///
    /// Parts are saved only under the newest wanted weights, since those of older weights are soon
    /// useless.
    pub(super) fn plan(shared: &Shared, call: &Call, placement: &Placement) -> Self {
        let (Some(prompt), Some(scope)) = (&call.head.prompt, &placement.cache_scope) else {
            return Self::default();
        };
        let now = shared.now();
        let freshness = shared.wanted_freshness();
        let wanted = shared.site.wanted_versions(&prompt.model);
        let fetch_until = placement
            .weights
            .and_then(|weights| freshness.fetch_until(wanted.as_ref(), weights));
        let newest = wanted.and_then(|wanted| wanted.newest());
        let mut stores = shared.part_stores.lock();
        let fetch_deadline_ms = stores.fetch_deadline_ms(now);
        // A connection may take a second to open, and this may no longer hold. Then all sources are
        // dropped: which of them were stores when the call was placed isn't known any more.
        let may_use_stores =
            fetch_deadline_ms.is_some() && fetch_until.is_some_and(|until| now < until);
        let mut transfers = Self {
            fetch_from: match placement.fetches_from_stores && !may_use_stores {
                true => Vec::new(),
                false => placement.fetch_from.clone(),
            },
            save_to: Vec::new(),
            fetch_deadline_ms,
        };
        if newest.is_some_and(|newest| placement.weights != Some(newest)) {
            return transfers;
        }
        let keys = part_keys(scope, prompt);
        let shared_parts = keys.len().saturating_sub(1);
        for (index, (key, tokens)) in keys.iter().enumerate() {
            let store = match index < shared_parts {
                true => stores.choose_save_target(*key, *tokens, &call.allowed_zones, now),
                false => None,
            };
            transfers.save_to.push(store);
        }
        transfers
    }

    /// Logs a fetch from stores that has no deadline, or whose weights were replaced or last confirmed
    /// more than [`STALE_AGE_US`] ago.
    pub(super) fn log_stale_fetch(&self, shared: &Shared, call: &Call, placement: &Placement) {
        let (Some(prompt), Some(weights)) = (&call.head.prompt, placement.weights) else {
            return;
        };
        let now = shared.now();
        let reports: BTreeSet<(SocketAddr, DurationUs)> = {
            let stores = shared.part_stores.lock();
            let sources = self.fetch_from.iter().flatten();
            sources
                .filter_map(|source| Some((*source, stores.report_age(*source, now)?)))
                .collect()
        };
        if reports.is_empty() {
            return;
        }
        let confirmed_at = shared.watches.complete_as_of(ObjectRole::Weights);
        let wanted = shared.site.wanted_versions(&prompt.model);
        let replaced_at = wanted.and_then(|wanted| wanted.replaced_at(weights));
        let is_old = |at| now.since(at) > STALE_AGE_US;
        let is_current = confirmed_at.is_some_and(|at| !is_old(at))
            && !replaced_at.is_some_and(is_old)
            && self.fetch_deadline_ms.is_some();
        if is_current {
            return;
        }
        let named = reports.iter().take(MAX_NAMED_STORES);
        shared.log.write(&Event::StaleStoreFetch {
            request: call.head.request_id.to_string(),
            endpoint: placement.endpoint.to_string(),
            scope: placement.cache_scope.clone().unwrap_or_default(),
            stores: named.map(|(store, _)| store.to_string()).collect(),
            deadline_ms: self.fetch_deadline_ms,
            report_age_ms: reports.iter().map(|(_, age_us)| age_us.as_ms()).max(),
            confirmed_age_ms: confirmed_at.map(|at| now.since(at).as_ms()),
            replaced_for_ms: replaced_at.map(|at| now.since(at).as_ms()),
        });
    }
}
