//! Observability: the event log and metrics.

mod bounded_label;
mod event;
mod event_log;
mod metrics;
mod pace_metrics;
mod process;

pub use bounded_label::BoundedLabel;
pub use event::{CallEnded, Event, FreedModel};
pub use event_log::{EventLog, LogBudget};
pub(crate) use metrics::Metrics;
pub use process::ProcessUsage;
