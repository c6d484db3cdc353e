//! The `drain` command.

use http::Method;

use crate::client::Client;
use crate::flags::Wisteriahitch;
use crate::output::print_answer;
use crate::render;

/// Runs `wisteriahitch drain`; exactly one `--daemon` must be given.
pub(crate) async fn run(flags: &Wisteriahitch) -> anyhow::Result<bool> {
    anyhow::ensure!(
        flags.daemon.len() == 1,
        "give the one daemon to drain with --daemon IP:PORT"
    );
    let client = Client::from_flags(flags)?;
    let answer = client.call(Method::POST, "/v1/drain", "").await?;
    print_answer(&answer, flags.json, |value| {
        format!("{}\n", render::field(value, "state"))
    })
}
