//! The entry point of the tier module.

use std::collections::BTreeSet;

use wisteriahitch_config::Configuration;
use wisteriahitch_types::{ByteCount, DurationUs, RequestId, StoreId, TimeUs};

use super::capacity_manager::StoreCapacity;
use super::context::Context;
use super::planners::Planners;
use super::{
    BlockTable, CapacityManager, EvictionIndex, FinishedRequest, ImportPlan, ImportPlanner,
    LinkOrder, LinkTable, Prefetcher, SavePlanner, StoreTable, TierCommand, TierEvent,
    TierSnapshot, TransferId, UseTable,
};

/// Tracks blocks and links, and plans imports, saves, demotions and prefetches.
///
/// Each method that handles an event takes the current time and returns the commands that the
/// caller must carry out.
///
/// ```
/// use wisteriahitch_core::tier::{ImportPlan, Reader, TierCommand, Tiers};
/// use wisteriahitch_types::{DurationUs, TimeUs};
///
/// let mut tiers = Tiers::new();
/// let plan = ImportPlan {
///     request: "r-1".parse()?,
///     reader: Reader { workspace: "kandy".parse()?, weight_version: "v1".parse()? },
///     endpoint: "runner-1".parse()?,
///     steps: Vec::new(),
///     limit_us: DurationUs::from_ms(250),
/// };
/// let commands = tiers.plan_import(plan, TimeUs::ZERO);
/// assert!(matches!(commands[..], [TierCommand::Proceed { imported_steps: 0, .. }]));
/// # Ok::<(), wisteriahitch_types::ParseIdError>(())
/// ```
#[derive(Debug, Default)]
pub struct Tiers {
    blocks: BlockTable,
    links: LinkTable,
    stores: StoreTable,
    eviction_index: EvictionIndex,
    uses: UseTable,
    imports: ImportPlanner,
    saves: SavePlanner,
    capacity: CapacityManager,
    prefetch: Prefetcher,
    last_transfer: TransferId,
}

impl Tiers {
    /// Creates an empty state with the default transfer order,
    /// [`PriorityOrder`](super::PriorityOrder).
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates an empty state whose links schedule transfers by `order`.
    pub fn with_order(order: Box<dyn LinkOrder>) -> Self {
        Self {
            links: LinkTable::new(order),
            ..Self::default()
        }
    }

    /// Applies the active configuration: link rates, store capacities, workspace quotas and the
    /// stores of each endpoint.
    pub fn apply_configuration(&mut self, configuration: &Configuration) {
        for store in configuration.stores.values() {
            self.links.configure(&store.id, store.link_rate_bytes_per_s);
        }
        let capacities = configuration.stores.values().map(|store| {
            let store_capacity = StoreCapacity {
                memory_bytes: store.memory_bytes,
                disk_bytes: store.disk_bytes,
            };
            (store.id.clone(), store_capacity)
        });
        self.capacity.configure(capacities.collect());
        let workspaces = configuration.workspaces.values();
        let quotas = workspaces.map(|workspace| (workspace.id.clone(), workspace.store_bytes));
        let services = configuration.services.values();
        let stores_by_endpoint = services.flat_map(|service| {
            let endpoints = service.endpoints.iter();
            endpoints.map(|endpoint| (endpoint.id.clone(), service.stores.clone()))
        });
        self.saves
            .configure(quotas.collect(), stores_by_endpoint.collect());
    }

    /// Sets the stores whose capacity this daemon manages, so that only one daemon evicts at each
    /// store. Until the first call it manages all of them.
    pub fn set_managed_stores(&mut self, stores: BTreeSet<StoreId>) {
        self.capacity.set_managed_stores(stores);
    }

    /// Enables or disables prefetch; it is disabled by default.
    pub fn set_prefetch(&mut self, is_enabled: bool) {
        self.prefetch.set_enabled(is_enabled);
    }

    /// Returns the table of known blocks.
    pub fn blocks(&self) -> &BlockTable {
        &self.blocks
    }

    /// Returns the links to the store VMs.
    pub fn links(&self) -> &LinkTable {
        &self.links
    }

    /// Returns the state of the store VMs.
    pub fn stores(&self) -> &StoreTable {
        &self.stores
    }

    /// Returns the recorded block uses and the return history of each workspace.
    pub fn uses(&self) -> &UseTable {
        &self.uses
    }

    /// Returns the planner of imports.
    pub fn imports(&self) -> &ImportPlanner {
        &self.imports
    }

    /// Returns the planner of saves.
    pub fn saves(&self) -> &SavePlanner {
        &self.saves
    }

    /// Returns the manager that demotes and frees blocks when a tier is nearly full.
    pub fn capacity(&self) -> &CapacityManager {
        &self.capacity
    }

    /// Returns the prefetcher.
    pub fn prefetch(&self) -> &Prefetcher {
        &self.prefetch
    }

    /// Returns a snapshot for the operator's dump.
    pub fn snapshot(&self, now: TimeUs) -> TierSnapshot {
        TierSnapshot::new(self, now)
    }

    /// Estimates how long an import of `bytes` from `store` takes if it is queued at `now`.
    pub fn transfer_time(&self, store: &StoreId, bytes: ByteCount, now: TimeUs) -> DurationUs {
        self.links.transfer_time(store, bytes, now)
    }

    /// Starts a request's imports. Exactly one `Proceed` follows, in the returned commands or in
    /// those of a later call, unless the request is cancelled.
    pub fn plan_import(&mut self, plan: ImportPlan, now: TimeUs) -> Vec<TierCommand> {
        self.run(now, |planners, cx| planners.imports.plan(plan, cx))
    }

    /// Drops a request whose caller has disconnected; no `Proceed` follows.
    pub fn cancel(&mut self, request: &RequestId, now: TimeUs) -> Vec<TierCommand> {
        self.run(now, |planners, cx| planners.imports.cancel(request, cx))
    }

    /// Records the block uses of a finished request and saves the blocks that are worth it.
    pub fn request_finished(&mut self, request: &FinishedRequest, now: TimeUs) -> Vec<TierCommand> {
        self.run(now, |planners, cx| planners.request_finished(request, cx))
    }

    /// Handles the answer to a command or a report about a store VM.
    pub fn handle_event(&mut self, event: TierEvent, now: TimeUs) -> Vec<TierCommand> {
        self.run(now, |planners, cx| planners.handle_event(event, cx))
    }

    /// Runs the time-driven work: timeouts, evictions and prefetch. Must be called several times a
    /// second.
    pub fn tick(&mut self, now: TimeUs) -> Vec<TierCommand> {
        self.run(now, |planners, cx| planners.tick(cx))
    }

    fn run(
        &mut self,
        now: TimeUs,
        step: impl FnOnce(&mut Planners<'_>, &mut Context<'_>),
    ) -> Vec<TierCommand> {
        let mut commands = Vec::new();
        let mut planners = Planners {
            imports: &mut self.imports,
            saves: &mut self.saves,
            capacity: &mut self.capacity,
            prefetch: &mut self.prefetch,
            uses: &mut self.uses,
        };
        let mut cx = Context {
            blocks: &mut self.blocks,
            links: &mut self.links,
            stores: &mut self.stores,
            eviction_index: &mut self.eviction_index,
            last_transfer: &mut self.last_transfer,
            commands: &mut commands,
            now,
        };
        step(&mut planners, &mut cx);
        planners.start_transfers(&mut cx);
        commands
    }
}
