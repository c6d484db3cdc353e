//! Admission control: quotas, bounded queues and fair shares among workspaces.

mod ending;
mod entry;
mod fair_queue;
mod gate;
mod quota;
mod refusal;
mod request;
mod snapshot;
mod table;
mod token_bucket;

pub use request::{AdmissionCommand, AdmissionRequest};
pub use snapshot::GateSnapshot;
pub use table::Admission;
