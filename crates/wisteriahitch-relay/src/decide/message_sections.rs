//! Optional sections at the end of a gossip message.
//!
//! Daemons of two software versions exchange messages during an upgrade. A section carries its tag
//! and its length, so that a daemon passes over the sections that it doesn't know, and one section
//! that can't be read doesn't cost the rest of the message.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Content of a section.
pub trait SectionContent: Serialize + DeserializeOwned {
    /// Tag of the section. A tag that was in use is never given another meaning.
    const TAG: u8;
}

/// A section whose content can't be encoded or decoded.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("section {tag} of a message can't be encoded or decoded")]
pub struct SectionError {
    /// Tag of the section.
    pub tag: u8,
}

/// Encoded sections, the most important first.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct MessageSections(Vec<Section>);

#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
struct Section {
    tag: u8,
    content: Vec<u8>,
}

impl MessageSections {
    /// Appends a section.
    ///
    /// # Errors
    ///
    /// Fails if the content can't be encoded.
    pub fn push<T: SectionContent>(&mut self, content: &T) -> Result<(), SectionError> {
        let content = postcard::to_stdvec(content).map_err(|_| SectionError { tag: T::TAG })?;
        self.0.push(Section {
            tag: T::TAG,
            content,
        });
        Ok(())
    }

    /// Returns the content of a section, or `None` if the message doesn't have it.
    ///
    /// # Errors
    ///
    /// Fails if the content can't be decoded. Bytes after the known fields are ignored, since a newer
    /// daemon may have added some.
    pub fn get<T: SectionContent>(&self) -> Result<Option<T>, SectionError> {
        let Some(section) = self.0.iter().find(|section| section.tag == T::TAG) else {
            return Ok(None);
        };
        match postcard::take_from_bytes(&section.content) {
            Ok((content, _)) => Ok(Some(content)),
            Err(_) => Err(SectionError { tag: T::TAG }),
        }
    }

    /// Returns whether there are no sections.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Drops the least important section, and returns whether there was one.
    pub(super) fn drop_last(&mut self) -> bool {
        self.0.pop().is_some()
    }
}
