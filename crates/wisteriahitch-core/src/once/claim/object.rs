//! What the platform keeps of claims.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wisteriahitch_types::{ByteCount, DaemonId, Incarnation, KeyHash, WorkspaceId};

use crate::once::{
    ClaimHolder, ClaimNonce, ClaimOutcome, ExistingClaim, Fingerprint, StoredAnswer,
};

/// Bytes of an entry's JSON for names of fields and hashes, at most.
const ENTRY_FIXED_BYTES: usize = 200;

/// Bytes of the JSON of a state without texts, at most.
const PLAIN_STATE_BYTES: usize = 10;

/// Bytes of the JSON of a finished state besides its texts, at most.
const FINISHED_STATE_BYTES: usize = 70;

/// Says what became of a claimed request, as far as its holder wrote it down.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The request may run or have run.
    Claimed,
    /// The request ran.
    Finished {
        /// HTTP status of the answer.
        status: u16,
        /// Content type of the answer.
        content_type: Option<String>,
        /// Body, where it is text and small; otherwise the holder alone keeps the answer.
        body: Option<String>,
    },
    /// The request was refused and will not run.
    Refused,
}

impl ClaimState {
    /// Builds the state for a request that ran; the body is left out when it is longer than
    /// `answer_bytes` or isn't text.
    pub fn finished(answer: &StoredAnswer, max_answer_bytes: ByteCount) -> Self {
        let text = str::from_utf8(&answer.body).ok();
        let is_small = |text: &&str| escaped_len(text) as u64 <= max_answer_bytes.get();
        Self::Finished {
            status: answer.status,
            content_type: answer.content_type.clone(),
            body: text.filter(is_small).map(str::to_owned),
        }
    }

    /// Returns what the state tells a caller.
    pub fn outcome(&self) -> ClaimOutcome {
        match self {
            ClaimState::Claimed => ClaimOutcome::Pending,
            ClaimState::Refused => ClaimOutcome::Refused,
            ClaimState::Finished { body: None, .. } => ClaimOutcome::Finished(None),
            ClaimState::Finished {
                status,
                content_type,
                body: Some(body),
            } => ClaimOutcome::Finished(Some(Arc::new(StoredAnswer {
                status: *status,
                content_type: content_type.clone(),
                body: body.clone().into_bytes(),
            }))),
        }
    }

    fn json_len(&self) -> usize {
        match self {
            ClaimState::Claimed | ClaimState::Refused => PLAIN_STATE_BYTES,
            ClaimState::Finished {
                content_type, body, ..
            } => {
                let texts = [content_type, body].into_iter().flatten();
                let texts_len: usize = texts.map(|text| escaped_len(text)).sum();
                FINISHED_STATE_BYTES + texts_len
            }
        }
    }
}

/// Holds the claim on one key.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ClaimEntry {
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Request that the key stands for.
    pub fingerprint: Fingerprint,
    /// Daemon that decides for the key.
    pub owner: DaemonId,
    /// Life of that daemon's process.
    pub incarnation: Incarnation,
    /// Tells the claims of that life apart.
    pub nonce: ClaimNonce,
    /// Address of the daemon's peer server.
    pub address: SocketAddr,
    /// Wall clock of the daemon when it made the claim.
    pub claimed_at_ms: u64,
    /// What became of the request.
    pub state: ClaimState,
}

impl ClaimEntry {
    /// Returns whether this is the very claim that a life of a process made under `nonce`.
    pub fn is_claim_by(&self, incarnation: Incarnation, nonce: ClaimNonce) -> bool {
        self.incarnation == incarnation && self.nonce == nonce
    }

    /// Returns whether the claim is younger than `span_ms`; one from the future is.
    pub fn is_younger_than(&self, span_ms: u64, wall_ms: u64) -> bool {
        wall_ms.saturating_sub(self.claimed_at_ms) < span_ms
    }

    /// Returns the length of the entry's JSON, at most.
    pub fn json_bytes_bound(&self) -> ByteCount {
        let names_len = self.workspace.as_str().len() + self.owner.as_str().len();
        let numbers = [self.incarnation.get(), self.nonce.get(), self.claimed_at_ms];
        let numbers_len: usize = numbers.into_iter().map(decimal_len).sum();
        let address_len = self.address.to_string().len();
        let texts_len = names_len + numbers_len + address_len;
        ByteCount::new((ENTRY_FIXED_BYTES + texts_len + self.state.json_len()) as u64)
    }

    /// Returns what a caller at another daemon is told of the claim.
    pub(crate) fn to_existing_claim(&self) -> ExistingClaim {
        ExistingClaim {
            holder: ClaimHolder {
                owner: self.owner.clone(),
                incarnation: self.incarnation,
                address: self.address,
            },
            fingerprint: self.fingerprint,
            outcome: self.state.outcome(),
        }
    }
}

/// Holds the claims of one shard.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ClaimObject {
    /// Claims by the hash of workspace and key.
    pub entries: BTreeMap<KeyHash, ClaimEntry>,
}

impl ClaimObject {
    /// Returns the length of the object's JSON, at most.
    pub fn json_bytes_bound(&self) -> ByteCount {
        self.entries
            .values()
            .map(ClaimEntry::json_bytes_bound)
            .sum()
    }

    /// Returns the part of the length that one workspace's claims take.
    pub fn workspace_bytes(&self, workspace: &WorkspaceId) -> ByteCount {
        let entries = self.entries.values();
        let own = entries.filter(|entry| entry.workspace == *workspace);
        own.map(ClaimEntry::json_bytes_bound).sum()
    }

    /// Drops claims that are as old as `retention_ms`.
    pub fn remove_expired(&mut self, retention_ms: u64, wall_ms: u64) {
        self.entries
            .retain(|_, entry| entry.is_younger_than(retention_ms, wall_ms));
    }
}

fn decimal_len(number: u64) -> usize {
    number.checked_ilog10().unwrap_or(0) as usize + 1
}

/// Returns how long a text becomes in JSON.
fn escaped_len(text: &str) -> usize {
    text.chars().map(escaped_char_len).sum()
}

fn escaped_char_len(c: char) -> usize {
    match c {
        '"' | '\\' | '\n' | '\r' | '\t' => 2,
        c if c.is_control() => 6,
        c => c.len_utf8(),
    }
}
