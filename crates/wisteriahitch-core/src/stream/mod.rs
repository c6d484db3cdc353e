//! What passes to the caller of a token stream.
//!
//! A caller gets exactly the tokens of its own request, each once and in order, or is told by a
//! numbered code that the answer is incomplete (`docs/design/at-most-once.md`, on streams).

mod broken;
mod check;
mod stream_state_machine;
mod token;
mod verdict;

pub use broken::{BreakDecision, StreamBreak};
pub use check::StreamCheck;
pub use token::{DropCounts, DropReason, StreamHead, StreamToken};
pub use verdict::{HeadVerdict, TokenVerdict};
