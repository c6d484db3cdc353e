//! The tier core as one thing that the shell drives.

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

/// Drives blocks, links, imports and saves: events and a time in, commands out.
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
    ranks: EvictionIndex,
    uses: UseTable,
    imports: ImportPlanner,
    saves: SavePlanner,
    capacity: CapacityManager,
    prefetch: Prefetcher,
    last_transfer: TransferId,
}

impl Tiers {
    /// Builds an empty core with the default order of the links.
    pub fn new() -> Self {
        Self::default()
    }

    /// Builds an empty core whose links use `order`.
    pub fn with_order(order: Box<dyn LinkOrder>) -> Self {
        Self {
            links: LinkTable::new(order),
            ..Self::default()
        }
    }

    /// Takes the configuration in force.
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

    /// Takes the stores that this daemon alone keeps room at; until then it does so at all of them.
    pub fn set_managed_stores(&mut self, stores: BTreeSet<StoreId>) {
        self.capacity.set_managed_stores(stores);
    }

    /// Switches prefetch on or off.
    pub fn set_prefetch(&mut self, is_enabled: bool) {
        self.prefetch.set_enabled(is_enabled);
    }

    /// Returns the blocks.
    pub fn blocks(&self) -> &BlockTable {
        &self.blocks
    }

    /// Returns the links.
    pub fn links(&self) -> &LinkTable {
        &self.links
    }

    /// Returns the stores.
    pub fn stores(&self) -> &StoreTable {
        &self.stores
    }

    /// Returns the uses of blocks and the histories of workspaces.
    pub fn uses(&self) -> &UseTable {
        &self.uses
    }

    /// Returns the imports.
    pub fn imports(&self) -> &ImportPlanner {
        &self.imports
    }

    /// Returns the saves.
    pub fn saves(&self) -> &SavePlanner {
        &self.saves
    }

    /// Returns what keeps room in the tiers.
    pub fn capacity(&self) -> &CapacityManager {
        &self.capacity
    }

    /// Returns the prefetch.
    pub fn prefetch(&self) -> &Prefetcher {
        &self.prefetch
    }

    /// Returns the state for the dump.
    pub fn snapshot(&self, now: TimeUs) -> TierSnapshot {
        TierSnapshot::new(self, now)
    }

    /// Estimates how long an import of `bytes` from `store` takes from now.
    pub fn transfer_time(&self, store: &StoreId, bytes: ByteCount, now: TimeUs) -> DurationUs {
        self.links.transfer_time(store, bytes, now)
    }

    /// Starts a request's imports; exactly one `Proceed` follows, at once or later.
    pub fn plan_import(&mut self, plan: ImportPlan, now: TimeUs) -> Vec<TierCommand> {
        self.run(now, |planners, cx| planners.imports.plan(plan, cx))
    }

    /// Forgets a request whose caller went away; no `Proceed` follows.
    pub fn cancel(&mut self, request: &RequestId, now: TimeUs) -> Vec<TierCommand> {
        self.run(now, |planners, cx| planners.imports.cancel(request, cx))
    }

    /// Learns from a request that has finished, and saves what is worth it.
    pub fn request_finished(&mut self, request: &FinishedRequest, now: TimeUs) -> Vec<TierCommand> {
        self.run(now, |planners, cx| planners.request_finished(request, cx))
    }

    /// Takes an answer or news from a store VM.
    pub fn handle_event(&mut self, event: TierEvent, now: TimeUs) -> Vec<TierCommand> {
        self.run(now, |planners, cx| planners.handle_event(event, cx))
    }

    /// Runs what depends on the time alone; called several times a second.
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
            ranks: &mut self.ranks,
            last_transfer: &mut self.last_transfer,
            commands: &mut commands,
            now,
        };
        step(&mut planners, &mut cx);
        planners.start_transfers(&mut cx);
        commands
    }
}
