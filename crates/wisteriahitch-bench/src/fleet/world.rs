//! The event loop of the simulation.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::net::SocketAddr;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wisteriahitch_relay::{
    CallKind, Endpoint, EngineSpec, Load, PartKey, PartStore, Placement, PromptPart, PromptShape,
    Route, StoredPart, UrgencyLevels,
};
use wisteriahitch_types::{
    ByteCount, DurationUs, EndpointInstance, TimeUs, TokenCount, WeightNumber,
};
use wisteriahitch_wire::object_store::Revision;

use super::daemon::{
    Daemon, FleetConfig, GOSSIP_INTERVAL_US, GossipUpdate, PlacementQuery, part_keys,
};
use super::engine::{Engine, EngineEvent, Job};
use super::outcome::{KindOutcome, Outcome, Window};
use super::plan::{Fault, Plan, Policy};
use super::store::Store;

/// Network delay between a daemon and an engine, in milliseconds.
const NETWORK_DELAY_MS: f64 = 1.0;

/// Cache scope of all parts; there is only one version of the weights.
const CACHE_SCOPE: &str = "w1";

/// Time from the restart of an engine until daemons see its registration, in milliseconds.
const REGISTRATION_DELAY_MS: f64 = 20.0;

/// Delay before the first byte of a fetch from an engine, in milliseconds. A fetch of a part that
/// is not there takes as long.
const FETCH_START_DELAY_MS: f64 = 1.0;

/// Length of a window of the results.
const WINDOW_US: u64 = 2_000_000;

/// Time between two reports of a store to all daemons, in milliseconds. A newly stored part is
/// reported with the next one.
const STORE_REPORT_INTERVAL_MS: f64 = 60.0;

/// Port of the first engine; the others follow.
const FIRST_ENGINE_PORT: u16 = 10_000;

/// Port of the first store; the others follow.
const FIRST_STORE_PORT: u16 = 9_000;

/// A scheduled event.
enum SimulationEvent {
    /// The next call of a kind arrives.
    CallArrives(usize),
    /// The caller of a refused call tries again.
    CallRetries(usize),
    /// An event at an engine, ignored unless the engine still has this incarnation.
    EngineEventDue(usize, u64, EngineEvent),
    /// A daemon's next gossip message is due.
    GossipDue(usize),
    /// A daemon receives a gossip message.
    GossipReceived(usize, GossipUpdate),
    /// A part has reached a store.
    PartSaved(usize, StoredPart),
    /// A store reports its newly stored parts to all daemons.
    StoreReportDue(usize),
    /// Daemons see the registration of an engine.
    EngineRegistered(usize),
    /// A fault begins (`true`) or ends.
    FaultChanges(usize, bool),
}

struct Call {
    kind: usize,
    daemon: usize,
    arrived_at: TimeUs,
    prompt: PromptShape,
    output_tokens: u64,
    has_retried: bool,
    dispatch: Option<Dispatch>,
    is_done: bool,
}

struct Dispatch {
    endpoint: EndpointInstance,
    load: Load,
    keys: Vec<(PartKey, u64)>,
    sent_at: TimeUs,
}

struct Scheduled {
    at: TimeUs,
    sequence: u64,
    event: SimulationEvent,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

struct Simulation<'a> {
    plan: &'a Plan,
    policy: Policy,
    config: FleetConfig,
    urgency: UrgencyLevels,
    rng: ChaCha8Rng,
    now: TimeUs,
    queue: BinaryHeap<Reverse<Scheduled>>,
    scheduled_count: u64,
    daemons: Vec<Daemon>,
    engines: Vec<Engine>,
    stores: Vec<Store>,
    /// Newly stored parts that each store has not reported yet.
    unreported_parts: Vec<Vec<StoredPart>>,
    calls: Vec<Call>,
    /// Parts that some engine has prefilled.
    prefilled_parts: HashSet<u64>,
    burst_factor: f64,
    outcome: Outcome,
}

