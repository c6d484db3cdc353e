//! Identity of one instance of an endpoint: its id and its start time.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{EndpointId, ParseIdError};

/// Separates the id from the start time in the text form. Ids cannot contain it.
const SEPARATOR: char = '@';

/// Start time of an endpoint's process, in Unix milliseconds on the clock of its own VM.
///
/// It only distinguishes instances and does not order them: clocks jump, so a later instance may
/// have an earlier start time (`docs/design/endpoint-lives.md`).
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EndpointStart(u64);

impl EndpointStart {
    /// Builds a start time from Unix milliseconds.
    pub const fn from_unix_ms(unix_ms: u64) -> Self {
        Self(unix_ms)
    }

    /// Returns the start time in Unix milliseconds.
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

/// One instance of an endpoint: its id and, if the platform reports it, its start time.
///
/// An endpoint that crashes may restart under the same id with empty caches. State about an
/// endpoint applies to one instance only, so it is stored and published under id and start time.
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
    /// Endpoint id. Other instances may have the same id.
    pub id: EndpointId,
    /// Start time. `None` if the platform reports no start times; it then assigns a new id to
    /// each instance.
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
