//! Imports that requests wait for, from the pin to the engine's word that it holds the block.

use std::collections::BTreeMap;

use serde::Serialize;
use wisteriahitch_types::{BlockKey, DurationUs, EndpointId, RequestId, StoreId, TimeUs};

use super::context::Context;
use super::import_request::{ImportRequest, StepState};
use super::import_right::{
    end_if_same, failure_of, free_corrupt, give_up_pin, hold, is_worth_a_pin, release,
};
use super::import_transfer::{ImportPhase, ImportTransfer};
use super::{
    ImportPlan, ImportStep, PinGrant, Place, TierCommand, TransferClass, TransferFailure,
    TransferId,
};

/// Bounds the imports under way; a request beyond it recomputes.
const MAX_TRANSFERS: usize = 4_096;

/// Bounds the steps of one plan.
const MAX_STEPS: usize = 256;

/// Longest wait for the answer to one call; afterwards the answer counts as lost.
const ANSWER_LIMIT_US: DurationUs = DurationUs::from_ms(60_000);

/// Counts how imports ended.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct ImportCounts {
    /// Imports that were started.
    pub started: u64,
    /// Steps that joined an import already under way.
    pub joined: u64,
    /// Imports after which the endpoint held the block.
    pub finished: u64,
    /// Blocks that were gone.
    pub gone: u64,
    /// Blocks that were corrupt or of another version, and were freed.
    pub corrupt: u64,
    /// Imports that failed since the store or endpoint was lost.
    pub lost: u64,
    /// Imports that found no room in a queue.
    pub refused: u64,
    /// Requests that went on because computing was faster.
    pub late: u64,
}

/// Runs the imports of requests, and lets each request go on as soon as it can.
///
/// No request waits longer than its plan's limit, nor behind the pace of computing: whatever
/// fails, it goes on and recomputes what is missing (`docs/design/blocks.md`).
#[derive(Debug, Default)]
pub struct ImportPlanner {
    requests: BTreeMap<RequestId, ImportRequest>,
    transfers: BTreeMap<TransferId, ImportTransfer>,
    by_target: BTreeMap<(EndpointId, BlockKey), TransferId>,
    counts: ImportCounts,
}

impl ImportPlanner {
    /// Returns how imports have ended.
    pub fn counts(&self) -> ImportCounts {
        self.counts
    }

    /// Returns how many requests wait.
    pub fn waiting_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns how many imports are under way.
    pub fn transfers(&self) -> usize {
        self.transfers.len()
    }

    /// Starts a request's imports; a plan that was under way under the same id is given up.
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

    fn join_or_start(
        &mut self,
        plan: &ImportPlan,
        step: &ImportStep,
        index: usize,
        cx: &mut Context<'_>,
    ) -> Option<TransferId> {
        let target = (plan.endpoint.clone(), step.key);
        let waiter = (plan.request.clone(), index);
        if let Some(id) = self.by_target.get(&target) {
            let transfer = self.transfers.get_mut(id)?;
            if transfer.reader != plan.reader {
                return None;
            }
            transfer.waiters.push(waiter);
            self.counts.joined += 1;
            return Some(*id);
        }
        if self.transfers.len() >= MAX_TRANSFERS {
            self.counts.refused += 1;
            return None;
        }
        let place = Place {
            store: step.store.clone(),
            key: step.key,
        };
        if !is_worth_a_pin(&place, &plan.reader, cx) {
            return None;
        }
        let incarnation = cx.blocks.incarnation(&step.store)?.clone();
        let id = cx.new_transfer();
        cx.send(TierCommand::Pin {
            transfer: id,
            store: step.store.clone(),
            incarnation: incarnation.clone(),
            key: step.key,
        });
        let transfer = ImportTransfer {
            endpoint: plan.endpoint.clone(),
            place,
            incarnation,
            reader: plan.reader.clone(),
            tokens: step.tokens,
            bytes: step.bytes,
            phase: ImportPhase::Pinning,
            asked_at_us: cx.now,
            waiters: vec![waiter],
        };
        self.counts.started += 1;
        self.by_target.insert(target, id);
        self.transfers.insert(id, transfer);
        Some(id)
    }

    pub(crate) fn pinned(
        &mut self,
        id: TransferId,
        result: Result<PinGrant, TransferFailure>,
        cx: &mut Context<'_>,
    ) {
        let Some(transfer) = self.transfers.get_mut(&id) else {
            return;
        };
        if !matches!(transfer.phase, ImportPhase::Pinning) {
            return;
        }
        let grant = match result {
            Ok(grant) => grant,
            // An answer that makes no sense says nothing of the block, which nobody has looked at;
            // freeing it would cost every later reader the import.
            Err(TransferFailure::Corrupt) => return self.fail(id, TransferFailure::Lost, cx),
            Err(failure) => return self.fail(id, failure, cx),
        };
        if transfer.waiters.is_empty() {
            give_up_pin(transfer, grant.pin, cx);
            self.remove(id);
            return;
        }
        match hold(transfer, &grant, cx) {
            Ok(held) => {
                transfer.phase = ImportPhase::Queued(held);
                transfer.asked_at_us = cx.now;
                self.enqueue(id, cx);
            }
            Err(error) => {
                give_up_pin(transfer, grant.pin, cx);
                self.fail(id, failure_of(&error), cx);
            }
        }
    }

    fn enqueue(&mut self, id: TransferId, cx: &mut Context<'_>) {
        let Some(transfer) = self.transfers.get(&id) else {
            return;
        };
        let store = &transfer.place.store;
        let is_queued = cx
            .links
            .enqueue(store, id, TransferClass::Wait, transfer.bytes, cx.now);
        if !is_queued {
            self.fail(id, TransferFailure::Full, cx);
        }
    }

