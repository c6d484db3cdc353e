//! Entry point of the `wisteriahitch` command line.

use std::process::ExitCode;

use wisteriahitch_cli::CommandLine;

/// Exit code when the command fails or the daemon refuses it.
const EXIT_FAILURE: u8 = 1;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    match CommandLine::from_env_or_exit().run().await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_FAILURE),
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}
