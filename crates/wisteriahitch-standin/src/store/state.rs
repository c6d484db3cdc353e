//! State of a stand-in store.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use parking_lot::Mutex;
use tokio::time::Instant;
use wisteriahitch_types::StoreIncarnation;
use wisteriahitch_wire::store::{BlockListing, StoreReport};

use super::StoreOptions;
use super::control::{StoreControl, StoreCounters, StoreFault};
use super::link::Link;
use super::refusal::StoreRefusal;
use super::table::BlockTable;
use crate::shared::Freeze;

/// State that the requests of one store share.
pub(super) struct StoreState {
    pub(super) incarnation: StoreIncarnation,
    pub(super) table: Mutex<BlockTable>,
    pub(super) link: Arc<Link>,
    pub(super) freeze: Arc<Freeze>,
    pub(super) fault: Mutex<StoreFault>,
    pub(super) counters: Mutex<StoreCounters>,
    is_leaving: AtomicBool,
}

impl StoreState {
    pub(super) fn new(options: StoreOptions, incarnation: StoreIncarnation) -> Self {
        Self {
            incarnation,
            table: Mutex::new(BlockTable::new(&options)),
            link: Arc::new(Link::new(options.link_bytes_per_s)),
            freeze: Arc::new(Freeze::default()),
            fault: Mutex::new(StoreFault::None),
            counters: Mutex::new(StoreCounters::default()),
            is_leaving: AtomicBool::new(false),
        }
    }

    pub(super) fn report(&self) -> StoreReport {
        let (memory, disk) = self.table.lock().report(Instant::now());
        StoreReport {
            incarnation: self.incarnation.clone(),
            memory,
            disk,
            link: self.link.report(),
            leaving: self.is_leaving(),
        }
    }

    pub(super) fn list(&self) -> BlockListing {
        BlockListing {
            incarnation: self.incarnation.clone(),
            blocks: self.table.lock().list(Instant::now()),
        }
    }

    /// Refuses new blocks while the store is leaving or has the fault [`StoreFault::Full`].
    pub(super) fn check_accepts_blocks(&self) -> Result<(), StoreRefusal> {
        if self.is_leaving() || *self.fault.lock() == StoreFault::Full {
            return Err(StoreRefusal::Full);
        }
        Ok(())
    }

    pub(super) fn apply_control(&self, control: StoreControl) {
        if let Some(is_leaving) = control.leaving {
            self.is_leaving.store(is_leaving, Ordering::Relaxed);
        }
        let Some(fault) = control.fault else {
            return;
        };
        *self.fault.lock() = fault;
        self.freeze.set(fault == StoreFault::Freeze);
        self.link.set_slow_factor(match fault {
            StoreFault::SlowFactor(factor) => factor,
            _ => 1,
        });
    }

    fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }
}
