//! Content hashes of sections.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use wisteriahitch_types::ParseKeyError;

/// BLAKE3 hash of the text of a section, written as 64 hexadecimal digits.
///
/// Two texts have the same hash only if they are equal, so a section that was fetched once never
/// has to be fetched again, and its text can't change under its hash.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SectionHash([u8; blake3::OUT_LEN]);

impl SectionHash {
    /// Returns the hash of a text.
    pub fn of(text: impl AsRef<[u8]>) -> Self {
        Self(blake3::hash(text.as_ref()).into())
    }
}

impl fmt::Display for SectionHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        blake3::Hash::from_bytes(self.0).to_hex().fmt(f)
    }
}

impl fmt::Debug for SectionHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "SectionHash({self})")
    }
}

impl FromStr for SectionHash {
    type Err = ParseKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let hash = blake3::Hash::from_hex(text).map_err(|_| ParseKeyError)?;
        Ok(Self(hash.into()))
    }
}

impl TryFrom<String> for SectionHash {
    type Error = ParseKeyError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<SectionHash> for String {
    fn from(hash: SectionHash) -> Self {
        hash.to_string()
    }
}
