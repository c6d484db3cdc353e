//! Weight versions and prefill rates of endpoints, and the bookkeeping after a completion.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::task::JoinHandle;
use wisteriahitch_config::Model;
use wisteriahitch_core::route::PieceChain;
use wisteriahitch_core::tier::{ChainBlock, FinishedRequest};
use wisteriahitch_types::{
    ByteCount, EndpointId, ModelName, RequestId, ServiceName, TokenRate, WeightVersion,
};

use crate::dispatch::completion_call::CompletionCall;
use crate::shared::Shared;

impl Shared {
    /// Returns the weight versions of a model that a new request may run on.
    ///
    /// During a rollout there are two. If no endpoint is ready, the configured version is returned,
    /// so that the router makes the refusal.
    pub(crate) fn candidate_versions(
        &self,
        service: &ServiceName,
        model: &Model,
    ) -> Vec<WeightVersion> {
        let ready = self
            .router
            .lock()
            .endpoints
            .ready_versions(service, &model.name);
        if ready.is_empty() {
            return vec![model.weight_version.clone()];
        }
        ready.into_iter().map(|(version, _)| version).collect()
    }

    /// Returns the weight version of a model that an endpoint has ready.
    pub(crate) fn ready_version(
        &self,
        endpoint: &EndpointId,
        model: &ModelName,
    ) -> Option<WeightVersion> {
        self.router
            .lock()
            .endpoints
            .get_ready_version(endpoint, model)
    }

    /// Returns the rate at which an endpoint processes prompt tokens, or the default rate if it is
    /// unknown.
    pub(crate) fn prefill_rate(&self, endpoint: &EndpointId) -> TokenRate {
        self.router
            .lock()
            .endpoints
            .get_prefill_rate(endpoint)
            .unwrap_or_default()
    }

    /// Records a completed request: the blocks that the endpoint now caches, and which of them are
    /// worth saving to a store.
    pub(crate) fn record_completed_request(
        self: &Arc<Self>,
        call: &CompletionCall,
        chain: &PieceChain,
        endpoint: &EndpointId,
        weight_version: &WeightVersion,
    ) {
        let bytes_per_token = call.model.bytes_per_token.get();
        let blocks = chain.blocks.iter().map(|piece| ChainBlock {
            key: piece.key,
            tokens: piece.tokens,
            bytes: ByteCount::new(piece.tokens.get() * bytes_per_token),
        });
        let finished = FinishedRequest {
            workspace: call.identity.workspace.clone(),
            weight_version: weight_version.clone(),
            endpoint: endpoint.clone(),
            policy: call.route.save,
            prefill_tokens_per_s: self.prefill_rate(endpoint),
            chain: blocks.collect(),
        };
        {
            let mut router = self.router.lock();
            for piece in &chain.blocks {
                router.directory.record_stored(endpoint, &piece.key);
            }
        }
        self.run_tier_step(|tiers, now| tiers.request_finished(&finished, now));
    }

    /// Cancels a request at an endpoint in the background. The returned task ends when the endpoint
    /// has answered.
    pub(crate) fn cancel_at(
        self: &Arc<Self>,
        address: SocketAddr,
        request: &RequestId,
    ) -> JoinHandle<()> {
        let shared = Arc::clone(self);
        let request = request.clone();
        tokio::spawn(async move {
            if let Err(error) = shared.clients.engine.cancel(address, &request).await {
                log::debug!("cancelling {request} at {address} failed: {error}");
            }
        })
    }
}
