//! Version of the software that an endpoint runs.

use std::fmt;
use std::str::FromStr;
use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};

use crate::ParseIdError;
use crate::id::MAX_NAME_LEN;

/// Maximum number of texts that are shared. A site has a few versions at once.
const MAX_SHARED: usize = 64;

/// Texts of the versions in use. Thousands of endpoints have the same few.
static SHARED: Mutex<Vec<Arc<String>>> = Mutex::new(Vec::new());

/// Identifies the software that an endpoint runs, not its weights.
///
/// The text is opaque: versions are equal or different, and none is newer than another. Equal
/// versions share the text, and take a single pointer each, because a daemon holds one for each of
/// thousands of endpoints.
#[derive(Clone, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SoftwareVersion(Arc<String>);

impl SoftwareVersion {
    /// Returns the version as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for SoftwareVersion {
    type Err = ParseIdError;

    /// Accepts any text of at most 128 bytes, because the platform doesn't restrict it.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.len() <= MAX_NAME_LEN {
            true => Ok(Self(shared(text))),
            false => Err(ParseIdError::TooLong),
        }
    }
}

/// Returns the text in use that equals `text`, or a new one that later calls share.
fn shared(text: &str) -> Arc<String> {
    let mut texts = SHARED.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(known) = texts.iter().find(|known| known.as_str() == text) {
        return Arc::clone(known);
    }
    let new = Arc::new(text.to_owned());
    texts.retain(|known| Arc::strong_count(known) > 1);
    if texts.len() < MAX_SHARED {
        texts.push(Arc::clone(&new));
    }
    new
}

impl TryFrom<String> for SoftwareVersion {
    type Error = ParseIdError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<SoftwareVersion> for String {
    fn from(version: SoftwareVersion) -> Self {
        version.0.as_ref().clone()
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "SoftwareVersion({})", self.0)
    }
}
