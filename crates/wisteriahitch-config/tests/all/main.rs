//! Tests of the configuration and the settings.

#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests fail the test by panicking"
)]

mod contradictions;
mod decide;
mod examples;
mod generated;
mod mistakes;
mod path;
mod sections;
mod settings;
mod shadow;
mod support;
