//! The platform's objects that hold the configuration.

use serde_json::json;
use wisteriahitch_config::{SectionName, Sections};
use wisteriahitch_core::fleet::{HeadObject, Section, SectionHash, SectionName as CoreName};
use wisteriahitch_types::Code;
use wisteriahitch_wire::platform::{
    Object, ObjectKind, Platform, PlatformError, PlatformErrorKind,
};

/// Name of the one head object.
pub(super) const HEAD_NAME: &str = "site";

/// Field of a section object that holds its text.
const TEXT_FIELD: &str = "text";

/// Reports sections that don't fit their head.
#[derive(Clone, Debug, thiserror::Error)]
pub(crate) enum SectionsError {
    /// A name is not a section's.
    #[error("the head names the section {0:?}")]
    BadName(String),
    /// A section's text isn't there.
    #[error("the section {0} is missing")]
    Missing(String),
    /// A section isn't text, or doesn't fit its hash.
    #[error("the section {0} is damaged")]
    Damaged(String),
}

/// Reads a head; an error means that it doesn't parse.
pub(crate) fn parse_head(object: &Object) -> Result<HeadObject, serde_json::Error> {
    serde_json::from_value(object.spec.clone())
}

/// Reads a section's text; nothing where it isn't there or isn't text.
///
/// Either is reported: a daemon that starts with such an object isn't ready, and nothing else would
/// tell the operators which object to mend.
pub(crate) async fn read_section(
    platform: &dyn Platform,
    hash: &SectionHash,
) -> Result<Option<String>, PlatformError> {
    let object = platform
        .get(ObjectKind::ConfigSection, hash.as_str())
        .await?;
    let text = object.and_then(|object| object.spec[TEXT_FIELD].as_str().map(str::to_owned));
    if text.is_none() {
        let code = Code::ConfigCorrupt;
        log::error!("{code} the section {hash} is missing or isn't text");
    }
    Ok(text)
}

/// Writes a section; one that is there already has the same text, since its hash names it.
pub(crate) async fn write_section(
    platform: &dyn Platform,
    hash: &SectionHash,
    text: &str,
) -> Result<(), PlatformError> {
    let spec = json!({ TEXT_FIELD: text });
    match platform
        .create(ObjectKind::ConfigSection, hash.as_str(), spec)
        .await
    {
        Err(error) if error.kind() != PlatformErrorKind::AlreadyExists => Err(error),
        _ => Ok(()),
    }
}

/// Puts the sections of a head together.
pub(crate) fn build_sections(
    head: &HeadObject,
    sections: &[Section],
) -> Result<Sections, SectionsError> {
    let mut built = Sections::default();
    for (name, hash) in &head.sections {
        let section = sections.iter().find(|section| section.hash == *hash);
        let section = section.ok_or_else(|| SectionsError::Missing(name.to_string()))?;
        let damaged = || SectionsError::Damaged(name.to_string());
        let text = std::str::from_utf8(&section.content).map_err(|_| damaged())?;
        let expected = hash.as_str().parse().map_err(|_| damaged())?;
        built
            .insert(site_name(name)?, expected, text)
            .map_err(|_| damaged())?;
    }
    Ok(built)
}

/// Returns the core's name of a section, which uses no slash.
pub(crate) fn core_name(name: &SectionName) -> Option<CoreName> {
    name.to_string().replace('/', ":").parse().ok()
}

fn site_name(name: &CoreName) -> Result<SectionName, SectionsError> {
    let text = name.as_str().replacen(':', "/", 1);
    text.parse()
        .map_err(|_| SectionsError::BadName(name.to_string()))
}
