//! Sections: the parts of a configuration that are stored and distributed separately.

mod canonical;
mod section;
mod section_change;
mod section_hash;
mod section_name;
#[expect(clippy::module_inception, reason = "the file is named after its type")]
mod sections;
mod submission;

pub use section::{Section, SectionMismatch};
pub use section_change::SectionChange;
pub use section_hash::SectionHash;
pub use section_name::SectionName;
pub use sections::Sections;
