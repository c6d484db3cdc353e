//! A discrete-event simulation of a fleet: real placement decisions with simulated engines.
//!
//! It uses no sockets and no real clock, and equal seeds give equal runs. The placement decisions
//! and the gossip schedule are the product's own code, and each daemon knows only what its last
//! received gossip messages contained. Engines prefill prompts in order of priority and arrival,
//! cache prompt parts while their memory lasts, and generate tokens in steps whose duration grows
//! with the number of running calls. A load file (`examples/loads/`) defines the calls and the
//! faults; `docs/design/decisions.md` says how far the model deviates from measurements.

mod daemon;
mod engine;
mod outcome;
mod plan;
mod store;
mod world;

pub use outcome::{KindOutcome, Outcome, Window};
pub use plan::{EnginePlan, Fault, KindPlan, Plan, Policy, StorePlan};
pub use world::simulate;
