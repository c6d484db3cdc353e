//! Endpoints: their life, their load and the outliers among them.

mod flight;
mod freshness;
mod leaving;
mod life;
mod load;
mod lookup;
mod options;
mod outlier;
mod pool;
mod record;
mod reported;
mod scan;
mod sent_load;
mod served;
mod slowness;
mod snapshot;
mod table;
mod traffic;

pub use flight::{FlightFailure, FlightId};
pub use leaving::LeavingSource;
pub use life::LifeState;
pub use load::{EndpointLoad, LoadedModel};
pub use options::EndpointOptions;
pub use served::Served;
pub use slowness::Slowness;
pub use snapshot::EndpointSnapshot;
pub use table::{EndpointChange, EndpointTable};

pub(crate) use flight::Flight;
pub(crate) use freshness::{Freshness, HeldReport, PastLives};
pub(crate) use leaving::LeavingClaims;
pub(crate) use life::{Life, LifeEvent};
pub(crate) use outlier::Outlier;
pub(crate) use pool::{Membership, Pool, PoolKey, Pools, Standing};
pub(crate) use record::EndpointRecord;
pub(crate) use sent_load::SentLoad;
