//! What an endpoint has reported of itself, for those outside the router.

use wisteriahitch_types::{EndpointId, ModelName, TokenRate, WeightVersion};

use super::{EndpointLoad, EndpointState, EndpointTable};

impl EndpointTable {
    /// Returns the last report of an endpoint.
    pub fn get_report(&self, endpoint: &EndpointId) -> Option<&EndpointLoad> {
        let row = *self.by_id.get(endpoint)?;
        self.rows[row]
            .report
            .as_ref()
            .map(|received| &received.load)
    }

    /// Returns the version of a model that an endpoint has ready, unless it is gone.
    ///
    /// A leaving endpoint counts: it takes no new work, but goes on with what it began.
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

    /// Returns the speed at which an endpoint reads prompts, if it has reported one.
    pub fn get_prefill_rate(&self, endpoint: &EndpointId) -> Option<TokenRate> {
        Some(self.get_report(endpoint)?.prefill_tokens_per_s)
    }
}
