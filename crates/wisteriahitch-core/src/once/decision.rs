//! What the shell does with a request that carries a key.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wisteriahitch_types::{Code, DaemonId, Incarnation, Meaning};

use super::StoredAnswer;

/// Names one caller that waits at this daemon for the answer to a key.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WaiterId(u64);

impl WaiterId {
    /// Wraps a number that no other waiter of the process has.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the plain number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// Tells the claims apart that one incarnation made on the same key.
///
/// A daemon forgets entries, its claims in the object store stay. Without this number it would
/// take its own forgotten claim for the one it is just deciding, and run the request again.
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

/// Names the daemon that a key's claim belongs to.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ClaimHolder {
    /// Configured name.
    pub owner: DaemonId,
    /// Life of the process that made the claim; any other life can't answer for it.
    pub incarnation: Incarnation,
    /// Address of its peer server.
    pub address: SocketAddr,
}

/// Says what becomes of a request that carries a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The request may run: call [`IdempotencyTable::try_dispatch`](super::IdempotencyTable::try_dispatch) right
    /// before its first byte leaves, or refuse it before that.
    Run,
    /// The key has to be claimed in the object store first, under this nonce.
    Claim(ClaimNonce),
    /// An earlier copy is under way; its answer will be delivered.
    Wait,
    /// The request has run, and this is its answer.
    Answer(Arc<StoredAnswer>),
    /// Another daemon decides for the key: pass the request to it once.
    Forward(ClaimHolder),
    /// The request is refused with this code.
    Refuse(Code),
}

/// Says what the callers get that waited for a key, the first of them first.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Delivery {
    /// Callers that the decision goes to; the one that started the run is among them.
    pub waiters: Vec<WaiterId>,
    /// What each of them gets.
    pub decision: Decision,
}

/// Returns the code for a keyed request that is turned away before its key has been decided.
///
/// An earlier copy may still be on its way to another daemon, so one that has not decided for the
/// key can't promise `not run`, whatever made it turn the copy away.
pub const fn undecided_code(code: Code) -> Code {
    match code.meaning() {
        Meaning::NotRun => Code::ClaimUndecided,
        Meaning::OutcomeUnknown | Meaning::Notice => code,
    }
}
