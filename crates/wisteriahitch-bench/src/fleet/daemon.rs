//! A simulated daemon, which places calls with the product's own code.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use rand_chacha::ChaCha8Rng;
use wisteriahitch_relay::{
    AbsenceCause, AllowedZones, Endpoint, EndpointTable, EngineSpec, GossipSchedule, Load,
    PartChanges, PartEvent, PartKey, PartKeyHasher, PartListing, PartStore, PartStores, Placement,
    PlacementRequest, PromptShape, Refusal, StoredPart, WantedFreshness, place,
};
use wisteriahitch_types::{
    AvailabilityZone, DurationUs, EndpointInstance, Incarnation, ModelName, ServiceName,
    SoftwareVersion, TimeUs,
};

/// Time between two gossip messages without an urgent update, as in a small fleet.
pub(super) const GOSSIP_INTERVAL_US: DurationUs = DurationUs::from_ms(100);

/// Age of the wanted weights up to which parts are fetched from stores. The simulated daemons know them
/// at all times.
const MAX_FETCH_AGE_US: DurationUs = DurationUs::from_ms(10_000);

/// Assumed mean duration of a call, in milliseconds, before the first call has ended.
const INITIAL_CALL_DURATION_MS: f64 = 800.0;

/// Weight of the latest call in the exponentially weighted mean of call durations.
const DURATION_EWMA_WEIGHT: f64 = 0.05;

/// Configuration that all daemons share.
pub(super) struct FleetConfig {
    pub(super) service: ServiceName,
    pub(super) model: ModelName,
    pub(super) zone: AvailabilityZone,
    pub(super) software: SoftwareVersion,
    pub(super) engine: EngineSpec,
}

/// Gossip message from one daemon to all others.
#[derive(Clone, Debug)]
pub(super) struct GossipUpdate {
    pub(super) from: Incarnation,
    /// Load that the sender has placed, by the short name of the endpoint.
    pub(super) loads: HashMap<u32, Load>,
    /// Newly cached parts: short name of the endpoint, key of the part, tokens.
    pub(super) parts: Vec<(u32, PartKey, u64)>,
}

/// Call for which an endpoint is chosen.
pub(super) struct PlacementQuery<'a> {
    pub(super) prompt: &'a PromptShape,
    /// Time left until the deadline of the call.
    pub(super) remaining_us: DurationUs,
    /// Longest estimated queueing time with which the call is accepted.
    pub(super) max_wait_us: DurationUs,
}

/// A daemon with its own view of endpoints and stores.
pub(super) struct Daemon {
    incarnation: Incarnation,
    table: EndpointTable,
    stores: PartStores,
    pub(super) gossip_schedule: GossipSchedule,
    /// Newly cached parts for the next gossip message: short name of the endpoint, key, tokens.
    unsent_parts: Vec<(u32, PartKey, u64)>,
    /// Exponentially weighted mean of call durations.
    mean_duration_ms: f64,
    /// Time at which the next gossip message is due.
    pub(super) next_gossip_at: TimeUs,
}

impl Daemon {
    pub(super) fn new(number: usize, memory_tokens: u64, service: &ServiceName) -> Self {
        let mut table = EndpointTable::default();
        let services = HashSet::from([service.clone()]);
        table.set_services(services, HashMap::from([(service.clone(), memory_tokens)]));
        Self {
            incarnation: Incarnation::new(number as u64 + 1),
            table,
            stores: PartStores::default(),
            gossip_schedule: GossipSchedule::default(),
            unsent_parts: Vec::new(),
            mean_duration_ms: INITIAL_CALL_DURATION_MS,
            next_gossip_at: TimeUs::ZERO,
        }
    }

    pub(super) fn register_engine(&mut self, endpoint: Endpoint) {
        self.table.apply_registration(endpoint, TimeUs::ZERO);
    }

    pub(super) fn unregister_engine(&mut self, id: &EndpointInstance, now: TimeUs) {
        self.table
            .apply_unregistration(&id.id, AbsenceCause::Left, now);
        self.table.tick(now);
    }

