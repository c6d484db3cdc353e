//! Claims on callers' idempotency keys in the platform's object store.
//!
//! Claims of many requests are written together by one conditional update, so that the limited
//! number of store calls is spent per group instead of per request
//! (`docs/design/at-most-once.md`).

mod batcher;
mod command;
mod limits;
mod object;
mod request;
mod results;
mod shard;
mod work;

pub use batcher::ClaimBatcher;
pub use command::{ClaimCommand, ReadResult, UndecidedCause, WriteResult};
pub use limits::ClaimLimits;
pub use object::{ClaimEntry, ClaimObject, ClaimState};
pub use request::{ClaimTime, ClaimVersion};
pub use shard::ClaimShard;
