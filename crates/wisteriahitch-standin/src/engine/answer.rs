//! Answers of the stand-in engine, which callers can compute for themselves.

use wisteriahitch_types::{AdapterName, ModelName, TokenCount, WeightVersion};

const ANSWER_CONTEXT: &str = "wisteriahitch stand-in 2026 answer";

/// Tokens of one answer, a pure function of prompt, model, adapter and weight version.
///
/// A caller, test or benchmark computes them too, to check that an answer is complete and belongs
/// to its request.
///
/// # Examples
///
/// ```
/// use wisteriahitch_standin::engine::{AnswerSource, answer_token};
///
/// let (model, version) = ("hist-7b".parse()?, "v1".parse()?);
/// let source = AnswerSource::new("chain squeaks", &model, None, &version);
/// assert_eq!(source.token(3), answer_token("chain squeaks", &model, None, &version, 3));
/// assert_ne!(source.token(3), answer_token("brake squeaks", &model, None, &version, 3));
/// # Ok::<(), wisteriahitch_types::ParseIdError>(())
/// ```
#[derive(Clone, Copy, Debug)]
pub struct AnswerSource {
    seed: [u8; 32],
}

impl AnswerSource {
    /// Builds the source of the answer to `prompt`.
    pub fn new(
        prompt: &str,
        model: &ModelName,
        adapter: Option<&AdapterName>,
        weight_version: &WeightVersion,
    ) -> Self {
        let adapter = adapter.map_or("", AdapterName::as_str);
        let parts = [model.as_str(), adapter, weight_version.as_str(), prompt];
        let mut hasher = blake3::Hasher::new_derive_key(ANSWER_CONTEXT);
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        Self {
            seed: *hasher.finalize().as_bytes(),
        }
    }

    /// Returns the text of the token at `position`.
    pub fn token(&self, position: u64) -> String {
        let hash = blake3::keyed_hash(&self.seed, &position.to_le_bytes());
        let [a, b, c, ..] = *hash.as_bytes();
        format!("w{a:02x}{b:02x}{c:02x} ")
    }

    /// Returns the text of a whole answer.
    pub fn text(&self, max_tokens: TokenCount) -> String {
        let positions = 0..max_tokens.get();
        positions.map(|position| self.token(position)).collect()
    }
}

/// Returns the text of one token of the answer to `prompt`.
///
/// [`AnswerSource`] is cheaper for more than one token.
pub fn answer_token(
    prompt: &str,
    model: &ModelName,
    adapter: Option<&AdapterName>,
    weight_version: &WeightVersion,
    position: u64,
) -> String {
    AnswerSource::new(prompt, model, adapter, weight_version).token(position)
}

/// Counts the tokens of a prompt; the stand-ins split it at white space.
pub fn count_tokens(prompt: &str) -> TokenCount {
    TokenCount::new(prompt.split_whitespace().count() as u64)
}
