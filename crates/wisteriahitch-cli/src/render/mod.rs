//! Renders the daemons' JSON as text for people.

mod config;
mod explain;
mod failure;
mod field;
mod help;
mod locate;
mod status;
mod story;

pub use config::{accepted, history, resubmit_hint};
pub use explain::explain;
pub use failure::failure;
pub(crate) use field::{field, pretty};
pub use help::help_for_command;
pub use locate::locate;
pub use status::status;
pub use story::{LogLine, matching_log_lines, story};
