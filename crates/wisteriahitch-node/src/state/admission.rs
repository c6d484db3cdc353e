//! Waiting for a turn.

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

/// When a caller may come back to a daemon whose queues are full.
const QUEUE_FULL_RETRY_US: DurationUs = DurationUs::from_ms(1_000);

/// Holds who runs and who waits, with the retry budget.
pub(crate) struct AdmissionState {
    inner: Mutex<Inner>,
}

struct Inner {
    admission: Admission,
    budget: RetryBudget,
    /// How many daemons the quotas are shared by now.
    daemons: u32,
    waiters: HashMap<RequestId, oneshot::Sender<AdmissionResult>>,
}

impl AdmissionState {
    /// Builds an empty state whose retries are `retry_share` of the requests.
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

    /// Runs a step of the table and tells those whom it concerns.
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
                // A caller that left gives its turn back when its permit is dropped.
                let _ = waiter.send(result);
            }
        }
    }

    /// Takes over a configuration that `daemons` daemons share.
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

    /// Returns whether the quotas are shared by another number of daemons.
    pub(crate) fn daemon_count_differs(&self, daemons: u32) -> bool {
        self.inner.lock().daemons != daemons
    }

    /// Shows the gates, for the dump.
    pub(crate) fn snapshot(&self) -> Vec<GateSnapshot> {
        self.inner.lock().admission.snapshot()
    }
}

/// Holds a request's turn; dropping it lets the next one start.
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
    /// Waits for a request's turn until `due_us`, or returns why it gets none.
    ///
    /// The turn has an id of its own: two resumptions of one request would otherwise share an
    /// entry, and the end of the first would take the turn of the second.
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
            // The bound of each workspace's queue doesn't bound all of them together.
            if inner.waiters.len() >= self.settings.limits.queued_requests as usize {
                let refusal = Refusal::new(Code::QueueFull);
                return Err(refusal.with_retry_after_us(QUEUE_FULL_RETRY_US));
            }
            inner.waiters.insert(entry_id.clone(), sender);
        }
        // The permit exists from the arrival on, so that a caller that leaves while it waits, or
        // in the very moment of its start, gives its place back.
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

    /// Takes one retry out of the budget, if there is one left.
    pub(crate) fn try_retry(&self) -> bool {
        self.admission.inner.lock().budget.try_acquire()
    }
}
