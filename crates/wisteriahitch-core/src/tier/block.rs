//! One block at one store, and the identity that a reader's access is checked against.

use serde::Serialize;
use wisteriahitch_types::{
    BlockKey, BlockState, ByteCount, Generation, StoreId, StoreIncarnation, Tier, TimeUs,
    TokenCount, WeightVersion, WorkspaceId,
};

use super::block_state_machine::BlockStateMachine;

/// Identifies a block at a store, whatever its generation.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct BlockLocation {
    /// Store VM that holds the block.
    pub store: StoreId,
    /// Key of the block.
    pub key: BlockKey,
}

/// The properties of one generation of a block, apart from its location.
///
/// They don't change while the block exists, except that an unknown workspace may be filled in.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BlockIdentity {
    /// Incarnation of the store that holds the block.
    pub incarnation: StoreIncarnation,
    /// Generation, which the store changes whenever it gives the location to new content.
    pub generation: Generation,
    /// Weight version that the block was computed with.
    pub weight_version: WeightVersion,
    /// Workspace whose quota the block counts against; `None` for a block known only from a
    /// listing.
    ///
    /// A listing doesn't name the workspace. The block's key is derived from the workspace, so that
    /// another workspace can't find the block either way.
    pub workspace: Option<WorkspaceId>,
    /// Number of tokens in the block.
    pub tokens: TokenCount,
    /// Length of the block.
    pub bytes: ByteCount,
}

/// Identifies one generation of a block, so that an old pin never gives access to new content.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct BlockHandle {
    /// Store and key of the block.
    #[serde(rename = "place")]
    pub location: BlockLocation,
    /// Incarnation of the store.
    pub incarnation: StoreIncarnation,
    /// Generation of the block.
    pub generation: Generation,
}

/// The workspace and weight version for which a block is read.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Reader {
    /// Workspace that the request belongs to.
    pub workspace: WorkspaceId,
    /// Weight version that the request was routed for.
    pub weight_version: WeightVersion,
}

/// A block known to this daemon, with its state and pins.
#[derive(Debug)]
pub struct Block {
    identity: BlockIdentity,
    tier: Tier,
    crc32c: Option<u32>,
    /// Time until which the block is excluded from imports.
    suspect_until_us: TimeUs,
    state_machine: BlockStateMachine,
}

impl Block {
    pub(crate) fn new(identity: BlockIdentity, tier: Tier) -> Self {
        Self {
            identity,
            tier,
            crc32c: None,
            suspect_until_us: TimeUs::ZERO,
            state_machine: BlockStateMachine::new(),
        }
    }

    /// Returns the block's properties.
    pub fn identity(&self) -> &BlockIdentity {
        &self.identity
    }

    /// Returns the tier that stores the block.
    pub fn tier(&self) -> Tier {
        self.tier
    }

    /// Returns the checksum; `None` until the block is sealed or its store has reported one.
    pub fn crc32c(&self) -> Option<u32> {
        self.crc32c
    }

    /// Returns the state of the block.
    pub fn state(&self) -> BlockState {
        self.state_machine.state()
    }

    /// Returns the number of pins that readers of this daemon hold.
    pub fn pins(&self) -> u32 {
        self.state_machine.pins()
    }

    /// Returns whether the weight version and workspace let `reader` read the block.
    ///
    /// A block whose workspace is unknown is open to every workspace.
    pub fn is_for(&self, reader: &Reader) -> bool {
        let is_same_version = self.identity.weight_version == reader.weight_version;
        let is_same_workspace = self
            .identity
            .workspace
            .as_ref()
            .is_none_or(|workspace| *workspace == reader.workspace);
        is_same_version && is_same_workspace
    }

    /// Returns whether the block is excluded from imports because a recent call for it got no
    /// answer.
    pub fn is_suspect(&self, now: TimeUs) -> bool {
        now < self.suspect_until_us
    }

    pub(crate) fn set_suspect_until(&mut self, until: TimeUs) {
        self.suspect_until_us = until;
    }

    pub(crate) fn state_machine_mut(&mut self) -> &mut BlockStateMachine {
        &mut self.state_machine
    }

    pub(crate) fn set_crc32c(&mut self, crc32c: u32) {
        self.crc32c = Some(crc32c);
    }

    pub(crate) fn set_tier(&mut self, tier: Tier) {
        self.tier = tier;
    }

    pub(crate) fn set_workspace(&mut self, workspace: WorkspaceId) {
        self.identity.workspace.get_or_insert(workspace);
    }
}
