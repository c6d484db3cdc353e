//! Admission control: permits to run, queues and the retry budget.

use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::oneshot;
use wisteriahitch_config::{Configuration, Route};
use wisteriahitch_core::route::{
    Admission, AdmissionCommand, AdmissionRequest, GateSnapshot, RetryBudget,
};
use wisteriahitch_types::{Code, DurationUs, RequestId, TimeUs, TokenCount};

use crate::caller::{Identity, Refusal, new_request_id};
use crate::shared::Shared;

type AdmissionResult = Result<(), Refusal>;

/// `retry-after` of a daemon whose queues are full.
const QUEUE_FULL_RETRY_US: DurationUs = DurationUs::from_ms(1_000);

/// Running and queued requests, with the retry budget.
pub(crate) struct AdmissionState {
    inner: Mutex<Inner>,
}

struct Inner {
    admission: Admission,
    budget: RetryBudget,
    /// Number of daemons that the quotas are divided by.
    daemons: u32,
    waiters: HashMap<RequestId, oneshot::Sender<AdmissionResult>>,
}

impl AdmissionState {
    /// Creates an empty state. `retry_share` is the maximum ratio of retries to requests.
    pub(crate) fn new(retry_share: f64) -> Self {
        let inner = Inner {
            admission: Admission::default(),
            budget: RetryBudget::new(retry_share),
            daemons: 0,
            waiters: HashMap::new(),
        };
        Self {
            inner: Mutex::new(inner),
        }
    }

    /// Runs `step` on the admission table and delivers its decisions to the waiting requests.
    pub(crate) fn step(&self, step: impl FnOnce(&mut Admission) -> Vec<AdmissionCommand>) {
        let mut inner = self.inner.lock();
        let commands = step(&mut inner.admission);
        for command in commands {
            let (request, result) = match command {
                AdmissionCommand::Start(request) => (request, Ok(())),
                AdmissionCommand::Refuse {
                    request,
                    code,
                    retry_after_us,
                } => (
                    request,
                    Err(Refusal::new(code).with_retry_after_us(retry_after_us)),
                ),
            };
            if let Some(waiter) = inner.waiters.remove(&request) {
                // Sending fails if the caller has left. Dropping its `Permit` then releases what it
                // was granted.
                let _ = waiter.send(result);
            }
        }
    }

    /// Applies a configuration whose quotas are divided by `daemons`.
    pub(crate) fn apply_configuration(
        &self,
        configuration: &Configuration,
        daemons: u32,
        now: TimeUs,
    ) {
        let mut inner = self.inner.lock();
        inner.daemons = daemons;
        inner.budget.set_share(configuration.limits.retry_share);
        inner
            .admission
            .apply_quota_configuration(configuration, daemons, now);
    }

    /// Returns whether the quotas are currently divided by a number other than `daemons`.
    pub(crate) fn daemon_count_differs(&self, daemons: u32) -> bool {
        self.inner.lock().daemons != daemons
    }

    /// Returns the state of the admission gates for the debug dump.
    pub(crate) fn snapshot(&self) -> Vec<GateSnapshot> {
        self.inner.lock().admission.snapshot()
    }
}

/// Permission to run one request. Dropping it, also while still queued, removes the request and
/// lets the next one start.
pub(crate) struct Permit {
    shared: Arc<Shared>,
    request: RequestId,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        self.shared
            .admission
            .inner
            .lock()
            .waiters
            .remove(&self.request);
        self.shared.admission.step(|admission| {
            admission.cancel(&self.request);
            admission.finish_request(&self.request, now)
        });
    }
}

impl Shared {
    /// Waits until the request may start, at most until `due_us`, or returns why it may not.
    ///
    /// The admission entry gets an id of its own. With the request's id, two resumptions of one
    /// request would share an entry, and the end of the first would release the permit of the
    /// second.
    pub(crate) async fn acquire_permit(
        self: &Arc<Self>,
        identity: &Identity,
        route: &Route,
        due_us: TimeUs,
        prompt_tokens: TokenCount,
        cost_tokens: TokenCount,
    ) -> Result<Permit, Refusal> {
        let now = self.clock.now();
        let entry_id = new_request_id(self);
        let request = AdmissionRequest {
            request: entry_id.clone(),
            workspace: identity.workspace.clone(),
            service: route.service.clone(),
            priority: route.priority,
            prompt_tokens,
            cost_tokens,
            deadline_us: due_us,
        };
        let (sender, receiver) = oneshot::channel();
        {
            let mut inner = self.admission.inner.lock();
            inner.budget.record_request();
            // The queue limit of each workspace doesn't limit the sum over all workspaces.
            if inner.waiters.len() >= self.settings.limits.queued_requests as usize {
                let refusal = Refusal::new(Code::QueueFull);
                return Err(refusal.with_retry_after_us(QUEUE_FULL_RETRY_US));
            }
            inner.waiters.insert(entry_id.clone(), sender);
        }
        // The permit is created before the wait, so that a caller that disconnects while queued, or
        // at the very moment of its start, frees its place.
        let permit = Permit {
            shared: Arc::clone(self),
            request: entry_id,
        };
        self.admission
            .step(|admission| admission.submit_request(request, now));
        match receiver.await {
            Ok(Ok(())) => Ok(permit),
            Ok(Err(refusal)) => Err(refusal),
            Err(_) => Err(Refusal::new(Code::Internal)),
        }
    }

    /// Takes one retry from the budget; false if the budget is exhausted.
    pub(crate) fn try_retry(&self) -> bool {
        self.admission.inner.lock().budget.try_acquire()
    }
}
