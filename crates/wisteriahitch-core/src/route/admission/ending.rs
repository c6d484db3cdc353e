//! How requests leave admission: they end, are cancelled, or miss their deadline.

use wisteriahitch_types::{Code, DurationUs, RequestId, TimeUs};

use super::entry::{Entry, EntryState};
use super::refusal::refuse;
use super::{Admission, AdmissionCommand};

impl Admission {
    /// Records the end of a started request, whatever its outcome, and starts waiting ones.
    pub fn finish_request(&mut self, request: &RequestId, now: TimeUs) -> Vec<AdmissionCommand> {
        let is_running = |entry: &Entry| matches!(entry.state, EntryState::Running);
        if !self.entries.get(request).is_some_and(is_running) {
            return Vec::new();
        }
        let Some(entry) = self.entries.remove(request) else {
            return Vec::new();
        };
        if let Some(gate) = self.gates.get_mut(&entry.service) {
            gate.record_end(now);
        }
        self.start_waiting(&entry.service, now)
    }

    /// Removes a waiting request and returns whether it was waiting. It was not run.
    ///
    /// A started request stays counted until [`Admission::finish_request`].
    pub fn cancel(&mut self, request: &RequestId) -> bool {
        let Some(entry) = self.entries.get(request) else {
            return false;
        };
        let EntryState::Waiting { rank, deadline_us } = entry.state else {
            return false;
        };
        let (workspace, service) = (entry.workspace.clone(), entry.service.clone());
        if let Some(gate) = self.gates.get_mut(&service) {
            gate.queue.remove(&workspace, rank);
            gate.requests.remove(&rank);
        }
        self.deadlines.remove(&(deadline_us, request.clone()));
        self.entries.remove(request);
        true
    }

    /// Refuses waiting requests whose deadline has passed and removes idle workspaces.
    pub fn tick(&mut self, now: TimeUs) -> Vec<AdmissionCommand> {
        for gate in self.gates.values_mut() {
            gate.queue.remove_idle();
        }
        self.expire(now)
    }

    /// Refuses waiting requests whose deadline has passed.
    pub(super) fn expire(&mut self, now: TimeUs) -> Vec<AdmissionCommand> {
        let mut commands = Vec::new();
        while let Some((deadline, request)) = self.deadlines.first().cloned() {
            if deadline > now {
                break;
            }
            let service = self.entries.get(&request).map(|entry| &entry.service);
            let drain = service.map_or(DurationUs::ZERO, |service| {
                self.estimate_drain_time(service)
            });
            self.cancel(&request);
            self.deadlines.remove(&(deadline, request.clone()));
            commands.push(refuse(request, Code::DeadlineUnreachable, drain));
        }
        commands
    }

    /// Refuses every waiting request with `code`, such as when none can be started any more.
    pub fn refuse_waiting(&mut self, code: Code) -> Vec<AdmissionCommand> {
        let waiting: Vec<RequestId> = self.deadlines.iter().map(|(_, id)| id.clone()).collect();
        waiting
            .into_iter()
            .filter(|request| self.cancel(request))
            .map(|request| refuse(request, code, DurationUs::ZERO))
            .collect()
    }
}
