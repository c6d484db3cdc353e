//! Checks that calls with a key ran at most once and that their reported outcomes are true.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::Mutex;
use serde_json::Value;
use wisteriahitch::types::Meaning;

use super::Outcome;
use super::control::ControlClient;
use crate::caller::PlainAnswer;
use crate::site::Place;

/// Collects the outcomes that callers received for each key.
#[derive(Debug)]
pub(crate) struct PlainChecker {
    prefix: String,
    next: AtomicU64,
    outcomes: Mutex<BTreeMap<String, KeyOutcomes>>,
}

/// Outcomes that callers received for one key.
#[derive(Clone, Copy, Debug, Default)]
struct KeyOutcomes {
    is_answered: bool,
    is_not_run: bool,
    is_unknown: bool,
}

/// Numbers of violated guarantees of calls that must run at most once.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PlainFaults {
    /// Calls that ran more than once.
    pub(crate) doubled: u64,
    /// Calls that ran although a refusal said that they had not.
    pub(crate) falsely_refused: u64,
    /// Calls that were answered although they never ran.
    pub(crate) invented: u64,
    /// Calls with a key that were checked.
    pub(crate) keyed: u64,
    /// Services whose list of runs could not be read.
    pub(crate) unasked: u64,
}

impl PlainChecker {
    pub(crate) fn new(seed: u64) -> Self {
        let run = std::process::id();
        Self {
            prefix: format!("bench-{seed}-{run}"),
            next: AtomicU64::new(0),
            outcomes: Mutex::default(),
        }
    }

    /// Returns a new unique key, as a caller generates it.
    pub(crate) fn new_key(&self) -> String {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number}", self.prefix)
    }

    /// Returns whether an answer is the service's correct answer to this call.
    pub(crate) fn is_right(&self, answer: &PlainAnswer, path: &str, body: &[u8]) -> bool {
        let Ok(value) = serde_json::from_str::<Value>(&answer.body) else {
            return false;
        };
        answer.status == 200
            && value["path"] == path
            && value["body_hash"] == blake3::hash(body).to_hex().as_str()
    }

    /// Records the outcome that a caller received for a key.
    pub(crate) fn record_outcome(&self, key: &str, outcome: &Outcome) {
        let mut outcomes = self.outcomes.lock();
        let outcomes = outcomes.entry(key.to_owned()).or_default();
        match outcome {
            Outcome::Answered { .. } => outcomes.is_answered = true,
            Outcome::Refused {
                meaning: Meaning::NotRun,
                ..
            } => outcomes.is_not_run = true,
            _ => outcomes.is_unknown = true,
        }
    }

    /// Compares the outcomes that callers received with the runs that the services counted.
    pub(crate) async fn check(&self, client: &ControlClient, services: &[Place]) -> PlainFaults {
        let mut runs: BTreeMap<String, u64> = BTreeMap::new();
        let mut faults = PlainFaults::default();
        for service in services {
            let Ok(Value::Object(page)) = client.get(service.address, "/control/runs").await else {
                faults.unasked += 1;
                continue;
            };
            for (key, count) in page {
                *runs.entry(key).or_default() += count.as_u64().unwrap_or(0);
            }
        }
        for (key, outcomes) in self.outcomes.lock().iter() {
            let count = runs.get(key).copied().unwrap_or(0);
            faults.keyed += 1;
            faults.doubled += u64::from(count > 1);
            faults.falsely_refused += u64::from(outcomes.is_not_run && count > 0);
            faults.invented += u64::from(outcomes.is_answered && count == 0);
        }
        faults
    }
}