/// Simulates a load with one seed and returns the results.
pub fn simulate(plan: &Plan, policy: Policy, seed: u64) -> anyhow::Result<Outcome> {
    let mut simulation = Simulation::new(plan, policy, seed)?;
    simulation.start();
    let end = after_ms(TimeUs::ZERO, plan.duration_s * 1_000.0);
    while let Some(Reverse(next)) = simulation.queue.pop() {
        if next.at > end {
            break;
        }
        simulation.now = next.at;
        simulation.handle(next.event);
    }
    Ok(simulation.into_outcome())
}

impl<'a> Simulation<'a> {
    fn new(plan: &'a Plan, policy: Policy, seed: u64) -> anyhow::Result<Self> {
        let config = fleet_config(plan)?;
        let routes: Vec<Route> = plan
            .kinds
            .iter()
            .map(|kind| {
                Ok(Route {
                    name: kind.name.parse()?,
                    host: "fleet".to_owned(),
                    path_prefix: format!("/{}/", kind.name),
                    kind: CallKind::Stream,
                    timeout_us: DurationUs::from_ms(kind.deadline_ms),
                    latency_slo_us: DurationUs::from_ms(kind.target_ms),
                    max_event_gap_us: DurationUs::from_ms(400),
                    targets: vec![(config.service.clone(), 1)],
                    max_attempts: 1,
                    priority: kind.priority,
                    is_public: true,
                    is_resumable: false,
                    permitted_regions: Vec::new(),
                })
            })
            .collect::<anyhow::Result<_>>()?;
        let memory = plan.engines.memory_tokens;
        let daemon = |number| Daemon::new(number, memory, &config.service);
        let kind = |kind: &super::plan::KindPlan| KindOutcome {
            name: kind.name.clone(),
            ..KindOutcome::default()
        };
        let windows = (plan.duration_s * 1e6 / WINDOW_US as f64).ceil() as usize;
        Ok(Self {
            plan,
            policy,
            urgency: UrgencyLevels::from_routes(routes.iter()),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: TimeUs::ZERO,
            queue: BinaryHeap::new(),
            scheduled_count: 0,
            daemons: (0..plan.daemons).map(daemon).collect(),
            engines: (0..plan.engines.count).map(|_| Engine::default()).collect(),
            unreported_parts: vec![Vec::new(); plan.stores.iter().map(|store| store.count).sum()],
            stores: build_stores(plan),
            calls: Vec::new(),
            prefilled_parts: HashSet::new(),
            burst_factor: 1.0,
            outcome: Outcome {
                kinds: plan.kinds.iter().map(kind).collect(),
                windows: vec![Window::default(); windows],
                ..Outcome::default()
            },
            config,
        })
    }

    fn start(&mut self) {
        for engine in 0..self.engines.len() {
            self.engines[engine].start();
            self.register_engine(engine);
        }
        for daemon in 0..self.daemons.len() {
            // Daemons start at different times, so their gossip messages are not synchronized.
            let first_ms = self.rng.random_range(0.0..100.0);
            let at = after_ms(self.now, first_ms);
            self.daemons[daemon].next_gossip_at = at;
            self.schedule(at, SimulationEvent::GossipDue(daemon));
        }
        self.start_stores();
        for kind in 0..self.plan.kinds.len() {
            self.schedule_call(kind);
        }
        for (index, fault) in self.plan.faults.iter().enumerate() {
            let (at_s, for_s) = match fault {
                Fault::Burst { at_s, for_s, .. } | Fault::Lost { at_s, for_s, .. } => {
                    (*at_s, *for_s)
                }
                Fault::Cold { at_s } => (*at_s, 0.0),
            };
            let at = |s: f64| after_ms(TimeUs::ZERO, s * 1_000.0);
            self.schedule(at(at_s), SimulationEvent::FaultChanges(index, true));
            self.schedule(
                at(at_s + for_s),
                SimulationEvent::FaultChanges(index, false),
            );
        }
    }

