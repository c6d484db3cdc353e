//! The platform objects that store the configuration.

use serde_json::json;
use wisteriahitch_config::{Section, SectionHash, SectionName, Sections};
use wisteriahitch_core::fleet::HeadObject;
use wisteriahitch_types::Code;
use wisteriahitch_wire::platform::{
    Object, ObjectKind, Platform, PlatformError, PlatformErrorKind,
};

/// Name of the only head object.
pub(super) const HEAD_NAME: &str = "site";

/// Field of a section object that contains its text.
const TEXT_FIELD: &str = "text";

/// The head names a section that wasn't read.
#[derive(Clone, Debug, thiserror::Error)]
#[error("the section {0} is missing")]
pub(crate) struct SectionMissing(SectionName);

/// Parses a head object.
pub(crate) fn parse_head(object: &Object) -> Result<HeadObject, serde_json::Error> {
    serde_json::from_value(object.spec.clone())
}

/// Reads a section's text; `None` if the object is missing or has no text.
///
/// Either case is logged as an error: a daemon that starts with such an object never becomes ready,
/// and nothing else would tell the operators which object to repair.
pub(crate) async fn read_section(
    platform: &dyn Platform,
    hash: SectionHash,
) -> Result<Option<String>, PlatformError> {
    let object = platform
        .get(ObjectKind::ConfigSection, &hash.to_string())
        .await?;
    let text = object.and_then(|object| object.spec[TEXT_FIELD].as_str().map(str::to_owned));
    if text.is_none() {
        let code = Code::ConfigCorrupt;
        log::error!("{code} the section {hash} is missing or isn't text");
    }
    Ok(text)
}

/// Writes a section. An object that already exists has the same text, since its name is the text's
/// hash.
pub(crate) async fn write_section(
    platform: &dyn Platform,
    hash: SectionHash,
    text: &str,
) -> Result<(), PlatformError> {
    let spec = json!({ TEXT_FIELD: text });
    match platform
        .create(ObjectKind::ConfigSection, &hash.to_string(), spec)
        .await
    {
        Err(error) if error.kind() != PlatformErrorKind::AlreadyExists => Err(error),
        _ => Ok(()),
    }
}

/// Assembles the sections that a head names.
pub(crate) fn build_sections(
    head: &HeadObject,
    sections: &[Section],
) -> Result<Sections, SectionMissing> {
    let mut built = Sections::default();
    for (name, hash) in &head.sections {
        let section = sections.iter().find(|section| section.hash() == *hash);
        let section = section.ok_or_else(|| SectionMissing(name.clone()))?;
        built.insert(name.clone(), section.clone());
    }
    Ok(built)
}
