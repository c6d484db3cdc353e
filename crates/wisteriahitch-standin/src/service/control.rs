//! Faults that tests set through `/control`, and run counters.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// How the stand-in treats requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceMode {
    /// Requests run and are answered.
    #[default]
    Normal,
    /// Requests run and are never answered.
    Freeze,
    /// Requests run and their connections are closed without an answer.
    CloseBeforeAnswer,
    /// Requests run and their connections are closed after half of the answer.
    CloseMidway,
    /// Requests run and are answered with another request's id.
    WrongId,
    /// Requests are answered with 503 and `x-not-run`, and don't run.
    RefuseNotRun,
}

/// Body of `POST /control`; absent fields leave their settings unchanged.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceControl {
    /// How requests are treated from now on.
    pub mode: Option<ServiceMode>,
    /// Number of requests that `mode` applies to; if absent, all until the next change of `mode`.
    pub count: Option<u64>,
    /// Additional duration of each run, in milliseconds.
    pub slow_ms: Option<u64>,
    /// Whether load reports say that the endpoint is leaving.
    pub leaving: Option<bool>,
}

/// Current faults, and counters since the start.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct ServiceControlState {
    pub(crate) mode: ServiceMode,
    /// Number of requests that the mode still applies to; `None` for all.
    pub(crate) count: Option<u64>,
    pub(crate) slow_ms: u64,
    pub(crate) leaving: bool,
    pub(crate) running: u64,
    pub(crate) queued: u64,
    pub(crate) sequence: u64,
    pub(crate) runs: BTreeMap<String, u64>,
}

impl ServiceControlState {
    pub(crate) fn apply(&mut self, change: ServiceControl) {
        if let Some(mode) = change.mode {
            self.mode = mode;
            self.count = change.count;
        }
        self.slow_ms = change.slow_ms.unwrap_or(self.slow_ms);
        self.leaving = change.leaving.unwrap_or(self.leaving);
    }

    /// Returns the mode for one request and counts it against the remaining requests.
    pub(crate) fn consume_mode(&mut self) -> ServiceMode {
        match &mut self.count {
            None => self.mode,
            Some(0) => ServiceMode::Normal,
            Some(remaining) => {
                *remaining -= 1;
                self.mode
            }
        }
    }

    /// Counts a run and returns its number among all runs, starting at 1.
    pub(crate) fn count_run(&mut self, key: &str) -> u64 {
        *self.runs.entry(key.to_owned()).or_default() += 1;
        self.sequence += 1;
        self.sequence
    }
}
