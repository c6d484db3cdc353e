//! Faults that tests set through `/control`, and call counters of the platform's stand-in.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::call::{Call, CallMethod};

/// How the stand-in treats calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformMode {
    /// Calls are executed and answered.
    #[default]
    Up,
    /// Calls have no effect and their connections are closed.
    Down,
    /// Connections are refused, also for `/control` on the same port; the second address stays
    /// reachable.
    Refuse,
    /// Calls have no effect and are answered with 503.
    Unavailable,
    /// Calls have no effect and are never answered.
    Hang,
}

/// Body of `POST /control`; absent fields leave their settings unchanged.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformControl {
    /// How calls are treated from now on.
    pub mode: Option<PlatformMode>,
    /// Delay before each call takes effect, in milliseconds.
    pub slow_ms: Option<u64>,
    /// Number of the next writes that take effect but whose connection is closed unanswered.
    pub lose_answers: Option<u64>,
    /// Kinds whose answers may be lost, as named in paths; an empty list means all kinds.
    pub lose_answer_kinds: Option<Vec<String>>,
}

/// Current faults, and counters since the start.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct PlatformControlState {
    pub(crate) mode: PlatformMode,
    pub(crate) slow_ms: u64,
    pub(crate) lose_answers: u64,
    pub(crate) lose_answer_kinds: Vec<String>,
    pub(crate) calls: BTreeMap<CallMethod, BTreeMap<&'static str, u64>>,
    pub(crate) rate_limited: u64,
    pub(crate) answers_lost: u64,
}

impl PlatformControlState {
    pub(crate) fn apply(&mut self, change: PlatformControl) {
        self.mode = change.mode.unwrap_or(self.mode);
        self.slow_ms = change.slow_ms.unwrap_or(self.slow_ms);
        self.lose_answers = change.lose_answers.unwrap_or(self.lose_answers);
        if let Some(kinds) = change.lose_answer_kinds {
            self.lose_answer_kinds = kinds;
        }
    }

    pub(crate) fn count(&mut self, call: &Call) {
        let by_kind = self.calls.entry(call.method).or_default();
        *by_kind.entry(call.kind).or_default() += 1;
    }

    /// Returns whether to lose the answer to a write that took effect, and counts the loss.
    pub(crate) fn consume_lost_answer(&mut self, call: &Call) -> bool {
        let kinds = &self.lose_answer_kinds;
        let is_kind = kinds.is_empty() || kinds.iter().any(|kind| kind == call.kind);
        if !call.method.is_write() || self.lose_answers == 0 || !is_kind {
            return false;
        }
        self.lose_answers -= 1;
        self.answers_lost += 1;
        true
    }
}
