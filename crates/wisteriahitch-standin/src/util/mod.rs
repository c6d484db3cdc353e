//! HTTP server and answers that the stand-ins share.

mod answer;
mod run;
mod server;

pub use answer::{Answer, answer_body, answer_broken_midway, answer_json, answer_status};
pub use run::run_until_told_to_end;
pub use server::{Abort, Gate, Handler, Server, read_json, read_whole};
