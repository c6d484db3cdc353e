//! Tests of the configuration and the settings.

#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests fail the test by panicking"
)]

mod sections;
