//! The links to all store VMs.

use std::collections::BTreeMap;

use serde::Serialize;
use wisteriahitch_types::{ByteCount, ByteRate, DurationUs, StoreId, TimeUs};

use super::{Link, LinkOrder, PriorityOrder, Transfer, TransferClass, TransferId};

/// Maximum number of running transfers per link. Two keep the link busy while one call ends and the
/// next begins; more only delay the first.
const MAX_RUNNING: usize = 2;

/// A transfer that has been started on its link.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct StartedTransfer(pub TransferId);

/// The links by store and the order in which transfers start.
#[derive(Debug)]
pub struct LinkTable {
    links: BTreeMap<StoreId, Link>,
    order: Box<dyn LinkOrder>,
}

impl Default for LinkTable {
    fn default() -> Self {
        Self::new(Box::new(PriorityOrder))
    }
}

impl LinkTable {
    /// Creates an empty table whose links schedule transfers by `order`.
    pub fn new(order: Box<dyn LinkOrder>) -> Self {
        Self {
            links: BTreeMap::new(),
            order,
        }
    }

    /// Sets the configured rate of a store's link, and adds the link if it is new.
    pub fn configure(&mut self, store: &StoreId, rate: ByteRate) {
        self.links
            .entry(store.clone())
            .or_insert_with(|| Link::new(rate))
            .configure(rate);
    }

    /// Returns the name of the transfer order.
    pub fn order_name(&self) -> &'static str {
        self.order.name()
    }

    /// Returns the link to a store; `None` if it isn't configured.
    pub fn get(&self, store: &StoreId) -> Option<&Link> {
        self.links.get(store)
    }

    /// Returns every link by store.
    pub fn iter(&self) -> impl Iterator<Item = (&StoreId, &Link)> {
        self.links.iter()
    }

    /// Estimates how long an import of `bytes` from `store` takes; [`DurationUs::MAX`] without a
    /// link.
    pub fn transfer_time(&self, store: &StoreId, bytes: ByteCount, now: TimeUs) -> DurationUs {
        self.links
            .get(store)
            .map_or(DurationUs::MAX, |link| link.transfer_time(bytes, now))
    }

    /// Adds a transfer to a link's queue; returns `false` if the queue is full or the link unknown.
    #[must_use]
    pub fn enqueue(
        &mut self,
        store: &StoreId,
        id: TransferId,
        class: TransferClass,
        bytes: ByteCount,
        now: TimeUs,
    ) -> bool {
        let transfer = Transfer {
            id,
            class,
            bytes,
            queued_at_us: now,
        };
        self.links
            .get_mut(store)
            .is_some_and(|link| link.enqueue(transfer))
    }

    /// Starts the transfers that the order allows now, and returns them.
    pub fn start(&mut self, now: TimeUs) -> Vec<StartedTransfer> {
        let mut started = Vec::new();
        for link in self.links.values_mut() {
            while link.running_len() < MAX_RUNNING {
                let next = self.order.next(&link.view(), now);
                let Some(transfer) = next.and_then(|index| link.start(index, now)) else {
                    break;
                };
                started.push(StartedTransfer(transfer.id));
            }
        }
        started
    }

    /// Removes a queued or running transfer from its link; a running one that `is_whole` becomes a
    /// sample of the rate.
    ///
    /// Returns whether the transfer was known.
    pub fn finish(&mut self, store: &StoreId, id: TransferId, is_whole: bool, now: TimeUs) -> bool {
        self.links
            .get_mut(store)
            .is_some_and(|link| link.finish(id, is_whole, now))
    }

    /// Records how many bytes all daemons together have queued for a link, as its store reports.
    pub fn record_store_backlog(&mut self, store: &StoreId, queued: ByteCount, now: TimeUs) {
        if let Some(link) = self.links.get_mut(store) {
            link.record_store_backlog(queued, now);
        }
    }

    /// Returns the fraction of recent time in which a link carried a transfer of this daemon, as
    /// [`Link::busy_share`] measures it.
    pub fn busy_share(&self, store: &StoreId, now: TimeUs) -> f64 {
        self.get(store).map_or(0.0, |link| link.busy_share(now))
    }
}
