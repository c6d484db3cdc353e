//! Entry point of the tool.

mod flags;

use std::process::ExitCode;

use flags::{WisteriahitchBench, WisteriahitchBenchCmd};
use wisteriahitch_bench::demo;

#[tokio::main]
async fn main() -> ExitCode {
    let flags = WisteriahitchBench::from_env_or_exit();
    let result = match flags.subcommand {
        WisteriahitchBenchCmd::Demo(flags) => {
            let site = demo::Site {
                entries: flags.entry,
                operators: flags.operators,
                service: flags.service,
            };
            demo::run(&site).await
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}
