//! Tests of the wire's clients against the stand-ins.

// Helpers of tests may unwrap as the tests themselves do; the linter knows only the latter.
#![allow(clippy::unwrap_used)]

mod control;
mod engine;
mod kv_block;
mod platform;
mod process;
mod service;
mod site;
mod store;
mod transfer;
