//! Subcommands and flags of the load and experiment tool.

use std::net::SocketAddr;
use std::path::PathBuf;

use wisteriahitch::config::PolicyName;
use wisteriahitch_bench::load::Capacity;
use wisteriahitch_bench::run::FaultName;
use wisteriahitch_bench::site::SiteName;

xflags::xflags! {
    /// Loads and checks daemons and stand-ins that a script has started.
    cmd wisteriahitch-bench {
        /// Demonstrates two use cases against a running demo site.
        cmd demo {
            /// Callers' address of a daemon; must be given three times.
            repeated --entry address: SocketAddr
            /// Operators' address of a daemon.
            required --operators address: SocketAddr
            /// Address of the stand-in of the plain service.
            required --service address: SocketAddr
        }

        /// Writes the files from which scripts/bench starts a site.
        cmd layout {
            /// Site: chainline or lanyu.
            required --site name: SiteName
            /// Policy: cost, round-robin, least-loaded or affinity.
            required --policy name: PolicyName
            /// Directory to write the files to.
            required --directory path: PathBuf
            /// Port of the platform stand-in; the other processes use the ports after it.
            optional --first-port port: u16
            /// Number of daemons; the site's own number by default.
            optional --daemons count: usize
            /// Number of engines; the site's own number by default.
            optional --engines count: usize
        }

        /// Runs a load against a site that scripts/bench has started, and reports the results.
        cmd run {
            /// Directory of the site's layout.
            required --directory path: PathBuf
            /// Site that the layout must have.
            optional --site name: SiteName
            /// Policy that the layout must have.
            optional --policy name: PolicyName
            /// Fault: none, store-death, store-full, slow-link, endpoint-freeze, daemon-kill,
            /// platform-outage, weight-rollout or tenfold.
            optional --faults name: FaultName
            /// Seed of the load.
            optional --seed seed: u64
            /// Duration in seconds, including the warm-up.
            optional --duration-s s: u64
            /// Duration of the warm-up, which is not measured, in seconds.
            optional --warm-up-s s: u64
            /// Load as a share of the endpoints' capacity; 0.7 by default.
            optional --load share: f64
            /// Prompt tokens that count for the load: computed (all) or kept (those that no earlier visit
            /// had).
            optional --capacity name: Capacity
            /// Tokens of every answer; the site's own distribution by default.
            optional --answer-tokens count: u64
            /// Sends no requests, to measure what idle daemons use.
            optional --idle
            /// CSV file to write with one line per request.
            optional --records path: PathBuf
            /// JSON file to write the report to.
            optional --report path: PathBuf
            /// File to write the plot to.
            optional --plot path: PathBuf
        }

        /// Simulates a load on a model of the fleet, without sockets.
        cmd simulate {
            /// Load file.
            required load: PathBuf
            /// First seed.
            optional --seed seed: u64
            /// Number of consecutive seeds to simulate; 1 by default.
            optional --runs count: u64
            /// Mechanism to switch off: urgent-news or refusals.
            repeated --without name: String
        }

        /// Models the membership of a large fleet, without sockets, and prints a table.
        cmd membership {
            /// Number of daemons; must be given once or more, for a table each.
            repeated --daemons count: usize
            /// Number of availability zones; 5 by default.
            optional --zones count: usize
            /// Fraction of the messages that are lost, from 0 to 1; 0 by default.
            optional --loss fraction: f64
            /// Seed of the losses; 1 by default.
            optional --seed seed: u64
        }

        /// Prints the figures of two reports and the ratio of the second to the first.
        cmd compare {
            /// First report.
            required first: PathBuf
            /// Second report.
            required second: PathBuf
        }

        /// Compares the reports of several policies under the same load.
        cmd sweep {
            /// Reports; the others are compared with the first one.
            repeated report: PathBuf
            /// File to write the plot to.
            optional --plot path: PathBuf
        }
    }
}
