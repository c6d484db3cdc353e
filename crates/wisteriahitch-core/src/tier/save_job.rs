//! A chain that is being saved, block by block from its front.

use std::collections::VecDeque;

use serde::Serialize;
use wisteriahitch_types::{
    EndpointId, Generation, StoreId, StoreIncarnation, Tier, TimeUs, WeightVersion, WorkspaceId,
};

use super::{BlockHandle, BlockIdentity, BlockLocation, ChainBlock};

/// One block of a save job.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct SaveBlock {
    pub(crate) block: ChainBlock,
    /// Index in the chain; 0 for the first block.
    pub(crate) depth: u32,
    /// Value when the request finished, at most that of the blocks in front.
    pub(crate) value: f64,
}

/// The blocks of a chain that are still to be saved.
///
/// Only one block is saved at a time, so that a failure never leaves a gap before saved blocks.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct SaveJob {
    pub(crate) workspace: WorkspaceId,
    pub(crate) weight_version: WeightVersion,
    pub(crate) endpoint: EndpointId,
    pub(crate) store: StoreId,
    pub(crate) blocks: VecDeque<SaveBlock>,
}

/// The progress of one block's save.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum SavePhase {
    /// Waiting in the link's queue.
    Queued,
    /// Waiting for the store to reserve space in this tier.
    Reserving(Tier),
    /// Waiting for the endpoint to write the block.
    Exporting(BlockHandle, Tier),
}

/// The save in progress of a job's front block.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct SaveTransfer {
    pub(crate) job: SaveJob,
    pub(crate) front: SaveBlock,
    pub(crate) phase: SavePhase,
    #[serde(rename = "asked_at_us")]
    pub(crate) call_sent_at_us: TimeUs,
    pub(crate) is_retry: bool,
}

impl SaveTransfer {
    pub(crate) fn location(&self) -> BlockLocation {
        BlockLocation {
            store: self.job.store.clone(),
            key: self.front.block.key,
        }
    }

    pub(crate) fn identity(
        &self,
        incarnation: StoreIncarnation,
        generation: Generation,
    ) -> BlockIdentity {
        BlockIdentity {
            incarnation,
            generation,
            weight_version: self.job.weight_version.clone(),
            workspace: Some(self.job.workspace.clone()),
            tokens: self.front.block.tokens,
            bytes: self.front.block.bytes,
        }
    }
}
