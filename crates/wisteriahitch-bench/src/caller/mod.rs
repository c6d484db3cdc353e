//! A client of the system, written as a customer's program would be.

mod answer;
mod client;
mod error;

pub use answer::{CompletionAnswer, PlainAnswer};
pub use client::{Caller, Completion};
pub use error::CallError;
