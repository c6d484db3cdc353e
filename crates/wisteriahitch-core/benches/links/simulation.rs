//! Drives the tier module with simulated endpoints, a store and its link.
//!
//! Endpoints compute without queues, so that the figures show the effect of the link alone.

use std::collections::BTreeMap;
use std::num::NonZeroUsize;

use lru::LruCache;
use wisteriahitch_config::{
    Configuration, Endpoint, SavePolicy, Service, ServiceKind, Store, Workspace,
};
use wisteriahitch_core::tier::{
    BlockLocation, ChainBlock, ExportReceipt, FinishedRequest, ImportPlan, ImportStep, LinkOrder,
    PinGrant, Reader, ReserveOutcome, TierCommand, TierEvent, Tiers, TransferFailure, TransferId,
};
use wisteriahitch_types::{
    BlockKey, BlockState, ByteCount, ByteRate, EndpointId, Generation, RequestId, StoreId, Tier,
    TimeUs, TokenCount, TokenRate,
};

use crate::shared_link::SharedLink;
use crate::statistics::Statistics;
use crate::workload::{Prompt, PromptSource, Workload};

const BLOCK_BYTES: ByteCount = ByteCount::new(100_000_000);
const BLOCK_TOKENS: TokenCount = TokenCount::new(2_000);
const PREFILL_RATE: TokenRate = TokenRate::new(4_000);
const LINK_BYTES_PER_S: f64 = 1_000_000_000.0;
/// Factor by which a read from disk takes longer than one from memory.
const DISK_SLOWDOWN: f64 = 2.0;
const ENDPOINTS: usize = 9;
const ENDPOINT_BLOCKS: NonZeroUsize = NonZeroUsize::new(60).expect("not zero");
const MEMORY_BLOCKS: u64 = 500;
const DISK_BLOCKS: u64 = 16_000;
const CALL_LATENCY_US: u64 = 2_000;
const TICK_INTERVAL_US: u64 = 250_000;
const REPORT_INTERVAL_US: u64 = 2_000_000;
const US_PER_S: f64 = 1e6;
/// Fraction of the run that isn't measured.
const WARM_UP_FRACTION: f64 = 0.33;

/// The parameters of one run.
pub(crate) struct Setup {
    pub(crate) workload: Workload,
    pub(crate) policy: SavePolicy,
    pub(crate) has_prefetch: bool,
    pub(crate) link_rate_factor: f64,
    pub(crate) seed: u64,
    pub(crate) span_s: u64,
}

enum SimulationEvent {
    New { is_single: bool },
    Return(Prompt),
    Answer(TierEvent),
    Computed(RequestId),
    Tick,
    Report,
}

struct RunningRequest {
    prompt: Prompt,
    endpoint: usize,
    arrived_at_us: u64,
    resident_pieces: u32,
    planned_pieces: usize,
}

struct StoredBlock {
    generation: Generation,
    tier: Tier,
}

pub(crate) struct Simulation {
    setup: Setup,
    tiers: Tiers,
    source: PromptSource,
    link: SharedLink,
    now_us: u64,
    sequence: u64,
    queue: BTreeMap<(u64, u64), SimulationEvent>,
    endpoints: Vec<LruCache<BlockKey, ()>>,
    store: BTreeMap<BlockKey, StoredBlock>,
    used_blocks: BTreeMap<Tier, u64>,
    running: BTreeMap<RequestId, RunningRequest>,
    statistics: Statistics,
}

fn name<T: std::str::FromStr>(text: &str) -> T {
    text.parse().ok().expect("a name")
}

fn endpoint_id(index: usize) -> EndpointId {
    name(&format!("runner-{index}"))
}

fn store_id() -> StoreId {
    name("hub-cache")
}

fn blocks(count: u64) -> ByteCount {
    ByteCount::new(count * BLOCK_BYTES.get())
}

fn configuration(link_rate_factor: f64) -> Configuration {
    let store = Store {
        id: store_id(),
        address: ([127, 0, 0, 1], 9).into(),
        availability_zone: name("a"),
        link_rate_bytes_per_s: ByteRate::new((LINK_BYTES_PER_S * link_rate_factor) as u64),
        memory_bytes: blocks(MEMORY_BLOCKS),
        disk_bytes: blocks(DISK_BLOCKS),
    };
    let endpoint = |index| Endpoint {
        id: endpoint_id(index),
        address: ([127, 0, 0, 1], 8).into(),
        availability_zone: name("a"),
        checks_fence: true,
    };
    let service = Service {
        name: name("assistant"),
        kind: ServiceKind::Engine,
        models: Vec::new(),
        stores: vec![store_id()],
        repeatable: Vec::new(),
        endpoints: (0..ENDPOINTS).map(endpoint).collect(),
    };
    let workspace = |index: usize| Workspace {
        id: name(&format!("w-{index}")),
        key_hashes: Vec::new(),
        weight: 1,
        requests_per_s: None,
        prompt_tokens_per_s: None,
        max_queued: 100,
        store_bytes: blocks(DISK_BLOCKS),
    };
    let workspaces = (0..10).map(workspace);
    Configuration {
        stores: BTreeMap::from([(store_id(), store)]),
        services: BTreeMap::from([(service.name.clone(), service)]),
        workspaces: workspaces.map(|w| (w.id.clone(), w)).collect(),
        ..Configuration::default()
    }
}

