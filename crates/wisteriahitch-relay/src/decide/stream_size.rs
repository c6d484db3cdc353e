//! Bound on the size of a stream.
//!
//! Load pattern: an endpoint in trouble goes on sending bytes that look like events, without end. They
//! would be passed on until the deadline of the call, to a caller that can do nothing with them.

use crate::site::PromptShape;

/// Bytes that a stream may have whatever its prompt asks for.
const BASE_BYTES: u64 = 256 * 1024;

/// Maximum number of bytes of one token with the event around it.
const MAX_TOKEN_BYTES: u64 = 4 * 1024;

/// A stream has more bytes than the tokens that were asked for can take.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the stream has more than the {max_bytes} bytes that its tokens can take")]
pub struct StreamTooLarge {
    /// The bound, in bytes.
    pub max_bytes: u64,
}

/// Counts the bytes of a stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamSize {
    /// `None` if the call doesn't say how many tokens it asks for.
    max_bytes: Option<u64>,
    received_bytes: u64,
}

impl StreamSize {
    /// Returns the count for the answer to a prompt.
    pub fn of(prompt: Option<&PromptShape>) -> Self {
        let tokens = prompt.map_or(0, |prompt| prompt.output_tokens.get());
        let token_bytes = tokens.saturating_mul(MAX_TOKEN_BYTES);
        Self {
            max_bytes: (tokens > 0).then(|| BASE_BYTES.saturating_add(token_bytes)),
            received_bytes: 0,
        }
    }

    /// Records bytes that have arrived.
    ///
    /// # Errors
    ///
    /// Fails if the stream is larger than its tokens can be.
    pub fn record(&mut self, bytes: usize) -> Result<(), StreamTooLarge> {
        self.received_bytes = self.received_bytes.saturating_add(bytes as u64);
        match self.max_bytes {
            Some(max_bytes) if self.received_bytes > max_bytes => Err(StreamTooLarge { max_bytes }),
            _ => Ok(()),
        }
    }
}
