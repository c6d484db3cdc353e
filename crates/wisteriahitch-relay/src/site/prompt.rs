//! What a caller declares about its prompt.

use wisteriahitch_types::{ModelName, TokenCount};

/// A prefix part of a prompt, which other prompts may share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Identifier; equal parts of different prompts have the same id.
    pub id: u64,
    /// Size of the part.
    pub tokens: TokenCount,
}

/// The size and parts of a prompt, which placement uses.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromptShape {
    /// Model that the prompt is for.
    pub model: ModelName,
    /// Size of the whole prompt.
    pub prompt_tokens: TokenCount,
    /// Maximum size of the answer.
    pub output_tokens: TokenCount,
    /// Size of the answer that the caller expects, if it says so.
    pub hinted_output_tokens: Option<TokenCount>,
    /// Parts in order. The last one belongs to this request or its session alone.
    pub parts: Vec<PromptPart>,
}

impl PromptShape {
    /// Returns the maximum number of tokens that a call with this prompt occupies in an engine's
    /// memory.
    pub fn memory_tokens(&self) -> u64 {
        self.prompt_tokens.get() + self.output_tokens.get()
    }

    /// Returns the parts that prompts of other requests or sessions may share: all but the last
    /// one.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}
