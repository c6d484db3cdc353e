//! What the daemon tells of itself: events in its log, and metrics.

mod event;
mod event_log;
mod metrics;

pub use event::{CallEnded, Event};
pub use event_log::{EventLog, LogBudget};
pub(crate) use metrics::Metrics;
