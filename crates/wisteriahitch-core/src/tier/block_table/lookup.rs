//! Queries on the block table.

use std::collections::BTreeMap;

use wisteriahitch_types::{BlockKey, ByteCount, StoreId, WorkspaceId};

use super::BlockTable;
use crate::tier::{Block, BlockHandle, BlockLocation};

impl BlockTable {
    /// Returns the block at `location`.
    pub fn get(&self, location: &BlockLocation) -> Option<&Block> {
        self.blocks.get(location)
    }

    /// Returns a handle of the current generation at `location`.
    pub fn handle(&self, location: &BlockLocation) -> Option<BlockHandle> {
        self.blocks.get(location).map(|block| BlockHandle {
            location: location.clone(),
            incarnation: block.identity().incarnation.clone(),
            generation: block.identity().generation,
        })
    }

    /// Returns every block, ordered by store and key.
    pub fn iter(&self) -> impl Iterator<Item = (&BlockLocation, &Block)> {
        self.blocks.iter()
    }

    /// Returns the number of known blocks.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Returns the total length of a workspace's known blocks.
    pub fn workspace_bytes(&self, workspace: &WorkspaceId) -> ByteCount {
        self.workspace_bytes
            .get(workspace)
            .copied()
            .unwrap_or_default()
    }

    /// Returns the total length of the known blocks by workspace.
    pub fn bytes_by_workspace(&self) -> &BTreeMap<WorkspaceId, ByteCount> {
        &self.workspace_bytes
    }

    /// Returns the blocks of one store, ordered by key.
    pub fn blocks_at(&self, store: &StoreId) -> impl Iterator<Item = (&BlockLocation, &Block)> {
        let first = BlockLocation {
            store: store.clone(),
            key: BlockKey::from_bytes([0; 16]),
        };
        self.blocks
            .range(first..)
            .take_while(move |(location, _)| location.store == *store)
    }
}
