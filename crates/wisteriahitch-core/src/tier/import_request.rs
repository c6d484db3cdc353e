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

/// Least number of steps by which an import may be behind the pace of computing: two cross a link
/// at once, and neither is done before both are nearly so.
const MIN_GRACE_STEPS: usize = 2;

/// Part of the steps by which an import may be behind; less gave up imports that caught up again
/// (`docs/design/links.md`).
const GRACE_DIVISOR: usize = 2;

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
    pub(crate) started_at_us: TimeUs,
    pub(crate) limit_us: DurationUs,
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

    /// Returns when the next step must be done for the import to keep ahead of computing.
    ///
    /// A request that waited for the whole limit and then computed after all would take twice as
    /// long as without any import, seen as first answers that a slowed link doubles. Held to the
    /// pace of computing, it loses half of that at most.
    pub(crate) fn deadline(&self) -> TimeUs {
        let steps = self.planned_steps.max(1);
        let grace = MIN_GRACE_STEPS.max(steps.div_ceil(GRACE_DIVISOR));
        let reached = (self.done_steps() + grace) as f64;
        let part = (reached / steps as f64).min(1.0);
        self.started_at_us + DurationUs::new((self.limit_us.as_f64() * part) as u64)
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
