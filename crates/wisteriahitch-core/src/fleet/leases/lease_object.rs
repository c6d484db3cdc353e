//! A lease as the platform keeps it.

use serde::{Deserialize, Serialize};
use wisteriahitch_types::{DaemonId, DurationUs, Incarnation};

/// Names the incarnation that holds a lease.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// Daemon, for people.
    pub daemon: DaemonId,
    /// Incarnation, which alone may use the lease.
    pub incarnation: Incarnation,
}

/// Holds the content of a lease's object; the object's version is the fencing number.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LeaseObject {
    /// Holder, or nobody after a release.
    pub holder: Option<LeaseHolder>,
    /// Counts the holder's writes, so that it recognises one whose answer was lost.
    pub write_number: u64,
    /// How long the lease lasts from the sending of the write.
    pub term_us: DurationUs,
    /// Longest time-out of an order under the lease.
    pub order_timeout_us: DurationUs,
}
