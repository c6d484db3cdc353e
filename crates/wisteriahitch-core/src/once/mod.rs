//! At-most-once execution of requests: tickets, claims and stored answers.
//!
//! Such a request carries an idempotency key: either a [`Ticket`] that a daemon issued, or a key
//! that the caller chose and that a daemon claims in the platform's object store.
//! [`IdempotencyTable`] permits at most one dispatch per key and stores the answer for retries of
//! the same request. `docs/design/at-most-once.md` explains the design.

mod answer;
mod claim;
mod decision;
mod entry;
mod existing_claim;
mod fingerprint;
mod issuer;
mod key;
mod key_state_machine;
mod limits;
mod retention_queue;
mod snapshot;
mod table;
mod ticket;

pub use answer::StoredAnswer;
pub use claim::{
    ClaimBatcher, ClaimCommand, ClaimEntry, ClaimLimits, ClaimObject, ClaimShard, ClaimState,
    ClaimTime, ClaimVersion, ReadResult, UndecidedCause, WriteResult,
};
pub use decision::{ClaimHolder, ClaimNonce, Decision, Delivery, WaiterId, undecided_code};
pub use existing_claim::{ClaimOutcome, ExistingClaim};
pub use fingerprint::Fingerprint;
pub use issuer::{TicketIssuer, TicketSecret};
pub use key::IdempotencyKey;
pub use limits::TableLimits;
pub use snapshot::{ClaimSnapshot, EntrySnapshot, ShardSnapshot, TableSnapshot};
pub use table::IdempotencyTable;
pub use ticket::{ParseTicketError, Ticket, TicketSerial};
