//! Sections: the immutable parts of a configuration.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wisteriahitch_types::ParseIdError;

const HASH_HEX_LEN: usize = 64;
const MAX_NAME_LEN: usize = 128;

/// Names a part of the configuration, such as `rules` or `workspace:kandy-1`.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SectionName(Arc<str>);

/// Names the content of a section by its hash; the object of this name never changes.
#[derive(Clone, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SectionHash(Arc<str>);

/// Holds a section's content, which fits its hash.
///
/// ```
/// use wisteriahitch_core::fleet::Section;
///
/// let section = Section::new(b"weight = 2".to_vec());
/// assert!(Section::try_checked(section.hash.clone(), section.content.to_vec()).is_some());
/// assert!(Section::try_checked(section.hash, b"weight = 9".to_vec()).is_none());
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Section {
    /// Hash of the content.
    pub hash: SectionHash,
    /// Content.
    pub content: Arc<[u8]>,
}

impl Section {
    /// Names `content` by its hash.
    pub fn new(content: Vec<u8>) -> Self {
        Self {
            hash: SectionHash::of(&content),
            content: content.into(),
        }
    }

    /// Takes content that was read under a name, unless it doesn't fit the name.
    pub fn try_checked(hash: SectionHash, content: Vec<u8>) -> Option<Self> {
        let section = Self::new(content);
        (section.hash == hash).then_some(section)
    }
}

impl SectionName {
    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl SectionHash {
    /// Hashes a content.
    pub fn of(content: &[u8]) -> Self {
        Self::from_digest(blake3::hash(content))
    }

    pub(super) fn from_digest(digest: blake3::Hash) -> Self {
        Self(digest.to_hex().as_str().into())
    }

    /// Returns the hash as 64 hexadecimal digits, which is the object's name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for SectionName {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.is_empty() {
            return Err(ParseIdError::Empty);
        }
        if text.len() > MAX_NAME_LEN {
            return Err(ParseIdError::TooLong);
        }
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || ".-_:".contains(c);
        match text.chars().find(|c| !is_allowed(*c)) {
            Some(c) => Err(ParseIdError::BadCharacter(c)),
            None => Ok(Self(text.into())),
        }
    }
}

impl FromStr for SectionHash {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != HASH_HEX_LEN || !text.bytes().all(is_digit) {
            return Err(ParseIdError::BadNumber);
        }
        Ok(Self(text.into()))
    }
}

macro_rules! text_form {
    ($($name:ident),+) => {$(
        impl TryFrom<String> for $name {
            type Error = ParseIdError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )+};
}

text_form!(SectionName, SectionHash);

impl fmt::Debug for SectionHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "SectionHash({})", &self.0[..8])
    }
}
