//! A caller of the system, as a customer's program would be written.

mod answer;
mod client;
mod error;

pub use answer::{CompletionAnswer, PlainAnswer};
pub use client::{Caller, Completion};
pub use error::CallError;
