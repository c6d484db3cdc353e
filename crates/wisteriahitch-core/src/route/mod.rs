//! Routing of requests: endpoint and block state, routing policies, admission and retries.
//!
//! `docs/design/routing.md` and `docs/design/admission.md` give the reasons.

mod admission;
mod directory;
mod endpoint;
mod engine_priority;
mod pieces;
mod policy;
mod retry;
mod router;
mod seeded_sampler;

pub use admission::{Admission, AdmissionCommand, AdmissionRequest, GateSnapshot};
pub use directory::{Directory, DirectorySnapshot, shard_owner};
pub use endpoint::{
    AttemptFailure, AttemptId, EndpointLoad, EndpointOptions, EndpointSnapshot, EndpointState,
    EndpointStateChange, EndpointTable, LeavingSource, LoadedModel, ServingRequirement, Slowness,
};
pub use engine_priority::engine_priority;
pub use pieces::{ChainScope, Piece, PieceChain, piece_chain};
pub use policy::{
    Affinity, Choice, CostOptions, CostPolicy, Estimate, ImportStep, LeastLoaded, LinkView,
    NoLinks, ParsePolicyError, Plan, Policy, PolicyKind, RoundRobin, RouteRefusal, RouteRequest,
    ScoredCandidate, View,
};
pub use retry::RetryBudget;
pub use router::{Router, RouterSnapshot};
