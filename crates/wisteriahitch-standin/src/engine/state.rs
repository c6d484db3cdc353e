//! State of a stand-in engine.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use parking_lot::Mutex;
use tokio::time::Instant;
use wisteriahitch_types::{BlockKey, DurationUs, FenceNumber, TokenCount};
use wisteriahitch_wire::engine::LoadReport;
use wisteriahitch_wire::http_client::{HttpClient, HttpClientOptions};

use super::EngineOptions;
use super::cache::{CachedBlock, PrefixCache};
use super::control::{ActiveFault, EngineControl, EngineCounters, EngineFault};
use super::models::ModelTable;
use super::priority_slots::PrioritySlots;
use super::registry::RunRegistry;
use crate::shared::{Freeze, Pacer};

/// State that the requests of one engine share.
///
/// Lock order: `models` before `cache`.
pub(super) struct EngineState {
    pub(super) options: EngineOptions,
    pub(super) models: Mutex<ModelTable>,
    pub(super) cache: Mutex<PrefixCache>,
    pub(super) batch: PrioritySlots,
    pub(super) prefill: PrioritySlots,
    pub(super) prefill_pacer: Mutex<Pacer>,
    pub(super) runs: RunRegistry,
    pub(super) backlog_tokens: AtomicU64,
    pub(super) fault: Mutex<ActiveFault>,
    pub(super) freeze: Freeze,
    pub(super) counters: Mutex<EngineCounters>,
    pub(super) highest_fence: Mutex<FenceNumber>,
    pub(super) role: Mutex<String>,
    pub(super) load_report: Mutex<Option<LoadReport>>,
    pub(super) store_client: HttpClient,
    started_at: Instant,
    is_leaving: AtomicBool,
}

impl EngineState {
    pub(super) fn new(options: EngineOptions) -> Self {
        let cache = PrefixCache::new(
            options.kv_capacity_tokens,
            generate_incarnation(options.seed),
            options.event_lag_us.into(),
            options.max_retained_events,
        );
        Self {
            models: Mutex::new(load_initial_models(&options)),
            cache: Mutex::new(cache),
            batch: PrioritySlots::new(options.batch_slots),
            prefill: PrioritySlots::new(1),
            prefill_pacer: Mutex::new(Pacer::new()),
            runs: RunRegistry::default(),
            backlog_tokens: AtomicU64::new(0),
            fault: Mutex::new(ActiveFault::default()),
            freeze: Freeze::default(),
            counters: Mutex::new(EngineCounters::default()),
            highest_fence: Mutex::new(FenceNumber::new(0)),
            role: Mutex::new(options.role.clone()),
            load_report: Mutex::new(None),
            store_client: HttpClient::new(HttpClientOptions::default()),
            started_at: Instant::now(),
            is_leaving: AtomicBool::new(false),
            options,
        }
    }

    /// Caches a block, unless no loaded model runs on its weight version any more.
    ///
    /// Returns whether the block is cached now.
    pub(super) fn store_block(&self, key: BlockKey, block: CachedBlock) -> bool {
        let models = self.models.lock();
        let is_current = models.has_version(&block.weight_version);
        is_current && self.cache.lock().store(key, block)
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    pub(super) fn set_leaving(&self, is_leaving: bool) {
        self.is_leaving.store(is_leaving, Ordering::Relaxed);
    }

    pub(super) fn apply_control(&self, control: EngineControl) {
        if let Some(is_leaving) = control.leaving {
            self.set_leaving(is_leaving);
        }
        if let Some(fault) = control.fault {
            self.fault.lock().set(fault, control.count);
            self.freeze.set(fault == EngineFault::Freeze);
        }
    }

    /// Returns the load report, up to `load_lag_us` old.
    pub(super) fn load_report(&self) -> LoadReport {
        let lagging = match self.options.load_lag_us {
            DurationUs::ZERO => None,
            _ => self.load_report.lock().clone(),
        };
        lagging.unwrap_or_else(|| self.measure_load())
    }

    /// Measures the load and caches it as the report to return from now on.
    pub(super) fn refresh_load_report(&self) {
        let report = self.measure_load();
        *self.load_report.lock() = Some(report);
    }

    fn measure_load(&self) -> LoadReport {
        let models = self.models.lock().report();
        let cache = self.cache.lock();
        LoadReport {
            made_at_ms: self.started_at.elapsed().as_millis() as u64,
            running: self.batch.occupied(),
            batch_slots: self.options.batch_slots,
            queued: self.batch.waiting(),
            queued_tokens: TokenCount::new(self.backlog_tokens.load(Ordering::Relaxed)),
            kv_used_tokens: cache.used_tokens(),
            kv_capacity_tokens: cache.capacity_tokens(),
            prefill_tokens_per_s: self.options.prefill_tokens_per_s,
            decode_us_per_token: self.options.decode_us_per_token,
            leaving: self.is_leaving(),
            models,
            role: self.role.lock().clone(),
            checks_fence: self.options.checks_fence,
        }
    }
}

fn load_initial_models(options: &EngineOptions) -> ModelTable {
    let mut models = ModelTable::default();
    for loaded in &options.models {
        models.insert(loaded.model.clone(), loaded.weight_version.clone());
        for adapter in &options.adapters {
            models.add_adapter(&loaded.model, adapter.clone());
        }
    }
    models
}

/// Generates the name of this incarnation of the engine, so that event numbers of two incarnations
/// are never compared. A seed of zero gives a random name.
fn generate_incarnation(seed: u64) -> String {
    let number = if seed == 0 { rand::random() } else { seed };
    format!("e{number:016x}")
}