impl Simulation {
    pub(crate) fn new(setup: Setup, order: Box<dyn LinkOrder>) -> Self {
        let mut tiers = Tiers::with_order(order);
        tiers.apply_configuration(&configuration(setup.link_rate_factor));
        tiers.set_prefetch(setup.has_prefetch);
        Self {
            source: PromptSource::new(setup.workload.clone(), setup.seed),
            link: SharedLink::new(LINK_BYTES_PER_S * setup.link_rate_factor),
            tiers,
            setup,
            now_us: 0,
            sequence: 0,
            queue: BTreeMap::new(),
            endpoints: (0..ENDPOINTS)
                .map(|_| LruCache::new(ENDPOINT_BLOCKS))
                .collect(),
            store: BTreeMap::new(),
            used_blocks: BTreeMap::new(),
            running: BTreeMap::new(),
            statistics: Statistics::default(),
        }
    }

    pub(crate) fn run(mut self) -> Statistics {
        let end_us = self.setup.span_s * US_PER_S as u64;
        self.schedule(0, SimulationEvent::Report);
        self.schedule(1, SimulationEvent::Tick);
        self.schedule(2, SimulationEvent::New { is_single: true });
        self.schedule(3, SimulationEvent::New { is_single: false });
        while self.now_us < end_us {
            self.step();
        }
        let link = self.tiers.links().get(&store_id()).expect("configured");
        let busy = link.busy_time(TimeUs::new(self.now_us));
        self.statistics.busy_share = busy.as_f64() / self.now_us as f64;
        self.statistics.promoted = self.tiers.prefetch().counts().promoted;
        self.statistics.promoted_used = self.tiers.prefetch().counts().promoted_used;
        self.statistics
    }

    fn schedule(&mut self, delay_us: u64, scheduled: SimulationEvent) {
        self.sequence += 1;
        self.queue
            .insert((self.now_us + delay_us, self.sequence), scheduled);
    }

    fn step(&mut self) {
        let next_us = self.queue.first_key_value().map(|(key, _)| key.0);
        let link_us = self.link.next_us().filter(|us| Some(*us) <= next_us);
        if let Some(us) = link_us {
            self.now_us = self.now_us.max(us);
            while let Some(event) = self.link.pop_finished(self.now_us) {
                self.deliver(event);
            }
            return;
        }
        let Some(((us, _), scheduled)) = self.queue.pop_first() else {
            return;
        };
        self.now_us = us;
        self.handle(scheduled);
    }

    fn time(&self) -> TimeUs {
        TimeUs::new(self.now_us)
    }

    fn is_measured(&self) -> bool {
        self.now_us as f64 > self.setup.span_s as f64 * US_PER_S * WARM_UP_FRACTION
    }

    fn handle(&mut self, scheduled: SimulationEvent) {
        match scheduled {
            SimulationEvent::New { is_single } => {
                let now_s = self.now_us as f64 / US_PER_S;
                let next_s = self.source.next_arrival_s(now_s, is_single);
                self.schedule(
                    (next_s * US_PER_S) as u64,
                    SimulationEvent::New { is_single },
                );
                let prompt = self.source.new_prompt(is_single);
                self.arrive(prompt);
            }
            SimulationEvent::Return(prompt) => self.arrive(prompt),
            SimulationEvent::Answer(event) => self.deliver(event),
            SimulationEvent::Computed(request) => self.computed(&request),
            SimulationEvent::Tick => {
                self.schedule(TICK_INTERVAL_US, SimulationEvent::Tick);
                let commands = self.tiers.tick(self.time());
                self.execute_all(commands);
            }
            SimulationEvent::Report => {
                self.schedule(REPORT_INTERVAL_US, SimulationEvent::Report);
                let free = |tier, capacity: u64| {
                    blocks(
                        capacity.saturating_sub(self.used_blocks.get(&tier).copied().unwrap_or(0)),
                    )
                };
                let event = TierEvent::StoreSeen {
                    store: store_id(),
                    incarnation: name("i-1"),
                    memory_free_bytes: free(Tier::Memory, MEMORY_BLOCKS),
                    disk_free_bytes: free(Tier::Disk, DISK_BLOCKS),
                    queued_bytes: ByteCount::ZERO,
                    is_leaving: false,
                };
                self.deliver(event);
            }
        }
    }

