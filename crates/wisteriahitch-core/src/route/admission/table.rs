//! Admission: which requests start, wait or are refused.

use std::collections::{BTreeSet, HashMap};

use wisteriahitch_config::Configuration;
use wisteriahitch_types::{Code, DurationUs, RequestId, ServiceName, TimeUs, WorkspaceId};

use super::entry::{Entry, EntryState};
use super::gate::Gate;
use super::quota::Quota;
use super::refusal::refuse;
use super::{AdmissionCommand, AdmissionRequest};

/// Number of requests of a service that may run at once before its capacity is set.
const DEFAULT_CAPACITY: usize = 64;

/// Divides each service among the workspaces by their weights, within their quotas.
///
/// The cost of a step grows with the logarithm of the number of workspaces and requests. See
/// `docs/design/admission.md`.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    quotas: HashMap<WorkspaceId, Quota>,
    /// Running and waiting requests of each service that had a request.
    pub(super) gates: HashMap<ServiceName, Gate>,
    /// Capacities as set; a service without one gets [`DEFAULT_CAPACITY`].
    capacities: HashMap<ServiceName, usize>,
    /// All requests that wait or run.
    pub(super) entries: HashMap<RequestId, Entry>,
    /// Waiting requests by their deadline.
    pub(super) deadlines: BTreeSet<(TimeUs, RequestId)>,
}

impl Admission {
    /// Applies the weights, quotas and queue limits of a configuration.
    ///
    /// `daemons` is the number of daemons that serve callers; each grants an equal part of a quota.
    pub fn apply_quota_configuration(
        &mut self,
        configuration: &Configuration,
        daemons: u32,
        now: TimeUs,
    ) {
        let known = |id: &WorkspaceId| configuration.workspaces.contains_key(id);
        self.quotas.retain(|id, _| known(id));
        for (id, workspace) in &configuration.workspaces {
            match self.quotas.get_mut(id) {
                Some(quota) => quota.configure(workspace, daemons, now),
                None => {
                    let quota = Quota::new(workspace, daemons, now);
                    self.quotas.insert(id.clone(), quota);
                }
            }
        }
    }

    /// Sets how many requests of a service this daemon runs at once.
    pub fn set_capacity(
        &mut self,
        service: &ServiceName,
        capacity: usize,
        now: TimeUs,
    ) -> Vec<AdmissionCommand> {
        self.capacities.insert(service.clone(), capacity);
        if let Some(gate) = self.gates.get_mut(service) {
            gate.capacity = capacity;
        }
        self.start_waiting(service, now)
    }

    /// Accepts a request, which then starts or waits, or refuses it.
    ///
    /// A second request with the same id has no effect while the first waits or runs.
    pub fn submit_request(
        &mut self,
        request: AdmissionRequest,
        now: TimeUs,
    ) -> Vec<AdmissionCommand> {
        if self.entries.contains_key(&request.request) {
            return Vec::new();
        }
        if let Err(refusal) = self.check(&request, now) {
            return vec![refusal];
        }
        let capacity = self.capacity_of(&request.service);
        let gate = self
            .gates
            .entry(request.service.clone())
            .or_insert_with(|| Gate::new(capacity));
        let cost = request.cost_tokens.get();
        let rank = gate.queue.push(&request.workspace, request.priority, cost);
        gate.requests.insert(rank, request.request.clone());
        let deadline_us = request.deadline_us;
        self.deadlines
            .insert((deadline_us, request.request.clone()));
        let entry = Entry {
            workspace: request.workspace,
            service: request.service.clone(),
            state: EntryState::Waiting { rank, deadline_us },
        };
        self.entries.insert(request.request, entry);
        self.start_waiting(&request.service, now)
    }

