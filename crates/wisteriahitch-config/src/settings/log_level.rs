//! Log levels.

use std::fmt;

use serde::Serialize;
use toml::de::DeValue;

use crate::read::FromValue;

/// Minimum severity of the log lines that are written.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Failures that need an operator.
    Error,
    /// Also conditions that may lead to a failure.
    Warn,
    /// Also every change of state.
    #[default]
    Info,
    /// Also every decision.
    Debug,
    /// Also every message.
    Trace,
}

impl LogLevel {
    const ALL: [LogLevel; 5] = [
        LogLevel::Error,
        LogLevel::Warn,
        LogLevel::Info,
        LogLevel::Debug,
        LogLevel::Trace,
    ];

    /// Returns the name of the level in the settings.
    pub const fn as_str(self) -> &'static str {
        match self {
            LogLevel::Error => "error",
            LogLevel::Warn => "warn",
            LogLevel::Info => "info",
            LogLevel::Debug => "debug",
            LogLevel::Trace => "trace",
        }
    }
}

impl fmt::Display for LogLevel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromValue for LogLevel {
    fn from_value(value: &DeValue<'_>) -> Result<Self, String> {
        let text = String::from_value(value)?;
        let mut levels = Self::ALL.into_iter();
        levels
            .find(|level| level.as_str() == text)
            .ok_or_else(|| format!("{text:?} is not one of error, warn, info, debug, trace"))
    }
}
