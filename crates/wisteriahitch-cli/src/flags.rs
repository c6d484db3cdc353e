//! Subcommands and flags of the `wisteriahitch` command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use wisteriahitch::types::{ConfigVersion, SubmissionId};

xflags::xflags! {
    /// Operates a wisteriahitch site: configuration, explanations and state.
    cmd wisteriahitch {
        /// Operators' address of a daemon, IP:PORT; may be given several times. Without it the
        /// environment variable WISTERIAHITCH_OPERATORS is used, a comma-separated list.
        repeated --daemon address: SocketAddr
        /// File that contains the operators' key. Without it the environment variable
        /// WISTERIAHITCH_OPERATOR_KEY is used.
        optional --key-file path: PathBuf
        /// Print JSON instead of text.
        optional --json

        /// Checks, submits and shows the configuration.
        cmd config {
            /// Checks a configuration file locally, without calling a daemon.
            cmd check {
                /// File to check.
                required path: PathBuf
            }
            /// Submits a configuration file, or the section of one workspace.
            cmd submit {
                /// File to submit.
                required path: PathBuf
                /// Id of this submission; generated if omitted. After an unknown outcome, submit
                /// again with the same id.
                optional --submission id: SubmissionId
                /// Version that the submission is based on; it is refused as a conflict if another
                /// version is in force.
                optional --base version: ConfigVersion
            }
            /// Prints the configuration that is in force at a daemon.
            cmd show {}
            /// Lists the accepted versions of the configuration.
            cmd history {}
        }
        /// Explains which rule and which endpoint a described request is routed to, and why.
        cmd explain {
            /// Workspace of the request.
            required --workspace id: String
            /// Method of the request; POST by default.
            optional --method method: String
            /// Path of the request; /v1/completions by default.
            optional --path path: String
            /// Model named by the request.
            optional --model name: String
            /// Adapter named by the request.
            optional --adapter name: String
            /// The request asks for a streamed answer.
            optional --stream
            /// File with the prompt.
            optional --prompt-file path: PathBuf
            /// Label of the request, NAME=VALUE; may be given several times.
            repeated --label label: String
        }
        /// Prints the log lines of one request from all machines in order of time, in plain words.
        /// Exits with 1 if no line contains the id.
        cmd story {
            /// Id of the request, the fingerprint shared by all its repeats, or a prompt part.
            required id: String
            /// Log files; standard input is read if none is given.
            repeated files: PathBuf
        }
        /// Lists the endpoints and stores that hold the cache blocks of a prompt.
        cmd locate {
            /// Workspace of the request that contains the prompt.
            required --workspace id: String
            /// Model that the prompt is for.
            required --model name: String
            /// File with the prompt.
            required --prompt-file path: PathBuf
        }
        /// Prints the complete state of a daemon as JSON.
        cmd dump {}
        /// Prints the daemons with their configuration versions, the endpoints, stores and rollouts.
        cmd status {
            /// Repeat every second until every wanted model is ready (exit code 0) or a rollout
            /// has stopped after failures (exit code 1).
            optional --watch
        }
        /// Drains a daemon: it leaves the entry list, completes the requests that it has accepted,
        /// and exits.
        cmd drain {}
    }
}
