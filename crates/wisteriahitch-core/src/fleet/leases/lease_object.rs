//! Representation of a lease in the platform.

use serde::{Deserialize, Serialize};
use wisteriahitch_types::{DaemonId, DurationUs, Incarnation};

/// Holder of a lease.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// Name of the daemon, only for display.
    pub daemon: DaemonId,
    /// Incarnation that holds the lease; other incarnations of the same daemon do not.
    pub incarnation: Incarnation,
}

/// Content of a lease's object. The object's version serves as the fencing number.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LeaseObject {
    /// Holder; `None` after a release.
    pub holder: Option<LeaseHolder>,
    /// Number of the holder's write, by which it recognises a write whose answer was lost.
    pub write_number: u64,
    /// Duration of the lease, counted from when the write was sent.
    pub term_us: DurationUs,
    /// Maximum timeout of orders under the lease.
    pub order_timeout_us: DurationUs,
    /// Whether the lease was released after a full order timeout without orders, so that the next
    /// holder need not wait. False while there is a holder, and in objects of daemons that don't
    /// write the field.
    #[serde(default)]
    pub is_settled: bool,
}
