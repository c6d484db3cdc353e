//! Objects as they stand on the wire.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{Object, ObjectKind, ObjectVersion};

/// Group and version of every object.
pub(crate) const API_VERSION: &str = "wisteriahitch.example/v1";

/// One object on the wire.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct ObjectDocument {
    #[serde(default)]
    api_version: String,
    #[serde(default)]
    kind: String,
    metadata: ObjectMetadata,
    spec: Value,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
struct ObjectMetadata {
    name: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    resource_version: Option<String>,
}

impl ObjectDocument {
    /// Builds the document of a write; a creation has no version yet.
    pub(crate) fn new(
        kind: ObjectKind,
        name: &str,
        spec: Value,
        version: Option<ObjectVersion>,
    ) -> Self {
        Self {
            api_version: API_VERSION.to_owned(),
            kind: kind.type_name().to_owned(),
            metadata: ObjectMetadata {
                name: name.to_owned(),
                resource_version: version.map(|version| version.to_string()),
            },
            spec,
        }
    }

    /// Returns the object unless it is of another kind or has no version.
    ///
    /// Items of a listing may leave their kind out.
    pub(crate) fn try_into_object(self, kind: ObjectKind) -> Result<Object, String> {
        if !self.kind.is_empty() && self.kind != kind.type_name() {
            return Err(format!("the object is a {}", self.kind));
        }
        let version = parse_version(self.metadata.resource_version.as_deref())?;
        Ok(Object {
            name: self.metadata.name,
            version,
            spec: self.spec,
        })
    }
}

/// A listing on the wire.
#[derive(Debug, Deserialize)]
pub(crate) struct ListDocument {
    pub(crate) metadata: ListMetadata,
    pub(crate) items: Vec<ObjectDocument>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct ListMetadata {
    resource_version: Option<String>,
}

impl ListMetadata {
    pub(crate) fn try_version(&self) -> Result<ObjectVersion, String> {
        parse_version(self.resource_version.as_deref())
    }
}

/// One event of a watch on the wire.
#[derive(Debug, Deserialize)]
pub(crate) struct EventDocument {
    #[serde(rename = "type")]
    pub(crate) event: EventType,
    pub(crate) object: ObjectDocument,
}

/// What happened to a watched object.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "UPPERCASE")]
pub(crate) enum EventType {
    Added,
    Modified,
    Deleted,
}

/// The platform's reason for a refusal.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct StatusDocument {
    #[serde(default)]
    pub(crate) reason: String,
}

fn parse_version(text: Option<&str>) -> Result<ObjectVersion, String> {
    let text = text.ok_or("the answer has no version")?;
    let number = text.parse();
    number
        .map(ObjectVersion::new)
        .map_err(|_| format!("the version {text:?} isn't a number"))
}
