//! Helpers that the engine and the store share.

mod freeze;
mod pacer;
mod query;

pub(crate) use freeze::Freeze;
pub(crate) use pacer::Pacer;
pub(crate) use query::get_query;
