//! The tier core as one thing that the shell drives.

use wisteriahitch_config::Configuration;
use wisteriahitch_types::{ByteCount, DurationUs, RequestId, StoreId, TimeUs};

use super::context::Context;
use super::{
    BlockIdentity, BlockState, BlockTable, ImportPlan, ImportPlanner, LinkOrder, LinkTable, Place,
    StoreTable, TierCommand, TierEvent, TransferFailure, TransferId,
};

/// Drives blocks, links, imports and saves: events and a time in, commands out.
#[derive(Debug, Default)]
pub struct Tiers {
    blocks: BlockTable,
    links: LinkTable,
    stores: StoreTable,
    imports: ImportPlanner,
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
    pub fn configured(&mut self, configuration: &Configuration) {
        for store in configuration.stores.values() {
            self.links.configure(&store.id, store.link_rate_bytes_per_s);
        }
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

    /// Returns the imports.
    pub fn imports(&self) -> &ImportPlanner {
        &self.imports
    }

    /// Estimates how long an import of `bytes` from `store` takes from now.
    pub fn transfer_time(&self, store: &StoreId, bytes: ByteCount, now: TimeUs) -> DurationUs {
        self.links.transfer_time(store, bytes, now)
    }

    /// Starts a request's imports; exactly one `Proceed` follows, at once or later.
    pub fn plan_import(&mut self, plan: ImportPlan, now: TimeUs) -> Vec<TierCommand> {
        self.run(now, |tiers, cx| tiers.imports.plan(plan, cx))
    }

    /// Forgets a request whose caller went away; no `Proceed` follows.
    pub fn cancel(&mut self, request: &RequestId, now: TimeUs) -> Vec<TierCommand> {
        self.run(now, |tiers, cx| tiers.imports.cancel(request, cx))
    }

    /// Takes an answer or news from a store VM.
    pub fn on(&mut self, event: TierEvent, now: TimeUs) -> Vec<TierCommand> {
        self.run(now, |tiers, cx| tiers.dispatch(event, cx))
    }

    /// Runs what depends on the time alone; called several times a second.
    pub fn tick(&mut self, now: TimeUs) -> Vec<TierCommand> {
        self.run(now, |tiers, cx| tiers.imports.tick(cx))
    }

    fn run(
        &mut self,
        now: TimeUs,
        step: impl FnOnce(&mut Planners<'_>, &mut Context<'_>),
    ) -> Vec<TierCommand> {
        let mut commands = Vec::new();
        let mut planners = Planners {
            imports: &mut self.imports,
        };
        let mut cx = Context {
            blocks: &mut self.blocks,
            links: &mut self.links,
            stores: &mut self.stores,
            last_transfer: &mut self.last_transfer,
            commands: &mut commands,
            now,
        };
        step(&mut planners, &mut cx);
        planners.start_transfers(&mut cx);
        commands
    }
}

/// Lends the planners to one step.
struct Planners<'a> {
    imports: &'a mut ImportPlanner,
}

impl Planners<'_> {
    fn dispatch(&mut self, event: TierEvent, cx: &mut Context<'_>) {
        match event {
            TierEvent::StoreSeen {
                store,
                incarnation,
                memory_free_bytes,
                disk_free_bytes,
                queued_bytes,
                is_leaving,
            } => {
                cx.links.note_queued(&store, queued_bytes, cx.now);
                cx.stores
                    .seen(&store, memory_free_bytes, disk_free_bytes, is_leaving);
                let known = cx.blocks.incarnation(&store);
                if known.is_some_and(|known| *known != incarnation) {
                    cx.blocks.store_died(&store);
                    self.imports.store_lost(&store, TransferFailure::Gone, cx);
                }
                cx.blocks.store_seen(&store, &incarnation);
            }
            TierEvent::StoreLost { store } => {
                cx.stores.lost(&store);
                self.imports.store_lost(&store, TransferFailure::Lost, cx);
            }
            TierEvent::Pinned { transfer, result } => self.imports.pinned(transfer, result, cx),
            TierEvent::Imported { transfer, result } => {
                self.imports.imported(transfer, result, cx);
            }
            listed @ TierEvent::BlockListed { .. } => adopt_listed(listed, cx),
            TierEvent::Reserved { .. }
            | TierEvent::Exported { .. }
            | TierEvent::Moved { .. }
            | TierEvent::EndpointEvicted { .. } => {}
        }
    }

    /// Lets transfers cross the links until no more may; one that fails at its start makes room.
    fn start_transfers(&mut self, cx: &mut Context<'_>) {
        loop {
            let started = cx.links.start(cx.now);
            if started.is_empty() {
                return;
            }
            for start in started {
                self.imports.start(start.0, cx);
            }
        }
    }
}

fn adopt_listed(event: TierEvent, cx: &mut Context<'_>) {
    let TierEvent::BlockListed {
        store,
        incarnation,
        key,
        generation,
        bytes,
        tokens,
        weight_version,
        tier,
        state: BlockState::Readable,
    } = event
    else {
        return;
    };
    let identity = BlockIdentity {
        incarnation,
        generation,
        weight_version,
        workspace: None,
        tokens,
        bytes,
    };
    // A listing is older than what this daemon did since; what contradicts it is left out.
    let _ = cx.blocks.adopt(Place { store, key }, identity, tier, None);
}