    fn deliver(&mut self, event: TierEvent) {
        let commands = self.tiers.handle_event(event, self.time());
        self.execute_all(commands);
    }

    fn arrive(&mut self, prompt: Prompt) {
        let endpoint = prompt.number as usize % ENDPOINTS;
        let is_resident = |piece: &u32| self.endpoints[endpoint].contains(&prompt.key(*piece));
        let resident_pieces = (0..prompt.pieces).take_while(is_resident).count() as u32;
        let is_stored = |piece: &u32| {
            let location = BlockLocation {
                store: store_id(),
                key: prompt.key(*piece),
            };
            let block = self.tiers.blocks().get(&location);
            block.is_some_and(|block| block.state() == BlockState::Readable)
        };
        let stored = (resident_pieces..prompt.pieces)
            .take_while(is_stored)
            .count() as u64;
        let import_us = self
            .tiers
            .transfer_time(&store_id(), blocks(stored), self.time());
        let compute_us = PREFILL_RATE.time_for(TokenCount::new(stored * BLOCK_TOKENS.get()));
        let planned_pieces = if import_us < compute_us { stored } else { 0 };
        self.sequence += 1;
        let request: RequestId = name(&format!("r-{}", self.sequence));
        let step = |piece: u32| ImportStep {
            store: store_id(),
            key: prompt.key(piece),
            tokens: BLOCK_TOKENS,
            bytes: BLOCK_BYTES,
        };
        let plan = ImportPlan {
            request: request.clone(),
            reader: Reader {
                workspace: name(&format!("w-{}", prompt.workspace)),
                weight_version: name("v1"),
            },
            endpoint: endpoint_id(endpoint),
            steps: (resident_pieces..resident_pieces + planned_pieces as u32)
                .map(step)
                .collect(),
            limit_us: compute_us,
        };
        let running = RunningRequest {
            prompt,
            endpoint,
            arrived_at_us: self.now_us,
            resident_pieces,
            planned_pieces: planned_pieces as usize,
        };
        self.running.insert(request, running);
        let commands = self.tiers.plan_import(plan, self.time());
        self.execute_all(commands);
    }

    fn proceed(&mut self, request: RequestId, imported: usize) {
        let is_measured = self.is_measured();
        let running = &self.running[&request];
        let wait_us = self.now_us - running.arrived_at_us;
        let pieces = u64::from(running.prompt.pieces);
        let recomputed = pieces - u64::from(running.resident_pieces) - imported as u64;
        let tokens = TokenCount::new(recomputed * BLOCK_TOKENS.get());
        let compute_us = PREFILL_RATE.time_for(tokens).get();
        if is_measured {
            if running.planned_pieces > 0 {
                self.statistics.import_waits_us.push(wait_us);
            }
            if running.prompt.returns > 0 {
                self.statistics.first_answers_us.push(wait_us + compute_us);
            }
            self.statistics.prompt_tokens += pieces * BLOCK_TOKENS.get();
            self.statistics.recomputed_tokens += tokens.get();
        }
        self.schedule(compute_us, SimulationEvent::Computed(request));
    }

    fn computed(&mut self, request: &RequestId) {
        let mut running = self.running.remove(request).expect("running");
        let prompt = running.prompt.clone();
        for piece in (0..prompt.pieces).rev() {
            self.cache_block(running.endpoint, prompt.key(piece));
        }
        let block = |piece| ChainBlock {
            key: prompt.key(piece),
            tokens: BLOCK_TOKENS,
            bytes: BLOCK_BYTES,
        };
        let finished = FinishedRequest {
            workspace: name(&format!("w-{}", prompt.workspace)),
            weight_version: name("v1"),
            endpoint: endpoint_id(running.endpoint),
            policy: self.setup.policy,
            prefill_tokens_per_s: PREFILL_RATE,
            chain: (0..prompt.pieces).map(block).collect(),
        };
        let commands = self.tiers.request_finished(&finished, self.time());
        self.execute_all(commands);
        if let Some(gap_s) = self.source.next_return_s(&mut running.prompt) {
            self.schedule(
                (gap_s * US_PER_S) as u64,
                SimulationEvent::Return(running.prompt),
            );
        }
    }

    /// Adds a block to an endpoint's cache, which evicts its least recently used block if it is
    /// full.
    fn cache_block(&mut self, endpoint: usize, key: BlockKey) {
        let evicted = self.endpoints[endpoint].push(key, ());
        if let Some((old, ())) = evicted.filter(|(old, ())| *old != key) {
            self.deliver(TierEvent::EndpointEvicted { key: old });
        }
    }

