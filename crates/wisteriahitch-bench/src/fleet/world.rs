//! Plays a load.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};
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

use super::daemon::{Ask, Daemon, NEWS_INTERVAL_US, Names, News, keys_of};
use super::engine::{Due, Engine, Job};
use super::outcome::{KindOutcome, Outcome, Window};
use super::plan::{Fault, Plan, Policy};
use super::store::Store;

/// Way between a daemon and an engine, in milliseconds.
const WAY_MS: f64 = 1.0;

/// Text under which engines keep parts of the only weights that there are.
const SCOPE: &str = "w1";

/// Time until daemons hear that an engine has come or gone, in milliseconds.
const REGISTRATION_MS: f64 = 20.0;

/// Start of a fetch, in milliseconds; one that finds nothing costs as much.
const FETCH_FIRST_MS: f64 = 1.0;

/// Length of a window.
const WINDOW_US: u64 = 2_000_000;

/// Time between two words of a store, and until a part that it has got is told, in milliseconds.
const STORE_NEWS_MS: f64 = 60.0;

/// Ports of the engines begin here, and those of the stores there.
const FIRST_PORT: u16 = 10_000;
const FIRST_STORE_PORT: u16 = 9_000;

/// What happens at a time.
enum Event {
    /// The next call of a kind arrives.
    Call(usize),
    /// A refused caller comes back.
    Return(usize),
    /// Something is due at an engine, in this life of it.
    Engine(usize, u64, Due),
    /// A daemon's next message is due.
    Tell(usize),
    /// A daemon hears another one.
    Heard(usize, News),
    /// A part has reached a store.
    Saved(usize, StoredPart),
    /// Daemons hear what a store has got.
    StoreTells(usize),
    /// Daemons hear that an engine has come.
    Registered(usize),
    /// A fault begins or ends.
    Fault(usize, bool),
}

struct Call {
    kind: usize,
    daemon: usize,
    arrived_at: TimeUs,
    prompt: PromptShape,
    output_tokens: u64,
    has_come_back: bool,
    sent: Option<Sent>,
    is_done: bool,
}

struct Sent {
    endpoint: EndpointInstance,
    load: Load,
    keys: Vec<(PartKey, u64)>,
    sent_at: TimeUs,
}

struct Scheduled {
    at: TimeUs,
    number: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
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
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

struct World<'a> {
    plan: &'a Plan,
    policy: Policy,
    names: Names,
    urgency: UrgencyLevels,
    rng: ChaCha8Rng,
    now: TimeUs,
    queue: BinaryHeap<Reverse<Scheduled>>,
    scheduled: u64,
    daemons: Vec<Daemon>,
    engines: Vec<Engine>,
    stores: Vec<Store>,
    /// Parts that stores have got and not told of.
    untold_parts: Vec<Vec<StoredPart>>,
    calls: Vec<Call>,
    /// Parts that some engine has read.
    known_parts: HashSet<u64>,
    burst: f64,
    outcome: Outcome,
}

/// Plays a load with one seed, and returns what came of it.
pub fn simulate(plan: &Plan, policy: Policy, seed: u64) -> anyhow::Result<Outcome> {
    let mut world = World::new(plan, policy, seed)?;
    world.begin();
    let end = after_ms(TimeUs::ZERO, plan.length_s * 1_000.0);
    while let Some(Reverse(next)) = world.queue.pop() {
        if next.at > end {
            break;
        }
        world.now = next.at;
        world.handle(next.event);
    }
    Ok(world.ended())
}

