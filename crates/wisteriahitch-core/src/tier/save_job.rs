//! A chain that is being saved, block after block from its front.

use std::collections::VecDeque;

use serde::Serialize;
use wisteriahitch_types::{
    EndpointId, Generation, StoreId, StoreIncarnation, Tier, TimeUs, WeightVersion, WorkspaceId,
};

use super::{BlockHandle, BlockIdentity, BlockLocation, ChainBlock};

/// Holds one block of a job.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct SaveBlock {
    pub(crate) block: ChainBlock,
    pub(crate) depth: u32,
    pub(crate) value: f64,
}

/// Holds the blocks of a chain that are still to be saved.
///
/// One at a time is under way, so that a failure never leaves a hole before saved blocks.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct SaveJob {
    pub(crate) workspace: WorkspaceId,
    pub(crate) weight_version: WeightVersion,
    pub(crate) endpoint: EndpointId,
    pub(crate) store: StoreId,
    pub(crate) blocks: VecDeque<SaveBlock>,
}

/// Tells how far the save of one block has come.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum SavePhase {
    /// It waits for the link.
    Queued,
    /// The store was asked for room.
    Reserving(Tier),
    /// The endpoint writes.
    Exporting(BlockHandle, Tier),
}

/// Holds the save of the front block of a job.
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
