//! HTTP API for callers.

pub(crate) mod body;
mod completion;
mod completion_body;
mod entries;
mod handler;
mod identity;
pub(crate) mod keyed;
mod plain;
mod refusal;
mod request_id;
mod resume;
pub(crate) mod rules;
mod stream_body;
mod tickets;

pub(crate) use entries::json_response;
pub(crate) use handler::CallerHandler;
pub(crate) use identity::{Identity, new_request_id};
pub(crate) use refusal::Refusal;