impl<'a> World<'a> {
    fn new(plan: &'a Plan, policy: Policy, seed: u64) -> anyhow::Result<Self> {
        let names = names(plan)?;
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
                    targets: vec![(names.service.clone(), 1)],
                    max_attempts: 1,
                    priority: kind.priority,
                    is_public: true,
                    is_resumable: false,
                    permitted_regions: Vec::new(),
                })
            })
            .collect::<anyhow::Result<_>>()?;
        let memory = plan.engines.memory_tokens;
        let daemon = |number| Daemon::new(number, memory, &names.service);
        let kind = |kind: &super::plan::KindPlan| KindOutcome {
            name: kind.name.clone(),
            ..KindOutcome::default()
        };
        let windows = (plan.length_s * 1e6 / WINDOW_US as f64).ceil() as usize;
        Ok(Self {
            plan,
            policy,
            urgency: UrgencyLevels::from_routes(routes.iter()),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: TimeUs::ZERO,
            queue: BinaryHeap::new(),
            scheduled: 0,
            daemons: (0..plan.daemons).map(daemon).collect(),
            engines: (0..plan.engines.count).map(|_| Engine::default()).collect(),
            untold_parts: vec![Vec::new(); plan.stores.iter().map(|store| store.count).sum()],
            stores: stores(plan),
            calls: Vec::new(),
            known_parts: HashSet::new(),
            burst: 1.0,
            outcome: Outcome {
                kinds: plan.kinds.iter().map(kind).collect(),
                windows: vec![Window::default(); windows],
                ..Outcome::default()
            },
            names,
        })
    }

    fn begin(&mut self) {
        for engine in 0..self.engines.len() {
            self.engines[engine].start();
            self.register(engine);
        }
        for daemon in 0..self.daemons.len() {
            // Daemons start at different moments, and so do their rounds of messages.
            let first_ms = self.rng.random_range(0.0..100.0);
            let at = after_ms(self.now, first_ms);
            self.daemons[daemon].tell_at = at;
            self.schedule(at, Event::Tell(daemon));
        }
        self.begin_stores();
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
            self.schedule(at(at_s), Event::Fault(index, true));
            self.schedule(at(at_s + for_s), Event::Fault(index, false));
        }
    }

    fn begin_stores(&mut self) {
        let stores: Vec<PartStore> = (0..self.stores.len()).map(|s| self.store_spec(s)).collect();
        for daemon in &mut self.daemons {
            daemon.stores_came(&stores, self.now);
        }
        for store in 0..self.stores.len() {
            self.schedule(self.now, Event::StoreTells(store));
        }
    }

    fn store_spec(&self, store: usize) -> PartStore {
        let plan = &self.stores[store].plan;
        PartStore {
            address: store_address(store),
            zone: self.names.zone.clone(),
            capacity_tokens: TokenCount::new(plan.room_tokens),
            link_mbps: plan.link_mbps,
            first_byte_delay: DurationUs::from_secs_f64(plan.first_ms / 1_000.0).into(),
            is_managed: true,
        }
    }

    fn schedule(&mut self, at: TimeUs, event: Event) {
        self.scheduled += 1;
        self.queue.push(Reverse(Scheduled {
            at,
            number: self.scheduled,
            event,
        }));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Call(kind) => {
                self.schedule_call(kind);
                self.arrive(kind);
            }
            Event::Return(call) => self.send(call),
            Event::Engine(engine, life, due) => {
                if self.engines[engine].life == life {
                    self.engine_due(engine, due);
                }
            }
            Event::Tell(daemon) => self.tell(daemon),
            Event::Heard(daemon, news) => self.daemons[daemon].heard(news, self.now),
            Event::Saved(store, part) => self.saved(store, part),
            Event::StoreTells(store) => self.store_tells(store),
            Event::Registered(engine) => self.register(engine),
            Event::Fault(index, begins) => self.fault(index, begins),
        }
    }

    fn schedule_call(&mut self, kind: usize) {
        let per_ms = self.plan.kinds[kind].per_s * self.burst / 1_000.0;
        let pause_ms = exponential(&mut self.rng, 1.0 / per_ms);
        self.schedule(after_ms(self.now, pause_ms), Event::Call(kind));
    }

    fn arrive(&mut self, kind: usize) {
        let plan = &self.plan.kinds[kind];
        let part = self.rng.random_range(0..plan.shared_parts);
        let shared_id = (kind as u64) << 32 | part;
        // A part has the same size each time: its number decides it.
        let shared = varied(
            plan.shared_tokens,
            &mut ChaCha8Rng::seed_from_u64(shared_id),
        );
        let own = varied(plan.own_tokens, &mut self.rng);
        let output_tokens = varied(plan.output_tokens, &mut self.rng);
        let own_id = 1 << 63 | self.calls.len() as u64;
        let part = |id, tokens| PromptPart {
            id,
            tokens: TokenCount::new(tokens),
        };
        let prompt = PromptShape {
            model: self.names.model.clone(),
            prompt_tokens: TokenCount::new(shared + own),
            output_tokens: TokenCount::new(output_tokens),
            parts: vec![part(shared_id, shared), part(own_id, own)],
        };
        self.outcome.kinds[kind].asked += 1;
        self.window(self.now).asked += 1;
        let daemon = self.rng.random_range(0..self.daemons.len());
        self.calls.push(Call {
            kind,
            daemon,
            arrived_at: self.now,
            prompt,
            output_tokens,
            has_come_back: false,
            sent: None,
            is_done: false,
        });
        self.send(self.calls.len() - 1);
    }

    fn send(&mut self, index: usize) {
        let call = &self.calls[index];
        let plan = &self.plan.kinds[call.kind];
        let target_us = DurationUs::from_ms(plan.target_ms);
        let left_us = (call.arrived_at + DurationUs::from_ms(plan.deadline_ms)).since(self.now);
        let longest_queue_us = match self.policy.has_refusals {
            true => self
                .urgency
                .max_queue(&self.names.service, plan.priority, target_us),
            false => DurationUs::MAX,
        };
        let ask = Ask {
            prompt: &call.prompt,
            patience_us: left_us,
            longest_queue_us,
        };
        let daemon = &self.daemons[call.daemon];
        let count = self.plan.daemons;
        match daemon.place(&self.names, &ask, count, self.now, &mut self.rng) {
            Ok(placement) => self.sent(index, &placement),
            Err(refusal) => self.refused(index, refusal.retry_after_us),
        }
    }

    fn refused(&mut self, index: usize, retry_after_us: Option<DurationUs>) {
        let call = &mut self.calls[index];
        match retry_after_us {
            Some(retry_after_us) if !call.has_come_back => {
                call.has_come_back = true;
                let at = self.now + retry_after_us;
                self.schedule(at, Event::Return(index));
            }
            _ => {
                call.is_done = true;
                self.outcome.kinds[call.kind].refused += 1;
            }
        }
    }

    fn sent(&mut self, index: usize, placement: &Placement) {
        let engine = engine_at(placement.address);
        let keys = keys_of(&self.names, placement, &self.calls[index].prompt);
        let saves = self.saves(index, &keys);
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
            fetched: Vec::new(),
            saves,
            output_tokens: call.output_tokens,
        };
        call.sent = Some(Sent {
            endpoint: placement.endpoint.clone(),
            load,
            keys,
            sent_at: self.now,
        });
        let daemon = call.daemon;
        let is_urgent = self.daemons[daemon].sent(&placement.endpoint, load);
        if is_urgent && self.policy.has_urgent_update {
            self.hurry(daemon);
        }
        let (job, fetch_ms) = self.fetched(engine, job, placement);
        let life = self.engines[engine].life;
        let at = after_ms(self.now, WAY_MS + fetch_ms);
        self.schedule(at, Event::Engine(engine, life, Due::Arrives(job)));
    }

    /// Names the store for each shared part that is to be saved.
    fn saves(&mut self, index: usize, keys: &[(PartKey, u64)]) -> Vec<(u64, u64, SocketAddr)> {
        let call = &self.calls[index];
        let shared = call.prompt.parts.iter().zip(keys);
        let daemon = &mut self.daemons[call.daemon];
        let saves = shared.take(call.prompt.parts.len() - 1);
        saves
            .filter_map(|(part, (key, tokens))| {
                let store = daemon.save(*key, *tokens, self.now)?;
                Some((part.id, *tokens, store))
            })
            .collect()
    }

    fn saved(&mut self, store: usize, part: StoredPart) {
        if self.stores[store].save(part.id, part.tokens.get()) {
            self.untold_parts[store].push(part);
        }
    }

    fn store_tells(&mut self, store: usize) {
        let parts = std::mem::take(&mut self.untold_parts[store]);
        for daemon in &mut self.daemons {
            daemon.store_told(store_address(store), parts.clone(), self.now);
        }
        let at = after_ms(self.now, STORE_NEWS_MS);
        self.schedule(at, Event::StoreTells(store));
    }

    /// Returns whether an address keeps a part, and its link's rate and first wait.
    fn source(&self, address: SocketAddr, part: u64) -> (bool, f64, f64) {
        match address.port().checked_sub(FIRST_PORT) {
            Some(engine) => (
                self.engines[usize::from(engine)].keeps(part),
                self.plan.engines.link_mbps,
                FETCH_FIRST_MS,
            ),
            None => {
                let store = &self.stores[usize::from(address.port() - FIRST_STORE_PORT)];
                let link_mbps = store.plan.link_mbps.min(self.plan.engines.link_mbps);
                (store.keeps(part), link_mbps, store.plan.first_ms)
            }
        }
    }

    /// Fetches the parts that the engine doesn't keep and another one does.
    fn fetched(&self, engine: usize, mut job: Job, placement: &Placement) -> (Job, f64) {
        let engines = &self.plan.engines;
        let mut took_ms = 0.0;
        for ((part, tokens), from) in job.parts.iter().zip(&placement.fetch_from) {
            let Some(from) = from else { break };
            if self.engines[engine].keeps(*part) {
                continue;
            }
            let (is_there, link_mbps, first_ms) = self.source(*from, *part);
            took_ms += first_ms;
            if !is_there {
                break;
            }
            took_ms += transfer_ms(*tokens, engines.token_bytes, link_mbps);
            job.fetched.push(*part);
        }
        (job, took_ms)
    }

    fn hurry(&mut self, daemon: usize) {
        let at = self.daemons[daemon]
            .pace
            .due_at(NEWS_INTERVAL_US)
            .max(self.now);
        if at < self.daemons[daemon].tell_at {
            self.daemons[daemon].tell_at = at;
            self.schedule(at, Event::Tell(daemon));
        }
    }

    fn tell(&mut self, daemon: usize) {
        if self.daemons[daemon].tell_at != self.now {
            return;
        }
        let news = self.daemons[daemon].tell(self.now);
        self.outcome.messages += 1;
        let arrives_at = after_ms(self.now, self.plan.news_delay_ms);
        for other in (0..self.daemons.len()).filter(|other| *other != daemon) {
            if !self.rng.random_bool(self.plan.news_lost_share) {
                self.schedule(arrives_at, Event::Heard(other, news.clone()));
            }
        }
        let at = self.now + NEWS_INTERVAL_US;
        self.daemons[daemon].tell_at = at;
        self.schedule(at, Event::Tell(daemon));
    }

    fn engine_due(&mut self, engine: usize, due: Due) {
        match due {
            Due::Arrives(job) => self.engines[engine].receive(job),
            Due::Stepped(jobs) => {
                self.engines[engine].stepped();
                for job in jobs {
                    self.has_read(engine, &job);
                }
            }
            Due::Ends(call) => self.call_ended(engine, call),
        }
        for (part, tokens) in self.engines[engine].admit(&self.plan.engines) {
            self.outcome.read_tokens += tokens;
            if !self.known_parts.insert(part) {
                self.outcome.read_again_tokens += tokens;
            }
        }
        if let Some((took_ms, jobs)) = self.engines[engine].step(&self.plan.engines) {
            let life = self.engines[engine].life;
            let at = after_ms(self.now, took_ms);
            self.schedule(at, Event::Engine(engine, life, Due::Stepped(jobs)));
        }
    }

    fn has_read(&mut self, engine: usize, job: &Job) {
        let rest_ms = self.engines[engine].has_read(job, &self.plan.engines);
        let life = self.engines[engine].life;
        let at = after_ms(self.now, rest_ms);
        self.schedule(at, Event::Engine(engine, life, Due::Ends(job.call)));
        self.save_parts(job);
        let call = &self.calls[job.call];
        if let Some(sent) = &call.sent {
            let daemon = &mut self.daemons[call.daemon];
            daemon.has_read(&sent.endpoint, sent.load, &sent.keys, self.now);
        }
        self.first_event(job.call);
    }

    fn save_parts(&mut self, job: &Job) {
        for (part, tokens, address) in &job.saves {
            let store = usize::from(address.port() - FIRST_STORE_PORT);
            let link_mbps = self.stores[store].plan.link_mbps;
            let took_ms = transfer_ms(*tokens, self.plan.engines.token_bytes, link_mbps);
            let kept = StoredPart {
                scope: SCOPE.to_owned(),
                id: *part,
                model: self.names.model.clone(),
                tokens: TokenCount::new(*tokens),
            };
            let at = after_ms(self.now, took_ms);
            self.schedule(at, Event::Saved(store, kept));
        }
    }

    fn first_event(&mut self, index: usize) {
        let (kind, arrived_at) = (self.calls[index].kind, self.calls[index].arrived_at);
        self.calls[index].is_done = true;
        let rest_ms = WAY_MS + self.plan.engines.first_event_ms;
        let taken_us = after_ms(self.now, rest_ms).since(arrived_at);
        let is_in_time = taken_us.as_ms() <= self.plan.kinds[kind].target_ms;
        let outcome = &mut self.outcome.kinds[kind];
        outcome
            .first_event_ms
            .push(taken_us.as_secs_f64() * 1_000.0);
        match is_in_time {
            true => {
                outcome.in_time += 1;
                self.window(arrived_at).in_time += 1;
            }
            false => outcome.late += 1,
        }
    }

    fn call_ended(&mut self, engine: usize, index: usize) {
        self.engines[engine].ended(index);
        let call = &self.calls[index];
        if let Some(sent) = &call.sent {
            let took_ms = self.now.since(sent.sent_at).as_secs_f64() * 1_000.0;
            self.daemons[call.daemon].ended(&sent.endpoint, sent.load, took_ms);
        }
    }

    fn register(&mut self, engine: usize) {
        if !self.engines[engine].is_up {
            return;
        }
        let endpoint = Endpoint {
            instance: self.instance(engine),
            revision: Revision::default(),
            service: self.names.service.clone(),
            address: address_of(engine),
            zone: self.names.zone.clone(),
            slots: self.plan.engines.slots,
            is_draining: false,
            remaining_cold_us: DurationUs::ZERO,
            weights: BTreeMap::from([(self.names.model.clone(), WeightNumber::new(1))]),
        };
        for daemon in &mut self.daemons {
            daemon.engine_came(endpoint.clone());
        }
    }

    fn instance(&self, engine: usize) -> EndpointInstance {
        let life = self.engines[engine].life;
        let name = format!("e-{engine}-{life}");
        name.parse()
            .unwrap_or_else(|_| unreachable!("{name} is a name"))
    }

    fn fault(&mut self, index: usize, begins: bool) {
        match &self.plan.faults[index] {
            Fault::Burst { factor, .. } => self.burst = if begins { *factor } else { 1.0 },
            Fault::Lost { share, .. } => {
                let count = (self.engines.len() as f64 * share) as usize;
                for engine in 0..count {
                    match begins {
                        true => self.lose(engine),
                        false => self.bring_back(engine),
                    }
                }
            }
            Fault::Cold { .. } => {
                if begins {
                    self.engines.iter_mut().for_each(Engine::clear_memory);
                }
            }
        }
    }

    fn lose(&mut self, engine: usize) {
        let id = self.instance(engine);
        for call in self.engines[engine].stop() {
            let call = &mut self.calls[call];
            if !std::mem::replace(&mut call.is_done, true) {
                self.outcome.kinds[call.kind].failed += 1;
            }
        }
        for daemon in &mut self.daemons {
            daemon.engine_left(&id, self.now);
        }
    }

    fn bring_back(&mut self, engine: usize) {
        self.engines[engine].start();
        let at = after_ms(self.now, REGISTRATION_MS);
        self.schedule(at, Event::Registered(engine));
    }

    fn window(&mut self, at: TimeUs) -> &mut Window {
        let last = self.outcome.windows.len() - 1;
        let index = usize::try_from(at.get() / WINDOW_US).unwrap_or(last);
        &mut self.outcome.windows[index.min(last)]
    }

    fn ended(mut self) -> Outcome {
        for call in self.calls.iter().filter(|call| !call.is_done) {
            self.outcome.kinds[call.kind].failed += 1;
        }
        self.outcome
    }
}

