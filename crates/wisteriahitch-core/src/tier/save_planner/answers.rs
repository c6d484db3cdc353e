//! What a save does next, by the store's and the endpoint's answers.

use wisteriahitch_types::{Generation, Tier};

use super::SavePlanner;
use crate::tier::context::Context;
use crate::tier::save_job::{SaveBlock, SavePhase};
use crate::tier::save_room::{begin_write, free_at_store, free_late_room, give_back};
use crate::tier::{
    BlockHandle, ExportReceipt, ReservedRoom, TierCommand, TransferFailure, TransferId,
};

impl SavePlanner {
    pub(crate) fn reserved(
        &mut self,
        id: TransferId,
        result: Result<ReservedRoom, TransferFailure>,
        cx: &mut Context<'_>,
    ) {
        if let Some((place, incarnation)) = self.abandoned.remove(&id) {
            return free_late_room(&place, &incarnation, result, cx);
        }
        let Some(transfer) = self.transfers.get(&id) else {
            return;
        };
        let SavePhase::Reserving(tier) = transfer.phase else {
            return;
        };
        let store = transfer.job.store.clone();
        match result {
            Ok(ReservedRoom::Room(generation)) => self.export(id, generation, tier, cx),
            Ok(ReservedRoom::AlreadyReadable(generation)) => {
                self.already_there(id, generation, tier, cx);
            }
            Err(TransferFailure::Full) => {
                cx.stores.set_full(&store, tier, cx.now);
                self.other_tier(id, tier, cx);
            }
            Err(TransferFailure::Lost) => self.retry(id, cx),
            Err(_) => self.end(id, cx),
        }
    }

    fn other_tier(&mut self, id: TransferId, full: Tier, cx: &mut Context<'_>) {
        let Some(transfer) = self.transfers.get(&id) else {
            return;
        };
        let bytes = transfer.front.block.bytes;
        let has_disk = cx
            .stores
            .has_room(&transfer.job.store, Tier::Disk, bytes, cx.now);
        if full == Tier::Memory && has_disk {
            return self.reserve(id, Tier::Disk, cx);
        }
        self.counts.full += 1;
        self.end(id, cx);
    }

    fn export(&mut self, id: TransferId, generation: Generation, tier: Tier, cx: &mut Context<'_>) {
        let Some(transfer) = self.transfers.get_mut(&id) else {
            return;
        };
        let place = transfer.place();
        let handle = cx
            .blocks
            .incarnation(&place.store)
            .cloned()
            .and_then(|incarnation| begin_write(transfer, incarnation, generation, tier, cx));
        let Some(handle) = handle else {
            free_at_store(&place, generation, cx);
            return self.end(id, cx);
        };
        cx.send(TierCommand::Export {
            transfer: id,
            endpoint: transfer.job.endpoint.clone(),
            store: place.store,
            key: place.key,
            generation,
            weight_version: transfer.job.weight_version.clone(),
        });
        transfer.phase = SavePhase::Exporting(handle, tier);
        transfer.asked_at_us = cx.now;
    }

    fn already_there(
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
            .give(&transfer.job.store, tier, transfer.front.block.bytes);
        let place = transfer.place();
        if let Some(incarnation) = cx.blocks.incarnation(&place.store).cloned() {
            let identity = transfer.identity(incarnation, generation);
            if cx
                .blocks
                .adopt(place.clone(), identity, tier, None)
                .is_err()
            {
                return;
            }
            let SaveBlock { value, depth, .. } = transfer.front;
            cx.ranks.touch(&place, tier, value, depth);
        }
        self.counts.already_there += 1;
        self.next_block(transfer.job, cx);
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
            give_back(handle, cx);
            return self.end(id, cx);
        }
        let Some(transfer) = self.remove(id, true, cx) else {
            return;
        };
        let SaveBlock {
            value,
            depth,
            block,
        } = transfer.front;
        cx.ranks.touch(&handle.place, tier, value, depth);
        self.counts.finished += 1;
        self.counts.finished_bytes += block.bytes;
        self.next_block(transfer.job, cx);
    }

    /// Ends a save whose content did not arrive, and gives its room back.
    ///
    /// After a lost answer the endpoint may still be writing. Were the room used as it is, a
    /// reader could meet a part of the block; so the generation is freed, the late write is
    /// refused by the store, and a second try gets a generation of its own.
    fn export_failed(
        &mut self,
        id: TransferId,
        handle: &BlockHandle,
        failure: TransferFailure,
        cx: &mut Context<'_>,
    ) {
        give_back(handle, cx);
        match failure {
            TransferFailure::Lost => self.retry(id, cx),
            TransferFailure::Gone => {
                self.counts.evicted_before += 1;
                self.end(id, cx);
            }
            TransferFailure::Full => {
                self.counts.full += 1;
                self.end(id, cx);
            }
            _ => self.end(id, cx),
        }
    }
}
