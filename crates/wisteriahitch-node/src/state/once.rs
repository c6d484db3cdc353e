//! Keys of requests that may not be repeated, and the copies that wait for them.

use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::oneshot;
use wisteriahitch_core::once::{
    ClaimNonce, Decision, Delivery, Fingerprint, KeptAnswer, KeyedTable, OnceKey, TicketIssuer,
    WaiterId,
};
use wisteriahitch_types::{Code, TimeUs};

use crate::shared::Shared;

/// Holds everything about keys that this process decides for or waits for.
pub(crate) struct OnceState {
    /// Tickets of this process.
    pub(crate) issuer: TicketIssuer,
    /// Keys that it knows.
    pub(crate) table: KeyedTable,
    /// Claims that wait to be written, in the order of their arrival.
    pub(crate) claims: ClaimState,
    waiters: HashMap<WaiterId, oneshot::Sender<Decision>>,
    next_waiter: u64,
}

/// What a copy of a request does next.
pub(crate) enum WaitedDecision {
    /// The decision is there.
    Now(Decision),
    /// The decision comes later.
    Later(oneshot::Receiver<Decision>),
}
