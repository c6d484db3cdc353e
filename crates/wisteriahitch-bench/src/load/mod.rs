//! The load: who asks what and when, drawn from a seed before the first request is sent.

mod arrival;
mod capacity;
mod schedule;

pub use arrival::{Arrival, LoadRequest, PlainKind, PromptRequest};
pub use capacity::Capacity;
pub use schedule::{LoadOptions, Schedule, Surge};
