//! Requests in progress, by request id, for cancellation.

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

/// Every run that waits or is in progress; a request id may have more than one run.
#[derive(Clone, Default)]
pub(super) struct RunRegistry {
    inner: Arc<Mutex<Inner>>,
}

impl RunRegistry {
    /// Registers a run of a request until the returned entry is dropped.
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

    /// Cancels every run of a request and returns whether there was any.
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

/// Registration of one run, removed when it is dropped.
pub(super) struct RunEntry {
    registry: RunRegistry,
    id: RunId,
    cancelled: Arc<Notify>,
}

impl RunEntry {
    /// Returns the run's number in order of arrival, starting at zero.
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
