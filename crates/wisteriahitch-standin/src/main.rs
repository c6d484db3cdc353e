//! Entry point of the stand-ins.

// `xflags` generates public types, which nothing outside this binary can reach.
#[allow(unreachable_pub)]
mod flags;

use flags::{WisteriahitchStandin, WisteriahitchStandinCmd};
use wisteriahitch_standin::{engine, platform, service, store};

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let flags = WisteriahitchStandin::from_env_or_exit();
    match flags.subcommand {
        WisteriahitchStandinCmd::Platform(command) => {
            platform::run(command.into_options(flags.listen)).await
        }
        WisteriahitchStandinCmd::Service(command) => {
            service::run(command.into_options(flags.listen)).await
        }
        WisteriahitchStandinCmd::Engine(command) => {
            engine::run(command.into_options(flags.listen)).await
        }
        WisteriahitchStandinCmd::Store(command) => {
            store::run(command.into_options(flags.listen)).await
        }
    }
}
