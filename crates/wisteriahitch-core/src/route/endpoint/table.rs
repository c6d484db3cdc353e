//! The endpoint table and the events that change it.

use std::collections::{HashMap, HashSet, VecDeque};

use serde::Serialize;
use wisteriahitch_config::{Configuration, Endpoint, Service};
use wisteriahitch_types::{EndpointId, TimeUs};

use super::{
    AttemptId, EndpointLoad, EndpointOptions, EndpointRecord, EndpointState, EndpointStateEvent,
    InFlightAttempt, LeavingSource, Pools,
};

/// Maximum number of state changes that are kept for logs and metrics.
const MAX_STATE_CHANGES: usize = 1_024;

/// A change of an endpoint's state.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct EndpointStateChange {
    /// Endpoint whose state changed.
    pub endpoint: EndpointId,
    /// State before the change.
    pub from: EndpointState,
    /// State after the change.
    pub to: EndpointState,
}

/// State and load of every endpoint, and this daemon's unfinished attempts.
///
/// Times are of this process's monotonic clock. See `docs/design/routing.md`.
#[derive(Debug, Default)]
pub struct EndpointTable {
    pub(crate) options: EndpointOptions,
    /// Rows are reused: an endpoint that is added takes the row of a removed one.
    pub(crate) rows: Vec<EndpointRecord>,
    pub(crate) by_id: HashMap<EndpointId, usize>,
    pub(crate) pools: Pools,
    /// When slow endpoints were last searched for.
    pub(crate) last_scan_at_us: TimeUs,
    /// State changes that [`EndpointTable::drain_state_changes`] has not returned yet.
    pub(crate) state_changes: VecDeque<EndpointStateChange>,
    /// Endpoints removed since the last tick of the router.
    pub(crate) removed_since_tick: Vec<EndpointId>,
    pub(crate) attempts: HashMap<AttemptId, InFlightAttempt>,
    pub(crate) next_attempt_id: u64,
}

impl EndpointTable {
    /// Creates an empty table.
    pub fn new(options: EndpointOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Applies the endpoints of a configuration.
    ///
    /// An endpoint that is new or has another address starts anew; one that is missing is removed.
    pub fn apply_endpoint_configuration(&mut self, configuration: &Configuration, now: TimeUs) {
        let mut wanted = HashSet::new();
        for service in configuration.services.values() {
            for endpoint in &service.endpoints {
                wanted.insert(endpoint.id.clone());
                self.configure_endpoint(service, endpoint, now);
            }
        }
        let missing: Vec<EndpointId> = self
            .by_id
            .keys()
            .filter(|id| !wanted.contains(*id))
            .cloned()
            .collect();
        for id in missing {
            self.remove_endpoint(&id);
        }
    }

    fn configure_endpoint(&mut self, service: &Service, endpoint: &Endpoint, now: TimeUs) {
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
            self.remove_endpoint(&endpoint.id);
        }
        self.add_endpoint(service, endpoint, now);
    }

    fn add_endpoint(&mut self, service: &Service, endpoint: &Endpoint, _now: TimeUs) {
        let is_free = |record: &EndpointRecord| record.state() == EndpointState::Gone;
        let free = self.rows.iter().position(is_free);
        let instance_number = free.map_or(0, |row| self.rows[row].instance_number + 1);
        let record = EndpointRecord::new(
            service.name.clone(),
            service.kind,
            endpoint,
            instance_number,
        );
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

    fn remove_endpoint(&mut self, id: &EndpointId) {
        if let Some(&row) = self.by_id.get(id) {
            self.update_row(row, |record| record.handle(EndpointStateEvent::Removed));
            self.by_id.remove(id);
            self.removed_since_tick.push(id.clone());
        }
    }

    /// Applies an endpoint's own report; one of an endpoint that isn't configured is ignored.
    pub fn record_report(&mut self, endpoint: &EndpointId, load: EndpointLoad, now: TimeUs) {
        let Some(&row) = self.by_id.get(endpoint) else {
            return;
        };
        let options = self.options.clone();
        self.update_row(row, |record| record.apply_report(load, &options, now));
    }

    /// Records the claim of `source` that an endpoint is leaving; it gets no new requests from now
    /// on.
    ///
    /// A peer's claim about another instance than the reported one is ignored.
    pub fn mark_leaving(&mut self, endpoint: &EndpointId, source: &LeavingSource, _now: TimeUs) {
        let Some(&row) = self.by_id.get(endpoint) else {
            return;
        };
        let reported = self.instance_of(row);
        if let (LeavingSource::Peer { life: Some(life) }, Some(reported)) = (source, reported)
            && life != reported
        {
            return;
        }
        self.update_row(row, |record| {
            record.leaving.claim(source);
            record.handle(EndpointStateEvent::LeavingAnnounced);
        });
    }

    /// Records that the VM list no longer shows an endpoint as leaving.
    ///
    /// This makes the endpoint ready again only if its own report of a new instance arrived after
    /// an earlier leaving.
    pub fn retract_vm_list_leaving(&mut self, endpoint: &EndpointId, _now: TimeUs) {
        let Some(&row) = self.by_id.get(endpoint) else {
            return;
        };
        self.update_row(row, |record| {
            if record.leaving.retract_vm_list() {
                record.handle(EndpointStateEvent::LeavingRetracted);
            }
        });
    }

    /// Returns and clears the state changes since the last call, for logs and metrics; at most the
    /// last 1,024 are kept.
    pub fn drain_state_changes(&mut self) -> Vec<EndpointStateChange> {
        std::mem::take(&mut self.state_changes).into()
    }

    /// Updates a row, then its pools and the list of state changes.
    pub(crate) fn update_row(&mut self, row: usize, update: impl FnOnce(&mut EndpointRecord)) {
        let record = &mut self.rows[row];
        let from = record.state();
        update(record);
        let to = record.state();
        if from != to {
            // The list may never be drained, but memory must stay bounded.
            if self.state_changes.len() >= MAX_STATE_CHANGES {
                self.state_changes.pop_front();
            }
            self.state_changes.push_back(EndpointStateChange {
                endpoint: record.id.clone(),
                from,
                to,
            });
        }
        let membership = record.compute_membership();
        let previous = std::mem::replace(&mut record.membership, membership);
        self.pools
            .move_row(row, &previous, &self.rows[row].membership);
    }

    fn instance_of(&self, row: usize) -> Option<&String> {
        let report = self.rows[row].report.as_ref()?;
        report.load.life.as_ref()
    }
}
