//! What is saved after a request, and how.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::Serialize;
use wisteriahitch_types::{
    ByteCount, DurationUs, EndpointId, Generation, StoreId, StoreIncarnation, Tier, TimeUs,
    WorkspaceId,
};

use super::context::Context;
use super::save_job::{SaveBlock, SaveJob, SavePhase, SaveTransfer};
use super::save_room::{
    begin_write, free_at_store, free_late_room, give_back, keep_quota, readable_tier, room,
};
use super::save_value::{is_worth_saving, value};
use super::{
    BlockHandle, BlockUse, ExportReceipt, FinishedRequest, Place, ReservedRoom, TierCommand,
    TransferClass, TransferFailure, TransferId, UseTable,
};

/// Bounds the chains that are being saved; a further one is left out until its next use.
const MAX_JOBS: usize = 1_024;

/// Bounds the blocks of one chain.
const MAX_CHAIN: usize = 256;

/// Bounds the reservations whose late answer is still freed.
const MAX_ABANDONED: usize = 1_024;

/// Longest wait for the answer to one call; afterwards the answer counts as lost.
const ANSWER_LIMIT_US: DurationUs = DurationUs::from_ms(60_000);

/// Counts how saves ended.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct SaveCounts {
    /// Blocks that joined a link's queue.
    pub queued: u64,
    /// Blocks that became readable.
    pub finished: u64,
    /// Bytes of those.
    pub finished_bytes: ByteCount,
    /// Blocks that the store held already.
    pub already_there: u64,
    /// Blocks tried a second time.
    pub retried: u64,
    /// Blocks given up since the store or endpoint was lost.
    pub lost: u64,
    /// Blocks that the endpoint had evicted before.
    pub evicted_before: u64,
    /// Blocks for which there was no room.
    pub full: u64,
    /// Blocks over their workspace's quota.
    pub over_quota: u64,
    /// Blocks whose written length was wrong.
    pub corrupt: u64,
}

/// Decides what is saved, and runs each save from the reservation to the readable block.
#[derive(Debug, Default)]
pub struct SavePlanner {
    transfers: BTreeMap<TransferId, SaveTransfer>,
    under_way: BTreeSet<Place>,
    abandoned: BTreeMap<TransferId, (Place, StoreIncarnation)>,
    quotas: BTreeMap<WorkspaceId, ByteCount>,
    stores_of: BTreeMap<EndpointId, Vec<StoreId>>,
    counts: SaveCounts,
}

impl SavePlanner {
    /// Returns how saves have ended.
    pub fn counts(&self) -> SaveCounts {
        self.counts
    }

    /// Returns how many chains are being saved.
    pub fn jobs(&self) -> usize {
        self.transfers.len()
    }

    pub(crate) fn configure(
        &mut self,
        quotas: BTreeMap<WorkspaceId, ByteCount>,
        stores_of: BTreeMap<EndpointId, Vec<StoreId>>,
    ) {
        self.quotas = quotas;
        self.stores_of = stores_of;
    }

    /// Ranks the blocks that a request used, and starts to save those that are worth it.
    pub(crate) fn finished(
        &mut self,
        request: &FinishedRequest,
        block_uses: &[BlockUse],
        uses: &UseTable,
        cx: &mut Context<'_>,
    ) {
        let Some(store) = self.choose_store(request, cx) else {
            return;
        };
        let mut least = f64::MAX;
        let mut blocks = VecDeque::new();
        let mut is_saving = true;
        let pairs = request.chain.iter().zip(block_uses).take(MAX_CHAIN);
        for (depth, (block, block_use)) in pairs.enumerate() {
            // Deeper blocks never rank above those that they need, so chains go from their end.
            least = least.min(value(request, block, block_use, &store, uses, cx));
            let place = Place {
                store: store.clone(),
                key: block.key,
            };
            if let Some(tier) = readable_tier(&place, cx) {
                cx.ranks.touch(&place, tier, least, depth as u32);
                continue;
            }
            is_saving &= is_worth_saving(request.policy, least, block_use, &store, cx)
                && !self.under_way.contains(&place);
            if is_saving {
                blocks.push_back(SaveBlock {
                    block: *block,
                    depth: depth as u32,
                    value: least,
                });
            }
        }
        self.next_block(
            SaveJob {
                workspace: request.workspace.clone(),
                weight_version: request.weight_version.clone(),
                endpoint: request.endpoint.clone(),
                store,
                blocks,
            },
            cx,
        );
    }

    /// Chooses the endpoint's store that holds most of the chain's front, then the freest link.
    fn choose_store(&self, request: &FinishedRequest, cx: &Context<'_>) -> Option<StoreId> {
        let candidates = self.stores_of.get(&request.endpoint)?;
        candidates
            .iter()
            .filter(|store| cx.stores.takes_saves(store))
            .max_by_key(|store| {
                let held = request.chain.iter().take_while(|block| {
                    let place = Place {
                        store: (*store).clone(),
                        key: block.key,
                    };
                    readable_tier(&place, cx).is_some()
                });
                let waiting = cx.links.get(store).map_or(0, |link| link.waiting().len());
                (held.count(), std::cmp::Reverse(waiting))
            })
            .cloned()
    }

