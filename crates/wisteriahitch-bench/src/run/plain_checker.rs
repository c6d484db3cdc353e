//! Checks that a call that may not be repeated ran at most once, and that what was said of it is true.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::Mutex;
use serde_json::Value;
use wisteriahitch::types::Meaning;

use super::Outcome;
use super::control::ControlClient;
use crate::caller::PlainAnswer;
use crate::site::Place;

/// Holds what callers were told of each key.
#[derive(Debug)]
pub(crate) struct PlainChecker {
    prefix: String,
    next: AtomicU64,
    told: Mutex<BTreeMap<String, Told>>,
}

/// Holds what callers were told of one key.
#[derive(Clone, Copy, Debug, Default)]
struct Told {
    is_answered: bool,
    is_not_run: bool,
    is_unknown: bool,
}

/// Counts broken promises of calls that may not be repeated.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PlainFaults {
    /// Calls that ran more than once.
    pub(crate) doubled: u64,
    /// Calls that ran although the system said that they had not been run.
    pub(crate) falsely_refused: u64,
    /// Calls that were answered although they never ran.
    pub(crate) invented: u64,
    /// Calls with a key.
    pub(crate) keyed: u64,
    /// Services that could not be asked.
    pub(crate) unasked: u64,
}

impl PlainChecker {
    pub(crate) fn new(seed: u64) -> Self {
        let run = std::process::id();
        Self {
            prefix: format!("bench-{seed}-{run}"),
            next: AtomicU64::new(0),
            told: Mutex::default(),
        }
    }

    /// Makes a caller's own key.
    pub(crate) fn new_key(&self) -> String {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number}", self.prefix)
    }

    /// Returns whether an answer is the service's to this very call.
    pub(crate) fn is_right(&self, answer: &PlainAnswer, path: &str, body: &[u8]) -> bool {
        let Ok(value) = serde_json::from_str::<Value>(&answer.body) else {
            return false;
        };
        answer.status == 200
            && value["path"] == path
            && value["body_hash"] == blake3::hash(body).to_hex().as_str()
    }

    /// Notes what a caller was told.
    pub(crate) fn note(&self, key: &str, outcome: &Outcome) {
        let mut told = self.told.lock();
        let told = told.entry(key.to_owned()).or_default();
        match outcome {
            Outcome::Answered { .. } => told.is_answered = true,
            Outcome::Refused {
                meaning: Meaning::NotRun,
                ..
            } => told.is_not_run = true,
            _ => told.is_unknown = true,
        }
    }

    /// Compares what callers were told with what the services ran.
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
        for (key, told) in self.told.lock().iter() {
            let count = runs.get(key).copied().unwrap_or(0);
            faults.keyed += 1;
            faults.doubled += u64::from(count > 1);
            faults.falsely_refused += u64::from(told.is_not_run && count > 0);
            faults.invented += u64::from(told.is_answered && count == 0);
        }
        faults
    }
}
