//! Client of the platform's object API: versioned objects, conditional writes, long-poll
//! watches.

mod answer;
mod call;
mod call_counts;
mod document;
mod error;
mod http_platform;
mod object;
mod token_bucket;

pub use call_counts::CallCounts;
pub use error::{FailedWrite, PlatformError, PlatformErrorKind};
pub use http_platform::{HttpPlatform, HttpPlatformOptions};
pub use object::{Object, ObjectKind, ObjectList, ObjectVersion, VirtualMachine, VmPhase};
pub use token_bucket::{CallRate, ParseCallRateError, TokenBucket};

use async_trait::async_trait;
use serde_json::Value;
use wisteriahitch_types::DurationUs;

/// Client of the platform's object API, which stores objects beyond the lifetime of any daemon.
///
/// The safety of tickets, claims, configuration and leases depends on [`Platform::create`] and
/// [`Platform::update`] taking effect at most once and only on the expected version.
#[async_trait]
pub trait Platform: Send + Sync {
    /// Returns the numbers of calls since the client was built.
    fn counts(&self) -> CallCounts;

    /// Returns an object, or `None` if it does not exist.
    async fn get(&self, kind: ObjectKind, name: &str) -> Result<Option<Object>, PlatformError>;

    /// Returns all objects of a kind.
    async fn list(&self, kind: ObjectKind) -> Result<ObjectList, PlatformError>;

    /// Creates an object; fails if it exists.
    async fn create(
        &self,
        kind: ObjectKind,
        name: &str,
        spec: Value,
    ) -> Result<Object, PlatformError>;

    /// Replaces an object; fails unless its version is `expected`.
    async fn update(
        &self,
        kind: ObjectKind,
        name: &str,
        spec: Value,
        expected: ObjectVersion,
    ) -> Result<Object, PlatformError>;

    /// Deletes an object; fails unless its version is `expected`.
    async fn delete(
        &self,
        kind: ObjectKind,
        name: &str,
        expected: ObjectVersion,
    ) -> Result<(), PlatformError>;

    /// Waits at most `wait_us` until the object's version is newer than `after`.
    ///
    /// Returns `None` if it is not by then.
    async fn watch(
        &self,
        kind: ObjectKind,
        name: &str,
        after: ObjectVersion,
        wait_us: DurationUs,
    ) -> Result<Option<Object>, PlatformError>;
}
