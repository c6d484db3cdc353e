//! A store of objects by kind and name that can be listed and watched.
//!
//! What daemons must agree on, and what tells them of endpoints and configuration, lies there. The
//! trait says what the decisions rely on; how a call looks on the wire is its implementation's.

use std::time::Duration;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::platform::PlatformError;

/// Names what a kind of objects is for; the implementation knows its name on the wire.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectRole {
    /// Endpoints that have registered themselves.
    Endpoints,
    /// The operators' configuration.
    Configuration,
    /// The weight version that each model is to run.
    Weights,
    /// The daemons' own registrations.
    Members,
    /// The daemons' leases.
    Leases,
    /// Requests that daemons no longer send to endpoints.
    BlockedRequests,
    /// Availability zones whose endpoints are to get nothing more, each under its name.
    Evacuations,
}

/// Counts the changes of the whole store.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// One object as the store holds it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredObject {
    /// Name, unique within its kind.
    pub name: String,
    /// Revision of its last change.
    pub revision: Revision,
    /// Content.
    pub content: Value,
}

/// Says why an object that others can write can't be used.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum UnreadableKind {
    /// Its bytes aren't text of the store's format, or nest deeper than is read.
    Syntax,
    /// It is larger than any good one of its kind.
    TooLarge,
    /// It has no name, or one that no object of ours can have.
    Name,
    /// A field is missing or holds something of another type.
    Field,
    /// A field holds a value that makes no sense.
    Value,
}

impl UnreadableKind {
    /// Returns the word for logs and metrics.
    pub const fn label(self) -> &'static str {
        match self {
            UnreadableKind::Syntax => "syntax",
            UnreadableKind::TooLarge => "too_large",
            UnreadableKind::Name => "name",
            UnreadableKind::Field => "field",
            UnreadableKind::Value => "value",
        }
    }
}

/// An object that was passed over, since not even its name can be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Skipped {
    /// Kind of the fault.
    pub kind: UnreadableKind,
    /// What is wrong.
    pub detail: String,
}

/// All objects of a kind at one revision of the store.
///
/// An object with a name and without readable content is among them with the content `null`, so that
/// whoever knew it before sees that it changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// Revision of the store that the listing shows.
    pub revision: Revision,
    /// Objects.
    pub objects: Vec<StoredObject>,
    /// Objects without a name.
    pub skipped: Vec<Skipped>,
}

/// One change of an object.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The object was created or replaced.
    Put(StoredObject),
    /// The object of this name was deleted at this revision. It may have been created again since, and
    /// the news of both may come in either order.
    Deleted(String, Revision),
}

/// What a watch returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Watched {
    /// Changes since the revision asked for.
    Changes {
        /// The changes, the oldest first.
        changes: Vec<Change>,
        /// Changes of objects without a name.
        skipped: Vec<Skipped>,
        /// Revision to go on from.
        revision: Revision,
    },
    /// The store has dropped that part of its history; only a listing helps.
    HistoryGone,
}

/// Reads, watches and conditionally writes objects.
#[async_trait]
pub trait ObjectStore: Send + Sync {
    /// Lists all objects of a kind; `is_stale_allowed` takes an answer that may lag by seconds.
    async fn list(
        &self,
        role: ObjectRole,
        is_stale_allowed: bool,
    ) -> Result<Listing, PlatformError>;

    /// Waits until the kind changes after `after`, at most for `wait`.
    async fn watch(
        &self,
        role: ObjectRole,
        after: Revision,
        wait: Duration,
    ) -> Result<Watched, PlatformError>;

    /// Reads one object; nothing where it doesn't exist.
    async fn get(
        &self,
        role: ObjectRole,
        name: &str,
    ) -> Result<Option<StoredObject>, PlatformError>;

    /// Creates an object that must not exist yet.
    async fn create(
        &self,
        role: ObjectRole,
        name: &str,
        content: Value,
    ) -> Result<StoredObject, PlatformError>;

    /// Replaces an object that must still have the `expected` revision.
    async fn replace(
        &self,
        role: ObjectRole,
        name: &str,
        content: Value,
        expected: Revision,
    ) -> Result<StoredObject, PlatformError>;

    /// Deletes an object that must still have the `expected` revision.
    async fn delete(
        &self,
        role: ObjectRole,
        name: &str,
        expected: Revision,
    ) -> Result<(), PlatformError>;
}
