//! Logging as JSON lines.

use std::path::PathBuf;

use anyhow::Context;
use log::LevelFilter;
use log4rs::append::Append;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::append::file::FileAppender;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::json::JsonEncoder;

const APPENDER: &str = "main";

/// Logging options.
#[derive(Clone, Debug)]
pub struct LogOptions {
    /// Least severe level that is logged.
    pub level: LevelFilter,
    /// File to append to. `None` logs to standard error, since entry VMs have no disks.
    pub file: Option<PathBuf>,
}

/// Starts logging for the whole process.
///
/// # Errors
///
/// Fails if the file can't be opened or logging has already been started.
pub fn start_logging(options: &LogOptions) -> anyhow::Result<()> {
    let appender = build_appender(options)?;
    let root = Root::builder().appender(APPENDER).build(options.level);
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, appender))
        .build(root)
        .context("the log configuration is inconsistent")?;
    log4rs::init_config(config).context("logging was started twice")?;
    Ok(())
}

fn build_appender(options: &LogOptions) -> anyhow::Result<Box<dyn Append>> {
    let encoder = Box::new(JsonEncoder::new());
    match &options.file {
        Some(path) => {
            let appender = FileAppender::builder()
                .encoder(encoder)
                .build(path)
                .with_context(|| format!("the log file {} can't be opened", path.display()))?;
            Ok(Box::new(appender))
        }
        None => Ok(Box::new(
            ConsoleAppender::builder()
                .target(Target::Stderr)
                .encoder(encoder)
                .build(),
        )),
    }
}
