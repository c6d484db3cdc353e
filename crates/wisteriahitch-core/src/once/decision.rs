//! Decisions on requests that carry an idempotency key.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wisteriahitch_types::{Code, DaemonId, Incarnation, Meaning};

use super::StoredAnswer;

/// Identifies a caller that waits at this daemon for the outcome of a key.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WaiterId(u64);

impl WaiterId {
    /// Wraps a number, which must be unique among the waiters of the process.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the plain number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// Distinguishes the claims that one incarnation makes on the same key.
///
/// A daemon evicts entries from its table while its claims stay in the object store. Without the
/// nonce it would mistake an older claim of its own for the one being decided, and run the request
/// again.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ClaimNonce(u64);

impl ClaimNonce {
    /// Wraps a plain number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the plain number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// The daemon that made the claim on a key.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ClaimHolder {
    /// Configured name of the daemon.
    pub owner: DaemonId,
    /// Incarnation that made the claim. No other incarnation of the daemon knows its outcome.
    pub incarnation: Incarnation,
    /// Address of the daemon's peer server.
    pub address: SocketAddr,
}

/// How a request that carries a key is handled.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The request may run. Call
    /// [`IdempotencyTable::try_dispatch`](super::IdempotencyTable::try_dispatch) right before
    /// sending its first byte, or refuse the request before that.
    Run,
    /// The key must first be claimed in the object store, with this nonce.
    Claim(ClaimNonce),
    /// An earlier copy is in progress. Its outcome is delivered to the waiter later.
    Wait,
    /// The request has already run; this is its answer.
    Answer(Arc<StoredAnswer>),
    /// Another daemon holds the claim: forward the request to it, once.
    Forward(ClaimHolder),
    /// Refuse the request with this code.
    Refuse(Code),
}

/// A decision and the callers that waited for it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Delivery {
    /// Callers that receive the decision, in order of arrival, including the one whose copy ran.
    pub waiters: Vec<WaiterId>,
    /// Decision that each of them receives.
    pub decision: Decision,
}

/// Returns the code for a request that is refused before the claim on its key is decided.
///
/// An earlier copy may still be in transit to another daemon and run there, so a `not run` code is
/// replaced by [`Code::ClaimUndecided`]. Other codes are returned unchanged.
pub const fn undecided_code(code: Code) -> Code {
    match code.meaning() {
        Meaning::NotRun => Code::ClaimUndecided,
        Meaning::OutcomeUnknown | Meaning::Notice => code,
    }
}
