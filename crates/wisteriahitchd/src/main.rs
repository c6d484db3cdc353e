//! The wisteriahitch daemon; `docs/SETTINGS.md` explains its settings file.

mod flags;

use std::path::Path;
use std::process::ExitCode;

use anyhow::Context;
use flags::Wisteriahitchd;
use tokio::signal::unix::{Signal, SignalKind, signal};
use wisteriahitch::config::{LogLevel, LogSettings, Settings};
use wisteriahitch::node::{Daemon, LogOptions, start_logging};

/// Exit code for invalid settings and for a daemon that fails to start or run.
const EXIT_FAILURE: u8 = 1;

/// Exit code after a second stop signal, which aborts the requests in progress.
const EXIT_FORCED_STOP: u8 = 3;

fn main() -> ExitCode {
    let flags = Wisteriahitchd::from_env_or_exit();
    match run(&flags) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn run(flags: &Wisteriahitchd) -> anyhow::Result<ExitCode> {
    let Some(settings) = load_settings(&flags.settings)? else {
        return Ok(ExitCode::from(EXIT_FAILURE));
    };
    if flags.check {
        println!("no problems");
        return Ok(ExitCode::SUCCESS);
    }
    start_logging(&log_options(&settings.log))?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.run.cores as usize)
        .enable_all()
        .build()
        .context("the runtime can't be started")?;
    runtime.block_on(serve(settings))
}

/// Reads and checks the settings file; prints one line per problem with its location and returns
/// `None` if there are any.
fn load_settings(path: &Path) -> anyhow::Result<Option<Settings>> {
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("the settings {} can't be read", path.display()))?;
    match Settings::check(&text) {
        Ok(settings) => Ok(Some(settings)),
        Err(report) => {
            eprintln!("{}", report.in_file(&path.display().to_string()));
            Ok(None)
        }
    }
}

fn log_options(settings: &LogSettings) -> LogOptions {
    let level = match settings.level {
        LogLevel::Error => log::LevelFilter::Error,
        LogLevel::Warn => log::LevelFilter::Warn,
        LogLevel::Info => log::LevelFilter::Info,
        LogLevel::Debug => log::LevelFilter::Debug,
        LogLevel::Trace => log::LevelFilter::Trace,
    };
    LogOptions {
        level,
        file: settings.file.as_ref().map(Into::into),
    }
}

/// Serves until drained. The first SIGTERM or SIGINT starts draining, the second one stops at once.
async fn serve(settings: Settings) -> anyhow::Result<ExitCode> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let daemon = Daemon::new(settings)?;
    let drain = daemon.drainer();
    let running = daemon.run();
    tokio::pin!(running);
    tokio::select! {
        result = running.as_mut() => return result.map(|()| ExitCode::SUCCESS),
        () = next_signal(&mut terminate, &mut interrupt) => drain(),
    }
    tokio::select! {
        result = running => result.map(|()| ExitCode::SUCCESS),
        () = next_signal(&mut terminate, &mut interrupt) => Ok(ExitCode::from(EXIT_FORCED_STOP)),
    }
}

async fn next_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
