//! Input events and output commands of leases.

use serde::Serialize;
use wisteriahitch_types::{DurationUs, FenceNumber};

use super::{LeaseGroup, LeaseObject};

/// Input of [`LeaseTable::handle`](super::LeaseTable::handle).
#[derive(Clone, Debug)]
pub enum LeaseEvent {
    /// Time has passed.
    Tick,
    /// A lease's object was read.
    Read {
        /// Group of the lease.
        group: LeaseGroup,
        /// Object with its version in the platform; `None` if it does not exist.
        object: Option<(LeaseObject, u64)>,
    },
    /// A lease's object cannot be read now.
    ReadFailed(LeaseGroup),
    /// A write took effect.
    Written {
        /// Group of the lease.
        group: LeaseGroup,
        /// Write number of the written object; answers to earlier writes are ignored.
        write_number: u64,
        /// Version of the object after the write.
        object_version: u64,
    },
    /// A write failed.
    WriteFailed {
        /// Group of the lease.
        group: LeaseGroup,
        /// Write number of the object that was to be written.
        write_number: u64,
        /// Reason, which tells whether the write may have taken effect.
        failure: WriteFailure,
    },
    /// An order has been answered, refused or abandoned.
    OrderDone(LeaseGroup),
    /// The store has returned with an older copy of its objects. All leases may have had other
    /// holders, which the copy doesn't show.
    StoreRestored,
}

/// Reason of a failed write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteFailure {
    /// The write had no effect because the object has another version.
    Conflict,
    /// The write was sent but its answer was lost, so its effect is unknown.
    Lost,
    /// The write had no effect because the platform cannot be reached.
    Unavailable,
}

/// Action that the caller of [`LeaseTable::handle`](super::LeaseTable::handle) must perform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseCommand {
    /// Read a lease's object.
    Read(LeaseGroup),
    /// Write a lease's object if it still has the expected version.
    Write {
        /// Group of the lease.
        group: LeaseGroup,
        /// Content to write.
        object: LeaseObject,
        /// Expected version of the object; 0 if it must not exist yet.
        expected: u64,
    },
}

/// Permission to send one order.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct OrderGrant {
    /// Fencing number to send with the order.
    pub fence: FenceNumber,
    /// Timeout of the order, shorter than the remaining term of the lease.
    pub timeout_us: DurationUs,
}
