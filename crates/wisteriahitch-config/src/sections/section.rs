//! One section: a text and its name by content.

use std::sync::Arc;

use super::SectionHash;

/// Holds a section's text with the hash that names it.
///
/// ```
/// use wisteriahitch_config::Section;
///
/// let section = Section::new("weight = 2");
/// assert!(Section::try_checked(section.hash(), section.text()).is_ok());
/// assert!(Section::try_checked(section.hash(), "weight = 9").is_err());
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Section {
    hash: SectionHash,
    text: Arc<str>,
}

/// Reports a text that doesn't fit the hash that names it.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the section is named {expected}, but its text has the hash {found}")]
pub struct SectionMismatch {
    /// Hash under which the text was fetched.
    pub expected: SectionHash,
    /// Hash of the text that came.
    pub found: SectionHash,
}

impl Section {
    /// Wraps a text and computes its name.
    pub fn new(text: impl Into<Arc<str>>) -> Self {
        let text = text.into();
        let hash = SectionHash::of(text.as_bytes());
        Self { hash, text }
    }

    /// Wraps a text that was fetched under a hash.
    ///
    /// # Errors
    ///
    /// The text doesn't have that hash.
    pub fn try_checked(
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

    /// Returns the name of the text.
    pub fn hash(&self) -> SectionHash {
        self.hash
    }

    /// Returns the text.
    pub fn text(&self) -> &str {
        &self.text
    }
}
