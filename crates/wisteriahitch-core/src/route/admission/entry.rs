//! A request that admission has accepted.

use wisteriahitch_types::{ServiceName, TimeUs, WorkspaceId};

use super::fair_queue::Rank;

/// Whether a request waits or runs.
#[derive(Clone, Debug)]
pub(super) enum EntryState {
    /// `rank` is its position in the queue, `deadline_us` the time at which it is refused.
    Waiting { rank: Rank, deadline_us: TimeUs },
    /// It was started and has not ended.
    Running,
}

/// A request that was accepted and hasn't ended.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) workspace: WorkspaceId,
    pub(super) service: ServiceName,
    pub(super) state: EntryState,
}
