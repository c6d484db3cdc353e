//! Options of the platform's stand-in.

use std::net::SocketAddr;

use wisteriahitch_types::DurationUs;
use wisteriahitch_wire::platform::CallRate;

/// Address, delay and rate limits of the platform's stand-in.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Loopback address of the object API; `/control` is served there too.
    pub listen: SocketAddr,
    /// Delay before a new VM list becomes visible.
    pub vm_lag_us: DurationUs,
    /// Maximum rate of writes; more are answered with 429.
    pub writes_per_s: CallRate,
    /// Maximum rate of reads and watches; more are answered with 429.
    pub reads_per_s: CallRate,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            vm_lag_us: DurationUs::from_ms(2_000),
            writes_per_s: CallRate::new(400.0),
            reads_per_s: CallRate::new(2_000.0),
        }
    }
}
