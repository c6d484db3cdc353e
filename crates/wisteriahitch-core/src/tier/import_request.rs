//! A request that waits for blocks before it is sent to its endpoint.

use serde::Serialize;
use wisteriahitch_types::{
    BlockKey, ByteCount, DurationUs, EndpointId, RequestId, StoreId, TimeUs, TokenCount,
};

use super::{Reader, TransferId};

/// Holds one block that a request wants at its endpoint.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ImportStep {
    /// Store to read it from.
    pub store: StoreId,
    /// Block.
    pub key: BlockKey,
    /// Tokens in it.
    pub tokens: TokenCount,
    /// Length.
    pub bytes: ByteCount,
}

/// Holds what the router decided to import for a request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ImportPlan {
    /// Request.
    pub request: RequestId,
    /// Workspace and weight version that it was decided for.
    pub reader: Reader,
    /// Endpoint that it will run on.
    pub endpoint: EndpointId,
    /// Blocks in the order of the chain.
    pub steps: Vec<ImportStep>,
    /// What it would cost to compute all of them again; the import may take no longer.
    pub limit_us: DurationUs,
}

/// Tells how far one step has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum StepState {
    /// A transfer, its own or one that it joined, is under way.
    Waiting(TransferId),
    /// The endpoint holds the block.
    Done,
}

/// Holds a request whose imports are under way.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ImportRequest {
    pub(crate) deadline_us: TimeUs,
    pub(crate) planned_steps: usize,
    /// Steps that still count; all behind a failed one are useless and are cut off.
    pub(crate) steps: Vec<StepState>,
}

impl ImportRequest {
    pub(crate) fn is_done(&self) -> bool {
        self.steps.iter().all(|step| *step == StepState::Done)
    }

    /// Returns how many steps from the front are done without a hole.
    pub(crate) fn done_steps(&self) -> usize {
        self.steps
            .iter()
            .take_while(|step| **step == StepState::Done)
            .count()
    }

    /// Cuts the plan to `len` steps and returns the transfers that it no longer waits for.
    pub(crate) fn truncate(&mut self, len: usize) -> Vec<TransferId> {
        let kept = len.min(self.steps.len());
        self.steps
            .drain(kept..)
            .filter_map(|step| match step {
                StepState::Waiting(transfer) => Some(transfer),
                StepState::Done => None,
            })
            .collect()
    }
}
