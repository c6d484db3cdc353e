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
    HeadChange, HeadObject, HistoryEntry, Holders, PullAnswer, PushAnswer, Submission,
    SubmissionCommand, SubmissionEvent, SubmissionOutcome, SubmissionStep, head_watchers,
};
pub use drain::{Drain, DrainPhase, OpenWork};
pub use leases::{
    LeaseCommand, LeaseEvent, LeaseGroup, LeaseHolder, LeaseObject, LeasePhase, LeaseSettings,
    LeaseStatus, LeaseTable, OrderGrant, WriteFailure,
};
pub use members::{
    EntryAddress, Member, MemberAddresses, MemberState, Membership, MembershipCommand,
    MembershipEvent, MembershipSettings, News, VmNotice,
};
pub use orders::{
    Blocked, EndpointOrder, EndpointReport, ModelOnEndpoint, OrderPlanner, PlannedOrder,
    PlannerSettings, RolloutPhase, RolloutProgress, SiteView, WantedEndpoint, WantedModel,
    WantedState,
};
pub use rendezvous::Rendezvous;
