//! Section of a gossip message with the version of the configuration that the sender has in force.
//!
//! It is sent only while the store has lost that version. A daemon that starts then reads an older one
//! from the store, and must not call unknown what a later one may contain.

use serde::{Deserialize, Serialize};

use super::message_sections::SectionContent;

/// Configuration that the store has lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct ConfigurationSection {
    /// Version that the sender has in force.
    pub(crate) version: u64,
}

impl SectionContent for ConfigurationSection {
    const TAG: u8 = 4;
}
