//! One section: a text and its name by content.

use std::sync::Arc;

use super::{SectionHash, SectionName};

/// Holds a section's text with the hash that names it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Section {
    hash: SectionHash,
    text: Arc<str>,
}

/// Reports a text that doesn't have the content that its name says.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the section {name} is named {expected}, but its text has the hash {found}")]
pub struct SectionMismatch {
    /// Section that was fetched.
    pub name: SectionName,
    /// Hash under which the text was fetched.
    pub expected: SectionHash,
    /// Hash of the text that came.
    pub found: SectionHash,
}

impl Section {
    /// Wraps a text and computes its name.
    pub fn new(text: impl Into<Arc<str>>) -> Self {
        let text = text.into();
        let hash = SectionHash::of(&text);
        Self { hash, text }
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
