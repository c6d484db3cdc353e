//! One block on its way from a store to an endpoint.

use serde::Serialize;
use wisteriahitch_types::{ByteCount, EndpointId, RequestId, StoreIncarnation, TimeUs, TokenCount};

use super::{BlockHandle, BlockIdentity, BlockLocation, PinGrant, Reader};

/// Tells how far an import has come.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ImportPhase {
    /// The store was asked for a pin.
    Pinning,
    /// The pin is held and the link's queue joined.
    Queued(AcquiredPin),
    /// The endpoint reads.
    Running(AcquiredPin),
}

/// Holds a pin at the store together with the table's right to the block.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct AcquiredPin {
    pub(crate) handle: BlockHandle,
    pub(crate) pin: String,
    pub(crate) crc32c: u32,
}

/// Holds an import and the requests that wait for it.
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
    /// When the call that is under way was made.
    #[serde(rename = "asked_at_us")]
    pub(crate) call_sent_at_us: TimeUs,
    /// Requests that wait, each with the place of the step in its plan.
    pub(crate) waiters: Vec<(RequestId, usize)>,
}

impl ImportTransfer {
    pub(crate) fn acquired_pin(&self) -> Option<&AcquiredPin> {
        match &self.phase {
            ImportPhase::Pinning => None,
            ImportPhase::Queued(acquired) | ImportPhase::Running(acquired) => Some(acquired),
        }
    }

    /// Returns whether a pin is for the block that was asked for.
    ///
    /// A store that comes back with other content under the key would otherwise feed the engine
    /// a block of another length or version, seen only as wrong answers.
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
