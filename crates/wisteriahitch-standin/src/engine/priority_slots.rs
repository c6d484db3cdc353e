//! A limited number of slots, granted to waiters by priority and then by order of arrival.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::oneshot;

/// Sort key of a waiter: higher priority first, then lower arrival number.
pub(super) type Rank = (Reverse<u8>, u64);

#[derive(Debug)]
struct Inner {
    free: u64,
    occupied: u64,
    waiting: BTreeMap<Rank, oneshot::Sender<Slot>>,
}

/// Semaphore that grants a limited number of slots in the order of [`Rank`].
#[derive(Clone, Debug)]
pub(super) struct PrioritySlots {
    inner: Arc<Mutex<Inner>>,
}

impl PrioritySlots {
    pub(super) fn new(slot_count: u64) -> Self {
        let inner = Inner {
            free: slot_count.max(1),
            occupied: 0,
            waiting: BTreeMap::new(),
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// Waits for a free slot; the rank of each waiter must be unique.
    pub(super) async fn acquire(&self, rank: Rank) -> Slot {
        let receiver = {
            let mut inner = self.inner.lock();
            if inner.free > 0 {
                inner.free -= 1;
                inner.occupied += 1;
                return self.new_slot();
            }
            let (sender, receiver) = oneshot::channel();
            inner.waiting.insert(rank, sender);
            receiver
        };
        let guard = WaiterGuard { slots: self, rank };
        let slot = receiver.await;
        drop(guard);
        // Only the waiter itself drops the sender unused, so `pending` is never reached.
        match slot {
            Ok(slot) => slot,
            Err(_) => std::future::pending().await,
        }
    }

    /// Returns whether any waiter comes before `rank`.
    pub(super) fn has_waiter_before(&self, rank: Rank) -> bool {
        let inner = self.inner.lock();
        let best = inner.waiting.first_key_value();
        best.is_some_and(|(waiting, _)| *waiting < rank)
    }

    pub(super) fn occupied(&self) -> u64 {
        self.inner.lock().occupied
    }

    pub(super) fn waiting(&self) -> u64 {
        self.inner.lock().waiting.len() as u64
    }

    fn new_slot(&self) -> Slot {
        Slot {
            slots: self.clone(),
        }
    }

    fn release(&self) {
        let next = {
            let mut inner = self.inner.lock();
            let next = inner.waiting.pop_first();
            if next.is_none() {
                inner.free += 1;
                inner.occupied -= 1;
            }
            next
        };
        // If the waiter has just given up, the send fails and dropping the returned slot releases
        // it again.
        if let Some((_, sender)) = next {
            drop(sender.send(self.new_slot()));
        }
    }
}

/// Removes a waiter that gives up from the queue.
struct WaiterGuard<'a> {
    slots: &'a PrioritySlots,
    rank: Rank,
}

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        self.slots.inner.lock().waiting.remove(&self.rank);
    }
}

/// One occupied slot, released when it is dropped.
#[derive(Debug)]
pub(super) struct Slot {
    slots: PrioritySlots,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.slots.release();
    }
}
