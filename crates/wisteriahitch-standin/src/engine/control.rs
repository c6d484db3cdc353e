//! Faults and counters of a stand-in engine.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use wisteriahitch_types::RequestId;

/// Maximum number of request ids whose runs are counted one by one; the runs of further ids are
/// counted in one total.
const MAX_COUNTED_REQUESTS: usize = 100_000;

/// Fault that a stand-in engine shows on demand.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineFault {
    /// No fault.
    None,
    /// Requests are not answered and open streams stall.
    Freeze,
    /// The head of an answer is delayed by this many milliseconds.
    LateMs(u64),
    /// A streamed answer carries the id of another request.
    WrongRequestId,
    /// The token halfway through a stream is sent twice.
    RepeatPosition,
    /// The token halfway through a stream is left out.
    SkipPosition,
    /// The connection is closed halfway through a stream.
    CloseMidway,
    /// The event halfway through a stream isn't valid JSON.
    Nonsense,
    /// A request is answered with 503 as not run.
    RefuseNotRun,
    /// A request is answered with 400, like an invalid request.
    Reject,
    /// The header of an exported block carries a wrong block key, under a valid checksum.
    CorruptExport,
    /// An exported block lacks its second half.
    ShortExport,
}

impl EngineFault {
    fn is_export_fault(self) -> bool {
        matches!(self, Self::CorruptExport | Self::ShortExport)
    }
}

/// Body of `POST /control`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineControl {
    /// Fault that replaces the current one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fault: Option<EngineFault>,
    /// Number of requests that the fault affects; `None` for all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub count: Option<u64>,
    /// Whether the endpoint reports that it is leaving.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaving: Option<bool>,
}

/// The current fault and the number of requests that it still affects (`None` for all).
#[derive(Debug, Default)]
pub(super) struct ActiveFault {
    fault: Option<EngineFault>,
    remaining: Option<u64>,
}

impl ActiveFault {
    pub(super) fn set(&mut self, fault: EngineFault, count: Option<u64>) {
        self.fault = Some(fault);
        self.remaining = count;
    }

    /// Returns the fault for one completion and counts it against the remaining requests.
    pub(super) fn consume_for_completion(&mut self) -> EngineFault {
        self.consume(|fault| !fault.is_export_fault())
    }

    /// Returns the fault for one export and counts it against the remaining requests.
    pub(super) fn consume_for_export(&mut self) -> EngineFault {
        self.consume(EngineFault::is_export_fault)
    }

    fn consume(&mut self, applies: impl Fn(EngineFault) -> bool) -> EngineFault {
        let Some(fault) = self.fault.filter(|fault| applies(*fault)) else {
            return EngineFault::None;
        };
        match &mut self.remaining {
            None => fault,
            Some(0) => EngineFault::None,
            Some(remaining) => {
                *remaining -= 1;
                fault
            }
        }
    }
}

/// Counts what a stand-in engine has done since it started.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineCounters {
    /// Prompt tokens that were computed.
    pub prefilled_tokens: u64,
    /// Prompt tokens that were found in the prefix cache.
    pub cached_tokens: u64,
    /// Answer tokens that resumed streams had to read again.
    pub resumed_tokens: u64,
    /// Answer tokens that were generated.
    pub decoded_tokens: u64,
    /// Blocks that were imported from a store.
    pub imported_blocks: u64,
    /// Tokens of the imported blocks.
    pub imported_tokens: u64,
    /// Imports refused because the content was not the requested block.
    pub corrupt_imports: u64,
    /// Blocks that were exported to a store.
    pub exported_blocks: u64,
    /// Bytes of the exported blocks.
    pub exported_bytes: u64,
    /// Runs that ended before their last token.
    pub cancelled_runs: u64,
    /// Orders that were refused because of an old fencing number.
    pub fenced_orders: u64,
    /// Orders that were accepted.
    pub taken_orders: u64,
    /// Number of runs of each request, for the first 100,000 request ids.
    pub runs: BTreeMap<RequestId, u64>,
    /// Runs of all request ids beyond these.
    pub uncounted_runs: u64,
}

impl EngineCounters {
    pub(super) fn add_run(&mut self, request: &RequestId) {
        if let Some(runs) = self.runs.get_mut(request) {
            *runs += 1;
        } else if self.runs.len() < MAX_COUNTED_REQUESTS {
            self.runs.insert(request.clone(), 1);
        } else {
            self.uncounted_runs += 1;
        }
    }
}
