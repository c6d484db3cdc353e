//! Options of the platform's stand-in.

use std::net::SocketAddr;

use wisteriahitch_types::DurationUs;
use wisteriahitch_wire::platform::CallRate;

/// Sets how the platform's stand-in listens and what it allows.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Loopback address of the object API; `/control` is served there too.
    pub listen: SocketAddr,
    /// Delay before a new VM list shows up.
    pub vm_lag_us: DurationUs,
    /// Writes a second above which calls are answered with 429.
    pub writes_per_s: CallRate,
    /// Reads and watches a second above which calls are answered with 429.
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
