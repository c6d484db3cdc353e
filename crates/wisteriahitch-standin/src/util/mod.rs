//! HTTP server, answers and signal handling that the stand-ins share.

mod answer;
mod run;
mod server;

pub use answer::{Answer, answer_body, answer_json, answer_status, answer_truncated};
pub use run::run_until_signal;
pub use server::{Abort, Handler, ListenerGate, Server, read_json, read_whole};
