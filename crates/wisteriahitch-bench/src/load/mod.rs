//! The load: all requests and their times, generated from a seed before the first one is sent.

mod arrival;
mod capacity;
mod schedule;

pub use arrival::{Arrival, LoadRequest, PlainKind, PromptRequest};
pub use capacity::Capacity;
pub use schedule::{LoadOptions, Schedule, Surge};
