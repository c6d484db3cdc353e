//! JSON bodies of the store protocol that callers of the trait don't see.

use serde::{Deserialize, Serialize};
use wisteriahitch_types::{Generation, StoreIncarnation};

use super::{BlockState, Tier};

/// Body of the answer to a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReservedBody {
    /// Generation of the block's slot.
    pub generation: Generation,
    /// State of the block if it already existed; `None` if space was reserved for it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub state: Option<BlockState>,
}

/// Body of a request to pin a block.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PinBody {
    /// Incarnation of the store in which the block is expected to be.
    pub incarnation: StoreIncarnation,
}

/// Body of a request to move a block.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct MoveBody {
    /// Generation of the block's slot.
    pub generation: Generation,
    /// Tier to move the block to.
    pub tier: Tier,
}