    /// Returns the refusal of a request that can't be accepted.
    fn check(&mut self, request: &AdmissionRequest, now: TimeUs) -> Result<(), AdmissionCommand> {
        let id = request.request.clone();
        if request.deadline_us <= now {
            return Err(refuse(id, Code::DeadlineUnreachable, DurationUs::ZERO));
        }
        let drain_us = self.estimate_drain_time(&request.service);
        let waiting = self.count_waiting_of(request);
        let Some(quota) = self.quotas.get(&request.workspace) else {
            return Err(refuse(id, Code::UnknownKey, DurationUs::ZERO));
        };
        if waiting >= quota.max_queued {
            return Err(refuse(id, Code::QueueFull, drain_us));
        }
        self.check_deadline(request, now)?;
        self.check_quota(request, now)
    }

    /// Charges the request to its workspace's quota.
    ///
    /// This is the last check, since a refused request must not be charged.
    fn check_quota(
        &mut self,
        request: &AdmissionRequest,
        now: TimeUs,
    ) -> Result<(), AdmissionCommand> {
        let quota = self.quotas.get_mut(&request.workspace);
        let wait_us = quota.map_or(DurationUs::ZERO, |quota| {
            quota.try_charge(request.prompt_tokens, now)
        });
        match wait_us > DurationUs::ZERO {
            true => Err(refuse(
                request.request.clone(),
                Code::QuotaExceeded,
                wait_us,
            )),
            false => Ok(()),
        }
    }

    /// Refuses a request whose estimated wait exceeds the time to its deadline.
    ///
    /// In the queue it would be refused only at its deadline, when its caller could long have tried
    /// elsewhere or later.
    fn check_deadline(
        &self,
        request: &AdmissionRequest,
        now: TimeUs,
    ) -> Result<(), AdmissionCommand> {
        let Some(gate) = self.gates.get(&request.service) else {
            return Ok(());
        };
        let quotas = &self.quotas;
        let weight = |id: &WorkspaceId| quotas.get(id).map_or(1, |quota| quota.weight);
        let wait_us = gate.estimate_wait(&request.workspace, request.priority, weight);
        let remaining_us = request.deadline_us.since(now);
        if wait_us <= remaining_us {
            return Ok(());
        }
        let id = request.request.clone();
        Err(refuse(
            id,
            Code::DeadlineUnreachable,
            wait_us - remaining_us,
        ))
    }

    /// Refuses expired requests, then starts waiting ones while the service has free slots.
    pub(super) fn start_waiting(
        &mut self,
        service: &ServiceName,
        now: TimeUs,
    ) -> Vec<AdmissionCommand> {
        let mut commands = self.expire(now);
        let Some(gate) = self.gates.get_mut(service) else {
            return commands;
        };
        let quotas = &self.quotas;
        let weight = |id: &WorkspaceId| quotas.get(id).map_or(1, |quota| quota.weight);
        while gate.has_free_slot() {
            let Some(rank) = gate.queue.pop(weight) else {
                break;
            };
            let Some(request) = gate.requests.remove(&rank) else {
                continue;
            };
            if let Some(entry) = self.entries.get_mut(&request) {
                if let EntryState::Waiting { deadline_us, .. } = entry.state {
                    self.deadlines.remove(&(deadline_us, request.clone()));
                }
                entry.state = EntryState::Running;
            }
            gate.running += 1;
            commands.push(AdmissionCommand::Start(request));
        }
        commands
    }

    fn capacity_of(&self, service: &ServiceName) -> usize {
        let configured = self.capacities.get(service).copied();
        configured.unwrap_or(DEFAULT_CAPACITY)
    }

    pub(super) fn estimate_drain_time(&self, service: &ServiceName) -> DurationUs {
        let gate = self.gates.get(service);
        gate.map_or(DurationUs::ZERO, Gate::estimate_drain_time)
    }

    /// Returns the number of waiting requests of the request's workspace, over all services.
    fn count_waiting_of(&self, request: &AdmissionRequest) -> usize {
        let of_gate = |gate: &Gate| gate.queue.count_waiting_of(&request.workspace);
        self.gates.values().map(of_gate).sum()
    }
}
