//! The endpoint table: state, load and outlier detection of every endpoint.

mod attempt;
mod freshness;
mod leaving;
mod load;
mod lookup;
mod options;
mod outlier;
mod pool;
mod record;
mod reported;
mod scan;
mod sent_load;
mod serving_requirement;
mod slowness;
mod snapshot;
mod state;
mod table;
mod traffic;

pub use attempt::{AttemptFailure, AttemptId};
pub use leaving::LeavingSource;
pub use load::{EndpointLoad, LoadedModel};
pub use options::EndpointOptions;
pub use serving_requirement::ServingRequirement;
pub use slowness::Slowness;
pub use snapshot::EndpointSnapshot;
pub use state::EndpointState;
pub use table::{EndpointStateChange, EndpointTable};

pub(crate) use attempt::InFlightAttempt;
pub(crate) use freshness::{Freshness, PreviousInstances, ReceivedReport};
pub(crate) use leaving::LeavingClaims;
pub(crate) use outlier::OutlierCounters;
pub(crate) use pool::{Pool, PoolKey, PoolMembership, PoolMembershipState, Pools};
pub(crate) use record::EndpointRecord;
pub(crate) use sent_load::SentLoad;
pub(crate) use state::{EndpointStateEvent, EndpointStateMachine};
