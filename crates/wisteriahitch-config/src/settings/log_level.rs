//! How much a daemon logs.

use std::fmt;

use serde::Serialize;
use toml::de::DeValue;

use crate::read::FromValue;

/// Says which log lines are written.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Failures that an operator has to look at.
    Error,
    /// And what may become one.
    Warn,
    /// And every change of state.
    #[default]
    Info,
    /// And every decision.
    Debug,
    /// And every message.
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

    /// Returns the level as it is written in the settings.
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
