//! Reasons for which a store refuses a call.

/// Reason for which a store refuses a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StoreRefusal {
    /// The block or pin doesn't exist, or the block is in another state than the call needs.
    Gone,
    /// The tier lacks free space, or the store accepts no new blocks.
    Full,
    /// The written content doesn't have the reserved length.
    WrongLength,
}