    /// Lets an import cross its link, if its block is still the one that was pinned.
    pub(crate) fn start(&mut self, id: TransferId, cx: &mut Context<'_>) {
        let Some(transfer) = self.transfers.get_mut(&id) else {
            return;
        };
        let ImportPhase::Queued(held) = &transfer.phase else {
            return;
        };
        let held = held.clone();
        // The block may have been freed while its reader waited in the link's queue. Importing
        // it all the same would read whatever lies there now; the store's generation check would
        // show it as `gone`, only later, with the caller waiting all the while.
        if !cx.blocks.is_held(&held.handle) {
            return self.fail(id, TransferFailure::Gone, cx);
        }
        cx.send(TierCommand::Import {
            transfer: id,
            endpoint: transfer.endpoint.clone(),
            store: transfer.place.store.clone(),
            key: transfer.place.key,
            generation: held.handle.generation,
            pin: held.pin.clone(),
            weight_version: transfer.reader.weight_version.clone(),
            bytes: transfer.bytes,
            crc32c: held.crc32c,
        });
        transfer.phase = ImportPhase::Running(held);
        transfer.asked_at_us = cx.now;
    }

    pub(crate) fn imported(
        &mut self,
        id: TransferId,
        result: Result<(), TransferFailure>,
        cx: &mut Context<'_>,
    ) {
        let is_running = self
            .transfers
            .get(&id)
            .is_some_and(|transfer| matches!(transfer.phase, ImportPhase::Running(_)));
        if !is_running {
            return;
        }
        if let Err(failure) = result {
            return self.fail(id, failure, cx);
        }
        let Some(transfer) = self.remove(id) else {
            return;
        };
        self.counts.finished += 1;
        release(&transfer, id, true, cx);
        for (request, index) in transfer.waiters {
            if let Some(waiting) = self.requests.get_mut(&request)
                && let Some(step) = waiting.steps.get_mut(index)
            {
                *step = StepState::Done;
            }
            self.proceed_if_done(&request, cx);
        }
    }

    /// Ends an import that failed; everyone who waits for it goes on without it.
    fn fail(&mut self, id: TransferId, failure: TransferFailure, cx: &mut Context<'_>) {
        let Some(transfer) = self.remove(id) else {
            return;
        };
        release(&transfer, id, false, cx);
        self.blame(&transfer, failure, cx);
        for (request, index) in transfer.waiters {
            self.cut(&request, index, cx);
            self.proceed_if_done(&request, cx);
        }
    }

    fn blame(&mut self, transfer: &ImportTransfer, failure: TransferFailure, cx: &mut Context<'_>) {
        match failure {
            TransferFailure::Gone | TransferFailure::InProgress => {
                self.counts.gone += 1;
                end_if_same(transfer, cx);
            }
            TransferFailure::Corrupt => {
                self.counts.corrupt += 1;
                free_corrupt(transfer, cx);
            }
            TransferFailure::Lost => {
                self.counts.lost += 1;
                cx.suspect(&transfer.place);
            }
            TransferFailure::OtherVersion | TransferFailure::Full => self.counts.refused += 1,
        }
    }

    /// Cuts a request's plan, and gives up the imports that nobody waits for any more.
    fn cut(&mut self, request: &RequestId, len: usize, cx: &mut Context<'_>) {
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

    fn proceed_if_done(&mut self, request: &RequestId, cx: &mut Context<'_>) {
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

    /// Forgets a request whose caller went away; it gets no `Proceed`.
    pub(crate) fn cancel(&mut self, request: &RequestId, cx: &mut Context<'_>) {
        self.cut(request, 0, cx);
        self.requests.remove(request);
    }

    /// Ends every import from a store that died or can't be reached.
    pub(crate) fn store_lost(
        &mut self,
        store: &StoreId,
        failure: TransferFailure,
        cx: &mut Context<'_>,
    ) {
        let lost: Vec<TransferId> = self
            .transfers
            .iter()
            .filter(|(_, transfer)| transfer.place.store == *store)
            .map(|(id, _)| *id)
            .collect();
        for id in lost {
            self.fail(id, failure, cx);
        }
    }

    /// Lets requests go on whose imports are slower than computing, and gives up answers that never came.
    pub(crate) fn tick(&mut self, cx: &mut Context<'_>) {
        let late: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request)| request.deadline() <= cx.now)
            .map(|(id, _)| id.clone())
            .collect();
        for request in late {
            let done = self.requests.get(&request).map(ImportRequest::done_steps);
            self.counts.late += 1;
            self.cut(&request, done.unwrap_or(0), cx);
            self.proceed_if_done(&request, cx);
        }
        for id in self.unanswered(cx.now) {
            self.fail(id, TransferFailure::Lost, cx);
        }
    }

    fn unanswered(&self, now: TimeUs) -> Vec<TransferId> {
        self.transfers
            .iter()
            .filter(|(_, transfer)| !matches!(transfer.phase, ImportPhase::Queued(_)))
            .filter(|(_, transfer)| now.since(transfer.asked_at_us) >= ANSWER_LIMIT_US)
            .map(|(id, _)| *id)
            .collect()
    }

    fn remove(&mut self, id: TransferId) -> Option<ImportTransfer> {
        let transfer = self.transfers.remove(&id)?;
        self.by_target
            .remove(&(transfer.endpoint.clone(), transfer.place.key));
        Some(transfer)
    }
}
