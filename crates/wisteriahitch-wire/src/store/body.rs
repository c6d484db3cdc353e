//! JSON bodies of the store protocol that callers of the trait don't see.

use serde::{Deserialize, Serialize};
use wisteriahitch_types::{Generation, StoreIncarnation};

use super::{BlockState, Tier};

/// Body of the answer to a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReservedBody {
    /// Use of the block's place.
    pub generation: Generation,
    /// Step of the life of a block that was there before.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub state: Option<BlockState>,
}

/// Body of a request for a pin.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PinBody {
    /// Life of the store that the block was known to be in.
    pub incarnation: StoreIncarnation,
}

/// Body of a request to move a block.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct MoveBody {
    /// Use of the block's place.
    pub generation: Generation,
    /// Tier to move to.
    pub tier: Tier,
}
