//! Requests that may not be repeated: tickets, claims and kept answers.
//!
//! Such a request carries a key: a [`Ticket`] that a daemon issued, or an idempotency key that the
//! caller brings and that is claimed in the platform's object store. [`KeyedTable`] lets each key
//! start at most one dispatch and keeps the answer for the repeat; `docs/design/at-most-once.md`
//! gives the reasons.

mod answer;
mod claim;
mod decision;
mod entry;
mod fingerprint;
mod issuer;
mod keeper;
mod key;
mod life;
mod limits;
mod snapshot;
mod standing_claim;
mod table;
mod ticket;

pub use answer::KeptAnswer;
pub use claim::{
    ClaimBatcher, ClaimCommand, ClaimEntry, ClaimLimits, ClaimObject, ClaimShard, ClaimState,
    ClaimTime, ClaimVersion, ReadResult, UndecidedCause, WriteResult,
};
pub use decision::{ClaimHolder, ClaimNonce, Decision, Delivery, WaiterId, undecided_code};
pub use fingerprint::Fingerprint;
pub use issuer::{TicketIssuer, TicketSecret};
pub use key::OnceKey;
pub use limits::TableLimits;
pub use snapshot::{ClaimSnapshot, EntrySnapshot, ShardSnapshot, TableSnapshot};
pub use standing_claim::{ClaimOutcome, StandingClaim};
pub use table::KeyedTable;
pub use ticket::{ParseTicketError, Ticket, TicketSerial};
