//! Options of the plain service's stand-in.

use std::net::SocketAddr;

use wisteriahitch_types::DurationUs;

/// Address, run time and concurrency of the plain service's stand-in.
#[derive(Clone, Debug)]
pub struct ServiceOptions {
    /// Loopback address that is served.
    pub listen: SocketAddr,
    /// Duration of each run.
    pub run_time_us: DurationUs,
    /// Maximum number of requests that run at once; others wait.
    pub slots: usize,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            run_time_us: DurationUs::ZERO,
            slots: 16,
        }
    }
}
