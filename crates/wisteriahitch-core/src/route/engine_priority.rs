//! Priority of a request at an engine.

use wisteriahitch_types::TokenCount;

/// Returns the priority at the engine: the rule's priority, and within it short prompts first.
///
/// `computed` is the number of prompt tokens that the engine has to compute; a prompt is short if
/// that is at most one `piece`. An engine computes one prompt after the other. Behind a long first
/// prompt, a returning one with a few tokens left would wait many times its own duration, although
/// everything else was imported. The long prompt is hardly delayed, since what overtakes it is at
/// most one piece each.
///
/// ```
/// use wisteriahitch_core::route::engine_priority;
/// use wisteriahitch_types::TokenCount;
///
/// let piece = TokenCount::new(2_000);
/// assert!(
///     engine_priority(5, TokenCount::new(300), piece)
///         > engine_priority(5, TokenCount::new(9_000), piece)
/// );
/// ```
pub fn engine_priority(rule_priority: u8, computed: TokenCount, piece: TokenCount) -> u8 {
    let is_short = computed <= piece;
    rule_priority
        .saturating_mul(2)
        .saturating_add(u8::from(is_short))
}
