//! Importing blocks for waiting requests, from the pin to the endpoint's confirmation.

mod requests;

use std::collections::BTreeMap;

use wisteriahitch_types::{BlockKey, DurationUs, EndpointId, RequestId, StoreId, TimeUs};

use super::context::Context;
use super::import_request::{ImportRequest, StepState};
use super::import_right::{
    acquire_pin, free_corrupt, invalidate_if_current, release, release_unused_pin, transfer_failure,
};
use super::import_transfer::{ImportPhase, ImportTransfer};
use super::{ImportCounts, PinGrant, TierCommand, TransferClass, TransferFailure, TransferId};

/// Time after which an unanswered call counts as lost.
const CALL_TIMEOUT_US: DurationUs = DurationUs::from_ms(60_000);

/// Runs the imports of requests, and releases each request as soon as it can proceed.
///
/// No request waits longer than its plan's limit, or falls behind the rate at which the endpoint
/// would compute the blocks. After any failure the request proceeds and recomputes what is missing
/// (`docs/design/blocks.md`).
#[derive(Debug, Default)]
pub struct ImportPlanner {
    requests: BTreeMap<RequestId, ImportRequest>,
    transfers: BTreeMap<TransferId, ImportTransfer>,
    /// Imports in progress by endpoint and block, which later requests join.
    by_target: BTreeMap<(EndpointId, BlockKey), TransferId>,
    counts: ImportCounts,
}

impl ImportPlanner {
    /// Returns the counts of imports by result.
    pub fn counts(&self) -> ImportCounts {
        self.counts
    }

    /// Returns the number of requests that wait for imports.
    pub fn waiting_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of imports in progress.
    pub fn transfers(&self) -> usize {
        self.transfers.len()
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
            // A malformed answer to a pin says nothing about the block itself, which nobody has
            // read. Freeing the block would make every later reader recompute it.
            Err(TransferFailure::Corrupt) => return self.fail(id, TransferFailure::Lost, cx),
            Err(failure) => return self.fail(id, failure, cx),
        };
        if transfer.waiters.is_empty() {
            release_unused_pin(transfer, grant.pin, cx);
            self.remove(id);
            return;
        }
        match acquire_pin(transfer, &grant, cx) {
            Ok(acquired) => {
                transfer.phase = ImportPhase::Queued(acquired);
                transfer.call_sent_at_us = cx.now;
                self.enqueue(id, cx);
            }
            Err(error) => {
                release_unused_pin(transfer, grant.pin, cx);
                self.fail(id, transfer_failure(&error), cx);
            }
        }
    }

    fn enqueue(&mut self, id: TransferId, cx: &mut Context<'_>) {
        let Some(transfer) = self.transfers.get(&id) else {
            return;
        };
        let store = &transfer.location.store;
        let is_queued = cx
            .links
            .enqueue(store, id, TransferClass::Import, transfer.bytes, cx.now);
        if !is_queued {
            self.fail(id, TransferFailure::Full, cx);
        }
    }

    /// Starts an import on its link, if the pinned generation still exists.
    pub(crate) fn start(&mut self, id: TransferId, cx: &mut Context<'_>) {
        let Some(transfer) = self.transfers.get_mut(&id) else {
            return;
        };
        let ImportPhase::Queued(acquired) = &transfer.phase else {
            return;
        };
        let acquired = acquired.clone();
        // The block may have been freed while the import waited in the link's queue. An import
        // would then read whatever is stored there now. The store's generation check would refuse
        // it as `gone`, but later, while the caller waits.
        if !cx.blocks.is_pin_valid(&acquired.handle) {
            return self.fail(id, TransferFailure::Gone, cx);
        }
        cx.send(TierCommand::Import {
            transfer: id,
            endpoint: transfer.endpoint.clone(),
            store: transfer.location.store.clone(),
            key: transfer.location.key,
            generation: acquired.handle.generation,
            pin: acquired.pin.clone(),
            weight_version: transfer.reader.weight_version.clone(),
            bytes: transfer.bytes,
            crc32c: acquired.crc32c,
        });
        transfer.phase = ImportPhase::Running(acquired);
        transfer.call_sent_at_us = cx.now;
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

    /// Ends a failed import; the requests that wait for it proceed without it.
    fn fail(&mut self, id: TransferId, failure: TransferFailure, cx: &mut Context<'_>) {
        let Some(transfer) = self.remove(id) else {
            return;
        };
        release(&transfer, id, false, cx);
        self.handle_failure(&transfer, failure, cx);
        for (request, index) in transfer.waiters {
            self.truncate_plan(&request, index, cx);
            self.proceed_if_done(&request, cx);
        }
    }

    fn handle_failure(
        &mut self,
        transfer: &ImportTransfer,
        failure: TransferFailure,
        cx: &mut Context<'_>,
    ) {
        match failure {
            TransferFailure::Gone | TransferFailure::InProgress => {
                self.counts.gone += 1;
                invalidate_if_current(transfer, cx);
            }
            TransferFailure::Corrupt => {
                self.counts.corrupt += 1;
                free_corrupt(transfer, cx);
            }
            TransferFailure::Lost => {
                self.counts.lost += 1;
                cx.mark_suspect(&transfer.location);
            }
            TransferFailure::OtherVersion | TransferFailure::Full => self.counts.refused += 1,
        }
    }

    /// Ends every import from a store that restarted or can't be reached.
    pub(crate) fn store_lost(
        &mut self,
        store: &StoreId,
        failure: TransferFailure,
        cx: &mut Context<'_>,
    ) {
        let lost: Vec<TransferId> = self
            .transfers
            .iter()
            .filter(|(_, transfer)| transfer.location.store == *store)
            .map(|(id, _)| *id)
            .collect();
        for id in lost {
            self.fail(id, failure, cx);
        }
    }

    /// Releases requests whose imports are slower than recomputing, and ends imports whose call
    /// wasn't answered in time.
    pub(crate) fn tick(&mut self, cx: &mut Context<'_>) {
        let overdue: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request)| request.deadline() <= cx.now)
            .map(|(id, _)| id.clone())
            .collect();
        for request in overdue {
            let done = self.requests.get(&request).map(ImportRequest::done_steps);
            self.counts.late += 1;
            self.truncate_plan(&request, done.unwrap_or(0), cx);
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
            .filter(|(_, transfer)| now.since(transfer.call_sent_at_us) >= CALL_TIMEOUT_US)
            .map(|(id, _)| *id)
            .collect()
    }

    fn remove(&mut self, id: TransferId) -> Option<ImportTransfer> {
        let transfer = self.transfers.remove(&id)?;
        self.by_target
            .remove(&(transfer.endpoint.clone(), transfer.location.key));
        Some(transfer)
    }
}
