//! Saving the blocks of finished requests to stores.

mod answers;
mod choosing;

use std::collections::{BTreeMap, BTreeSet};

use wisteriahitch_types::{
    ByteCount, DurationUs, EndpointId, StoreId, StoreIncarnation, Tier, TimeUs, WorkspaceId,
};

use super::context::Context;
use super::save_job::{SavePhase, SaveTransfer};
use super::save_room::{evict_for_quota, free_unpublished, tier_with_space};
use super::{BlockLocation, SaveCounts, TierCommand, TransferId};

/// Maximum number of abandoned reservations whose late confirmation is still released.
const MAX_ABANDONED: usize = 1_024;

/// Time after which an unanswered call counts as lost.
const CALL_TIMEOUT_US: DurationUs = DurationUs::from_ms(60_000);

/// Chooses the blocks to save and runs each save, from the reservation until the block is readable.
#[derive(Debug, Default)]
pub struct SavePlanner {
    transfers: BTreeMap<TransferId, SaveTransfer>,
    /// Locations that are being saved.
    in_progress: BTreeSet<BlockLocation>,
    /// Reservations abandoned before their answer; their space is freed if the answer confirms it.
    abandoned: BTreeMap<TransferId, (BlockLocation, StoreIncarnation)>,
    quotas: BTreeMap<WorkspaceId, ByteCount>,
    stores_by_endpoint: BTreeMap<EndpointId, Vec<StoreId>>,
    counts: SaveCounts,
}

impl SavePlanner {
    /// Returns the counts of saves by result.
    pub fn counts(&self) -> SaveCounts {
        self.counts
    }

    /// Returns the number of chains that are being saved.
    pub fn jobs(&self) -> usize {
        self.transfers.len()
    }

    pub(crate) fn configure(
        &mut self,
        quotas: BTreeMap<WorkspaceId, ByteCount>,
        stores_by_endpoint: BTreeMap<EndpointId, Vec<StoreId>>,
    ) {
        self.quotas = quotas;
        self.stores_by_endpoint = stores_by_endpoint;
    }

    /// Reserves space at the store once the link starts the transfer.
    pub(crate) fn start(&mut self, id: TransferId, cx: &mut Context<'_>) {
        let Some(transfer) = self.transfers.get(&id) else {
            return;
        };
        let quota = self.quotas.get(&transfer.job.workspace).copied();
        let is_within_quota = quota.is_none_or(|quota| evict_for_quota(transfer, quota, cx));
        let tier = tier_with_space(&transfer.job.store, transfer.front.block.bytes, cx);
        match tier {
            Some(tier) if is_within_quota => self.reserve(id, tier, cx),
            _ => {
                self.counts.over_quota += u64::from(!is_within_quota);
                self.counts.full += u64::from(is_within_quota);
                self.abandon(id, cx);
            }
        }
    }

    fn reserve(&mut self, id: TransferId, tier: Tier, cx: &mut Context<'_>) {
        let Some(transfer) = self.transfers.get_mut(&id) else {
            return;
        };
        let job = &transfer.job;
        cx.stores
            .reserve_space(&job.store, tier, transfer.front.block.bytes);
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
        transfer.call_sent_at_us = cx.now;
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

    /// Drops a save together with the rest of its chain, which can't be used without this block.
    fn abandon(&mut self, id: TransferId, cx: &mut Context<'_>) {
        self.remove(id, false, cx);
    }

    fn remove(
        &mut self,
        id: TransferId,
        is_whole: bool,
        cx: &mut Context<'_>,
    ) -> Option<SaveTransfer> {
        let transfer = self.transfers.remove(&id)?;
        self.in_progress.remove(&transfer.location());
        cx.links.finish(&transfer.job.store, id, is_whole, cx.now);
        Some(transfer)
    }

    /// Abandons every save to a store that restarted or can't be reached.
    pub(crate) fn store_lost(&mut self, store: &StoreId, cx: &mut Context<'_>) {
        let lost: Vec<TransferId> = self
            .transfers
            .iter()
            .filter(|(_, transfer)| transfer.job.store == *store)
            .map(|(id, _)| *id)
            .collect();
        for id in lost {
            self.abandon_unanswered(id, cx);
        }
    }

    /// Abandons the saves whose call wasn't answered in time.
    pub(crate) fn tick(&mut self, cx: &mut Context<'_>) {
        for id in self.unanswered(cx.now) {
            self.abandon_unanswered(id, cx);
        }
    }

    /// Abandons a save whose answer may still come; space that a late answer confirms is released.
    fn abandon_unanswered(&mut self, id: TransferId, cx: &mut Context<'_>) {
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
                let location = transfer.location();
                if let Some(incarnation) = cx.blocks.incarnation(&location.store) {
                    self.abandoned.insert(id, (location, incarnation.clone()));
                }
            }
            SavePhase::Exporting(handle, _) => free_unpublished(handle, cx),
        }
    }

    fn unanswered(&self, now: TimeUs) -> Vec<TransferId> {
        self.transfers
            .iter()
            .filter(|(_, transfer)| !matches!(transfer.phase, SavePhase::Queued))
            .filter(|(_, transfer)| now.since(transfer.call_sent_at_us) >= CALL_TIMEOUT_US)
            .map(|(id, _)| *id)
            .collect()
    }
}
