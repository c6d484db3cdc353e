//! Parsing and running one invocation of the command line.

use std::ffi::OsString;

use anyhow::Context;

use crate::command;
use crate::flags::{Wisteriahitch, WisteriahitchCmd};
use crate::render;

/// A parsed invocation of the command line.
///
/// ```
/// use wisteriahitch_cli::CommandLine;
///
/// assert!(CommandLine::try_from_args(["status", "--watch"]).is_ok());
/// assert!(CommandLine::try_from_args(["state"]).is_err());
/// ```
#[derive(Debug)]
pub struct CommandLine {
    flags: Wisteriahitch,
}

impl CommandLine {
    /// Parses the arguments of this process; prints help or the parse error and exits where there
    /// is one.
    pub fn from_env_or_exit() -> Self {
        let arguments: Vec<OsString> = std::env::args_os().skip(1).collect();
        match Wisteriahitch::from_vec(arguments.clone()) {
            Ok(flags) => Self { flags },
            Err(error) if error.is_help() => {
                let words: Vec<&str> = arguments.iter().filter_map(|word| word.to_str()).collect();
                print!("{}", render::help_for_command(&error.to_string(), &words));
                std::process::exit(0)
            }
            Err(error) => error.exit(),
        }
    }

    /// Parses arguments that don't include the program's name.
    ///
    /// # Errors
    ///
    /// Fails if a command or flag doesn't exist, or a required one is missing.
    pub fn try_from_args<T: Into<OsString>>(
        arguments: impl IntoIterator<Item = T>,
    ) -> anyhow::Result<Self> {
        let arguments = arguments.into_iter().map(Into::into).collect();
        let flags = Wisteriahitch::from_vec(arguments).context("the arguments don't parse")?;
        Ok(Self { flags })
    }

    /// Runs the command and returns whether it succeeded.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be read, no daemon is given or reachable, or an answer isn't valid
    /// JSON.
    pub async fn run(&self) -> anyhow::Result<bool> {
        let flags = &self.flags;
        match &flags.subcommand {
            WisteriahitchCmd::Config(config) => command::config::run(flags, config).await,
            WisteriahitchCmd::Explain(explain) => command::explain::run(flags, explain).await,
            WisteriahitchCmd::Story(story) => command::story::run(flags, story),
            WisteriahitchCmd::Locate(locate) => command::locate::run(flags, locate).await,
            WisteriahitchCmd::Dump(_) => command::dump::run(flags).await,
            WisteriahitchCmd::Status(status) => command::status::run(flags, status).await,
            WisteriahitchCmd::Drain(_) => command::drain::run(flags).await,
        }
    }
}
