//! Command line of wisteriahitch for operators; `docs/OPERATING.md` shows it at work.

mod client;
mod command;
mod flags;
mod output;

use std::process::ExitCode;

use flags::{Wisteriahitch, WisteriahitchCmd};

/// Exit code when the command failed or the daemon refused it.
const FAILED: u8 = 1;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let flags = Wisteriahitch::from_env_or_exit();
    match run(flags).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(FAILED),
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::from(FAILED)
        }
    }
}

/// Runs the command and returns whether it did what was asked.
async fn run(flags: Wisteriahitch) -> anyhow::Result<bool> {
    match &flags.subcommand {
        WisteriahitchCmd::Config(config) => command::config::run(&flags, config).await,
        WisteriahitchCmd::Explain(explain) => command::explain::run(&flags, explain).await,
        WisteriahitchCmd::Locate(locate) => command::locate::run(&flags, locate).await,
        WisteriahitchCmd::Dump(_) => command::dump::run(&flags).await,
        WisteriahitchCmd::Status(status) => command::status::run(&flags, status).await,
        WisteriahitchCmd::Drain(_) => command::drain::run(&flags).await,
    }
}
