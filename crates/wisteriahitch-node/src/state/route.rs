//! Chooses endpoints and tracks the attempts sent to them.

use std::net::SocketAddr;
use std::sync::Arc;

use wisteriahitch_core::route::{AttemptFailure, AttemptId, Choice, LinkView, RouteRequest};
use wisteriahitch_types::{ByteCount, DurationUs, EndpointId, StoreId, Tier, TimeUs, TokenCount};

use crate::caller::Refusal;
use crate::shared::Shared;

impl LinkView for Shared {
    fn transfer_time(
        &self,
        store: &StoreId,
        _tier: Tier,
        bytes: ByteCount,
        now: TimeUs,
    ) -> DurationUs {
        self.tiers.transfer_time(store, bytes, now)
    }
}

impl Shared {
    /// Chooses the endpoint that a request runs at.
    pub(crate) fn choose(&self, request: &RouteRequest) -> Result<Choice, Refusal> {
        let now = self.clock.now();
        let choice = self.router.lock().choose(request, self, now);
        choice.map_err(|refusal| {
            Refusal::new(refusal.code).with_retry_after_us(refusal.retry_after_us)
        })
    }

    /// Registers an attempt that is about to be sent; `None` if the endpoint has been removed.
    pub(crate) fn start_attempt(
        self: &Arc<Self>,
        endpoint: &EndpointId,
        prefill_tokens: TokenCount,
        expected_us: DurationUs,
    ) -> Option<AttemptGuard> {
        let now = self.clock.now();
        let mut router = self.router.lock();
        let address = router.endpoints.get_address(endpoint)?;
        let id = router
            .endpoints
            .begin_attempt(endpoint, prefill_tokens, expected_us, now)?;
        Some(AttemptGuard {
            shared: Arc::clone(self),
            id,
            address,
            is_recorded: false,
        })
    }
}

/// Tracks one attempt in the endpoint table.
///
/// An attempt dropped without an outcome counts as cancelled. If it stayed in the table, its
/// endpoint would look busier than it is forever and gradually receive no more work.
pub(crate) struct AttemptGuard {
    shared: Arc<Shared>,
    id: AttemptId,
    address: SocketAddr,
    is_recorded: bool,
}

impl AttemptGuard {
    /// Returns the endpoint's address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Records the arrival of the first token.
    pub(crate) fn mark_first_token(&self) {
        let now = self.shared.clock.now();
        self.shared
            .router
            .lock()
            .endpoints
            .record_first_token(self.id, now);
    }

    /// Records that the attempt gave a whole answer.
    pub(crate) fn mark_succeeded(mut self) {
        let now = self.shared.clock.now();
        self.shared
            .router
            .lock()
            .endpoints
            .record_success(self.id, now);
        self.is_recorded = true;
    }

    /// Records that the attempt failed.
    pub(crate) fn mark_failed(mut self, failure: AttemptFailure) {
        self.record_failure_once(failure);
    }

    fn record_failure_once(&mut self, failure: AttemptFailure) {
        if self.is_recorded {
            return;
        }
        let now = self.shared.clock.now();
        self.shared
            .router
            .lock()
            .endpoints
            .record_failure(self.id, failure, now);
        self.is_recorded = true;
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.record_failure_once(AttemptFailure::Cancelled);
    }
}
