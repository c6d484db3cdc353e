//! Identity of a daemon in calls to its peers.

use serde::Serialize;
use wisteriahitch_types::{DaemonId, Incarnation};

use crate::Envelope;

/// Identity of one incarnation of a daemon.
///
/// ```
/// use wisteriahitch_peer::PeerIdentity;
/// use wisteriahitch_types::Incarnation;
///
/// let me = PeerIdentity::new("entry-1".parse()?, Incarnation::new(7));
/// let envelope = me.envelope(Some(Incarnation::new(9)));
/// assert_eq!(envelope.meant_for, 9);
/// assert_eq!(envelope.sender()?.incarnation, Incarnation::new(7));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct PeerIdentity {
    /// Configured name.
    pub daemon: DaemonId,
    /// Random number generated when the process started. Never 0, which means "any" in
    /// [`Envelope::meant_for`].
    pub incarnation: Incarnation,
}

impl PeerIdentity {
    /// Builds the identity of the incarnation `incarnation` of `daemon`.
    pub fn new(daemon: DaemonId, incarnation: Incarnation) -> Self {
        Self {
            daemon,
            incarnation,
        }
    }

    /// Builds the envelope of a call to the incarnation `meant_for`; `None` addresses whichever
    /// incarnation answers.
    pub fn envelope(&self, meant_for: Option<Incarnation>) -> Envelope {
        Envelope {
            daemon_id: self.daemon.to_string(),
            incarnation: self.incarnation.get(),
            meant_for: meant_for.map_or(0, Incarnation::get),
        }
    }
}
