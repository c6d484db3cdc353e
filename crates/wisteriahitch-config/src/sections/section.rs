//! A section: a text, addressed by its content hash.

use std::sync::Arc;

use super::SectionHash;

/// The text of a section with its content hash.
///
/// ```
/// use wisteriahitch_config::Section;
///
/// let section = Section::new("weight = 2");
/// assert!(Section::try_verified(section.hash(), section.text()).is_ok());
/// assert!(Section::try_verified(section.hash(), "weight = 9").is_err());
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Section {
    hash: SectionHash,
    text: Arc<str>,
}

/// Error for a text that doesn't match the hash it was fetched under.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the section is named {expected}, but its text has the hash {found}")]
pub struct SectionMismatch {
    /// Hash under which the text was fetched.
    pub expected: SectionHash,
    /// Hash of the text received.
    pub found: SectionHash,
}

impl Section {
    /// Creates a section from a text and computes its hash.
    pub fn new(text: impl Into<Arc<str>>) -> Self {
        let text = text.into();
        let hash = SectionHash::of(text.as_bytes());
        Self { hash, text }
    }

    /// Creates a section from a text that was fetched under a hash.
    ///
    /// # Errors
    ///
    /// Returns [`SectionMismatch`] if the text has another hash.
    pub fn try_verified(
        expected: SectionHash,
        text: impl Into<Arc<str>>,
    ) -> Result<Self, SectionMismatch> {
        let section = Self::new(text);
        let found = section.hash;
        if found != expected {
            return Err(SectionMismatch { expected, found });
        }
        Ok(section)
    }

    /// Returns the content hash of the text.
    pub fn hash(&self) -> SectionHash {
        self.hash
    }

    /// Returns the TOML text of the section.
    pub fn text(&self) -> &str {
        &self.text
    }
}
