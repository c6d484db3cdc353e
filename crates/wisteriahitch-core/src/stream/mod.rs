//! Checks of token streams from endpoints to callers.
//!
//! A caller receives exactly the tokens of its own request, each once and in order, or a numbered
//! code saying that the answer is incomplete (`docs/design/at-most-once.md`, on streams).

mod broken;
mod check;
mod stream_state_machine;
mod token;
mod verdict;

pub use broken::{BreakDecision, StreamBreak};
pub use check::StreamCheck;
pub use token::{DropCounts, DropReason, StreamHead, StreamToken};
pub use verdict::{HeadVerdict, TokenVerdict};
