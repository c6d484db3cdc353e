//! The table of all endpoints and the events that change it.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use serde::Serialize;
use wisteriahitch_config::{Configuration, Endpoint, Service};
use wisteriahitch_types::{
    AdapterName, DurationUs, EndpointId, ModelName, ServiceName, TimeUs, TokenCount, WeightVersion,
};

use super::{
    EndpointLoad, EndpointOptions, EndpointRecord, Flight, FlightFailure, FlightId, LeavingSource,
    LifeEvent, LifeState, Pool, PoolKey, Pools, Standing,
};

/// Tells that an endpoint's life took a step.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct EndpointChange {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Step that it was in.
    pub from: LifeState,
    /// Step that it is in now.
    pub to: LifeState,
}

/// Says what a request needs its endpoint to serve.
#[derive(Clone, Debug, PartialEq)]
pub struct Served {
    /// Service that the rules chose.
    pub service: ServiceName,
    /// Model and weight version that the request is decided for; nothing for a plain service.
    pub model: Option<(ModelName, WeightVersion)>,
    /// Adapter on top of the model.
    pub adapter: Option<AdapterName>,
}

impl Served {
    /// Returns the key of the pool that can serve it.
    pub(crate) fn pool_key(&self) -> PoolKey {
        PoolKey {
            service: self.service.clone(),
            model: self.model.clone(),
        }
    }
}

/// Holds every endpoint and what this daemon has under way at it.
///
/// Times are of this process's monotonic clock. See `docs/design/routing.md`.
#[derive(Debug, Default)]
pub struct EndpointTable {
    pub(crate) options: EndpointOptions,
    pub(crate) rows: Vec<EndpointRecord>,
    pub(crate) by_id: HashMap<EndpointId, usize>,
    pub(crate) pools: Pools,
    pub(crate) last_scan_at_us: TimeUs,
    pub(crate) changes: Vec<EndpointChange>,
    flights: HashMap<FlightId, Flight>,
    next_flight: u64,
}

