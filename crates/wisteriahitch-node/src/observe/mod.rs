//! What a daemon tells of itself: logs and metrics.

mod logging;
mod metrics;

pub use logging::{LogOptions, start_logging};
pub(crate) use metrics::Metrics;
