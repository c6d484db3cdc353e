//! Identifiers, units and numbered result codes of wisteriahitch.
//!
//! All other crates use these types, so that the compiler rejects mixed-up identifiers and units.
//! `docs/GLOSSARY.md` explains the terms.

mod block_state;
mod call_rate;
mod code;
mod endpoint_instance;
mod id;
mod key;
mod meaning;
mod share;
mod software_version;
mod tier;
mod unit;

pub use block_state::BlockState;
pub use call_rate::CallRate;
pub use code::Code;
pub use endpoint_instance::{EndpointInstance, EndpointStart};
pub use id::{
    AdapterName, AttemptNumber, AvailabilityZone, ConfigVersion, DaemonId, EndpointId, FenceNumber,
    Generation, Incarnation, ModelName, ParseIdError, Region, RequestId, RouteName, RuleName,
    ServiceName, StoreId, StoreIncarnation, SubmissionId, WeightNumber, WeightVersion, WorkspaceId,
};
pub use key::{BlockKey, KeyHash, ParseKeyError};
pub use meaning::Meaning;
pub use share::Share;
pub use software_version::SoftwareVersion;
pub use tier::Tier;
pub use unit::{ByteCount, ByteRate, DurationUs, ParseUnitError, TimeUs, TokenCount, TokenRate};
