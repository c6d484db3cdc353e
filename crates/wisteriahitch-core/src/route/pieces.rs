//! Splitting of a prompt into pieces that are named by chained keys.
//!
//! `docs/design/routing.md` describes what a key covers and why equal text in two workspaces never
//! has the same key.

use serde::{Deserialize, Serialize};
use wisteriahitch_types::{
    AdapterName, BlockKey, ModelName, TokenCount, WeightVersion, WorkspaceId,
};

/// Key derivation context of the root of a chain.
const ROOT_CONTEXT: &str = "wisteriahitch 2026 block chain root v1";
/// Key derivation context of a piece.
const PIECE_CONTEXT: &str = "wisteriahitch 2026 block chain piece v1";
/// Precedes the adapter name in the root, so that no adapter differs from one with an empty name.
const NO_ADAPTER: &[u8] = &[0];
const WITH_ADAPTER: &[u8] = &[1];

/// Everything besides the text that a block key depends on.
#[derive(Clone, Copy, Debug)]
pub struct ChainScope<'a> {
    /// Workspace of the request.
    pub workspace: &'a WorkspaceId,
    /// Model that computes the blocks.
    pub model: &'a ModelName,
    /// Adapter that is applied to the model, if any.
    pub adapter: Option<&'a AdapterName>,
    /// Weight version that computes the blocks.
    pub weight_version: &'a WeightVersion,
    /// Number of tokens in one piece.
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

/// One piece of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Piece {
    /// Key of the block, which depends on the scope, this piece and every piece before it.
    pub key: BlockKey,
    /// Number of tokens in this piece alone.
    pub tokens: TokenCount,
}

/// The pieces of one prompt, in order.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct PieceChain {
    /// Complete pieces; a shorter remainder at the end of the prompt has no block.
    pub blocks: Vec<Piece>,
    /// Number of tokens of the prompt, including the remainder.
    pub prompt_tokens: TokenCount,
}

impl PieceChain {
    /// Returns the number of tokens in the first `count` pieces.
    pub fn prefix_tokens(&self, count: usize) -> TokenCount {
        self.blocks
            .iter()
            .take(count)
            .map(|piece| piece.tokens)
            .sum()
    }
}

/// Splits `prompt` into pieces in one pass, without copying it.
///
/// Tokens are separated by white space. A key covers the exact text, including white space, because
/// an engine's own tokens depend on it. There are no pieces if `piece_tokens` is zero.
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

/// Returns the offset in `prompt` right after `token`, which is a slice of it.
fn end_offset(token: &str, prompt: &str) -> usize {
    token.as_ptr().addr() - prompt.as_ptr().addr() + token.len()
}
