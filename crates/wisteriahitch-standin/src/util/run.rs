//! Main loop of a stand-in process.

use std::io::Write;

use anyhow::Context;
use serde::Serialize;
use tokio::signal::unix::{SignalKind, signal};

/// Prints `announcement`, which contains the addresses, as one line of JSON, and returns on SIGTERM
/// or SIGINT.
pub async fn run_until_signal(announcement: &impl Serialize) -> anyhow::Result<()> {
    let mut terminate =
        signal(SignalKind::terminate()).context("can't install the handler of SIGTERM")?;
    let mut interrupt =
        signal(SignalKind::interrupt()).context("can't install the handler of SIGINT")?;
    let line = serde_json::to_string(announcement)?;
    let mut stdout = std::io::stdout().lock();
    writeln!(stdout, "{line}")?;
    stdout.flush()?;
    drop(stdout);
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
