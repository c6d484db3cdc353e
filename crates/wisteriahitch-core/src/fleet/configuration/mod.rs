//! Configuration replication to all daemons, and acceptance of submitted configurations
//! (`docs/design/configuration-acceptance.md`).

mod config_event;
mod config_replica;
mod config_table;
mod handing_on;
mod head_change;
mod head_object;
mod phase;
mod reading;
mod replication;
mod starting;
mod submission;
mod submission_event;
mod submission_machine;
mod submission_table;
mod watchers;

pub use config_event::{ConfigCommand, ConfigEvent, PullAnswer, PushAnswer};
pub use config_replica::ConfigReplica;
pub use config_table::{ConfigSettings, ConfigTable};
pub use head_change::HeadChange;
pub use head_object::{HeadObject, HistoryEntry};
pub use phase::ConfigPhase;
pub use replication::HolderCounts;
pub use submission::{Submission, SubmissionStep};
pub use submission_event::{SubmissionCommand, SubmissionEvent, SubmissionOutcome};
pub use watchers::head_watchers;
