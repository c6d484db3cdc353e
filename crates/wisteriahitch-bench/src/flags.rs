//! Command line of the tool.

use std::net::SocketAddr;
use std::path::PathBuf;

use wisteriahitch::config::PolicyName;
use wisteriahitch_bench::load::Capacity;
use wisteriahitch_bench::run::FaultName;
use wisteriahitch_bench::site::SiteName;

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

        /// Writes the files that scripts/bench starts a site from.
        cmd layout {
            /// Site: chainline or lanyu.
            required --site name: SiteName
            /// Policy: cost, round-robin, least-loaded or affinity.
            required --policy name: PolicyName
            /// Directory that the files are written to.
            required --directory path: PathBuf
            /// Port of the platform; the others follow above it.
            optional --first-port port: u16
            /// Daemons, in place of as many as the site has.
            optional --daemons count: usize
            /// Engines, in place of as many as the site has.
            optional --engines count: usize
        }

        /// Loads a site that scripts/bench has started, and reports.
        cmd run {
            /// Directory of the site's layout.
            required --directory path: PathBuf
            /// Site that is expected there.
            optional --site name: SiteName
            /// Policy that is expected there.
            optional --policy name: PolicyName
            /// Fault: none, store-death, store-full, slow-link, endpoint-freeze, daemon-kill,
            /// platform-outage, weight-rollout or tenfold.
            optional --faults name: FaultName
            /// Seed of the load.
            optional --seed seed: u64
            /// Length in seconds, the part before measuring included.
            optional --duration-s s: u64
            /// Part at the beginning that is not measured, in seconds.
            optional --warm-up-s s: u64
            /// Part of the endpoints' capacity that is asked for.
            optional --load share: f64
            /// What that capacity counts: computed or kept.
            optional --capacity name: Capacity
            /// Tokens of every answer, in place of what the site has.
            optional --answer-tokens count: u64
            /// Sends nothing at all, to see what the daemons use by themselves.
            optional --idle
            /// File for one line of CSV for each request.
            optional --records path: PathBuf
            /// File for the report as JSON.
            optional --report path: PathBuf
            /// File for the drawing.
            optional --plot path: PathBuf
        }

        /// Plays a load against a model of the fleet, without sockets.
        cmd simulate {
            /// Load file.
            required load: PathBuf
            /// First seed.
            optional --seed seed: u64
            /// Seeds that are played, one after the other.
            optional --runs count: u64
            /// Switches a decision off: urgent-news or refusals.
            repeated --without name: String
        }

        /// Prints each number of two reports, and the second over the first.
        cmd compare {
            /// First report.
            required first: PathBuf
            /// Second report.
            required second: PathBuf
        }

        /// Prints several policies' reports of one load side by side.
        cmd sweep {
            /// Reports; the first is the one that the others are compared with.
            repeated report: PathBuf
            /// File for the drawing.
            optional --plot path: PathBuf
        }
    }
}
