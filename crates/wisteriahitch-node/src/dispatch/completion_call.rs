//! A completion as the daemon runs it.

use wisteriahitch_config::{Model, Route};
use wisteriahitch_core::route::{ChainScope, PieceChain, piece_chain};
use wisteriahitch_types::{
    AdapterName, AttemptNumber, EndpointId, RequestId, TimeUs, TokenCount, WeightVersion,
};
use wisteriahitch_wire::engine::{CompletionHead, Token};

use crate::caller::{Identity, Refusal};

/// Holds one caller's completion.
#[derive(Clone)]
pub(crate) struct CompletionCall {
    /// Whose call it is.
    pub(crate) identity: Identity,
    /// What the rules decided.
    pub(crate) route: Route,
    /// Name of the request.
    pub(crate) request_id: RequestId,
    /// When it arrived.
    pub(crate) arrived_us: TimeUs,
    /// Model to run.
    pub(crate) model: Model,
    /// Adapter on top of the model.
    pub(crate) adapter: Option<AdapterName>,
    /// Prompt text.
    pub(crate) prompt: String,
    /// Tokens of the prompt.
    pub(crate) prompt_tokens: TokenCount,
    /// Most tokens to generate.
    pub(crate) max_tokens: TokenCount,
    /// Where the answer goes on, when a caller resumes.
    pub(crate) resumption: Option<Resumption>,
}

/// Says where an answer goes on whose caller has its beginning.
#[derive(Clone, Debug)]
pub(crate) struct Resumption {
    /// Endpoint that gave the beginning.
    pub(crate) endpoint: EndpointId,
    /// Weight version that gave it.
    pub(crate) weight_version: WeightVersion,
    /// First token wanted.
    pub(crate) position: u64,
    /// Attempt to go on with, above every earlier one.
    pub(crate) attempt: AttemptNumber,
}

/// What a running completion tells the side that answers its caller.
pub(crate) enum CompletionEvent {
    /// The answer begins; sent right before its first token.
    Head(CompletionHead),
    /// The next token.
    Token(Token),
    /// The answer is not whole and won't be.
    Refused(Refusal),
}

impl CompletionCall {
    /// Returns when the first token must be there, whatever the call waits for until then.
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
