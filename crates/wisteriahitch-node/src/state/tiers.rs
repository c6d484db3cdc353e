//! Blocks, links and transfers, and the calls to stores and engines that they require.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::oneshot;
use wisteriahitch_core::tier::{ImportPlan, TierCommand, TierEvent, Tiers};
use wisteriahitch_types::{ByteCount, DurationUs, EndpointId, RequestId, StoreId, TimeUs};

use crate::dispatch::transfer;
use crate::shared::Shared;

/// The tier core and the requests that wait for its imports.
pub(crate) struct TierState {
    core: Mutex<Tiers>,
    waiters: Mutex<HashMap<RequestId, oneshot::Sender<()>>>,
}

impl TierState {
    /// Creates an empty state.
    pub(crate) fn new() -> Self {
        Self {
            core: Mutex::new(Tiers::new()),
            waiters: Mutex::default(),
        }
    }

    /// Estimates how long an import started now takes.
    pub(crate) fn transfer_time(
        &self,
        store: &StoreId,
        bytes: ByteCount,
        now: TimeUs,
    ) -> DurationUs {
        self.core.lock().transfer_time(store, bytes, now)
    }

    /// Runs `step` on the tier core. Only for steps that issue no commands.
    pub(crate) fn with<T>(&self, step: impl FnOnce(&mut Tiers) -> T) -> T {
        step(&mut self.core.lock())
    }
}

impl Shared {
    /// Waits until a request's imports have finished or been given up.
    pub(crate) async fn import(self: &Arc<Self>, plan: ImportPlan) {
        let (sender, receiver) = oneshot::channel();
        self.tiers
            .waiters
            .lock()
            .insert(plan.request.clone(), sender);
        self.run_tier_step(|tiers, now| tiers.plan_import(plan, now));
        // An error means that the import was cancelled; the request goes on without it.
        let _ = receiver.await;
    }

    /// Cancels the imports of a request whose caller has disconnected.
    pub(crate) fn cancel_import(self: &Arc<Self>, request: &RequestId) {
        self.tiers.waiters.lock().remove(request);
        self.run_tier_step(|tiers, now| tiers.cancel(request, now));
    }

    /// Passes an event to the tier core and executes the resulting commands.
    pub(crate) fn handle_tier_event(self: &Arc<Self>, event: TierEvent) {
        self.run_tier_step(|tiers, now| tiers.handle_event(event, now));
    }

    /// Runs a step of the tier core and executes the commands that it returns.
    pub(crate) fn run_tier_step(
        self: &Arc<Self>,
        step: impl FnOnce(&mut Tiers, TimeUs) -> Vec<TierCommand>,
    ) {
        let now = self.clock.now();
        let commands = step(&mut self.tiers.core.lock(), now);
        for command in commands {
            match command {
                TierCommand::Proceed { request, .. } => {
                    if let Some(waiter) = self.tiers.waiters.lock().remove(&request) {
                        let _ = waiter.send(());
                    }
                }
                command => {
                    tokio::spawn(transfer::run(Arc::clone(self), command));
                }
            }
        }
    }

    /// Returns a store VM's address, or `None` if it isn't configured.
    pub(crate) fn store_address(&self, store: &StoreId) -> Option<SocketAddr> {
        let in_force = self.in_force.load_full()?;
        in_force
            .configuration
            .stores
            .get(store)
            .map(|store| store.address)
    }

    /// Returns an endpoint's address, or `None` if it is unknown.
    pub(crate) fn endpoint_address(&self, endpoint: &EndpointId) -> Option<SocketAddr> {
        self.router.lock().endpoints.get_address(endpoint)
    }
}
