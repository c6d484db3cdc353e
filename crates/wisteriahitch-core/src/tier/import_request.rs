//! A request that waits for imports before it is sent to its endpoint.

use serde::Serialize;
use wisteriahitch_types::{
    BlockKey, ByteCount, DurationUs, EndpointId, RequestId, StoreId, TimeUs, TokenCount,
};

use super::{Reader, TransferId};

/// One block to import for a request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ImportStep {
    /// Store to read the block from.
    pub store: StoreId,
    /// Key of the block.
    pub key: BlockKey,
    /// Number of tokens in the block.
    pub tokens: TokenCount,
    /// Length of the block.
    pub bytes: ByteCount,
}

/// The imports that the router chose for a request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ImportPlan {
    /// Request that waits for the imports.
    pub request: RequestId,
    /// Workspace and weight version for which the request was routed.
    pub reader: Reader,
    /// Endpoint that the request will run on.
    pub endpoint: EndpointId,
    /// Blocks in the order of the chain, from its front.
    pub steps: Vec<ImportStep>,
    /// Time that it would take to compute all of the blocks instead; the request waits no longer.
    pub limit_us: DurationUs,
}

/// Minimum number of steps by which an import may be behind computing. Two blocks cross a link at
/// once, and the first isn't done before both nearly are.
const MIN_GRACE_STEPS: usize = 2;

/// Divisor that gives the fraction of the steps by which an import may be behind computing. A
/// smaller fraction gave up imports that would have caught up (`docs/design/links.md`).
const GRACE_DIVISOR: usize = 2;

/// The progress of one step.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum StepState {
    /// Waiting for a transfer, started by this step or joined.
    Waiting(TransferId),
    /// The endpoint holds the block.
    Done,
}

/// A request whose imports are in progress.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ImportRequest {
    pub(crate) started_at_us: TimeUs,
    pub(crate) limit_us: DurationUs,
    pub(crate) planned_steps: usize,
    /// Remaining steps. Those from a failed one onwards are removed, since a block can't be used
    /// without the blocks before it.
    pub(crate) steps: Vec<StepState>,
}

impl ImportRequest {
    pub(crate) fn is_done(&self) -> bool {
        self.steps.iter().all(|step| *step == StepState::Done)
    }

    /// Returns the number of finished steps before the first unfinished one.
    pub(crate) fn done_steps(&self) -> usize {
        self.steps
            .iter()
            .take_while(|step| **step == StepState::Done)
            .count()
    }

    /// Returns the time by which the next step must be finished for the import to keep up with
    /// computing.
    ///
    /// If a request waited for the whole limit and then computed after all, its first answer would
    /// take twice as long as without any import, as seen with a slowed link. By following the rate
    /// of computing, it loses at most half of that.
    pub(crate) fn deadline(&self) -> TimeUs {
        let steps = self.planned_steps.max(1);
        let grace = MIN_GRACE_STEPS.max(steps.div_ceil(GRACE_DIVISOR));
        let reached = (self.done_steps() + grace) as f64;
        let fraction = (reached / steps as f64).min(1.0);
        self.started_at_us + DurationUs::new((self.limit_us.as_f64() * fraction) as u64)
    }

    /// Truncates the plan to `len` steps and returns the transfers that the request no longer waits
    /// for.
    pub(crate) fn truncate(&mut self, len: usize) -> Vec<TransferId> {
        let new_len = len.min(self.steps.len());
        self.steps
            .drain(new_len..)
            .filter_map(|step| match step {
                StepState::Waiting(transfer) => Some(transfer),
                StepState::Done => None,
            })
            .collect()
    }
}
