//! Which object of the store holds a key's claim.

use std::fmt;

use serde::{Deserialize, Serialize};
use wisteriahitch_types::KeyHash;

/// Names one of the objects that claims are spread over.
///
/// The number of shards is fixed: two daemons that spread keys differently would claim the same
/// key in two objects, and both would win.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimShard(u16);

impl ClaimShard {
    /// Number of shards of every site; `docs/design/at-most-once.md` works it out.
    pub const COUNT: u16 = 256;

    /// Returns the shard that a key belongs to.
    pub fn of(hash: &KeyHash) -> Self {
        let [first, second, ..] = *hash.as_bytes();
        Self(u16::from_le_bytes([first, second]) % Self::COUNT)
    }

    /// Lists all shards.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..Self::COUNT).map(Self)
    }
}

/// Gives the name of the shard's object.
impl fmt::Display for ClaimShard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "claims-{:03}", self.0)
    }
}
