//! Load of an endpoint: as counted by the daemons, and as reported by the endpoint.

use serde::{Deserialize, Serialize};

use super::endpoint_pace::WorkPercent;

/// Work that was sent to one endpoint and hasn't finished.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Number of requests.
    pub running: u32,
    /// Prompt tokens that still have to be prefilled, over all requests whose first event hasn't
    /// arrived. Tokens of cached parts don't count.
    pub unread_tokens: u64,
    /// Tokens that all requests occupy in the accelerator's memory once their prompts are
    /// prefilled.
    pub memory_tokens: u64,
}

impl Load {
    /// Adds another load, saturating at the maximum of each field.
    pub fn add(&mut self, other: Load) {
        self.running = self.running.saturating_add(other.running);
        self.unread_tokens = self.unread_tokens.saturating_add(other.unread_tokens);
        self.memory_tokens = self.memory_tokens.saturating_add(other.memory_tokens);
    }

    /// Subtracts another load, saturating at zero.
    pub fn sub(&mut self, other: Load) {
        self.running = self.running.saturating_sub(other.running);
        self.unread_tokens = self.unread_tokens.saturating_sub(other.unread_tokens);
        self.memory_tokens = self.memory_tokens.saturating_sub(other.memory_tokens);
    }
}

/// Load that an endpoint reports in the head of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are queued.
    pub waiting: u32,
    /// Maximum number of requests that run at once.
    pub slots: u32,
    /// How long work takes on the endpoint's machine now, if the endpoint reports it.
    pub work_percent: Option<WorkPercent>,
}
