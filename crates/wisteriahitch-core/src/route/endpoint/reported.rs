//! Accessors for an endpoint's last report, for use outside the router.

use wisteriahitch_types::{EndpointId, ModelName, TokenRate, WeightVersion};

use super::{EndpointLoad, EndpointState, EndpointTable};

impl EndpointTable {
    /// Returns the last report of an endpoint, or `None` if it is unknown or has not reported.
    pub fn get_report(&self, endpoint: &EndpointId) -> Option<&EndpointLoad> {
        let row = *self.by_id.get(endpoint)?;
        self.rows[row].report.as_ref().map(|report| &report.load)
    }

    /// Returns the weight version of `model` that an endpoint has ready, unless it was removed.
    ///
    /// A leaving endpoint is included: it gets no new requests, but still runs those it has begun.
    pub fn get_ready_version(
        &self,
        endpoint: &EndpointId,
        model: &ModelName,
    ) -> Option<WeightVersion> {
        if self.get_state(endpoint)? == EndpointState::Gone {
            return None;
        }
        let models = self.get_report(endpoint)?.models.iter();
        let mut ready = models.filter(|loaded| loaded.is_ready && loaded.model == *model);
        ready.next().map(|loaded| loaded.weight_version.clone())
    }

    /// Returns the prefill rate that an endpoint reported, or `None` if it has not reported.
    pub fn get_prefill_rate(&self, endpoint: &EndpointId) -> Option<TokenRate> {
        Some(self.get_report(endpoint)?.prefill_tokens_per_s)
    }
}
