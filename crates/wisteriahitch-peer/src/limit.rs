//! Size limits of messages, so that no peer can exhaust the memory of another.

/// Maximum size in bytes of a message that is sent or accepted.
///
/// A configuration section is at most one object of the platform (1 MB), and the body of a
/// forwarded request is limited by [`MAX_FORWARD_BODY_BYTES`]. Both fit together with their
/// framing.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// Maximum size in bytes of the body of a forwarded request and of its answer.
pub const MAX_FORWARD_BODY_BYTES: usize = 3 * 1024 * 1024;

/// Size in bytes of the configuration sections in one message, after which the sender starts the
/// next message.
pub const MAX_SECTION_BATCH_BYTES: usize = 2 * 1024 * 1024;

/// Maximum number of membership updates in a message; a message with more is refused.
pub const MAX_NEWS: usize = 64;

/// Maximum number of directory hints in a message; a message with more is refused.
pub const MAX_HINTS: usize = 4_096;
