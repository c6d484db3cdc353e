//! Command line, one command for each stand-in.

use std::net::SocketAddr;

use wisteriahitch_standin::platform::PlatformOptions;
use wisteriahitch_standin::service::ServiceOptions;
use wisteriahitch_types::DurationUs;
use wisteriahitch_wire::platform::CallRate;

xflags::xflags! {
    /// Stand-ins for the systems around wisteriahitch, for development only.
    cmd wisteriahitch-standin {
        /// Loopback address to serve; port 0 takes a free one.
        optional --listen address: SocketAddr

        /// Serves the platform's object API and the lagging list of VMs.
        cmd platform {
            /// Delay before a new VM list shows up, in milliseconds.
            optional --vm-lag-ms ms: u64
            /// Writes a second that are taken.
            optional --writes-per-s rate: CallRate
            /// Reads and watches a second that are taken.
            optional --reads-per-s rate: CallRate
        }

        /// Serves a plain service that counts how often each request ran.
        cmd service {
            /// How long a request runs, in milliseconds.
            optional --work-ms ms: u64
            /// Requests that run at once.
            optional --slots count: usize
        }
    }
}

impl Platform {
    pub(crate) fn into_options(self, listen: Option<SocketAddr>) -> PlatformOptions {
        let default = PlatformOptions::default();
        PlatformOptions {
            listen: listen.unwrap_or(default.listen),
            vm_lag_us: self
                .vm_lag_ms
                .map_or(default.vm_lag_us, DurationUs::from_ms),
            writes_per_s: self.writes_per_s.unwrap_or(default.writes_per_s),
            reads_per_s: self.reads_per_s.unwrap_or(default.reads_per_s),
        }
    }
}

impl Service {
    pub(crate) fn into_options(self, listen: Option<SocketAddr>) -> ServiceOptions {
        let default = ServiceOptions::default();
        ServiceOptions {
            listen: listen.unwrap_or(default.listen),
            work_us: self.work_ms.map_or(default.work_us, DurationUs::from_ms),
            slots: self.slots.unwrap_or(default.slots),
        }
    }
}
