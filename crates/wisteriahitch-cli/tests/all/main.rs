//! Tests of the arguments and the output of the command line.

// clippy.toml allows unwrap in test functions only; helper functions of tests need it too.
#![allow(clippy::unwrap_used)]

mod docs;
mod flags;
mod render;
mod story;
