//! Bounds of the messages, so that no peer can fill another one's memory.

/// Largest message that is sent or taken, in bytes.
///
/// A section is at most one object of the platform (1 MB), and a keyed request's body is bounded
/// by [`MAX_FORWARD_BODY_BYTES`]; both fit with their frames.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// Largest body of a keyed request or of its answer, in bytes.
pub const MAX_FORWARD_BODY_BYTES: usize = 3 * 1024 * 1024;

/// Bytes of sections after which a sender starts another message.
pub const MAX_SECTION_BATCH_BYTES: usize = 2 * 1024 * 1024;

/// Most pieces of membership news in one message; a message with more is refused.
pub const MAX_NEWS: usize = 64;

/// Most directory hints in one message; a message with more is refused.
pub const MAX_HINTS: usize = 4_096;
