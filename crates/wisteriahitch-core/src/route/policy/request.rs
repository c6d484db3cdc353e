//! Inputs of a routing decision: the request and the state of the site.

use wisteriahitch_types::{
    AdapterName, AvailabilityZone, ByteCount, DurationUs, EndpointId, ModelName, ServiceName,
    Share, StoreId, Tier, TimeUs, TokenCount, WeightVersion,
};

use crate::route::{Directory, EndpointTable, PieceChain, ServingRequirement};

/// A request to be routed.
#[derive(Clone, Debug)]
pub struct RouteRequest {
    /// Service chosen by the routing rules.
    pub service: ServiceName,
    /// Model that the caller asks for; `None` for a plain service.
    pub model: Option<ModelName>,
    /// Adapter that is applied to the model, if any.
    pub adapter: Option<AdapterName>,
    /// Weight version that the keys of `chain` are derived for; `None` for a plain service.
    pub weight_version: Option<WeightVersion>,
    /// Pieces of the prompt; empty for a plain service.
    pub chain: PieceChain,
    /// Maximum number of tokens to generate.
    pub max_tokens: TokenCount,
    /// Weight of the time to the first token; the prompt computation gets one minus this weight.
    pub first_token_weight: Share,
    /// Priority that the routing rule gives; higher values run first at the endpoint.
    pub priority: u8,
    /// Maximum time from now to the first token.
    pub deadline_us: DurationUs,
    /// Availability zone of the daemon that decides.
    pub availability_zone: AvailabilityZone,
    /// Endpoints that may not be chosen, such as those already tried for this request.
    pub exclude: Vec<EndpointId>,
    /// Whether [`Choice::weighed`](super::Choice::weighed) lists the compared candidates.
    pub explain: bool,
    /// Size of the KV cache of one token.
    pub bytes_per_token: ByteCount,
}

impl RouteRequest {
    /// Returns the service, model version and adapter that the endpoint must have.
    pub fn serving_requirement(&self) -> ServingRequirement {
        ServingRequirement {
            service: self.service.clone(),
            model: self.model.clone().zip(self.weight_version.clone()),
            adapter: self.adapter.clone(),
        }
    }
}

/// Estimates transfer times over the links to the store VMs.
pub trait LinkView {
    /// Estimates the time to transfer `bytes` from a tier of a store VM, including queueing, at the
    /// unused rate of its link.
    ///
    /// Returns [`DurationUs::MAX`] if the store can't be reached.
    fn transfer_time(
        &self,
        store: &StoreId,
        tier: Tier,
        bytes: ByteCount,
        now: TimeUs,
    ) -> DurationUs;
}

/// A site without store VMs: nothing can be imported.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoLinks;

impl LinkView for NoLinks {
    fn transfer_time(&self, _: &StoreId, _: Tier, _: ByteCount, _: TimeUs) -> DurationUs {
        DurationUs::MAX
    }
}

/// The state that a policy decides on.
#[derive(Clone, Copy)]
pub struct View<'a> {
    /// State and load of all endpoints.
    pub endpoints: &'a EndpointTable,
    /// Directory of the blocks that endpoints and store VMs hold; its entries are hints.
    pub directory: &'a Directory,
    /// Transfer times from the store VMs.
    pub links: &'a dyn LinkView,
    /// Random seed of this decision, drawn by the [`Router`](crate::route::Router).
    pub random_seed: u64,
}
