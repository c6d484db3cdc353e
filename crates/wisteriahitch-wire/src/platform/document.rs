//! Wire format of the object API.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{Object, ObjectKind, ObjectVersion};

/// API group and version of all objects.
pub(crate) const API_VERSION: &str = "wisteriahitch.example/v1";

/// Wire format of an object.
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
    /// Builds the document of a write. `version` is `None` for a creation.
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

    /// Converts the document to an object; fails if its kind differs or it has no version.
    ///
    /// An empty kind is accepted, because items of a listing may omit it.
    pub(crate) fn try_into_object(self, kind: ObjectKind) -> Result<Object, String> {
        if !self.kind.is_empty() && self.kind != kind.type_name() {
            return Err(format!(
                "the object has the unexpected kind {:?}",
                self.kind
            ));
        }
        let version = parse_version(self.metadata.resource_version.as_deref())?;
        Ok(Object {
            name: self.metadata.name,
            version,
            spec: self.spec,
        })
    }
}

/// Wire format of a listing.
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

/// Wire format of a watch event.
#[derive(Debug, Deserialize)]
pub(crate) struct EventDocument {
    #[serde(rename = "type")]
    pub(crate) event: EventType,
    pub(crate) object: ObjectDocument,
}

/// Kind of change of a watched object.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "UPPERCASE")]
pub(crate) enum EventType {
    Added,
    Modified,
    Deleted,
}

/// Body of a refusal.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct StatusDocument {
    #[serde(default)]
    pub(crate) reason: String,
}

fn parse_version(text: Option<&str>) -> Result<ObjectVersion, String> {
    let text = text.ok_or("the answer has no resourceVersion")?;
    let number = text.parse();
    number
        .map(ObjectVersion::new)
        .map_err(|_| format!("the resourceVersion {text:?} is not a number"))
}
