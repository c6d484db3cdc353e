//! The `dump` command: prints the complete state of a daemon.

use http::Method;

use crate::client::Client;
use crate::flags::Wisteriahitch;
use crate::output::print_answer;
use crate::render;

/// Runs `wisteriahitch dump`.
pub(crate) async fn run(flags: &Wisteriahitch) -> anyhow::Result<bool> {
    let client = Client::from_flags(flags)?;
    let answer = client.call(Method::GET, "/debug/state", "").await?;
    print_answer(&answer, flags.json, render::pretty)
}