impl EndpointTable {
    /// Builds an empty table.
    pub fn new(options: EndpointOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Takes over the endpoints of a configuration.
    ///
    /// An endpoint that comes new, or with another address, starts; one that is missing is gone.
    pub fn configured(&mut self, configuration: &Configuration, now: TimeUs) {
        let mut wanted = HashSet::new();
        for service in configuration.services.values() {
            for endpoint in &service.endpoints {
                wanted.insert(endpoint.id.clone());
                self.configure_one(service, endpoint, now);
            }
        }
        let missing: Vec<EndpointId> = self
            .by_id
            .keys()
            .filter(|id| !wanted.contains(*id))
            .cloned()
            .collect();
        for id in missing {
            self.remove(&id);
        }
    }

    fn configure_one(&mut self, service: &Service, endpoint: &Endpoint, now: TimeUs) {
        if let Some(&row) = self.by_id.get(&endpoint.id) {
            let record = &mut self.rows[row];
            let is_same = record.address == endpoint.address
                && record.service == service.name
                && record.kind == service.kind;
            if is_same {
                record.availability_zone = endpoint.availability_zone.clone();
                record.checks_fence = endpoint.checks_fence;
                return;
            }
            self.remove(&endpoint.id);
        }
        self.add(service, endpoint, now);
    }

    fn add(&mut self, service: &Service, endpoint: &Endpoint, _now: TimeUs) {
        let is_free = |record: &EndpointRecord| record.state() == LifeState::Gone;
        let free = self.rows.iter().position(is_free);
        let life_number = free.map_or(0, |row| self.rows[row].life_number + 1);
        let record = EndpointRecord::new(service.name.clone(), service.kind, endpoint, life_number);
        let row = match free {
            Some(row) => {
                self.rows[row] = record;
                row
            }
            None => {
                self.rows.push(record);
                self.rows.len() - 1
            }
        };
        self.by_id.insert(endpoint.id.clone(), row);
    }

    fn remove(&mut self, id: &EndpointId) {
        if let Some(&row) = self.by_id.get(id) {
            self.change(row, |record| record.handle(LifeEvent::Removed));
            self.by_id.remove(id);
        }
    }

    /// Takes over an endpoint's own report; one of an endpoint that isn't configured is ignored.
    pub fn report(&mut self, endpoint: &EndpointId, load: EndpointLoad, now: TimeUs) {
        let Some(&row) = self.by_id.get(endpoint) else {
            return;
        };
        let options = self.options.clone();
        self.change(row, |record| record.accept(load, &options, now));
    }

    /// Records that `source` says an endpoint is leaving; it gets no new work from now on.
    ///
    /// What a peer says of another life than the one reported here is ignored.
    pub fn leaving(&mut self, endpoint: &EndpointId, source: &LeavingSource, _now: TimeUs) {
        let Some(&row) = self.by_id.get(endpoint) else {
            return;
        };
        let known = self.life_of(row);
        if let (LeavingSource::Peer { life: Some(life) }, Some(known)) = (source, known)
            && life != known
        {
            return;
        }
        self.change(row, |record| {
            record.leaving.claim(source);
            record.handle(LifeEvent::Left);
        });
    }

    /// Records that the VM list, which said that an endpoint is leaving, now says it is live.
    ///
    /// This alone brings no endpoint back from a leaving: the endpoint's own report of a new life
    /// must have come before.
    pub fn vm_list_live(&mut self, endpoint: &EndpointId, _now: TimeUs) {
        let Some(&row) = self.by_id.get(endpoint) else {
            return;
        };
        self.change(row, |record| {
            if record.leaving.retract_vm_list() {
                record.handle(LifeEvent::Retracted);
            }
        });
    }

    /// Records an attempt that is sent now, and names it for the calls that follow.
    ///
    /// `prefill_tokens` are the prompt tokens that the endpoint is to compute, and `expected_us`
    /// is the estimate of the time to the first token. Returns nothing for an unknown endpoint.
    pub fn sent(
        &mut self,
        endpoint: &EndpointId,
        prefill_tokens: TokenCount,
        expected_us: DurationUs,
        now: TimeUs,
    ) -> Option<FlightId> {
        let row = *self.by_id.get(endpoint)?;
        let record = &mut self.rows[row];
        record.in_flight += 1;
        record.sent.add(1, signed(prefill_tokens), now);
        let id = FlightId(self.next_flight);
        self.next_flight += 1;
        let flight = Flight {
            row,
            life_number: record.life_number,
            sent_at_us: now,
            prefill_tokens,
            expected_us,
            has_first_token: false,
        };
        self.flights.insert(id, flight);
        Some(id)
    }

    /// Records the first token of an attempt.
    pub fn first_token(&mut self, id: FlightId, now: TimeUs) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        if flight.has_first_token {
            return;
        }
        flight.has_first_token = true;
        let record = &mut self.rows[flight.row];
        if record.life_number != flight.life_number {
            return;
        }
        record.sent.add(0, -signed(flight.prefill_tokens), now);
        let taken = now.since(flight.sent_at_us);
        record.outlier.first_token(taken, flight.expected_us);
    }

    /// Records the good end of an attempt.
    pub fn finished(&mut self, id: FlightId, now: TimeUs) {
        self.first_token(id, now);
        let Some(record_row) = self.land(id, now) else {
            return;
        };
        self.rows[record_row].outlier.succeeded();
    }

    /// Records the bad end of an attempt; the endpoint may be ejected by it.
    pub fn failed(&mut self, id: FlightId, failure: FlightFailure, now: TimeUs) {
        let Some(row) = self.land(id, now) else {
            return;
        };
        if failure != FlightFailure::Broken {
            return;
        }
        let is_too_many = self.rows[row].outlier.failed(&self.options);
        if is_too_many {
            self.try_eject(row, now);
        }
    }

    /// Removes a flight and returns its row, if that still holds the same life.
    fn land(&mut self, id: FlightId, now: TimeUs) -> Option<usize> {
        let flight = self.flights.remove(&id)?;
        let record = &mut self.rows[flight.row];
        if record.life_number != flight.life_number {
            return None;
        }
        record.in_flight = record.in_flight.saturating_sub(1);
        let tokens = match flight.has_first_token {
            true => 0,
            false => -signed(flight.prefill_tokens),
        };
        record.sent.add(-1, tokens, now);
        if flight.has_first_token {
            record.took(now.since(flight.sent_at_us));
        }
        Some(flight.row)
    }

