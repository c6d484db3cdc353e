//! Cuts a prompt into whole pieces and names each by a chained key.
//!
//! `docs/design/routing.md` says what a key binds and why equal text in two workspaces never
//! shares one.

use serde::{Deserialize, Serialize};
use wisteriahitch_types::{
    AdapterName, BlockKey, ModelName, TokenCount, WeightVersion, WorkspaceId,
};

const ROOT_CONTEXT: &str = "wisteriahitch 2026 block chain root v1";
const PIECE_CONTEXT: &str = "wisteriahitch 2026 block chain piece v1";
const NO_ADAPTER: &[u8] = &[0];
const WITH_ADAPTER: &[u8] = &[1];

/// Holds everything besides the text that a block key binds.
#[derive(Clone, Copy, Debug)]
pub struct ChainScope<'a> {
    /// Workspace that the request belongs to.
    pub workspace: &'a WorkspaceId,
    /// Model that computes the blocks.
    pub model: &'a ModelName,
    /// Adapter on top of the model.
    pub adapter: Option<&'a AdapterName>,
    /// Version of the weights that computes the blocks.
    pub weight_version: &'a WeightVersion,
    /// Tokens in one whole piece.
    pub piece_tokens: TokenCount,
}

impl ChainScope<'_> {
    fn root(&self) -> BlockKey {
        let (marker, adapter) = match self.adapter {
            Some(adapter) => (WITH_ADAPTER, adapter.as_str()),
            None => (NO_ADAPTER, ""),
        };
        let parts = [
            self.workspace.as_str().as_bytes(),
            self.model.as_str().as_bytes(),
            marker,
            adapter.as_bytes(),
            self.weight_version.as_str().as_bytes(),
            &self.piece_tokens.get().to_le_bytes(),
        ];
        BlockKey::derive(ROOT_CONTEXT, &parts)
    }
}

/// Names one whole piece of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Piece {
    /// Key, which binds the scope and every piece before this one.
    pub key: BlockKey,
    /// Tokens in this piece alone.
    pub tokens: TokenCount,
}

/// Holds the pieces of one prompt in their order.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct PieceChain {
    /// Whole pieces; a shorter rest at the end of the prompt is no block.
    pub blocks: Vec<Piece>,
    /// Tokens of the whole prompt, the rest included.
    pub prompt_tokens: TokenCount,
}

impl PieceChain {
    /// Returns the tokens of the first `count` pieces.
    pub fn prefix_tokens(&self, count: usize) -> TokenCount {
        self.blocks
            .iter()
            .take(count)
            .map(|piece| piece.tokens)
            .sum()
    }
}

/// Cuts `prompt` into whole pieces, in one pass and without copying it.
///
/// Tokens are counted by white space. A key covers the exact text, white space included, because
/// an engine's own tokens depend on it. A scope with pieces of zero tokens has no blocks.
pub fn piece_chain(scope: &ChainScope<'_>, prompt: &str) -> PieceChain {
    let piece_tokens = scope.piece_tokens.get();
    let mut blocks = Vec::new();
    let mut previous = scope.root();
    let mut piece_start = 0;
    let mut prompt_tokens = 0;
    for token in prompt.split_whitespace() {
        prompt_tokens += 1;
        if piece_tokens == 0 || prompt_tokens % piece_tokens != 0 {
            continue;
        }
        let piece_end = end_offset(token, prompt);
        let text = &prompt.as_bytes()[piece_start..piece_end];
        previous = BlockKey::derive(PIECE_CONTEXT, &[previous.as_bytes(), text]);
        blocks.push(Piece {
            key: previous,
            tokens: scope.piece_tokens,
        });
        piece_start = piece_end;
    }
    PieceChain {
        blocks,
        prompt_tokens: TokenCount::new(prompt_tokens),
    }
}

/// Returns the offset right after `token`, which is a slice of `prompt`.
fn end_offset(token: &str, prompt: &str) -> usize {
    token.as_ptr().addr() - prompt.as_ptr().addr() + token.len()
}
