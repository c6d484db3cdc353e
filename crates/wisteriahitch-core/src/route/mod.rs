//! Where a request runs: candidates, load, cost, admission and retries.
//!
//! `docs/design/routing.md` and `docs/design/admission.md` give the reasons.

mod admission;
mod directory;
mod draw;
mod endpoint;
mod engine_priority;
mod pieces;
mod policy;
mod retry;
mod router;

pub use admission::{Admission, AdmissionCommand, AdmissionRequest, GateSnapshot};
pub use directory::{Directory, DirectorySnapshot, shard_owner};
pub use endpoint::{
    EndpointChange, EndpointLoad, EndpointOptions, EndpointSnapshot, EndpointTable, FlightFailure,
    FlightId, LeavingSource, LifeState, LoadedModel, Served, Slowness,
};
pub use engine_priority::engine_priority;
pub use pieces::{ChainScope, Piece, PieceChain, piece_chain};
pub use policy::{
    Affinity, Choice, CostOptions, CostPolicy, Estimate, ImportStep, LeastLoaded, LinkView,
    NoLinks, ParsePolicyError, Plan, Policy, PolicyKind, RoundRobin, RouteRefusal, RouteRequest,
    View, Weighed,
};
pub use retry::RetryBudget;
pub use router::{Router, RouterSnapshot};
