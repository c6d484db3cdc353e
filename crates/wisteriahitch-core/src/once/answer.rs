//! Answers that are stored for repeated requests.

use serde::{Deserialize, Serialize};
use wisteriahitch_types::ByteCount;

/// Memory counted for each settled entry besides its body, in bytes.
///
/// With it, the limit on stored bytes also limits the number of entries.
pub(crate) const ENTRY_OVERHEAD_BYTES: u64 = 512;

/// The complete answer to a request that ran, returned when the request is repeated.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `content-type` header; `None` if the answer had none.
    pub content_type: Option<String>,
    /// Complete response body.
    pub body: Vec<u8>,
}

impl StoredAnswer {
    /// Returns the memory counted for storing the answer.
    pub fn cost_bytes(&self) -> ByteCount {
        ByteCount::new(self.body.len() as u64 + ENTRY_OVERHEAD_BYTES)
    }
}
