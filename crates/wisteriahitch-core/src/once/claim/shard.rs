//! Assigns keys to the objects that contain their claims.

use std::fmt;

use serde::{Deserialize, Serialize};
use wisteriahitch_types::KeyHash;

/// One of the objects in the object store that claims are distributed over.
///
/// The number of shards is fixed. Two daemons that distributed keys differently would claim the
/// same key in two objects, and both would win.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimShard(u16);

impl ClaimShard {
    /// Number of shards in every deployment; `docs/design/at-most-once.md` derives it.
    pub const COUNT: u16 = 256;

    /// Returns the shard that a key belongs to.
    pub fn of(hash: &KeyHash) -> Self {
        let [first, second, ..] = *hash.as_bytes();
        Self(u16::from_le_bytes([first, second]) % Self::COUNT)
    }

    /// Returns all shards in order.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..Self::COUNT).map(Self)
    }
}

/// Writes the name of the object in the store.
impl fmt::Display for ClaimShard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "claims-{:03}", self.0)
    }
}
