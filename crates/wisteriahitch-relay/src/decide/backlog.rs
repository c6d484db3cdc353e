//! How much work an endpoint has.

use serde::{Deserialize, Serialize};

/// Work that was sent to one endpoint and hasn't ended.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Requests.
    pub running: u32,
    /// Prompt tokens of requests whose first event hasn't come, as far as they must be read.
    pub unread_tokens: u64,
    /// Tokens of all requests in the accelerator's memory once they are read.
    pub memory_tokens: u64,
}

impl Load {
    /// Adds another load, up to the most that can be written.
    pub fn add(&mut self, other: Load) {
        self.running = self.running.saturating_add(other.running);
        self.unread_tokens = self.unread_tokens.saturating_add(other.unread_tokens);
        self.memory_tokens = self.memory_tokens.saturating_add(other.memory_tokens);
    }

    /// Takes another load away, as far as it is there.
    pub fn sub(&mut self, other: Load) {
        self.running = self.running.saturating_sub(other.running);
        self.unread_tokens = self.unread_tokens.saturating_sub(other.unread_tokens);
        self.memory_tokens = self.memory_tokens.saturating_sub(other.memory_tokens);
    }
}

/// Load that an endpoint tells in the head of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}
