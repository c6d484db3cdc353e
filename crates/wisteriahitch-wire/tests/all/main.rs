//! Tests of the clients against canned answers.

// Helpers of tests may unwrap as the tests themselves do; the linter knows only the latter.
#![allow(clippy::unwrap_used)]

mod canned;
mod engine;
mod generated;
mod http_client;
mod platform;
mod sent_once;
mod service;
mod sse;
mod store;
