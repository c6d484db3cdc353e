//! Requests under way, so that they can be cancelled by their id.

use std::collections::BTreeMap;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::Notify;
use wisteriahitch_types::RequestId;

type RunId = (RequestId, u64);

#[derive(Default)]
struct Inner {
    next_number: u64,
    runs: BTreeMap<RunId, Arc<Notify>>,
}

/// Holds every request that waits or runs; one request may be there more than once.
#[derive(Clone, Default)]
pub(super) struct RunRegistry {
    inner: Arc<Mutex<Inner>>,
}

impl RunRegistry {
    /// Enters a request until the entry is dropped.
    pub(super) fn register(&self, request: RequestId) -> RunEntry {
        let mut inner = self.inner.lock();
        let number = inner.next_number;
        inner.next_number += 1;
        let cancelled = Arc::new(Notify::new());
        let id = (request, number);
        inner.runs.insert(id.clone(), Arc::clone(&cancelled));
        RunEntry {
            registry: self.clone(),
            id,
            cancelled,
        }
    }

    /// Cancels every run of a request, and returns whether there was one.
    pub(super) fn cancel(&self, request: &RequestId) -> bool {
        let inner = self.inner.lock();
        let range = (request.clone(), 0)..=(request.clone(), u64::MAX);
        let mut was_found = false;
        for cancelled in inner.runs.range(range).map(|(_, cancelled)| cancelled) {
            cancelled.notify_one();
            was_found = true;
        }
        was_found
    }
}

/// One request under way.
pub(super) struct RunEntry {
    registry: RunRegistry,
    id: RunId,
    cancelled: Arc<Notify>,
}

impl RunEntry {
    /// Returns the number of the arrival, from zero.
    pub(super) fn arrival_number(&self) -> u64 {
        self.id.1
    }

    /// Returns once the request is cancelled.
    pub(super) async fn cancelled(&self) {
        self.cancelled.notified().await;
    }
}

impl Drop for RunEntry {
    fn drop(&mut self) {
        self.registry.inner.lock().runs.remove(&self.id);
    }
}
