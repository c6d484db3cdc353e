//! Which life of an endpoint is meant.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{EndpointId, ParseIdError};

/// Stands between an id and a start in text; no id holds it.
const SEPARATOR: char = '@';

/// When an endpoint's process started, in Unix milliseconds by the clock of its own VM.
///
/// It tells one life from another and nothing else: clocks jump, so that a later life may have the
/// earlier start (`docs/design/endpoint-lives.md`).
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EndpointStart(u64);

impl EndpointStart {
    /// Wraps Unix milliseconds.
    pub const fn from_unix_ms(unix_ms: u64) -> Self {
        Self(unix_ms)
    }

    /// Returns Unix milliseconds.
    pub const fn unix_ms(self) -> u64 {
        self.0
    }
}

impl fmt::Display for EndpointStart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for EndpointStart {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self).map_err(|_| ParseIdError::BadNumber)
    }
}

/// One life of an endpoint: its id, and its start where the platform tells one.
///
/// An endpoint that crashes may come back under its id, empty. Whatever is believed of an endpoint
/// is believed of one life, so it is kept and told under both.
///
/// # Examples
///
/// ```
/// use wisteriahitch_types::EndpointInstance;
///
/// let before: EndpointInstance = "i-7@1700000000000".parse()?;
/// let after: EndpointInstance = "i-7@1700000009000".parse()?;
/// assert_eq!(before.id, after.id);
/// assert_ne!(before, after);
/// # Ok::<(), wisteriahitch_types::ParseIdError>(())
/// ```
#[derive(Clone, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct EndpointInstance {
    /// Id, which other lives may have too.
    pub id: EndpointId,
    /// Start. Without one the platform gives each life an id of its own.
    pub start: Option<EndpointStart>,
}

impl From<EndpointId> for EndpointInstance {
    fn from(id: EndpointId) -> Self {
        Self { id, start: None }
    }
}

impl fmt::Display for EndpointInstance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.start {
            Some(start) => write!(f, "{}{SEPARATOR}{start}", self.id),
            None => self.id.fmt(f),
        }
    }
}

impl fmt::Debug for EndpointInstance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "EndpointInstance({self})")
    }
}

impl FromStr for EndpointInstance {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let Some((id, start)) = text.split_once(SEPARATOR) else {
            return Ok(Self::from(text.parse::<EndpointId>()?));
        };
        Ok(Self {
            id: id.parse()?,
            start: Some(start.parse()?),
        })
    }
}

impl TryFrom<String> for EndpointInstance {
    type Error = ParseIdError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<EndpointInstance> for String {
    fn from(instance: EndpointInstance) -> Self {
        instance.to_string()
    }
}
