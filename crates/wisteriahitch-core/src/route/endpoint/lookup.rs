//! Read-only queries of the endpoint table.

use std::net::SocketAddr;

use wisteriahitch_types::{EndpointId, ModelName, ServiceName, WeightVersion};

use super::{EndpointState, EndpointTable, Pool, PoolKey, PoolMembershipState, ServingRequirement};

impl EndpointTable {
    /// Returns the endpoint's state, or `None` if it isn't configured.
    pub fn get_state(&self, endpoint: &EndpointId) -> Option<EndpointState> {
        let row = *self.by_id.get(endpoint)?;
        Some(self.rows[row].state())
    }

    /// Returns the endpoints whose leaving was announced by themselves or by a peer, each with the
    /// instance that it last reported.
    ///
    /// Endpoints that only the VM list shows as leaving aren't included: every daemon reads that
    /// list, and a claim repeated to a peer could not be retracted together with the list.
    pub fn confirmed_leaving(&self) -> impl Iterator<Item = (&EndpointId, Option<&str>)> {
        self.by_id.iter().filter_map(|(id, &row)| {
            let record = &self.rows[row];
            let instance = record
                .report
                .as_ref()
                .and_then(|report| report.load.life.as_deref());
            let is_leaving = record.state() == EndpointState::Leaving;
            (is_leaving && record.leaving.is_confirmed()).then_some((id, instance))
        })
    }

    /// Returns the endpoint's address, or `None` if it isn't configured.
    pub fn get_address(&self, endpoint: &EndpointId) -> Option<SocketAddr> {
        let row = *self.by_id.get(endpoint)?;
        Some(self.rows[row].address)
    }

    /// Returns the number of this daemon's unfinished attempts at an endpoint.
    pub fn get_in_flight(&self, endpoint: &EndpointId) -> Option<u64> {
        let row = *self.by_id.get(endpoint)?;
        Some(self.rows[row].in_flight)
    }

    /// Returns how many requests the ready endpoints of a service can run at once.
    ///
    /// A daemon's share of it is the capacity for [`Admission`](crate::route::Admission). With a
    /// much higher capacity, requests would queue at the endpoints, which don't divide their slots
    /// fairly among workspaces.
    pub fn ready_slots(&self, service: &ServiceName) -> u64 {
        let of_service = self.rows.iter().filter(|record| record.service == *service);
        let ready = of_service.filter(|record| record.state() == EndpointState::Ready);
        ready.map(|record| record.batch_slots()).sum()
    }

    /// Returns the weight versions of a model that ready endpoints of a service have loaded,
    /// sorted, with the number of such endpoints for each.
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

    /// Returns the pool with this key, or `None` if no endpoint is in it.
    pub(crate) fn pool(&self, key: &PoolKey) -> Option<&Pool> {
        self.pools.get(key)
    }

    /// Returns the rows of the given endpoints; ids that aren't configured are skipped.
    pub(crate) fn rows_of(&self, ids: &[&EndpointId]) -> impl Iterator<Item = usize> {
        ids.iter().filter_map(|id| self.by_id.get(*id).copied())
    }

    /// Returns whether any endpoint of a service lists the model or has not reported yet.
    pub(crate) fn may_serve(&self, service: &ServiceName, model: &ModelName) -> bool {
        let mut of_service = self
            .rows
            .iter()
            .filter(|record| record.service == *service && record.state() != EndpointState::Gone);
        of_service.any(|record| match &record.report {
            Some(report) => report
                .load
                .models
                .iter()
                .any(|loaded| loaded.model == *model),
            None => true,
        })
    }

    /// Returns whether a row of the right pool can be given a request now.
    ///
    /// A probed endpoint takes one request at a time, and the adapter must be loaded.
    pub(crate) fn is_eligible(&self, row: usize, requirement: &ServingRequirement) -> bool {
        let record = &self.rows[row];
        let is_probe_busy = record.outlier.is_probing && record.in_flight > 0;
        let has_adapter = match (&requirement.model, &requirement.adapter) {
            (Some((model, _)), Some(adapter)) => record.has_adapter(model, adapter),
            _ => true,
        };
        !is_probe_busy && has_adapter
    }

    /// Returns whether every pool of the row keeps a ready endpoint when the row is ejected.
    pub(crate) fn is_replaceable(&self, row: usize) -> bool {
        let membership = &self.rows[row].membership;
        let min_ready = match membership.state {
            PoolMembershipState::Ready => 2,
            _ => 1,
        };
        membership.keys.iter().all(|key| {
            let pool = self.pools.get(key);
            pool.is_some_and(|pool| pool.ready.len() >= min_ready)
        })
    }
}
