//! The import of one block from a store to an endpoint.

use serde::Serialize;
use wisteriahitch_types::{ByteCount, EndpointId, RequestId, StoreIncarnation, TimeUs, TokenCount};

use super::{BlockHandle, BlockIdentity, BlockLocation, PinGrant, Reader};

/// The progress of an import.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ImportPhase {
    /// Waiting for the store to pin the block.
    Pinning,
    /// Pinned, and waiting in the link's queue.
    Queued(AcquiredPin),
    /// Waiting for the endpoint to read the block.
    Running(AcquiredPin),
}

/// A pin at the store together with the matching pin in the block table.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct AcquiredPin {
    pub(crate) handle: BlockHandle,
    pub(crate) pin: String,
    pub(crate) crc32c: u32,
}

/// An import and the requests that wait for it.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ImportTransfer {
    pub(crate) endpoint: EndpointId,
    #[serde(rename = "place")]
    pub(crate) location: BlockLocation,
    pub(crate) incarnation: StoreIncarnation,
    pub(crate) reader: Reader,
    pub(crate) tokens: TokenCount,
    pub(crate) bytes: ByteCount,
    pub(crate) phase: ImportPhase,
    /// When the pending call was sent.
    #[serde(rename = "asked_at_us")]
    pub(crate) call_sent_at_us: TimeUs,
    /// Waiting requests, each with the index of the step in its plan.
    pub(crate) waiters: Vec<(RequestId, usize)>,
}

impl ImportTransfer {
    pub(crate) fn acquired_pin(&self) -> Option<&AcquiredPin> {
        match &self.phase {
            ImportPhase::Pinning => None,
            ImportPhase::Queued(acquired) | ImportPhase::Running(acquired) => Some(acquired),
        }
    }

    /// Returns whether a grant is for the expected block.
    ///
    /// If a store restarted with other content under the key, the engine could otherwise read a
    /// block of another length or version, noticed only by wrong answers.
    pub(crate) fn is_match(&self, grant: &PinGrant) -> bool {
        grant.bytes == self.bytes && grant.weight_version == self.reader.weight_version
    }

    pub(crate) fn identity(&self, grant: &PinGrant) -> BlockIdentity {
        BlockIdentity {
            incarnation: self.incarnation.clone(),
            generation: grant.generation,
            weight_version: grant.weight_version.clone(),
            workspace: Some(self.reader.workspace.clone()),
            tokens: self.tokens,
            bytes: grant.bytes,
        }
    }
}