    fn execute_all(&mut self, commands: Vec<TierCommand>) {
        for command in commands {
            self.execute(command);
        }
    }

    fn execute(&mut self, command: TierCommand) {
        match command {
            TierCommand::Pin { transfer, key, .. } => {
                let result = self.pin(key);
                self.answer(TierEvent::Pinned { transfer, result });
            }
            TierCommand::Import {
                transfer,
                endpoint,
                key,
                ..
            } => {
                let tier = self.store.get(&key).map(|stored| stored.tier);
                let factor = if tier == Some(Tier::Disk) {
                    DISK_SLOWDOWN
                } else {
                    1.0
                };
                self.statistics.record_read(key);
                let index = (0..ENDPOINTS).find(|index| endpoint_id(*index) == endpoint);
                self.cache_block(index.expect("an endpoint"), key);
                let event = TierEvent::Imported {
                    transfer,
                    result: Ok(()),
                };
                let bytes = BLOCK_BYTES.as_f64() * factor;
                self.link.add(bytes, event, self.now_us);
            }
            TierCommand::Proceed {
                request,
                imported_steps,
                ..
            } => self.proceed(request, imported_steps),
            TierCommand::Reserve {
                transfer,
                key,
                tier,
                ..
            } => {
                let result = self.reserve(key, tier);
                self.answer(TierEvent::Reserved { transfer, result });
            }
            TierCommand::Export {
                transfer,
                endpoint,
                key,
                ..
            } => self.export(transfer, &endpoint, key),
            TierCommand::Move {
                transfer,
                key,
                tier,
                ..
            } => {
                let result = self.move_to(key, tier);
                self.answer(TierEvent::Moved { transfer, result });
            }
            TierCommand::Free {
                key, generation, ..
            } => self.free(key, generation),
            TierCommand::Unpin { .. } => {}
        }
    }

    fn answer(&mut self, event: TierEvent) {
        self.schedule(CALL_LATENCY_US, SimulationEvent::Answer(event));
    }

    fn pin(&self, key: BlockKey) -> Result<PinGrant, TransferFailure> {
        let stored = self.store.get(&key).ok_or(TransferFailure::Gone)?;
        Ok(PinGrant {
            pin: "p".to_owned(),
            generation: stored.generation,
            bytes: BLOCK_BYTES,
            crc32c: 1,
            weight_version: name("v1"),
            tier: stored.tier,
        })
    }

    fn reserve(&mut self, key: BlockKey, tier: Tier) -> Result<ReserveOutcome, TransferFailure> {
        let capacity = match tier {
            Tier::Memory => MEMORY_BLOCKS,
            Tier::Disk => DISK_BLOCKS,
        };
        let used = self.used_blocks.entry(tier).or_default();
        if *used >= capacity {
            return Err(TransferFailure::Full);
        }
        *used += 1;
        self.sequence += 1;
        let generation = Generation::new(self.sequence);
        self.store.insert(key, StoredBlock { generation, tier });
        Ok(ReserveOutcome::Granted(generation))
    }

    fn export(&mut self, transfer: TransferId, endpoint: &EndpointId, key: BlockKey) {
        let index = (0..ENDPOINTS).find(|index| endpoint_id(*index) == *endpoint);
        let is_cached = index.is_some_and(|index| self.endpoints[index].contains(&key));
        if !is_cached {
            let result = Err(TransferFailure::Gone);
            return self.answer(TierEvent::Exported { transfer, result });
        }
        if self.is_measured() {
            self.statistics.record_save(key);
        }
        let event = TierEvent::Exported {
            transfer,
            result: Ok(ExportReceipt {
                bytes: BLOCK_BYTES,
                crc32c: 1,
            }),
        };
        self.link.add(BLOCK_BYTES.as_f64(), event, self.now_us);
    }

    fn move_to(&mut self, key: BlockKey, tier: Tier) -> Result<(), TransferFailure> {
        let stored = self.store.get_mut(&key).ok_or(TransferFailure::Gone)?;
        if stored.tier != tier {
            *self.used_blocks.entry(stored.tier).or_default() -= 1;
            *self.used_blocks.entry(tier).or_default() += 1;
            stored.tier = tier;
        }
        Ok(())
    }

    fn free(&mut self, key: BlockKey, generation: Generation) {
        let is_same = self
            .store
            .get(&key)
            .is_some_and(|stored| stored.generation == generation);
        if let Some(stored) = self.store.remove(&key).filter(|_| is_same) {
            *self.used_blocks.entry(stored.tier).or_default() -= 1;
        }
    }
}
