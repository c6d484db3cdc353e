//! Traits that separate the daemon from a site's wire formats.

mod call_codec;
mod engine_control;
mod part_store_control;
mod refusal;
mod site_codec;
mod statement;

pub use call_codec::{AnswerHead, CallCodec, CallHead, OutgoingCall};
pub use engine_control::{
    EndpointIdentity, EngineControl, EngineReport, OrderOutcome, OrderPermit, WeightOrder,
};
pub use part_store_control::{PartChanges, PartEvent, PartListing, PartStoreControl, StoredPart};
pub use refusal::{ExcessQueue, Refusal};
pub use site_codec::{DecodeError, SiteCodec};
pub use statement::Statement;
