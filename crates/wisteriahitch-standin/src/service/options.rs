//! Options of the plain service's stand-in.

use std::net::SocketAddr;

use wisteriahitch_types::DurationUs;

/// Sets how the plain service's stand-in listens and works.
#[derive(Clone, Debug)]
pub struct ServiceOptions {
    /// Loopback address that is served.
    pub listen: SocketAddr,
    /// How long a request runs.
    pub work_us: DurationUs,
    /// Requests that run at once; others wait.
    pub slots: usize,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            work_us: DurationUs::ZERO,
            slots: 16,
        }
    }
}