    fn start_stores(&mut self) {
        let stores: Vec<PartStore> = (0..self.stores.len()).map(|s| self.store_spec(s)).collect();
        for daemon in &mut self.daemons {
            daemon.set_stores(&stores, self.now);
        }
        for store in 0..self.stores.len() {
            self.schedule(self.now, SimulationEvent::StoreReportDue(store));
        }
    }

    fn store_spec(&self, store: usize) -> PartStore {
        let plan = &self.stores[store].plan;
        PartStore {
            address: store_address(store),
            zone: self.config.zone.clone(),
            capacity_tokens: TokenCount::new(plan.capacity_tokens),
            link_mbps: plan.link_mbps,
            first_byte_delay: DurationUs::from_secs_f64(plan.transfer_delay_ms / 1_000.0).into(),
            is_managed: true,
        }
    }

    fn schedule(&mut self, at: TimeUs, event: SimulationEvent) {
        self.scheduled_count += 1;
        self.queue.push(Reverse(Scheduled {
            at,
            sequence: self.scheduled_count,
            event,
        }));
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::CallArrives(kind) => {
                self.schedule_call(kind);
                self.start_call(kind);
            }
            SimulationEvent::CallRetries(call) => self.dispatch_call(call),
            SimulationEvent::EngineEventDue(engine, incarnation, due) => {
                if self.engines[engine].incarnation == incarnation {
                    self.handle_engine_event(engine, due);
                }
            }
            SimulationEvent::GossipDue(daemon) => self.send_gossip(daemon),
            SimulationEvent::GossipReceived(daemon, update) => {
                self.daemons[daemon].apply_gossip_update(update, self.now)
            }
            SimulationEvent::PartSaved(store, part) => self.store_part(store, part),
            SimulationEvent::StoreReportDue(store) => self.report_stored_parts(store),
            SimulationEvent::EngineRegistered(engine) => self.register_engine(engine),
            SimulationEvent::FaultChanges(index, begins) => self.apply_fault(index, begins),
        }
    }

    fn schedule_call(&mut self, kind: usize) {
        let per_ms = self.plan.kinds[kind].calls_per_s * self.burst_factor / 1_000.0;
        let interval_ms = sample_exponential(&mut self.rng, 1.0 / per_ms);
        self.schedule(
            after_ms(self.now, interval_ms),
            SimulationEvent::CallArrives(kind),
        );
    }

    fn start_call(&mut self, kind: usize) {
        let plan = &self.plan.kinds[kind];
        let part = self.rng.random_range(0..plan.shared_parts);
        let shared_id = (kind as u64) << 32 | part;
        // Seeded with the id of the part, so that a part always has the same size.
        let shared = sample_size(
            plan.shared_tokens,
            &mut ChaCha8Rng::seed_from_u64(shared_id),
        );
        let own = sample_size(plan.own_tokens, &mut self.rng);
        let output_tokens = sample_size(plan.output_tokens, &mut self.rng);
        let own_id = 1 << 63 | self.calls.len() as u64;
        let part = |id, tokens| PromptPart {
            id,
            tokens: TokenCount::new(tokens),
        };
        let prompt = PromptShape {
            model: self.config.model.clone(),
            prompt_tokens: TokenCount::new(shared + own),
            output_tokens: TokenCount::new(output_tokens),
            hinted_output_tokens: None,
            parts: vec![part(shared_id, shared), part(own_id, own)],
        };
        self.outcome.kinds[kind].calls += 1;
        self.window_at(self.now).calls += 1;
        let daemon = self.rng.random_range(0..self.daemons.len());
        self.calls.push(Call {
            kind,
            daemon,
            arrived_at: self.now,
            prompt,
            output_tokens,
            has_retried: false,
            dispatch: None,
            is_done: false,
        });
        self.dispatch_call(self.calls.len() - 1);
    }

    fn dispatch_call(&mut self, index: usize) {
        let call = &self.calls[index];
        let plan = &self.plan.kinds[call.kind];
        let target_us = DurationUs::from_ms(plan.target_ms);
        let left_us = (call.arrived_at + DurationUs::from_ms(plan.deadline_ms)).since(self.now);
        let max_wait_us = match self.policy.has_refusals {
            true => self
                .urgency
                .max_queue(&self.config.service, plan.priority, target_us),
            false => DurationUs::MAX,
        };
        let query = PlacementQuery {
            prompt: &call.prompt,
            remaining_us: left_us,
            max_wait_us,
        };
        let daemon = &self.daemons[call.daemon];
        let count = self.plan.daemons;
        match daemon.place(&self.config, &query, count, self.now, &mut self.rng) {
            Ok(placement) => self.handle_placement(index, &placement),
            Err(refusal) => self.handle_refusal(index, refusal.retry_after_us),
        }
    }

    fn handle_refusal(&mut self, index: usize, retry_after_us: Option<DurationUs>) {
        let call = &mut self.calls[index];
        match retry_after_us {
            Some(retry_after_us) if !call.has_retried => {
                call.has_retried = true;
                let at = self.now + retry_after_us;
                self.schedule(at, SimulationEvent::CallRetries(index));
            }
            _ => {
                call.is_done = true;
                self.outcome.kinds[call.kind].refused += 1;
            }
        }
    }

    fn handle_placement(&mut self, index: usize, placement: &Placement) {
        let engine = engine_index(placement.address);
        let keys = part_keys(&self.config, placement, &self.calls[index].prompt);
        let parts_to_save = self.choose_stores(index, &keys);
        let call = &mut self.calls[index];
        let load = Load {
            running: 1,
            unread_tokens: placement.unread_tokens,
            memory_tokens: call.prompt.memory_tokens(),
        };
        let parts: Vec<(u64, u64)> = call
            .prompt
            .parts
            .iter()
            .map(|part| (part.id, part.tokens.get()))
            .collect();
        let job = Job {
            call: index,
            priority: self.plan.kinds[call.kind].priority,
            parts,
            fetched_parts: Vec::new(),
            parts_to_save,
            output_tokens: call.output_tokens,
        };
        call.dispatch = Some(Dispatch {
            endpoint: placement.endpoint.clone(),
            load,
            keys,
            sent_at: self.now,
        });
        let daemon = call.daemon;
        let is_urgent = self.daemons[daemon].record_sent_call(&placement.endpoint, load);
        if is_urgent && self.policy.has_urgent_update {
            self.advance_gossip(daemon);
        }
        let (job, fetch_ms) = self.fetch_parts(engine, job, placement);
        let incarnation = self.engines[engine].incarnation;
        let at = after_ms(self.now, NETWORK_DELAY_MS + fetch_ms);
        self.schedule(
            at,
            SimulationEvent::EngineEventDue(engine, incarnation, EngineEvent::JobArrives(job)),
        );
    }

    /// Chooses a store for each shared part that is to be saved: part, tokens and address.
    fn choose_stores(
        &mut self,
        index: usize,
        keys: &[(PartKey, u64)],
    ) -> Vec<(u64, u64, SocketAddr)> {
        let call = &self.calls[index];
        let shared = call.prompt.parts.iter().zip(keys);
        let daemon = &mut self.daemons[call.daemon];
        let saves = shared.take(call.prompt.parts.len() - 1);
        saves
            .filter_map(|(part, (key, tokens))| {
                let store = daemon.choose_store(*key, *tokens, self.now)?;
                Some((part.id, *tokens, store))
            })
            .collect()
    }

    fn store_part(&mut self, store: usize, part: StoredPart) {
        if self.stores[store].try_store(part.id, part.tokens.get()) {
            self.unreported_parts[store].push(part);
        }
    }

    fn report_stored_parts(&mut self, store: usize) {
        let parts = std::mem::take(&mut self.unreported_parts[store]);
        for daemon in &mut self.daemons {
            daemon.apply_stored_parts(store_address(store), parts.clone(), self.now);
        }
        let at = after_ms(self.now, STORE_REPORT_INTERVAL_MS);
        self.schedule(at, SimulationEvent::StoreReportDue(store));
    }

    /// Returns whether the engine or store at an address has a part, the throughput of its link in
    /// megabits per second and the delay of a transfer in milliseconds.
    fn find_source(&self, address: SocketAddr, part: u64) -> (bool, f64, f64) {
        match address.port().checked_sub(FIRST_ENGINE_PORT) {
            Some(engine) => (
                self.engines[usize::from(engine)].has_cached(part),
                self.plan.engines.link_mbps,
                FETCH_START_DELAY_MS,
            ),
            None => {
                let store = &self.stores[usize::from(address.port() - FIRST_STORE_PORT)];
                let link_mbps = store.plan.link_mbps.min(self.plan.engines.link_mbps);
                (
                    store.has_part(part),
                    link_mbps,
                    store.plan.transfer_delay_ms,
                )
            }
        }
    }

    /// Fetches the parts that the engine has not cached from the sources that the placement chose.
    /// Returns the job and the duration in milliseconds. The first part without a source, or whose
    /// source doesn't have it, ends the fetches.
    fn fetch_parts(&self, engine: usize, mut job: Job, placement: &Placement) -> (Job, f64) {
        let engines = &self.plan.engines;
        let mut took_ms = 0.0;
        for ((part, tokens), from) in job.parts.iter().zip(&placement.fetch_from) {
            let Some(from) = from else { break };
            if self.engines[engine].has_cached(*part) {
                continue;
            }
            let (is_available, link_mbps, first_ms) = self.find_source(*from, *part);
            took_ms += first_ms;
            if !is_available {
                break;
            }
            took_ms += transfer_ms(*tokens, engines.token_bytes, link_mbps);
            job.fetched_parts.push(*part);
        }
        (job, took_ms)
    }

    fn advance_gossip(&mut self, daemon: usize) {
        let at = self.daemons[daemon]
            .gossip_schedule
            .due_at(GOSSIP_INTERVAL_US)
            .max(self.now);
        if at < self.daemons[daemon].next_gossip_at {
            self.daemons[daemon].next_gossip_at = at;
            self.schedule(at, SimulationEvent::GossipDue(daemon));
        }
    }

    fn send_gossip(&mut self, daemon: usize) {
        if self.daemons[daemon].next_gossip_at != self.now {
            return;
        }
        let update = self.daemons[daemon].next_gossip_update(self.now);
        self.outcome.messages += 1;
        let arrives_at = after_ms(self.now, self.plan.gossip_delay_ms);
        for other in (0..self.daemons.len()).filter(|other| *other != daemon) {
            if !self.rng.random_bool(self.plan.gossip_loss_share) {
                self.schedule(
                    arrives_at,
                    SimulationEvent::GossipReceived(other, update.clone()),
                );
            }
        }
        let at = self.now + GOSSIP_INTERVAL_US;
        self.daemons[daemon].next_gossip_at = at;
        self.schedule(at, SimulationEvent::GossipDue(daemon));
    }

    fn handle_engine_event(&mut self, engine: usize, due: EngineEvent) {
        match due {
            EngineEvent::JobArrives(job) => self.engines[engine].enqueue(job),
            EngineEvent::StepEnds(jobs) => {
                self.engines[engine].end_step();
                for job in jobs {
                    self.end_prefill(engine, &job);
                }
            }
            EngineEvent::AnswerEnds(call) => self.end_call(engine, call),
        }
        for (part, tokens) in self.engines[engine].admit(&self.plan.engines) {
            self.outcome.read_tokens += tokens;
            if !self.prefilled_parts.insert(part) {
                self.outcome.reread_tokens += tokens;
            }
        }
        if let Some((took_ms, jobs)) = self.engines[engine].start_step(&self.plan.engines) {
            let incarnation = self.engines[engine].incarnation;
            let at = after_ms(self.now, took_ms);
            self.schedule(
                at,
                SimulationEvent::EngineEventDue(engine, incarnation, EngineEvent::StepEnds(jobs)),
            );
        }
    }

    fn end_prefill(&mut self, engine: usize, job: &Job) {
        let rest_ms = self.engines[engine].end_prefill(job, &self.plan.engines);
        let incarnation = self.engines[engine].incarnation;
        let at = after_ms(self.now, rest_ms);
        self.schedule(
            at,
            SimulationEvent::EngineEventDue(engine, incarnation, EngineEvent::AnswerEnds(job.call)),
        );
        self.save_parts(job);
        let call = &self.calls[job.call];
        if let Some(dispatch) = &call.dispatch {
            let daemon = &mut self.daemons[call.daemon];
            daemon.record_prefill_end(&dispatch.endpoint, dispatch.load, &dispatch.keys, self.now);
        }
        self.record_first_event(job.call);
    }

    fn save_parts(&mut self, job: &Job) {
        for (part, tokens, address) in &job.parts_to_save {
            let store = usize::from(address.port() - FIRST_STORE_PORT);
            let link_mbps = self.stores[store].plan.link_mbps;
            let took_ms = transfer_ms(*tokens, self.plan.engines.token_bytes, link_mbps);
            let stored = StoredPart {
                scope: CACHE_SCOPE.to_owned(),
                id: *part,
                model: self.config.model.clone(),
                tokens: TokenCount::new(*tokens),
            };
            let at = after_ms(self.now, took_ms);
            self.schedule(at, SimulationEvent::PartSaved(store, stored));
        }
    }

    fn record_first_event(&mut self, index: usize) {
        let (kind, arrived_at) = (self.calls[index].kind, self.calls[index].arrived_at);
        self.calls[index].is_done = true;
        let rest_ms = NETWORK_DELAY_MS + self.plan.engines.first_event_ms;
        let taken_us = after_ms(self.now, rest_ms).since(arrived_at);
        let is_in_time = taken_us.as_ms() <= self.plan.kinds[kind].target_ms;
        let outcome = &mut self.outcome.kinds[kind];
        outcome
            .first_event_ms
            .push(taken_us.as_secs_f64() * 1_000.0);
        match is_in_time {
            true => {
                outcome.in_time += 1;
                self.window_at(arrived_at).in_time += 1;
            }
            false => outcome.late += 1,
        }
    }

    fn end_call(&mut self, engine: usize, index: usize) {
        self.engines[engine].end_call(index);
        let call = &self.calls[index];
        if let Some(dispatch) = &call.dispatch {
            let took_ms = self.now.since(dispatch.sent_at).as_secs_f64() * 1_000.0;
            self.daemons[call.daemon].record_call_end(&dispatch.endpoint, dispatch.load, took_ms);
        }
    }

    fn register_engine(&mut self, engine: usize) {
        if !self.engines[engine].is_up {
            return;
        }
        let endpoint = Endpoint {
            instance: self.instance(engine),
            revision: Revision::default(),
            service: self.config.service.clone(),
            address: engine_address(engine),
            zone: self.config.zone.clone(),
            slots: self.plan.engines.slots,
            is_draining: false,
            remaining_cold_us: DurationUs::ZERO,
            software: self.config.software.clone(),
            weights: [(self.config.model.clone(), WeightNumber::new(1))]
                .into_iter()
                .collect(),
        };
        for daemon in &mut self.daemons {
            daemon.register_engine(endpoint.clone());
        }
    }

    fn instance(&self, engine: usize) -> EndpointInstance {
        let incarnation = self.engines[engine].incarnation;
        let name = format!("e-{engine}-{incarnation}");
        name.parse()
            .unwrap_or_else(|_| unreachable!("{name} is a name"))
    }

    fn apply_fault(&mut self, index: usize, begins: bool) {
        match &self.plan.faults[index] {
            Fault::Burst { factor, .. } => self.burst_factor = if begins { *factor } else { 1.0 },
            Fault::Lost { share, .. } => {
                let count = (self.engines.len() as f64 * share) as usize;
                for engine in 0..count {
                    match begins {
                        true => self.stop_engine(engine),
                        false => self.restart_engine(engine),
                    }
                }
            }
            Fault::Cold { .. } => {
                if begins {
                    self.engines.iter_mut().for_each(Engine::clear_cache);
                }
            }
        }
    }

    fn stop_engine(&mut self, engine: usize) {
        let id = self.instance(engine);
        for call in self.engines[engine].stop() {
            let call = &mut self.calls[call];
            if !std::mem::replace(&mut call.is_done, true) {
                self.outcome.kinds[call.kind].failed += 1;
            }
        }
        for daemon in &mut self.daemons {
            daemon.unregister_engine(&id, self.now);
        }
    }

    fn restart_engine(&mut self, engine: usize) {
        self.engines[engine].start();
        let at = after_ms(self.now, REGISTRATION_DELAY_MS);
        self.schedule(at, SimulationEvent::EngineRegistered(engine));
    }

    fn window_at(&mut self, at: TimeUs) -> &mut Window {
        let last = self.outcome.windows.len() - 1;
        let index = usize::try_from(at.get() / WINDOW_US).unwrap_or(last);
        &mut self.outcome.windows[index.min(last)]
    }

    fn into_outcome(mut self) -> Outcome {
        for call in self.calls.iter().filter(|call| !call.is_done) {
            self.outcome.kinds[call.kind].failed += 1;
        }
        self.outcome
    }
}

