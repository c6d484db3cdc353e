//! Which endpoint has an address when several are registered there.

use std::net::SocketAddr;

use wisteriahitch_types::{EndpointId, EndpointInstance};

use super::endpoint_table::{EndpointChange, EndpointTable};

impl EndpointTable {
    pub(super) fn record_address(&mut self, instance: &EndpointInstance) {
        if let Some(row) = self.rows.get(&instance.id) {
            let ids = self.by_address.entry(row.endpoint.address).or_default();
            ids.reserve_exact(1);
            ids.push(instance.id.clone());
        }
    }

    pub(super) fn forget_address(&mut self, address: SocketAddr, id: &EndpointId) {
        if let Some(ids) = self.by_address.get_mut(&address) {
            ids.retain(|known| known != id);
            if ids.is_empty() {
                self.by_address.remove(&address);
            }
        }
    }

    /// Returns the ids of the other endpoints that are registered at an endpoint's address.
    fn others_at_address(&self, instance: &EndpointInstance) -> Vec<EndpointId> {
        let address = self.by_id(&instance.id).map(|row| row.endpoint.address);
        let ids = address.and_then(|address| self.by_address.get(&address));
        let others = ids.into_iter().flatten().filter(|id| **id != instance.id);
        others.cloned().collect()
    }

    /// Marks the other endpoints at the address of `instance` as displaced if they registered
    /// before it, or `instance` itself if one of them registered later.
    ///
    /// Addresses are reused soon after a crash, and the registration of the crashed endpoint stays
    /// for some heartbeats. An endpoint of an unknown service displaces none, since no call would
    /// ever reveal whether it is there.
    pub(super) fn claim_address(&mut self, instance: &EndpointInstance) -> Vec<EndpointChange> {
        let Some(row) = self.get(instance) else {
            return Vec::new();
        };
        if !self.has_known_service(row) || !row.accepts_requests() {
            return Vec::new();
        }
        let revision = row.endpoint.revision;
        let mut changes = Vec::new();
        let mut is_superseded = false;
        for id in self.others_at_address(instance) {
            let Some(row) = self.rows.get_mut(&id).filter(|row| !row.is_displaced) else {
                continue;
            };
            if row.accepts_requests() && row.endpoint.revision > revision {
                is_superseded = true;
                continue;
            }
            row.is_displaced = true;
            changes.push(EndpointChange::Displaced(row.endpoint.instance.clone()));
        }
        if let Some(row) = self.get_mut(instance).filter(|_| is_superseded) {
            row.is_displaced = true;
            changes.push(EndpointChange::Displaced(instance.clone()));
        }
        changes
    }

    /// Marks the other endpoints at the address of an endpoint that is no longer used as not
    /// displaced.
    pub(super) fn release_address(&mut self, instance: &EndpointInstance) {
        for id in self.others_at_address(instance) {
            if let Some(row) = self.rows.get_mut(&id) {
                row.is_displaced = false;
            }
        }
    }
}
