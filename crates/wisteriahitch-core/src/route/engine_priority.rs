//! The order in which an engine takes what it is sent.

use wisteriahitch_types::TokenCount;

/// Returns the priority at the engine: the rule's, and within it what is soon computed goes first.
///
/// An engine reads one prompt after the other. Behind a long first visit, a return of which a few
/// tokens are left would wait many times as long as it takes itself, seen as returns that wait for
/// most of their time although everything was imported. The long one hardly notices what goes
/// before it, since that is at most a piece.
///
/// ```
/// use wisteriahitch_core::route::engine_priority;
/// use wisteriahitch_types::TokenCount;
///
/// let piece = TokenCount::new(2_000);
/// assert!(engine_priority(5, TokenCount::new(300), piece) > engine_priority(5, TokenCount::new(9_000), piece));
/// ```
pub fn engine_priority(rule_priority: u8, computed: TokenCount, piece: TokenCount) -> u8 {
    let is_short = computed <= piece;
    rule_priority
        .saturating_mul(2)
        .saturating_add(u8::from(is_short))
}
