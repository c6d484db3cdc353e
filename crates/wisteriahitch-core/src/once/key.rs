//! Keys that requests are told apart by.

use serde::Serialize;
use wisteriahitch_types::{Code, Incarnation, KeyHash, TimeUs, WorkspaceId};

use super::{Ticket, TicketSerial};

const CLAIMED_KEY_CONTEXT: &str = "wisteriahitch 2026 claimed idempotency key";

/// Longest idempotency key that is taken, in bytes.
const MAX_CALLER_KEY_LEN: usize = 255;

/// Names a request that may not be repeated, in all its copies.
///
/// The workspace is part of every key, so that two workspaces never meet in one entry.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum IdempotencyKey {
    /// A ticket of this process, already verified.
    Ticket {
        /// Workspace that it was issued to.
        workspace: WorkspaceId,
        /// Life of the process that issued it.
        incarnation: Incarnation,
        /// Number among the tickets of that life.
        serial: TicketSerial,
        /// From here on it can't be used for the first time.
        expires_us: TimeUs,
    },
    /// An idempotency key that the caller chose.
    Claimed {
        /// Workspace of the caller.
        workspace: WorkspaceId,
        /// Hash over workspace and key text; the text itself is never kept.
        hash: KeyHash,
    },
}

impl IdempotencyKey {
    /// Builds the key for an idempotency key that the caller brings.
    ///
    /// # Errors
    ///
    /// [`Code::BadKey`] if the text is empty, longer than 255 bytes, holds other than visible
    /// ASCII characters, or looks like a ticket.
    pub fn try_claimed(workspace: &WorkspaceId, text: &str) -> Result<Self, Code> {
        let is_plain = text.bytes().all(|byte| byte.is_ascii_graphic());
        if text.is_empty() || text.len() > MAX_CALLER_KEY_LEN || !is_plain {
            return Err(Code::BadKey);
        }
        if Ticket::is_ticket_text(text) {
            return Err(Code::BadKey);
        }
        let parts = [workspace.as_str().as_bytes(), text.as_bytes()];
        Ok(Self::Claimed {
            workspace: workspace.clone(),
            hash: KeyHash::derive(CLAIMED_KEY_CONTEXT, &parts),
        })
    }

    /// Returns the workspace that the key belongs to.
    pub fn workspace(&self) -> &WorkspaceId {
        match self {
            IdempotencyKey::Ticket { workspace, .. }
            | IdempotencyKey::Claimed { workspace, .. } => workspace,
        }
    }

    /// Returns whether a first use is refused at `now`.
    pub fn is_expired(&self, now: TimeUs) -> bool {
        self.expiry().is_some_and(|expires_us| now >= expires_us)
    }

    /// Returns when a ticket can no longer be used for the first time.
    pub(crate) fn expiry(&self) -> Option<TimeUs> {
        match self {
            IdempotencyKey::Ticket { expires_us, .. } => Some(*expires_us),
            IdempotencyKey::Claimed { .. } => None,
        }
    }
}
