//! Command line of the tool.

use std::net::SocketAddr;

xflags::xflags! {
    /// Loads and checks daemons and stand-ins that a script has started.
    cmd wisteriahitch-bench {
        /// Shows the two main cases against a running demo site.
        cmd demo {
            /// Callers' address of a daemon; give three.
            repeated --entry address: SocketAddr
            /// Operators' address of a daemon.
            required --operators address: SocketAddr
            /// Address of the stand-in of the plain service.
            required --service address: SocketAddr
        }
    }
}
