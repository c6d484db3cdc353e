//! What a decision needs to know of a request, and what it sees of the world.

use wisteriahitch_types::{
    AdapterName, AvailabilityZone, ByteCount, DurationUs, EndpointId, ModelName, ServiceName,
    Share, StoreId, Tier, TimeUs, TokenCount, WeightVersion,
};

use crate::route::{Directory, EndpointTable, PieceChain, ServingRequirement};

/// Asks where a request is to run.
#[derive(Clone, Debug)]
pub struct RouteRequest {
    /// Service that the rules chose.
    pub service: ServiceName,
    /// Model; nothing for a plain service.
    pub model: Option<ModelName>,
    /// Adapter on top of the model.
    pub adapter: Option<AdapterName>,
    /// Version that the chain's keys were made for; nothing for a plain service.
    pub weight_version: Option<WeightVersion>,
    /// Pieces of the prompt; empty for a plain service.
    pub chain: PieceChain,
    /// Most tokens to generate.
    pub max_tokens: TokenCount,
    /// How much the time to the first token counts against the prompt work recomputed.
    pub first_token_weight: Share,
    /// Higher goes first at the endpoint.
    pub priority: u8,
    /// Longest wait for the first token from now on.
    pub deadline_us: DurationUs,
    /// Availability zone of this daemon.
    pub availability_zone: AvailabilityZone,
    /// Endpoints that were tried before.
    pub exclude: Vec<EndpointId>,
    /// Whether the choice is to tell what was weighed.
    pub explain: bool,
    /// Length of the KV cache of one token.
    pub bytes_per_token: ByteCount,
}

impl RouteRequest {
    /// Returns what the endpoint must serve.
    pub fn serving_requirement(&self) -> ServingRequirement {
        ServingRequirement {
            service: self.service.clone(),
            model: self.model.clone().zip(self.weight_version.clone()),
            adapter: self.adapter.clone(),
        }
    }
}

/// Tells how busy the links to the store VMs are.
pub trait LinkView {
    /// Estimates how long `bytes` take from a tier of a store VM at what is left of its link's
    /// rate, waiting included; [`DurationUs::MAX`] where the store can't be reached.
    fn transfer_time(
        &self,
        store: &StoreId,
        tier: Tier,
        bytes: ByteCount,
        now: TimeUs,
    ) -> DurationUs;
}

/// Stands for a site without store VMs, where nothing can be imported.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoLinks;

impl LinkView for NoLinks {
    fn transfer_time(&self, _: &StoreId, _: Tier, _: ByteCount, _: TimeUs) -> DurationUs {
        DurationUs::MAX
    }
}

/// Holds what a policy may look at.
#[derive(Clone, Copy)]
pub struct View<'a> {
    /// Endpoints.
    pub endpoints: &'a EndpointTable,
    /// Hints of where blocks lie.
    pub directory: &'a Directory,
    /// Links to the store VMs.
    pub links: &'a dyn LinkView,
    /// Random number for this decision alone, drawn by the [`Router`](crate::route::Router).
    pub random_seed: u64,
}
