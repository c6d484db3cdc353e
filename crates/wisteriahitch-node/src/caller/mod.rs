//! The callers' side: HTTP in, answers and refusals out.

pub(crate) mod body;
mod completion;
mod completion_body;
mod entries;
mod gate;
mod handler;
mod identity;
mod keyed;
mod plain;
mod refusal;
mod resume;
mod stream_body;
mod tickets;

pub(crate) use handler::CallerHandler;
pub(crate) use keyed::answer_forwarded;
pub(crate) use refusal::Refusal;
