//! Coordination between daemons: membership, configuration replication, leases, endpoint orders and
//! graceful shutdown.

mod configuration;
mod drain;
mod leases;
mod members;
mod orders;
mod rendezvous;

pub use configuration::{
    ConfigCommand, ConfigEvent, ConfigPhase, ConfigReplica, ConfigSettings, ConfigTable,
    HeadChange, HeadObject, HistoryEntry, HolderCounts, PullAnswer, PushAnswer, Submission,
    SubmissionCommand, SubmissionEvent, SubmissionOutcome, SubmissionStep, head_watchers,
};
pub use drain::{Drain, DrainPhase, OpenWork};
pub use leases::{
    LeaseCommand, LeaseEvent, LeaseGroup, LeaseHolder, LeaseObject, LeasePhase, LeaseSettings,
    LeaseStatus, LeaseTable, OrderGrant, WriteFailure,
};
pub use members::{
    EntryAddress, ListedVm, Member, MemberAddresses, MemberState, Membership, MembershipCommand,
    MembershipEvent, MembershipSettings, MembershipUpdate,
};
pub use orders::{
    BlockReason, DesiredEndpoint, DesiredModel, DesiredState, EndpointOrder, EndpointReport,
    ModelOnEndpoint, OrderPlanner, PlannedOrder, PlannerSettings, RolloutPhase, RolloutProgress,
    SiteView,
};
pub use rendezvous::Rendezvous;