fn fleet_config(plan: &Plan) -> anyhow::Result<FleetConfig> {
    let engines = &plan.engines;
    let model: wisteriahitch_types::ModelName = "model".parse()?;
    Ok(FleetConfig {
        service: "engines".parse()?,
        zone: "zone".parse()?,
        software: "software".parse()?,
        engine: EngineSpec {
            slots: engines.slots,
            memory_tokens: TokenCount::new(engines.memory_tokens),
            token_bytes: ByteCount::new(engines.token_bytes),
            link_mbps: engines.link_mbps,
            models: vec![model.clone()],
            tokens_per_event: None,
        },
        model,
    })
}

fn build_stores(plan: &Plan) -> Vec<Store> {
    let all = plan.stores.iter();
    all.flat_map(|store| (0..store.count).map(|_| Store::new(store.clone())))
        .collect()
}

fn engine_address(engine: usize) -> SocketAddr {
    let port = FIRST_ENGINE_PORT + u16::try_from(engine).unwrap_or(u16::MAX - FIRST_ENGINE_PORT);
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn store_address(store: usize) -> SocketAddr {
    let port = FIRST_STORE_PORT + u16::try_from(store).unwrap_or(0);
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn engine_index(address: SocketAddr) -> usize {
    usize::from(address.port() - FIRST_ENGINE_PORT)
}

/// Returns the time `ms` milliseconds after `now`.
fn after_ms(now: TimeUs, ms: f64) -> TimeUs {
    now + DurationUs::from_secs_f64(ms / 1_000.0)
}

/// Returns the duration of a transfer in milliseconds. One megabit per second is one bit per
/// microsecond.
fn transfer_ms(tokens: u64, token_bytes: u64, link_mbps: f64) -> f64 {
    let bits = tokens as f64 * token_bytes as f64 * 8.0;
    bits / link_mbps / 1_000.0
}

/// Samples an exponential distribution with this mean.
fn sample_exponential(rng: &mut ChaCha8Rng, mean: f64) -> f64 {
    let unit: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    -unit.ln() * mean
}

/// Samples a size uniformly between 0.5 and 1.5 times the mean, at least 1.
fn sample_size(mean: u64, rng: &mut ChaCha8Rng) -> u64 {
    let factor: f64 = rng.random_range(0.5..1.5);
    ((mean as f64 * factor) as u64).max(1)
}
