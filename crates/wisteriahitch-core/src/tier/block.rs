//! One block at one store, with everything that a reader's right to it is bound to.

use serde::Serialize;
use wisteriahitch_types::{
    BlockKey, BlockState, ByteCount, Generation, StoreId, StoreIncarnation, Tier, TimeUs,
    TokenCount, WeightVersion, WorkspaceId,
};

use super::block_state_machine::BlockStateMachine;

/// Names a block at a store, whatever the generation.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct BlockLocation {
    /// Store VM.
    pub store: StoreId,
    /// Block.
    pub key: BlockKey,
}

/// Holds what a block is bound to besides its place; none of it changes during its life.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BlockIdentity {
    /// Life of the store that holds it.
    pub incarnation: StoreIncarnation,
    /// Use of its place.
    pub generation: Generation,
    /// Weight version that it was computed with.
    pub weight_version: WeightVersion,
    /// Workspace that it counts against, where this daemon knows it.
    ///
    /// A listing doesn't name it. The block's key binds the workspace all the same.
    pub workspace: Option<WorkspaceId>,
    /// Tokens.
    pub tokens: TokenCount,
    /// Length.
    pub bytes: ByteCount,
}

/// Names one generation of a block, so that an old right never reaches a new content.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct BlockHandle {
    /// Place.
    #[serde(rename = "place")]
    pub location: BlockLocation,
    /// Life of the store.
    pub incarnation: StoreIncarnation,
    /// Use of the place.
    pub generation: Generation,
}

/// Says who wants to read a block.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Reader {
    /// Workspace that the request belongs to.
    pub workspace: WorkspaceId,
    /// Weight version that the request was decided for.
    pub weight_version: WeightVersion,
}

/// Holds one block.
#[derive(Debug)]
pub struct Block {
    identity: BlockIdentity,
    tier: Tier,
    crc32c: Option<u32>,
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

    /// Returns what the block is bound to.
    pub fn identity(&self) -> &BlockIdentity {
        &self.identity
    }

    /// Returns the tier it lies in.
    pub fn tier(&self) -> Tier {
        self.tier
    }

    /// Returns the checksum, once the block is sealed.
    pub fn crc32c(&self) -> Option<u32> {
        self.crc32c
    }

    /// Returns the step of its life.
    pub fn state(&self) -> BlockState {
        self.state_machine.state()
    }

    /// Returns how many readers of this daemon hold it.
    pub fn pins(&self) -> u32 {
        self.state_machine.pins()
    }

    /// Returns whether `reader` may read the block, by version and workspace.
    pub fn is_for(&self, reader: &Reader) -> bool {
        let is_same_version = self.identity.weight_version == reader.weight_version;
        let is_same_workspace = self
            .identity
            .workspace
            .as_ref()
            .is_none_or(|workspace| *workspace == reader.workspace);
        is_same_version && is_same_workspace
    }

    /// Returns whether a call for the block got no answer lately.
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