    pub(super) fn place(
        &self,
        config: &FleetConfig,
        query: &PlacementQuery<'_>,
        daemons: usize,
        now: TimeUs,
        rng: &mut ChaCha8Rng,
    ) -> Result<Placement, Refusal> {
        let duration_us = DurationUs::from_secs_f64(self.mean_duration_ms / 1_000.0);
        let request = PlacementRequest {
            service: &config.service,
            engine: Some(&config.engine),
            prompt: Some(query.prompt),
            isolated_workspace: None,
            zone: &config.zone,
            daemons,
            duration_us,
            memory_duration_us: duration_us,
            max_first_event_us: query.remaining_us,
            max_queue_us: query.max_wait_us,
            allowed_zones: &AllowedZones::default(),
            excluded: &[],
            needs_isolation: false,
            required_weights: None,
            required_software: None,
            wanted_weights: None,
            wanted_freshness: WantedFreshness {
                confirmed_as_of: Some(now),
                max_fetch_age_us: MAX_FETCH_AGE_US,
            },
            uses_learned_rates: false,
        };
        place(&self.table, &self.stores, &request, now, rng)
    }

    /// Adds a dispatched call to this daemon's load and returns whether an urgent gossip message is
    /// needed.
    pub(super) fn record_sent_call(&mut self, id: &EndpointInstance, load: Load) -> bool {
        if let Some(row) = self.table.get_mut(id) {
            row.own_load.add(load);
        }
        self.gossip_schedule.record_dispatch(load.unread_tokens)
    }

    pub(super) fn record_prefill_end(
        &mut self,
        id: &EndpointInstance,
        load: Load,
        keys: &[(PartKey, u64)],
        now: TimeUs,
    ) {
        let Some(row) = self.table.get_mut(id) else {
            return;
        };
        row.own_load.sub(Load {
            unread_tokens: load.unread_tokens,
            ..Load::default()
        });
        let hash = row.short_name;
        for (index, (key, tokens)) in keys.iter().enumerate() {
            let is_own = index + 1 == keys.len();
            if row.parts.record_use(*key, *tokens, now) && !is_own {
                self.unsent_parts.push((hash, *key, *tokens));
            }
        }
    }

    pub(super) fn record_call_end(&mut self, id: &EndpointInstance, load: Load, took_ms: f64) {
        self.mean_duration_ms += (took_ms - self.mean_duration_ms) * DURATION_EWMA_WEIGHT;
        if let Some(row) = self.table.get_mut(id) {
            row.own_load.sub(Load {
                unread_tokens: 0,
                ..load
            });
        }
    }

    /// Returns the gossip message to send now, with the load and the newly cached parts.
    pub(super) fn next_gossip_update(&mut self, now: TimeUs) -> GossipUpdate {
        self.gossip_schedule.record_send(now);
        let rows = self
            .table
            .iter()
            .filter(|row| row.own_load != Load::default());
        GossipUpdate {
            from: self.incarnation,
            loads: rows.map(|row| (row.short_name, row.own_load)).collect(),
            parts: std::mem::take(&mut self.unsent_parts),
        }
    }

    /// Configures the stores, which are empty at first.
    pub(super) fn set_stores(&mut self, stores: &[PartStore], now: TimeUs) {
        self.stores.configure(stores.iter().cloned());
        for store in stores {
            self.stores
                .apply_listing(store.address, PartListing::default(), now);
        }
    }

    /// Applies a report of a store about newly stored parts.
    pub(super) fn apply_stored_parts(
        &mut self,
        store: SocketAddr,
        parts: Vec<StoredPart>,
        now: TimeUs,
    ) {
        let events = parts.into_iter().map(|part| PartEvent {
            is_stored: true,
            part,
        });
        let changes = PartChanges {
            events: events.collect(),
            clock_ms: Some(now.get() / 1_000),
            ..PartChanges::default()
        };
        self.stores.apply_changes(store, changes, now);
    }

    /// Returns the store in which to save a part, or `None` if it is not to be saved.
    pub(super) fn choose_store(
        &mut self,
        key: PartKey,
        tokens: u64,
        now: TimeUs,
    ) -> Option<SocketAddr> {
        self.stores
            .choose_save_target(key, tokens, &AllowedZones::default(), now)
    }

    pub(super) fn apply_gossip_update(&mut self, update: GossipUpdate, now: TimeUs) {
        self.table.apply_peer_load(update.from, update.loads, now);
        for (hash, key, tokens) in update.parts {
            self.table.record_part(hash, key, tokens, now);
        }
    }
}

/// Returns the cache keys and sizes in tokens of a prompt's parts.
pub(super) fn part_keys(
    config: &FleetConfig,
    placement: &Placement,
    prompt: &PromptShape,
) -> Vec<(PartKey, u64)> {
    let scope = placement.cache_scope.as_deref().unwrap_or_default();
    let hasher = PartKeyHasher::new(&config.model, scope);
    let parts = prompt.parts.iter();
    parts
        .map(|part| (hasher.key(part.id), part.tokens.get()))
        .collect()
}
