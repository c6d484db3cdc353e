//! Faults and counters of a stand-in engine.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use wisteriahitch_types::RequestId;

/// Most request ids whose runs are counted; later ones are counted only together.
const MAX_COUNTED_REQUESTS: usize = 100_000;

/// Names what a stand-in engine does wrong on demand.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineFault {
    /// Nothing.
    None,
    /// It doesn't answer, and streams stand still.
    Freeze,
    /// The head of an answer comes this many milliseconds late.
    LateMs(u64),
    /// An answer carries the id of another request.
    WrongRequestId,
    /// A token in the middle comes twice.
    RepeatPosition,
    /// A token in the middle is left out.
    SkipPosition,
    /// The connection breaks in the middle.
    CloseMidway,
    /// An event in the middle doesn't parse.
    Nonsense,
    /// A request is refused as not run.
    RefuseNotRun,
    /// Answers 400, as to a request that is wrong.
    Reject,
    /// An exported block names another block than its own.
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
    /// Fault to show from now on, in place of the one before.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fault: Option<EngineFault>,
    /// Requests that the fault hits, or nothing for all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub count: Option<u64>,
    /// Whether the endpoint will go away soon.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaving: Option<bool>,
}

/// Fault that is on, with the requests that it still hits.
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

    /// Returns the fault that hits the next completion.
    pub(super) fn consume_for_completion(&mut self) -> EngineFault {
        self.consume(|fault| !fault.is_export_fault())
    }

    /// Returns the fault that hits the next export.
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
    /// Prompt tokens that were held already.
    pub cached_tokens: u64,
    /// Tokens of answers that were read again for a resumed stream.
    pub resumed_tokens: u64,
    /// Tokens of answers that were sent.
    pub decoded_tokens: u64,
    /// Blocks that came from a store.
    pub imported_blocks: u64,
    /// Tokens of the blocks that came from a store.
    pub imported_tokens: u64,
    /// Imports whose block was not the one that was asked for.
    pub corrupt_imports: u64,
    /// Blocks that were written to a store.
    pub exported_blocks: u64,
    /// Bytes of the blocks that were written to a store.
    pub exported_bytes: u64,
    /// Runs that ended before their last token.
    pub cancelled_runs: u64,
    /// Orders that were refused for their fencing number.
    pub fenced_orders: u64,
    /// Orders that were taken.
    pub taken_orders: u64,
    /// How often each request ran, for the first hundred thousand requests.
    pub runs: BTreeMap<RequestId, u64>,
    /// Runs of requests beyond these.
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
