//! Handling of the answers of the store and the endpoint during a save.

use wisteriahitch_types::{Generation, Tier};

use super::SavePlanner;
use crate::tier::context::Context;
use crate::tier::save_job::{SaveBlock, SavePhase};
use crate::tier::save_room::{begin_write, free_abandoned, free_at_store, free_unpublished};
use crate::tier::{
    BlockHandle, ExportReceipt, ReserveOutcome, TierCommand, TransferFailure, TransferId,
};

impl SavePlanner {
    pub(crate) fn reserved(
        &mut self,
        id: TransferId,
        result: Result<ReserveOutcome, TransferFailure>,
        cx: &mut Context<'_>,
    ) {
        if let Some((location, incarnation)) = self.abandoned.remove(&id) {
            return free_abandoned(&location, &incarnation, result, cx);
        }
        let Some(transfer) = self.transfers.get(&id) else {
            return;
        };
        let SavePhase::Reserving(tier) = transfer.phase else {
            return;
        };
        let store = transfer.job.store.clone();
        match result {
            Ok(ReserveOutcome::Granted(generation)) => self.export(id, generation, tier, cx),
            Ok(ReserveOutcome::AlreadyReadable(generation)) => {
                self.adopt_existing(id, generation, tier, cx);
            }
            Err(TransferFailure::Full) => {
                cx.stores.mark_full(&store, tier, cx.now);
                self.fall_back_to_disk(id, tier, cx);
            }
            Err(TransferFailure::Lost) => self.retry(id, cx),
            Err(_) => self.abandon(id, cx),
        }
    }

    fn fall_back_to_disk(&mut self, id: TransferId, full: Tier, cx: &mut Context<'_>) {
        let Some(transfer) = self.transfers.get(&id) else {
            return;
        };
        let bytes = transfer.front.block.bytes;
        let has_disk = cx
            .stores
            .has_space(&transfer.job.store, Tier::Disk, bytes, cx.now);
        if full == Tier::Memory && has_disk {
            return self.reserve(id, Tier::Disk, cx);
        }
        self.counts.full += 1;
        self.abandon(id, cx);
    }

    fn export(&mut self, id: TransferId, generation: Generation, tier: Tier, cx: &mut Context<'_>) {
        let Some(transfer) = self.transfers.get_mut(&id) else {
            return;
        };
        let location = transfer.location();
        let handle = cx
            .blocks
            .incarnation(&location.store)
            .cloned()
            .and_then(|incarnation| begin_write(transfer, incarnation, generation, tier, cx));
        let Some(handle) = handle else {
            free_at_store(&location, generation, cx);
            return self.abandon(id, cx);
        };
        cx.send(TierCommand::Export {
            transfer: id,
            endpoint: transfer.job.endpoint.clone(),
            store: location.store,
            key: location.key,
            generation,
            weight_version: transfer.job.weight_version.clone(),
        });
        transfer.phase = SavePhase::Exporting(handle, tier);
        transfer.call_sent_at_us = cx.now;
    }

    fn adopt_existing(
        &mut self,
        id: TransferId,
        generation: Generation,
        tier: Tier,
        cx: &mut Context<'_>,
    ) {
        let Some(transfer) = self.remove(id, false, cx) else {
            return;
        };
        cx.stores
            .release_space(&transfer.job.store, tier, transfer.front.block.bytes);
        let location = transfer.location();
        if let Some(incarnation) = cx.blocks.incarnation(&location.store).cloned() {
            let identity = transfer.identity(incarnation, generation);
            if cx
                .blocks
                .adopt(location.clone(), identity, tier, None)
                .is_err()
            {
                return;
            }
            let SaveBlock { value, depth, .. } = transfer.front;
            cx.eviction_index.touch(&location, tier, value, depth);
        }
        self.counts.already_there += 1;
        self.enqueue_next(transfer.job, cx);
    }

    pub(crate) fn exported(
        &mut self,
        id: TransferId,
        result: Result<ExportReceipt, TransferFailure>,
        cx: &mut Context<'_>,
    ) {
        let Some(transfer) = self.transfers.get(&id) else {
            return;
        };
        let SavePhase::Exporting(handle, tier) = transfer.phase.clone() else {
            return;
        };
        match result {
            Ok(receipt) => self.publish(id, &handle, tier, receipt, cx),
            Err(failure) => self.export_failed(id, &handle, failure, cx),
        }
    }

    fn publish(
        &mut self,
        id: TransferId,
        handle: &BlockHandle,
        tier: Tier,
        receipt: ExportReceipt,
        cx: &mut Context<'_>,
    ) {
        let sealed = cx
            .blocks
            .seal(handle, receipt.bytes, receipt.crc32c)
            .and_then(|()| cx.blocks.publish(handle));
        if sealed.is_err() {
            self.counts.corrupt += 1;
            free_unpublished(handle, cx);
            return self.abandon(id, cx);
        }
        let Some(transfer) = self.remove(id, true, cx) else {
            return;
        };
        let SaveBlock {
            value,
            depth,
            block,
        } = transfer.front;
        cx.eviction_index
            .touch(&handle.location, tier, value, depth);
        self.counts.finished += 1;
        self.counts.finished_bytes += block.bytes;
        self.enqueue_next(transfer.job, cx);
    }

    /// Handles a failed export and releases its space.
    ///
    /// After a lost answer the endpoint may still be writing. If the same generation were written
    /// again, a reader could see a partly written block. The generation is freed instead, so that
    /// the store refuses the late write, and a retry gets a new generation.
    fn export_failed(
        &mut self,
        id: TransferId,
        handle: &BlockHandle,
        failure: TransferFailure,
        cx: &mut Context<'_>,
    ) {
        free_unpublished(handle, cx);
        match failure {
            TransferFailure::Lost => self.retry(id, cx),
            TransferFailure::Gone => {
                self.counts.evicted_before += 1;
                self.abandon(id, cx);
            }
            TransferFailure::Full => {
                self.counts.full += 1;
                self.abandon(id, cx);
            }
            _ => self.abandon(id, cx),
        }
    }
}
