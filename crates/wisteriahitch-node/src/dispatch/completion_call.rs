//! Data of a completion while the daemon runs it.

use wisteriahitch_config::{Model, Route};
use wisteriahitch_core::route::{ChainScope, PieceChain, piece_chain};
use wisteriahitch_types::{
    AdapterName, AttemptNumber, EndpointId, RequestId, TimeUs, TokenCount, WeightVersion,
};
use wisteriahitch_wire::engine::{CompletionHead, Token};

use crate::caller::{Identity, Refusal};

/// A completion requested by a caller.
#[derive(Clone)]
pub(crate) struct CompletionCall {
    /// Workspace and configuration of the call.
    pub(crate) identity: Identity,
    /// Route that the rules chose.
    pub(crate) route: Route,
    /// Id of the request.
    pub(crate) request_id: RequestId,
    /// Arrival time at this daemon; for a resumption, the time of the resumption.
    pub(crate) arrived_us: TimeUs,
    /// Model to run.
    pub(crate) model: Model,
    /// Adapter to apply to the model.
    pub(crate) adapter: Option<AdapterName>,
    /// Prompt text.
    pub(crate) prompt: String,
    /// Number of prompt tokens.
    pub(crate) prompt_tokens: TokenCount,
    /// Maximum number of tokens to generate.
    pub(crate) max_tokens: TokenCount,
    /// Where to continue the answer; `None` for a new request.
    pub(crate) resumption: Option<Resumption>,
}

/// The point at which an interrupted answer continues.
#[derive(Clone, Debug)]
pub(crate) struct Resumption {
    /// Endpoint that generated the beginning.
    pub(crate) endpoint: EndpointId,
    /// Weight version that generated the beginning.
    pub(crate) weight_version: WeightVersion,
    /// Position of the first token to send.
    pub(crate) position: u64,
    /// Number of the first attempt, higher than every earlier one.
    pub(crate) attempt: AttemptNumber,
}

/// An event of a running completion, sent to the task that writes the response.
pub(crate) enum CompletionEvent {
    /// The answer begins; sent right before the first token.
    Head(CompletionHead),
    /// The next token.
    Token(Token),
    /// The answer is incomplete and will stay so.
    Refused(Refusal),
}

impl CompletionCall {
    /// Returns the deadline of the first token, which includes all time spent waiting.
    pub(crate) fn due_us(&self) -> TimeUs {
        self.arrived_us + self.route.deadline_us
    }

    /// Returns the chain of the prompt's pieces for a weight version.
    pub(crate) fn chain(&self, weight_version: &WeightVersion) -> PieceChain {
        let scope = ChainScope {
            workspace: &self.identity.workspace,
            model: &self.model.name,
            adapter: self.adapter.as_ref(),
            weight_version,
            piece_tokens: self.model.piece_tokens,
        };
        piece_chain(&scope, &self.prompt)
    }
}
