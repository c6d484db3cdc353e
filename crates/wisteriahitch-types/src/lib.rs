//! Identifiers, units and numbered result codes of wisteriahitch.
//!
//! Every other crate speaks in these types, so that an identifier is never mistaken for another
//! one and a number never loses its unit. The words are explained in `docs/GLOSSARY.md`.

mod block_state;
mod call_rate;
mod code;
mod endpoint_instance;
mod id;
mod key;
mod meaning;
mod share;
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
pub use tier::Tier;
pub use unit::{ByteCount, ByteRate, DurationUs, ParseUnitError, TimeUs, TokenCount, TokenRate};
