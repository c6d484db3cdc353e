//! One run: requests are sent at their times, answers are checked, and everything is measured.

mod control;
mod counters;
mod entry_list;
mod fault;
mod options;
mod plain_checker;
mod processes;
mod progress;
mod record;
mod requester;
mod runner;

pub use counters::Counters;
pub use fault::{FaultName, FaultSpan};
pub use options::RunOptions;
pub use processes::ProcessUse;
pub use record::{Outcome, Record, Subject};
pub(crate) use runner::SURGE_WORKSPACE;
pub use runner::{RunResult, run};