    /// Returns the endpoint's step of life, or nothing for one that isn't configured.
    pub fn get_state(&self, endpoint: &EndpointId) -> Option<LifeState> {
        let row = *self.by_id.get(endpoint)?;
        Some(self.rows[row].state())
    }

    /// Returns the endpoint's address.
    pub fn get_address(&self, endpoint: &EndpointId) -> Option<SocketAddr> {
        let row = *self.by_id.get(endpoint)?;
        Some(self.rows[row].address)
    }

    /// Returns the attempts of this daemon under way at an endpoint.
    pub fn get_in_flight(&self, endpoint: &EndpointId) -> Option<u64> {
        let row = *self.by_id.get(endpoint)?;
        Some(self.rows[row].in_flight)
    }

    /// Returns the weight versions of a model that endpoints of a service have ready, with how
    /// many endpoints have each, in the order of the versions.
    pub fn ready_versions(
        &self,
        service: &ServiceName,
        model: &ModelName,
    ) -> Vec<(WeightVersion, usize)> {
        let mut versions: Vec<(WeightVersion, usize)> = self
            .pools
            .iter()
            .filter(|(key, _)| key.service == *service)
            .filter_map(|(key, pool)| {
                let (ready_model, version) = key.model.as_ref()?;
                (ready_model == model).then(|| (version.clone(), pool.ready.len()))
            })
            .collect();
        versions.sort();
        versions
    }

    /// Takes the steps that lives took since the last call, for logs and metrics.
    pub fn take_changes(&mut self) -> Vec<EndpointChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the pool with this key.
    pub(crate) fn pool(&self, key: &PoolKey) -> Option<&Pool> {
        self.pools.get(key)
    }

    /// Returns the rows of those endpoints that are configured.
    pub(crate) fn rows_of(&self, ids: &[&EndpointId]) -> impl Iterator<Item = usize> {
        ids.iter().filter_map(|id| self.by_id.get(*id).copied())
    }

    /// Returns whether some endpoint of a service lists the model or has not reported yet.
    pub(crate) fn may_serve(&self, service: &ServiceName, model: &ModelName) -> bool {
        let mut of_service = self
            .rows
            .iter()
            .filter(|record| record.service == *service && record.state() != LifeState::Gone);
        of_service.any(|record| match &record.report {
            Some(held) => held.load.models.iter().any(|loaded| loaded.model == *model),
            None => true,
        })
    }

    /// Returns whether a row of the right pool may take a request now.
    pub(crate) fn is_eligible(&self, row: usize, served: &Served) -> bool {
        let record = &self.rows[row];
        let is_probe_busy = record.outlier.is_probing && record.in_flight > 0;
        let has_adapter = match (&served.model, &served.adapter) {
            (Some((model, _)), Some(adapter)) => record.has_adapter(model, adapter),
            _ => true,
        };
        !is_probe_busy && has_adapter
    }

    /// Changes a row and brings its pools and the list of changes up to date.
    pub(crate) fn change(&mut self, row: usize, step: impl FnOnce(&mut EndpointRecord)) {
        let record = &mut self.rows[row];
        let from = record.state();
        step(record);
        let to = record.state();
        if from != to {
            self.changes.push(EndpointChange {
                endpoint: record.id.clone(),
                from,
                to,
            });
        }
        let wanted = record.wanted_membership();
        let held = std::mem::replace(&mut record.membership, wanted);
        self.pools.set(row, &held, &self.rows[row].membership);
    }

    /// Returns whether every pool of the row keeps another endpoint that takes work.
    pub(crate) fn is_replaceable(&self, row: usize) -> bool {
        let membership = &self.rows[row].membership;
        let least_ready = match membership.standing {
            Standing::Ready => 2,
            _ => 1,
        };
        membership.keys.iter().all(|key| {
            let pool = self.pools.get(key);
            pool.is_some_and(|pool| pool.ready.len() >= least_ready)
        })
    }

    fn life_of(&self, row: usize) -> Option<&String> {
        let report = self.rows[row].report.as_ref()?;
        report.load.life.as_ref()
    }
}

fn signed(tokens: TokenCount) -> i64 {
    i64::try_from(tokens.get()).unwrap_or(i64::MAX)
}
