//! Requests that may not be repeated: tickets, claims and kept answers.
//!
//! Such a request carries a key: a [`Ticket`] that a daemon issued, or an idempotency key that the
//! caller brings and that is claimed in the platform's object store. [`IdempotencyTable`] lets each key
//! start at most one dispatch and keeps the answer for the repeat; `docs/design/at-most-once.md`
//! gives the reasons.

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
