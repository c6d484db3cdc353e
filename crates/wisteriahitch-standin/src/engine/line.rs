//! Places that are taken in the order of priority, then of arrival.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::oneshot;

/// Rank of one who waits: higher priority first, then the lower number.
pub(super) type Rank = (Reverse<u8>, u64);

#[derive(Debug)]
struct Inner {
    free: u64,
    taken: u64,
    waiting: BTreeMap<Rank, oneshot::Sender<Place>>,
}

/// A limited number of places.
#[derive(Clone, Debug)]
pub(super) struct Line {
    inner: Arc<Mutex<Inner>>,
}

impl Line {
    pub(super) fn new(places: u64) -> Self {
        let inner = Inner {
            free: places.max(1),
            taken: 0,
            waiting: BTreeMap::new(),
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// Waits for a place; each one who waits needs a rank of its own.
    pub(super) async fn enter(&self, rank: Rank) -> Place {
        let receiver = {
            let mut inner = self.inner.lock();
            if inner.free > 0 {
                inner.free -= 1;
                inner.taken += 1;
                return self.place();
            }
            let (sender, receiver) = oneshot::channel();
            inner.waiting.insert(rank, sender);
            receiver
        };
        let waiter = Waiter { line: self, rank };
        let place = receiver.await;
        drop(waiter);
        // The sender is dropped only by the waiter itself, so this never waits in vain.
        match place {
            Ok(place) => place,
            Err(_) => std::future::pending().await,
        }
    }

    /// Returns whether one who waits goes before `rank`.
    pub(super) fn has_better(&self, rank: Rank) -> bool {
        let inner = self.inner.lock();
        let best = inner.waiting.first_key_value();
        best.is_some_and(|(waiting, _)| *waiting < rank)
    }

    pub(super) fn taken(&self) -> u64 {
        self.inner.lock().taken
    }

    pub(super) fn waiting(&self) -> u64 {
        self.inner.lock().waiting.len() as u64
    }

    fn place(&self) -> Place {
        Place { line: self.clone() }
    }

    fn leave(&self) {
        let next = {
            let mut inner = self.inner.lock();
            let next = inner.waiting.pop_first();
            if next.is_none() {
                inner.free += 1;
                inner.taken -= 1;
            }
            next
        };
        // One who has just given up hands the place back, and it leaves from there.
        if let Some((_, sender)) = next {
            drop(sender.send(self.place()));
        }
    }
}

/// Takes one who gives up out of the line.
struct Waiter<'a> {
    line: &'a Line,
    rank: Rank,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.line.inner.lock().waiting.remove(&self.rank);
    }
}

/// One place, given up when it is dropped.
#[derive(Debug)]
pub(super) struct Place {
    line: Line,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.line.leave();
    }
}
