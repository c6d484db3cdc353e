//! Endpoints that have left, whose registrations a restored copy of the store may bring back.
//!
//! A store that returns with an older copy lists endpoints that have left since the copy was made. Their
//! entries look like those of endpoints that are there. An endpoint that is there keeps its entry; the
//! entry of one that is gone lapses (`docs/design/store-epochs.md`).

use std::collections::BTreeMap;

use wisteriahitch_types::{DurationUs, EndpointId, EndpointInstance, TimeUs};
use wisteriahitch_wire::object_store::{Revision, StoreEpoch};

use crate::site::Endpoint;

/// How long a departure is remembered, far longer than a copy is older than the store.
const RETENTION_US: DurationUs = DurationUs::from_ms(600_000);

/// Maximum number of remembered departures: three times the number of endpoints that the system is
/// designed for (docs/DEVELOPERS.md).
const MAX_DEPARTURES: usize = 3_600;

/// An endpoint's last registration before it left.
#[derive(Clone, Debug)]
struct Departure {
    instance: EndpointInstance,
    revision: Revision,
    /// Epoch of the store in which the registration was absent. Entries of this epoch were written since.
    absent_in: StoreEpoch,
    at_us: TimeUs,
}

impl Departure {
    /// Returns whether a registration may be one from before the departure that a copy has.
    fn may_be_restored_by(&self, endpoint: &Endpoint) -> bool {
        endpoint.revision.epoch() > self.absent_in
            && endpoint.revision.may_restore(self.revision)
            && endpoint.instance.start <= self.instance.start
    }
}

/// A registration that isn't believed yet.
#[derive(Clone, Debug)]
struct HeldBack {
    endpoint: Endpoint,
    until_us: TimeUs,
}

/// Departures, and registrations of endpoints that have left.
#[derive(Debug, Default)]
pub(super) struct DepartedEndpoints {
    departures: BTreeMap<EndpointId, Departure>,
    held_back: BTreeMap<EndpointId, HeldBack>,
    /// Latest known epoch of the store.
    epoch: StoreEpoch,
    /// Time within which the entry of an endpoint that is gone lapses after the store's return.
    lapse_us: DurationUs,
}

impl DepartedEndpoints {
    pub(super) fn set_lapse(&mut self, lapse_us: DurationUs) {
        self.lapse_us = lapse_us;
    }

    pub(super) fn set_epoch(&mut self, epoch: StoreEpoch) {
        self.epoch = epoch;
    }

    /// Records that an endpoint has left, whose last registration had this revision.
    pub(super) fn record(&mut self, instance: &EndpointInstance, revision: Revision, now: TimeUs) {
        let known = self.departures.get(&instance.id);
        if known.is_some_and(|known| known.instance == *instance) {
            return;
        }
        if self.departures.len() >= MAX_DEPARTURES {
            self.forget_oldest();
        }
        let departure = Departure {
            instance: instance.clone(),
            revision,
            absent_in: self.epoch,
            at_us: now,
        };
        self.departures.insert(instance.id.clone(), departure);
    }

    /// Forgets a departure: the endpoint is registered.
    pub(super) fn forget(&mut self, id: &EndpointId) {
        self.departures.remove(id);
        self.held_back.remove(id);
    }

    /// Holds back a registration that a restored copy may have brought back for an endpoint that has
    /// left. Returns whether it does.
    pub(super) fn hold_back(&mut self, endpoint: &Endpoint, now: TimeUs) -> bool {
        let id = &endpoint.instance.id;
        let departure = self.departures.get(id);
        if !departure.is_some_and(|departure| departure.may_be_restored_by(endpoint)) {
            return false;
        }
        let held_back = self.held_back.get(id);
        if let Some(known) = held_back.map(|held_back| held_back.endpoint.revision)
            && known.epoch() == endpoint.revision.epoch()
        {
            // A registration that was written since the store's return shows that its endpoint is there.
            return endpoint.revision <= known;
        }
        let held_back = HeldBack {
            endpoint: endpoint.clone(),
            until_us: now + self.lapse_us,
        };
        self.held_back.insert(id.clone(), held_back);
        true
    }

    /// Forgets registrations that have been removed: all that `is_registered` doesn't accept.
    pub(super) fn retain_held_back(&mut self, is_registered: impl Fn(&EndpointId) -> bool) {
        self.held_back.retain(|id, _| is_registered(id));
    }

    /// Forgets old departures.
    pub(super) fn prune(&mut self, now: TimeUs) {
        self.departures
            .retain(|_, departure| now.since(departure.at_us) < RETENTION_US);
    }

    /// Takes the registrations that haven't lapsed in time, so that their endpoints are there.
    /// Everything that the store had as of `as_of` is known.
    pub(super) fn take_confirmed(&mut self, as_of: TimeUs) -> Vec<Endpoint> {
        let is_due = |held_back: &HeldBack| held_back.until_us <= as_of;
        let due: Vec<EndpointId> = self
            .held_back
            .iter()
            .filter(|(_, held_back)| is_due(held_back))
            .map(|(id, _)| id.clone())
            .collect();
        due.iter()
            .filter_map(|id| {
                self.departures.remove(id);
                self.held_back.remove(id)
            })
            .map(|held_back| held_back.endpoint)
            .collect()
    }

    fn forget_oldest(&mut self) {
        let oldest = self
            .departures
            .iter()
            .min_by_key(|(_, departure)| departure.at_us);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.departures.remove(&id);
        }
    }
}
