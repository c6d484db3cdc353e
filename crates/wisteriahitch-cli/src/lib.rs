//! Command line of wisteriahitch for operators; `docs/OPERATING.md` shows it at work.
//!
//! The binary only runs a [`CommandLine`]. What people read is made by [`render`], so that tests
//! can hold it.

mod client;
mod command;
mod command_line;
mod flags;
mod output;
pub mod render;

pub use command_line::CommandLine;
