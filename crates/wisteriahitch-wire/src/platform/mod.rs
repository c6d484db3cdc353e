//! The platform's object API: versions, conditional updates and waiting watches.

mod answer;
mod call;
mod call_counts;
mod document;
mod error;
mod http_platform;
mod object;
mod token_bucket;

pub use call_counts::CallCounts;
pub use error::{PlatformError, PlatformErrorKind};
pub use http_platform::{HttpPlatform, HttpPlatformOptions};
pub use object::{Object, ObjectKind, ObjectList, ObjectVersion, VirtualMachine, VmPhase};
pub use token_bucket::{CallRate, ParseCallRateError, TokenBucket};

use async_trait::async_trait;
use serde_json::Value;
use wisteriahitch_types::DurationUs;

/// Reads and conditionally writes objects that outlive every daemon.
///
/// Safety of tickets, claims, configuration and leases rests on [`Platform::create`] and
/// [`Platform::update`] taking effect at most once and only against the expected version.
#[async_trait]
pub trait Platform: Send + Sync {
    /// Returns how many calls were sent since the client was built.
    fn counts(&self) -> CallCounts;

    /// Returns the object, or nothing where it doesn't exist.
    async fn get(&self, kind: ObjectKind, name: &str) -> Result<Option<Object>, PlatformError>;

    /// Returns every object of a kind.
    async fn list(&self, kind: ObjectKind) -> Result<ObjectList, PlatformError>;

    /// Creates an object that must not exist yet.
    async fn create(
        &self,
        kind: ObjectKind,
        name: &str,
        spec: Value,
    ) -> Result<Object, PlatformError>;

    /// Replaces an object that must still have the `expected` version.
    async fn update(
        &self,
        kind: ObjectKind,
        name: &str,
        spec: Value,
        expected: ObjectVersion,
    ) -> Result<Object, PlatformError>;

    /// Deletes an object that must still have the `expected` version.
    async fn delete(
        &self,
        kind: ObjectKind,
        name: &str,
        expected: ObjectVersion,
    ) -> Result<(), PlatformError>;

    /// Waits until the object is newer than `after`, at most for `wait_us`.
    async fn watch(
        &self,
        kind: ObjectKind,
        name: &str,
        after: ObjectVersion,
        wait_us: DurationUs,
    ) -> Result<Option<Object>, PlatformError>;
}
