//! The requests that wait for imports, from their plan to their release.

use wisteriahitch_types::RequestId;

use super::ImportPlanner;
use crate::tier::context::Context;
use crate::tier::import_request::{ImportRequest, StepState};
use crate::tier::import_right::{can_request_pin, release};
use crate::tier::import_transfer::{ImportPhase, ImportTransfer};
use crate::tier::{BlockLocation, ImportPlan, ImportStep, TierCommand, TransferId};

/// Maximum number of imports in progress; a request beyond it recomputes.
const MAX_TRANSFERS: usize = 4_096;

/// Maximum number of steps per plan.
const MAX_STEPS: usize = 256;

impl ImportPlanner {
    /// Starts a request's imports; an earlier plan with the same request id is cancelled.
    pub(crate) fn plan(&mut self, plan: ImportPlan, cx: &mut Context<'_>) {
        self.cancel(&plan.request, cx);
        let mut request = ImportRequest {
            started_at_us: cx.now,
            limit_us: plan.limit_us,
            planned_steps: plan.steps.len(),
            steps: Vec::new(),
        };
        for (index, step) in plan.steps.iter().take(MAX_STEPS).enumerate() {
            let Some(id) = self.join_or_start(&plan, step, index, cx) else {
                break;
            };
            request.steps.push(StepState::Waiting(id));
        }
        self.requests.insert(plan.request.clone(), request);
        self.proceed_if_done(&plan.request, cx);
    }

    /// Returns the transfer that a step waits for, or `None` if the block is to be recomputed.
    fn join_or_start(
        &mut self,
        plan: &ImportPlan,
        step: &ImportStep,
        index: usize,
        cx: &mut Context<'_>,
    ) -> Option<TransferId> {
        let target = (plan.endpoint.clone(), step.key);
        let waiter = (plan.request.clone(), index);
        if let Some(id) = self.by_target.get(&target).copied() {
            return self.join(id, plan, waiter);
        }
        if self.transfers.len() >= MAX_TRANSFERS {
            self.counts.refused += 1;
            return None;
        }
        let (id, transfer) = request_pin(plan, step, waiter, cx)?;
        self.counts.started += 1;
        self.by_target.insert(target, id);
        self.transfers.insert(id, transfer);
        Some(id)
    }

    fn join(
        &mut self,
        id: TransferId,
        plan: &ImportPlan,
        waiter: (RequestId, usize),
    ) -> Option<TransferId> {
        let transfer = self.transfers.get_mut(&id)?;
        if transfer.reader != plan.reader {
            return None;
        }
        transfer.waiters.push(waiter);
        self.counts.joined += 1;
        Some(id)
    }

    /// Truncates a request's plan to `len` steps, and drops queued imports that no request waits
    /// for any more.
    pub(super) fn truncate_plan(&mut self, request: &RequestId, len: usize, cx: &mut Context<'_>) {
        let Some(waiting) = self.requests.get_mut(request) else {
            return;
        };
        for id in waiting.truncate(len) {
            let Some(transfer) = self.transfers.get_mut(&id) else {
                continue;
            };
            transfer.waiters.retain(|(waiter, _)| waiter != request);
            let is_queued = matches!(transfer.phase, ImportPhase::Queued(_));
            if is_queued && transfer.waiters.is_empty() {
                let idle = self.remove(id);
                idle.iter()
                    .for_each(|transfer| release(transfer, id, false, cx));
            }
        }
    }

    pub(super) fn proceed_if_done(&mut self, request: &RequestId, cx: &mut Context<'_>) {
        if !self
            .requests
            .get(request)
            .is_some_and(ImportRequest::is_done)
        {
            return;
        }
        let Some(done) = self.requests.remove(request) else {
            return;
        };
        cx.send(TierCommand::Proceed {
            request: request.clone(),
            imported_steps: done.steps.len(),
            recomputed_steps: done.planned_steps - done.steps.len(),
        });
    }

    /// Drops a request whose caller has disconnected; no `Proceed` follows.
    pub(crate) fn cancel(&mut self, request: &RequestId, cx: &mut Context<'_>) {
        self.truncate_plan(request, 0, cx);
        self.requests.remove(request);
    }
}

/// Requests a pin from the store, unless the block is known to be unusable.
fn request_pin(
    plan: &ImportPlan,
    step: &ImportStep,
    waiter: (RequestId, usize),
    cx: &mut Context<'_>,
) -> Option<(TransferId, ImportTransfer)> {
    let location = BlockLocation {
        store: step.store.clone(),
        key: step.key,
    };
    if !can_request_pin(&location, &plan.reader, cx) {
        return None;
    }
    let incarnation = cx.blocks.incarnation(&step.store)?.clone();
    let id = cx.new_transfer_id();
    cx.send(TierCommand::Pin {
        transfer: id,
        store: step.store.clone(),
        incarnation: incarnation.clone(),
        key: step.key,
    });
    let transfer = ImportTransfer {
        endpoint: plan.endpoint.clone(),
        location,
        incarnation,
        reader: plan.reader.clone(),
        tokens: step.tokens,
        bytes: step.bytes,
        phase: ImportPhase::Pinning,
        call_sent_at_us: cx.now,
        waiters: vec![waiter],
    };
    Some((id, transfer))
}
