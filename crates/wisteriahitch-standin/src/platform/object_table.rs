//! Objects of the platform and their versions.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

const API_VERSION: &str = "wisteriahitch.example/v1";

/// Each kind's name in paths and its name in objects.
const KINDS: [(&str, &str); 6] = [
    ("claims", "Claim"),
    ("configheads", "ConfigHead"),
    ("configsections", "ConfigSection"),
    ("daemonstatuses", "DaemonStatus"),
    ("leases", "Lease"),
    ("virtualmachines", "VirtualMachine"),
];

/// Returns the name in objects of a kind given by its name in paths.
pub(crate) fn find_type_name(kind: &str) -> Option<&'static str> {
    let found = KINDS.iter().find(|(path_name, _)| *path_name == kind);
    found.map(|(_, type_name)| *type_name)
}

/// Returns the kind with this name in paths, if any.
pub(crate) fn find_kind(text: &str) -> Option<&'static str> {
    let found = KINDS.iter().find(|(path_name, _)| *path_name == text);
    found.map(|(path_name, _)| *path_name)
}

/// Wire format of an object.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct ObjectDocument {
    pub(crate) api_version: String,
    pub(crate) kind: String,
    pub(crate) metadata: Metadata,
    pub(crate) spec: Value,
}

/// Wire format of an object's name and version.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Metadata {
    pub(crate) name: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) resource_version: Option<String>,
}

/// Reason why a write had no effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WriteRefusal {
    AlreadyExists,
    Conflict,
    NotFound,
}

/// Event that a watch reports for one object.
#[derive(Clone, Debug)]
pub(crate) struct ObjectEvent {
    pub(crate) type_name: &'static str,
    pub(crate) object: ObjectDocument,
}

#[derive(Clone, Debug)]
struct ObjectEntry {
    created_version: u64,
    version: u64,
    spec: Value,
    is_deleted: bool,
}

/// Every object by kind and name; deleted ones are retained so that later watches report them.
#[derive(Debug, Default)]
pub(crate) struct ObjectTable {
    version: u64,
    entries: BTreeMap<(&'static str, String), ObjectEntry>,
}

impl ObjectTable {
    /// Returns the version of the last write.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    pub(crate) fn get(&self, kind: &'static str, name: &str) -> Option<ObjectDocument> {
        let entry = self.get_existing(kind, name)?;
        Some(to_document(kind, name, entry))
    }

    pub(crate) fn list(&self, kind: &'static str) -> Vec<ObjectDocument> {
        self.entries
            .iter()
            .filter(|((entry_kind, _), entry)| *entry_kind == kind && !entry.is_deleted)
            .map(|((_, name), entry)| to_document(kind, name, entry))
            .collect()
    }

    pub(crate) fn create(
        &mut self,
        kind: &'static str,
        name: &str,
        spec: Value,
    ) -> Result<ObjectDocument, WriteRefusal> {
        if self.get_existing(kind, name).is_some() {
            return Err(WriteRefusal::AlreadyExists);
        }
        self.version += 1;
        Ok(self.put(kind, name, spec, self.version))
    }

    pub(crate) fn update(
        &mut self,
        kind: &'static str,
        name: &str,
        spec: Value,
        expected: u64,
    ) -> Result<ObjectDocument, WriteRefusal> {
        let created_version = self.check_expected(kind, name, expected)?.created_version;
        self.version += 1;
        Ok(self.put(kind, name, spec, created_version))
    }

    pub(crate) fn delete(
        &mut self,
        kind: &'static str,
        name: &str,
        expected: u64,
    ) -> Result<(), WriteRefusal> {
        self.check_expected(kind, name, expected)?;
        self.delete_unconditionally(kind, name);
        Ok(())
    }

    /// Deletes an object regardless of its version, as the platform does with its own objects.
    pub(crate) fn delete_unconditionally(&mut self, kind: &'static str, name: &str) {
        self.version += 1;
        if let Some(entry) = self.entries.get_mut(&(kind, name.to_owned())) {
            entry.version = self.version;
            entry.is_deleted = true;
        }
    }

    /// Creates or replaces an object regardless of its version, as the platform does with its own
    /// objects.
    pub(crate) fn put_unconditionally(&mut self, kind: &'static str, name: &str, spec: Value) {
        self.version += 1;
        let created_version = self
            .get_existing(kind, name)
            .map_or(self.version, |entry| entry.created_version);
        self.put(kind, name, spec, created_version);
    }

    /// Returns the last change of an object after the version `after`, if any.
    pub(crate) fn event_after(
        &self,
        kind: &'static str,
        name: &str,
        after: u64,
    ) -> Option<ObjectEvent> {
        let entry = self.entries.get(&(kind, name.to_owned()))?;
        if entry.version <= after {
            return None;
        }
        let type_name = match entry {
            ObjectEntry {
                is_deleted: true, ..
            } => "DELETED",
            entry if entry.created_version > after => "ADDED",
            _ => "MODIFIED",
        };
        Some(ObjectEvent {
            type_name,
            object: to_document(kind, name, entry),
        })
    }

    fn get_existing(&self, kind: &'static str, name: &str) -> Option<&ObjectEntry> {
        let entry = self.entries.get(&(kind, name.to_owned()))?;
        (!entry.is_deleted).then_some(entry)
    }

    fn check_expected(
        &self,
        kind: &'static str,
        name: &str,
        expected: u64,
    ) -> Result<&ObjectEntry, WriteRefusal> {
        let entry = self
            .get_existing(kind, name)
            .ok_or(WriteRefusal::NotFound)?;
        if entry.version == expected {
            Ok(entry)
        } else {
            Err(WriteRefusal::Conflict)
        }
    }

    fn put(
        &mut self,
        kind: &'static str,
        name: &str,
        spec: Value,
        created_version: u64,
    ) -> ObjectDocument {
        let entry = ObjectEntry {
            created_version,
            version: self.version,
            spec,
            is_deleted: false,
        };
        let written = to_document(kind, name, &entry);
        self.entries.insert((kind, name.to_owned()), entry);
        written
    }
}

fn to_document(kind: &'static str, name: &str, entry: &ObjectEntry) -> ObjectDocument {
    ObjectDocument {
        api_version: API_VERSION.to_owned(),
        kind: find_type_name(kind).unwrap_or(kind).to_owned(),
        metadata: Metadata {
            name: name.to_owned(),
            resource_version: Some(entry.version.to_string()),
        },
        spec: entry.spec.clone(),
    }
}