fn names(plan: &Plan) -> anyhow::Result<Names> {
    let engines = &plan.engines;
    let model: wisteriahitch_types::ModelName = "model".parse()?;
    Ok(Names {
        service: "engines".parse()?,
        zone: "zone".parse()?,
        engine: EngineSpec {
            slots: engines.slots,
            memory_tokens: TokenCount::new(engines.memory_tokens),
            token_bytes: ByteCount::new(engines.token_bytes),
            link_mbps: engines.link_mbps,
            models: vec![model.clone()],
        },
        model,
    })
}

fn stores(plan: &Plan) -> Vec<Store> {
    let all = plan.stores.iter();
    all.flat_map(|store| (0..store.count).map(|_| Store::new(store.clone())))
        .collect()
}

fn address_of(engine: usize) -> SocketAddr {
    let port = FIRST_PORT + u16::try_from(engine).unwrap_or(u16::MAX - FIRST_PORT);
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn store_address(store: usize) -> SocketAddr {
    let port = FIRST_STORE_PORT + u16::try_from(store).unwrap_or(0);
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn engine_at(address: SocketAddr) -> usize {
    usize::from(address.port() - FIRST_PORT)
}

/// Returns a time so many milliseconds later.
fn after_ms(now: TimeUs, ms: f64) -> TimeUs {
    now + DurationUs::from_secs_f64(ms / 1_000.0)
}

/// Returns how long so many tokens take over a link, in milliseconds; megabits a second are bits a
/// microsecond.
fn transfer_ms(tokens: u64, token_bytes: u64, link_mbps: f64) -> f64 {
    let bits = tokens as f64 * token_bytes as f64 * 8.0;
    bits / link_mbps / 1_000.0
}

/// Draws a pause whose mean is this.
fn exponential(rng: &mut ChaCha8Rng, mean: f64) -> f64 {
    let unit: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    -unit.ln() * mean
}

/// Draws a size between half and one and a half times the mean.
fn varied(mean: u64, rng: &mut ChaCha8Rng) -> u64 {
    let factor: f64 = rng.random_range(0.5..1.5);
    ((mean as f64 * factor) as u64).max(1)
}
