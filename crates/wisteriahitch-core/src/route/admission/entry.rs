//! One request that waits or runs.

use wisteriahitch_types::{ServiceName, TimeUs, WorkspaceId};

use super::fair_queue::Rank;

/// Says whether a request waits or runs.
#[derive(Clone, Debug)]
pub(super) enum EntryState {
    Waiting { rank: Rank, deadline_us: TimeUs },
    Running,
}

/// Holds a request that was let in and hasn't ended.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) workspace: WorkspaceId,
    pub(super) service: ServiceName,
    pub(super) state: EntryState,
}
