//! Daemons among each other: membership, configuration, leases, orders and draining.

mod configuration;
mod members;
mod rendezvous;

pub use configuration::{
    ConfigCommand, ConfigEvent, ConfigPhase, ConfigReplica, ConfigSettings, ConfigTable,
    HeadChange, HeadObject, HistoryEntry, Holders, PullAnswer, PushAnswer, Section, SectionHash,
    SectionName, Submission, SubmissionCommand, SubmissionEvent, SubmissionOutcome, SubmissionStep,
    head_watchers, is_head_watcher,
};
pub use members::{
    EntryAddress, Member, MemberAddresses, MemberState, Membership, MembershipCommand,
    MembershipEvent, MembershipSettings, News, VmNotice,
};
pub use rendezvous::Rendezvous;
