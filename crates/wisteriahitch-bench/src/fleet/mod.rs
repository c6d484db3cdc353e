//! A model of a fleet: daemons' decisions as they are, before engines that are imitated.
//!
//! It has no sockets and no clock, and the same seed gives the same run. What a daemon decides and
//! when it tells the others is the product's own code; what it knows is as old as its news. Engines
//! read prompts one after the other, keep parts of them as long as their memory lasts, and make
//! tokens in steps that grow with what runs. A load file (`examples/loads/`) says what is asked for
//! and what fails; `docs/design/decisions.md` says how far the model is off.

mod daemon;
mod engine;
mod outcome;
mod plan;
mod store;
mod world;

pub use outcome::{KindOutcome, Outcome, Window};
pub use plan::{EnginePlan, Fault, KindPlan, Plan, Policy, StorePlan};
pub use world::simulate;
