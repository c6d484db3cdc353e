//! One module per command.

pub(crate) mod config;
pub(crate) mod drain;
pub(crate) mod dump;
pub(crate) mod explain;
pub(crate) mod locate;
pub(crate) mod status;
pub(crate) mod story;
