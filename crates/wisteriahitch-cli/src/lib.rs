//! The `wisteriahitch` command line for operators; `docs/OPERATING.md` shows how it is used.
//!
//! The binary only runs a [`CommandLine`]. [`render`] turns answers into the text that is printed,
//! so that tests can check it without a daemon.

mod client;
mod command;
mod command_line;
mod flags;
mod output;
pub mod render;

pub use command_line::CommandLine;
