//! Admission in a form for the dump.

use serde::Serialize;
use wisteriahitch_types::ServiceName;

use super::Admission;

/// Shows one service's gate, for the dump.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct GateSnapshot {
    /// Service.
    pub service: ServiceName,
    /// Requests that run.
    pub running: usize,
    /// Requests that may run at once.
    pub capacity: usize,
    /// Requests that wait.
    pub waiting: usize,
}

impl Admission {
    /// Shows every gate in the order of the services.
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
