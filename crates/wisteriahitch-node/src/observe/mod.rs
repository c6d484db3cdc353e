//! Logs and metrics of a daemon.

mod logging;
mod metrics;

pub use logging::{LogOptions, start_logging};
pub(crate) use metrics::Metrics;
