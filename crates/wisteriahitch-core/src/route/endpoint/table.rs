//! The table of all endpoints and the events that change it.

use std::collections::{HashMap, HashSet, VecDeque};

use serde::Serialize;
use wisteriahitch_config::{Configuration, Endpoint, Service};
use wisteriahitch_types::{EndpointId, TimeUs};

use super::{
    EndpointLoad, EndpointOptions, EndpointRecord, Flight, FlightId, LeavingSource, LifeEvent,
    LifeState, Pools,
};

/// Most steps of lives that are kept for logs and metrics.
const MAX_CHANGES: usize = 1_024;

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
    pub(crate) changes: VecDeque<EndpointChange>,
    /// Endpoints that were taken out since the last tick of the router.
    pub(crate) removed: Vec<EndpointId>,
    pub(crate) flights: HashMap<FlightId, Flight>,
    pub(crate) next_flight: u64,
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
            self.removed.push(id.clone());
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

    /// Takes the steps that lives took since the last call, for logs and metrics; of many, the
    /// last 1,024.
    pub fn take_changes(&mut self) -> Vec<EndpointChange> {
        std::mem::take(&mut self.changes).into()
    }

    /// Changes a row and brings its pools and the list of changes up to date.
    pub(crate) fn change(&mut self, row: usize, step: impl FnOnce(&mut EndpointRecord)) {
        let record = &mut self.rows[row];
        let from = record.state();
        step(record);
        let to = record.state();
        if from != to {
            // Nobody may be there to take them, and memory has to stay bounded all the same.
            if self.changes.len() >= MAX_CHANGES {
                self.changes.pop_front();
            }
            self.changes.push_back(EndpointChange {
                endpoint: record.id.clone(),
                from,
                to,
            });
        }
        let wanted = record.wanted_membership();
        let held = std::mem::replace(&mut record.membership, wanted);
        self.pools.set(row, &held, &self.rows[row].membership);
    }

    fn life_of(&self, row: usize) -> Option<&String> {
        let report = self.rows[row].report.as_ref()?;
        report.load.life.as_ref()
    }
}
