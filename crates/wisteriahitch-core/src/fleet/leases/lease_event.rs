//! What leases are told and what they ask their shell to do.

use serde::Serialize;
use wisteriahitch_types::{DurationUs, FenceNumber};

use super::{LeaseGroup, LeaseObject};

/// Tells the leases what has happened.
#[derive(Clone, Debug)]
pub enum LeaseEvent {
    /// Time has passed.
    Tick,
    /// A lease's object was read; nothing where it doesn't exist.
    Read {
        /// Group.
        group: LeaseGroup,
        /// Object with its version in the platform.
        object: Option<(LeaseObject, u64)>,
    },
    /// A lease's object can't be read now.
    ReadFailed(LeaseGroup),
    /// A write took effect.
    Written {
        /// Group.
        group: LeaseGroup,
        /// Number in the object that was written; an answer to an earlier write counts for nothing.
        write_number: u64,
        /// Version that the object has now.
        object_version: u64,
    },
    /// A write didn't succeed.
    WriteFailed {
        /// Group.
        group: LeaseGroup,
        /// Number in the object that was to be written.
        write_number: u64,
        /// What is known of its effect.
        failure: WriteFailure,
    },
    /// An order has been answered, refused or given up.
    OrderDone(LeaseGroup),
}

/// Says what is known of a write that didn't succeed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteFailure {
    /// It had no effect, because the object has another version.
    Conflict,
    /// It was sent and no answer came.
    Lost,
    /// It certainly had no effect, because the platform can't be reached.
    Unavailable,
}

/// Asks the shell to do something.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseCommand {
    /// Read a lease's object.
    Read(LeaseGroup),
    /// Write a lease's object, if it still has the expected version (0: doesn't exist yet).
    Write {
        /// Group.
        group: LeaseGroup,
        /// Content.
        object: LeaseObject,
        /// Version that the object must still have.
        expected: u64,
    },
}

/// Allows one order.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct OrderGrant {
    /// Fencing number to send along.
    pub fence: FenceNumber,
    /// Longest wait for the order's answer, shorter than what is left of the lease.
    pub timeout_us: DurationUs,
}
