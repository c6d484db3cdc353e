//! Keys that identify requests which must run at most once.

use serde::Serialize;
use wisteriahitch_types::{Code, Incarnation, KeyHash, TimeUs, WorkspaceId};

use super::{Ticket, TicketSerial};

const CLAIMED_KEY_CONTEXT: &str = "wisteriahitch 2026 claimed idempotency key";

/// Maximum length of a caller's idempotency key, in bytes.
const MAX_CALLER_KEY_LEN: usize = 255;

/// Identifies a request that must run at most once; all copies of the request carry the same key.
///
/// The workspace is part of the key, so that two workspaces never share a table entry.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum IdempotencyKey {
    /// A verified ticket that this process issued.
    Ticket {
        /// Workspace that the ticket was issued to.
        workspace: WorkspaceId,
        /// Incarnation that issued the ticket.
        incarnation: Incarnation,
        /// Serial number among the tickets of that incarnation.
        serial: TicketSerial,
        /// Time on the issuer's clock from which a first use is refused.
        expires_us: TimeUs,
    },
    /// An idempotency key that the caller chose. It must be claimed before the request runs.
    Claimed {
        /// Workspace of the caller.
        workspace: WorkspaceId,
        /// Hash over the workspace and the key text. The text itself is not stored.
        hash: KeyHash,
    },
}

impl IdempotencyKey {
    /// Builds the key for an idempotency key that a caller sent.
    ///
    /// # Errors
    ///
    /// Returns [`Code::BadKey`] if the text is empty, is longer than 255 bytes, contains anything
    /// but visible ASCII characters, or has the prefix of a ticket.
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

    /// Returns the workspace of the caller.
    pub fn workspace(&self) -> &WorkspaceId {
        match self {
            IdempotencyKey::Ticket { workspace, .. }
            | IdempotencyKey::Claimed { workspace, .. } => workspace,
        }
    }

    /// Returns whether a first use at `now` is refused. Claimed keys never expire this way.
    pub fn is_expired(&self, now: TimeUs) -> bool {
        self.expiry().is_some_and(|expires_us| now >= expires_us)
    }

    /// Returns the time from which a first use is refused; `None` for a claimed key.
    pub(crate) fn expiry(&self) -> Option<TimeUs> {
        match self {
            IdempotencyKey::Ticket { expires_us, .. } => Some(*expires_us),
            IdempotencyKey::Claimed { .. } => None,
        }
    }
}
