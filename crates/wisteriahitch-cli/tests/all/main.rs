//! Tests of what operators read.

// Helpers of tests may unwrap as the tests themselves do; the linter knows only the latter.
#![allow(clippy::unwrap_used)]

mod docs;
mod flags;
mod render;
mod story;
