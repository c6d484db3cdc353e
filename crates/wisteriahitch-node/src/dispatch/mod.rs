//! Sends requests to endpoints and moves blocks between endpoints and stores.

mod completion_attempt;
pub(crate) mod completion_call;
mod completion_failure;
mod completion_plan;
pub(crate) mod completion_run;
mod completion_stream;
mod engine_calls;
pub(crate) mod import;
pub(crate) mod plain_call;
mod retry_after;
mod store_calls;
pub(crate) mod transfer;
