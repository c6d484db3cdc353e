//! Command line of the operators' tool.

use std::net::SocketAddr;
use std::path::PathBuf;

use wisteriahitch::types::{ConfigVersion, SubmissionId};

xflags::xflags! {
    /// Operates a wisteriahitch site: configuration, explanations and state.
    cmd wisteriahitch {
        /// Operators' address of a daemon, IP:PORT; may be given several times. Without it the
        /// environment variable WISTERIAHITCH_OPERATORS is used, with commas between addresses.
        repeated --daemon address: SocketAddr
        /// File with the operators' key. Without it the environment variable
        /// WISTERIAHITCH_OPERATOR_KEY is used.
        optional --key-file path: PathBuf
        /// Print JSON for scripts.
        optional --json

        /// Works with the configuration.
        cmd config {
            /// Checks a configuration file without asking any daemon.
            cmd check {
                /// File to check.
                required path: PathBuf
            }
            /// Submits a configuration file, or one workspace's part of it.
            cmd submit {
                /// File to submit.
                required path: PathBuf
                /// Name of this submission; ask again with the same one after an unknown outcome. One is
                /// drawn where it is left out.
                optional --submission id: SubmissionId
                /// Version that the submission is based on; another one in force is a conflict.
                optional --base version: ConfigVersion
            }
            /// Prints the configuration in force at a daemon.
            cmd show {}
            /// Prints the accepted versions.
            cmd history {}
        }
        /// Tells which rule decides for a described request, and which endpoint, and why.
        cmd explain {
            /// Workspace of the request.
            required --workspace id: String
            /// Method of the request; POST by default.
            optional --method method: String
            /// Path of the request; /v1/completions by default.
            optional --path path: String
            /// Model that the request names.
            optional --model name: String
            /// Adapter that the request names.
            optional --adapter name: String
            /// The answer is to be streamed.
            optional --stream
            /// File with the prompt.
            optional --prompt-file path: PathBuf
            /// Label of the request, NAME=VALUE; may be given several times.
            repeated --label label: String
        }
        /// Tells a request's story from the collected logs of all machines. Exits with 1 where no line
        /// names it.
        cmd story {
            /// Id of the request, or the fingerprint that its repeats share.
            required id: String
            /// Log files; without any, standard input is read.
            repeated files: PathBuf
        }
        /// Tells where the cache blocks of a prompt are.
        cmd locate {
            /// Workspace of the prompt.
            required --workspace id: String
            /// Model of the prompt.
            required --model name: String
            /// File with the prompt.
            required --prompt-file path: PathBuf
        }
        /// Prints a daemon's whole state as JSON.
        cmd dump {}
        /// Prints the version in force on every daemon, the endpoints, the stores and rollouts.
        cmd status {
            /// Print again each second until every wanted model is ready (exit code 0) or a rollout has
                /// stopped after failures (exit code 1).
            optional --watch
        }
        /// Drains a daemon: it leaves the entries, ends what it has accepted, and exits.
        cmd drain {}
    }
}
