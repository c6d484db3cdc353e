//! Snapshot of admission for the operators' dump.

use serde::Serialize;
use wisteriahitch_types::ServiceName;

use super::Admission;

/// Running and waiting requests of one service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct GateSnapshot {
    /// Name of the service.
    pub service: ServiceName,
    /// Number of running requests.
    pub running: usize,
    /// Maximum number of running requests.
    pub capacity: usize,
    /// Number of waiting requests.
    pub waiting: usize,
}

impl Admission {
    /// Returns a snapshot of every service that had a request, ordered by name.
    pub fn snapshot(&self) -> Vec<GateSnapshot> {
        let mut gates: Vec<GateSnapshot> = self
            .gates
            .iter()
            .map(|(service, gate)| GateSnapshot {
                service: service.clone(),
                running: gate.running,
                capacity: gate.capacity,
                waiting: gate.queue.len(),
            })
            .collect();
        gates.sort_by(|a, b| a.service.cmp(&b.service));
        gates
    }
}
