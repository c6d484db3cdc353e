//! One link for every store VM.

use std::collections::BTreeMap;

use serde::Serialize;
use wisteriahitch_types::{ByteCount, ByteRate, DurationUs, StoreId, TimeUs};

use super::{Link, LinkOrder, PriorityOrder, Transfer, TransferClass, TransferId};

/// Bounds the transfers that cross one link at once: two keep it busy while one call ends and
/// the next begins, and more only delay the first.
const MAX_RUNNING: usize = 2;

/// Says that a transfer may cross its link now.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct StartedTransfer(pub TransferId);

/// Holds the links and the order in which transfers cross them.
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
    /// Builds an empty table with an order.
    pub fn new(order: Box<dyn LinkOrder>) -> Self {
        Self {
            links: BTreeMap::new(),
            order,
        }
    }

    /// Takes a store's configured rate.
    pub fn configure(&mut self, store: &StoreId, rate: ByteRate) {
        self.links
            .entry(store.clone())
            .or_insert_with(|| Link::new(rate))
            .configure(rate);
    }

    /// Returns the name of the order in force.
    pub fn order_name(&self) -> &'static str {
        self.order.name()
    }

    /// Returns the link to a store.
    pub fn get(&self, store: &StoreId) -> Option<&Link> {
        self.links.get(store)
    }

    /// Returns every link.
    pub fn iter(&self) -> impl Iterator<Item = (&StoreId, &Link)> {
        self.links.iter()
    }

    /// Estimates how long an import of `bytes` from `store` takes, or forever without a link.
    pub fn transfer_time(&self, store: &StoreId, bytes: ByteCount, now: TimeUs) -> DurationUs {
        self.links
            .get(store)
            .map_or(DurationUs::MAX, |link| link.transfer_time(bytes, now))
    }

    /// Adds a transfer to a link's queue; a full queue or an unknown link takes none.
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

    /// Starts what the order lets cross the links now.
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

    /// Ends a transfer, waiting or running; one that crossed `is_whole` is a sample of the rate.
    pub fn finish(&mut self, store: &StoreId, id: TransferId, is_whole: bool, now: TimeUs) -> bool {
        self.links
            .get_mut(store)
            .is_some_and(|link| link.finish(id, is_whole, now))
    }

    /// Notes how many bytes of every daemon wait for a link, by its store's report.
    pub fn record_store_backlog(&mut self, store: &StoreId, queued: ByteCount, now: TimeUs) {
        if let Some(link) = self.links.get_mut(store) {
            link.record_store_backlog(queued, now);
        }
    }

    /// Returns the part of the last minute or so in which a link carried anything.
    pub fn busy_share(&self, store: &StoreId, now: TimeUs) -> f64 {
        self.get(store).map_or(0.0, |link| link.busy_share(now))
    }
}
