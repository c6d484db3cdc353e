//! A completion as the daemon runs it.

use wisteriahitch_config::{Model, Route};
use wisteriahitch_core::route::{ChainScope, PieceChain, piece_chain};
use wisteriahitch_types::{
    AdapterName, ModelName, RequestId, TimeUs, TokenCount, WeightVersion,
};
use wisteriahitch_wire::engine::{CompletionHead, Token};

use crate::caller::{Identity, Refusal};

/// Holds one caller's completion.
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
    /// First token wanted, above zero when a caller resumes.
    pub(crate) first_position: u64,
    /// Version that the answer must come from, when a caller resumes.
    pub(crate) pinned_version: Option<WeightVersion>,
}

/// What a running completion tells the side that answers its caller.
pub(crate) enum Piece {
    /// The answer begins; sent right before its first token.
    Head(CompletionHead),
    /// The next token.
    Token(Token),
    /// The answer is not whole and won't be.
    Refused(Refusal),
}

impl CompletionCall {
    /// Returns the chain of the prompt's pieces for a weight version.
    pub(crate) fn chain(&self, weight_version: &WeightVersion) -> PieceChain {
        let scope = ChainScope {
            secret: &[],
            workspace: &self.identity.workspace,
            model: &self.model.name,
            adapter: self.adapter.as_ref(),
            weight_version,
            piece_tokens: self.model.piece_tokens,
        };
        piece_chain(&scope, &self.prompt)
    }

    /// Returns the model's name.
    pub(crate) fn model_name(&self) -> &ModelName {
        &self.model.name
    }
}
