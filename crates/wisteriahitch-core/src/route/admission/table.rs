//! Admission: who may start, who waits and who is refused.

use std::collections::{BTreeSet, HashMap};

use wisteriahitch_config::Configuration;
use wisteriahitch_types::{Code, DurationUs, RequestId, ServiceName, TimeUs, WorkspaceId};

use super::fair_queue::Rank;
use super::gate::Gate;
use super::quota::Quota;
use super::{AdmissionCommand, AdmissionRequest};

/// Requests of a service that run at once until its capacity is told.
const DEFAULT_CAPACITY: usize = 64;
/// Shortest time after which a caller is told to come back.
const MIN_RETRY_AFTER_US: DurationUs = DurationUs::from_ms(100);
/// Longest time after which a caller is told to come back.
const MAX_RETRY_AFTER_US: DurationUs = DurationUs::from_ms(60_000);

#[derive(Clone, Debug)]
enum Standing {
    Waiting { rank: Rank, deadline_us: TimeUs },
    Running,
}

#[derive(Clone, Debug)]
struct Entry {
    workspace: WorkspaceId,
    service: ServiceName,
    standing: Standing,
}

/// Shares each service among the workspaces by their weights, within their quotas.
///
/// A step costs the logarithm of the number of workspaces and requests. See
/// `docs/design/admission.md`.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    quotas: HashMap<WorkspaceId, Quota>,
    pub(super) gates: HashMap<ServiceName, Gate>,
    capacities: HashMap<ServiceName, usize>,
    entries: HashMap<RequestId, Entry>,
    deadlines: BTreeSet<(TimeUs, RequestId)>,
}

impl Admission {
    /// Takes over weights, quotas and bounds of a configuration.
    ///
    /// `daemons` is how many daemons share the callers: each grants its part of a site's quota.
    pub fn configured(&mut self, configuration: &Configuration, daemons: u32, now: TimeUs) {
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

    /// Sets how many requests of a service this daemon lets run at once.
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
        self.start_next(service, now)
    }

    /// Takes a request in: it starts, waits or is refused.
    ///
    /// A second request of the same id changes nothing while the first waits or runs.
    pub fn arrive(&mut self, request: AdmissionRequest, now: TimeUs) -> Vec<AdmissionCommand> {
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
            standing: Standing::Waiting { rank, deadline_us },
        };
        self.entries.insert(request.request, entry);
        self.start_next(&request.service, now)
    }

    fn check(&mut self, request: &AdmissionRequest, now: TimeUs) -> Result<(), AdmissionCommand> {
        if request.deadline_us <= now {
            return Err(refuse(request, Code::DeadlineUnreachable, DurationUs::ZERO));
        }
        let drain = self.drain_time(&request.service);
        let waiting = self.waiting_of(request);
        let Some(quota) = self.quotas.get_mut(&request.workspace) else {
            return Err(refuse(request, Code::UnknownKey, DurationUs::ZERO));
        };
        if waiting >= quota.max_queued {
            return Err(refuse(request, Code::QueueFull, drain));
        }
        let wait = quota.take(request.prompt_tokens, now);
        if wait > DurationUs::ZERO {
            return Err(refuse(request, Code::QuotaExceeded, wait));
        }
        Ok(())
    }

    /// Records that a started request has ended, in whatever way, and starts the next.
    pub fn finished(&mut self, request: &RequestId, now: TimeUs) -> Vec<AdmissionCommand> {
        let is_running = |entry: &Entry| matches!(entry.standing, Standing::Running);
        if !self.entries.get(request).is_some_and(is_running) {
            return Vec::new();
        }
        let Some(entry) = self.entries.remove(request) else {
            return Vec::new();
        };
        if let Some(gate) = self.gates.get_mut(&entry.service) {
            gate.ended(now);
        }
        self.start_next(&entry.service, now)
    }

    /// Takes a request back that waits, and returns whether it did; it was not run.
    ///
    /// One that was started stays counted until [`Admission::finished`].
    pub fn cancel(&mut self, request: &RequestId) -> bool {
        let Some(entry) = self.entries.get(request) else {
            return false;
        };
        let Standing::Waiting { rank, deadline_us } = entry.standing else {
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

    /// Refuses requests whose deadline has passed while they waited, and forgets idle workspaces.
    pub fn tick(&mut self, now: TimeUs) -> Vec<AdmissionCommand> {
        for gate in self.gates.values_mut() {
            gate.queue.forget_idle();
        }
        self.expire(now)
    }

    fn expire(&mut self, now: TimeUs) -> Vec<AdmissionCommand> {
        let mut commands = Vec::new();
        while let Some((deadline, request)) = self.deadlines.first().cloned() {
            if deadline > now {
                break;
            }
            let service = self.entries.get(&request).map(|entry| &entry.service);
            let drain = service.map_or(DurationUs::ZERO, |service| self.drain_time(service));
            self.cancel(&request);
            self.deadlines.remove(&(deadline, request.clone()));
            commands.push(AdmissionCommand::Refuse {
                request,
                code: Code::DeadlineUnreachable,
                retry_after_us: drain.clamp(MIN_RETRY_AFTER_US, MAX_RETRY_AFTER_US),
            });
        }
        commands
    }

    /// Refuses every request that waits, such as when nothing can be started any more.
    pub fn refuse_waiting(&mut self, code: Code) -> Vec<AdmissionCommand> {
        let waiting: Vec<RequestId> = self.deadlines.iter().map(|(_, id)| id.clone()).collect();
        waiting
            .into_iter()
            .filter(|request| self.cancel(request))
            .map(|request| AdmissionCommand::Refuse {
                request,
                code,
                retry_after_us: MIN_RETRY_AFTER_US,
            })
            .collect()
    }

    /// Starts what fits; requests that nobody waits for any more are refused before.
    fn start_next(&mut self, service: &ServiceName, now: TimeUs) -> Vec<AdmissionCommand> {
        let mut commands = self.expire(now);
        let Some(gate) = self.gates.get_mut(service) else {
            return commands;
        };
        let quotas = &self.quotas;
        let weight = |id: &WorkspaceId| quotas.get(id).map_or(1, |quota| quota.weight);
        while gate.has_room() {
            let Some(rank) = gate.queue.pop(weight) else {
                break;
            };
            let Some(request) = gate.requests.remove(&rank) else {
                continue;
            };
            if let Some(entry) = self.entries.get_mut(&request) {
                if let Standing::Waiting { deadline_us, .. } = entry.standing {
                    self.deadlines.remove(&(deadline_us, request.clone()));
                }
                entry.standing = Standing::Running;
            }
            gate.running += 1;
            commands.push(AdmissionCommand::Start(request));
        }
        commands
    }

    fn capacity_of(&self, service: &ServiceName) -> usize {
        let told = self.capacities.get(service).copied();
        told.unwrap_or(DEFAULT_CAPACITY)
    }

    fn drain_time(&self, service: &ServiceName) -> DurationUs {
        let gate = self.gates.get(service);
        gate.map_or(DurationUs::ZERO, Gate::drain_time)
    }

    fn waiting_of(&self, request: &AdmissionRequest) -> usize {
        let of_gate = |gate: &Gate| gate.queue.waiting_of(&request.workspace);
        self.gates.values().map(of_gate).sum()
    }
}

fn refuse(request: &AdmissionRequest, code: Code, after: DurationUs) -> AdmissionCommand {
    AdmissionCommand::Refuse {
        request: request.request.clone(),
        code,
        retry_after_us: after.clamp(MIN_RETRY_AFTER_US, MAX_RETRY_AFTER_US),
    }
}