    fn next_block(&mut self, mut job: SaveJob, cx: &mut Context<'_>) {
        while let Some(front) = job.blocks.pop_front() {
            let place = Place {
                store: job.store.clone(),
                key: front.block.key,
            };
            if readable_tier(&place, cx).is_none() {
                return self.enqueue(job, front, false, cx);
            }
        }
    }

    fn enqueue(&mut self, job: SaveJob, front: SaveBlock, is_retry: bool, cx: &mut Context<'_>) {
        if self.transfers.len() >= MAX_JOBS {
            return;
        }
        let id = cx.new_transfer();
        let bytes = front.block.bytes;
        if !cx
            .links
            .enqueue(&job.store, id, TransferClass::Save, bytes, cx.now)
        {
            return;
        }
        let transfer = SaveTransfer {
            job,
            front,
            phase: SavePhase::Queued,
            asked_at_us: cx.now,
            is_retry,
        };
        self.counts.queued += 1;
        self.under_way.insert(transfer.place());
        self.transfers.insert(id, transfer);
    }

    /// Asks for room once the link lets the save cross.
    pub(crate) fn start(&mut self, id: TransferId, cx: &mut Context<'_>) {
        let Some(transfer) = self.transfers.get(&id) else {
            return;
        };
        let quota = self.quotas.get(&transfer.job.workspace).copied();
        let is_within_quota = quota.is_none_or(|quota| keep_quota(transfer, quota, cx));
        let tier = room(&transfer.job.store, transfer.front.block.bytes, cx);
        match tier {
            Some(tier) if is_within_quota => self.reserve(id, tier, cx),
            _ => {
                self.counts.over_quota += u64::from(!is_within_quota);
                self.counts.full += u64::from(is_within_quota);
                self.end(id, cx);
            }
        }
    }

    fn reserve(&mut self, id: TransferId, tier: Tier, cx: &mut Context<'_>) {
        let Some(transfer) = self.transfers.get_mut(&id) else {
            return;
        };
        let job = &transfer.job;
        cx.stores.take(&job.store, tier, transfer.front.block.bytes);
        cx.send(TierCommand::Reserve {
            transfer: id,
            store: job.store.clone(),
            key: transfer.front.block.key,
            tokens: transfer.front.block.tokens,
            bytes: transfer.front.block.bytes,
            weight_version: job.weight_version.clone(),
            tier,
            workspace: job.workspace.clone(),
        });
        transfer.phase = SavePhase::Reserving(tier);
        transfer.asked_at_us = cx.now;
    }

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

    fn retry(&mut self, id: TransferId, cx: &mut Context<'_>) {
        let Some(transfer) = self.remove(id, false, cx) else {
            return;
        };
        if transfer.is_retry {
            self.counts.lost += 1;
            return;
        }
        self.counts.retried += 1;
        self.enqueue(transfer.job, transfer.front, true, cx);
    }

    /// Gives up a save with the rest of its chain, which would be useless without it.
    fn end(&mut self, id: TransferId, cx: &mut Context<'_>) {
        self.remove(id, false, cx);
    }

    fn remove(
        &mut self,
        id: TransferId,
        is_whole: bool,
        cx: &mut Context<'_>,
    ) -> Option<SaveTransfer> {
        let transfer = self.transfers.remove(&id)?;
        self.under_way.remove(&transfer.place());
        cx.links.finish(&transfer.job.store, id, is_whole, cx.now);
        Some(transfer)
    }

    /// Gives up every save to a store that died or can't be reached.
    pub(crate) fn store_lost(&mut self, store: &StoreId, cx: &mut Context<'_>) {
        let lost: Vec<TransferId> = self
            .transfers
            .iter()
            .filter(|(_, transfer)| transfer.job.store == *store)
            .map(|(id, _)| *id)
            .collect();
        for id in lost {
            self.give_up(id, cx);
        }
    }

    /// Gives up answers that never came.
    pub(crate) fn tick(&mut self, cx: &mut Context<'_>) {
        for id in self.unanswered(cx.now) {
            self.give_up(id, cx);
        }
    }

    /// Gives up a save whose answer may still come; room that it then names is given back.
    fn give_up(&mut self, id: TransferId, cx: &mut Context<'_>) {
        let Some(transfer) = self.remove(id, false, cx) else {
            return;
        };
        self.counts.lost += 1;
        match &transfer.phase {
            SavePhase::Queued => {}
            SavePhase::Reserving(_) => {
                if self.abandoned.len() >= MAX_ABANDONED {
                    self.abandoned.pop_first();
                }
                let place = transfer.place();
                if let Some(incarnation) = cx.blocks.incarnation(&place.store) {
                    self.abandoned.insert(id, (place, incarnation.clone()));
                }
            }
            SavePhase::Exporting(handle, _) => give_back(handle, cx),
        }
    }

    fn unanswered(&self, now: TimeUs) -> Vec<TransferId> {
        self.transfers
            .iter()
            .filter(|(_, transfer)| !matches!(transfer.phase, SavePhase::Queued))
            .filter(|(_, transfer)| now.since(transfer.asked_at_us) >= ANSWER_LIMIT_US)
            .map(|(id, _)| *id)
            .collect()
    }
}
