//! The answer that a repeat gets.

use serde::{Deserialize, Serialize};
use wisteriahitch_types::ByteCount;

/// Memory that an entry takes besides the body, so that a bound on bytes bounds the entries too.
pub(crate) const ENTRY_OVERHEAD_BYTES: u64 = 512;

/// Holds the whole answer to a request that ran, as its repeat will get it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of the `content-type` header, if there was one.
    pub content_type: Option<String>,
    /// Whole body.
    pub body: Vec<u8>,
}

impl StoredAnswer {
    /// Returns the memory that keeping the answer costs.
    pub fn cost_bytes(&self) -> ByteCount {
        ByteCount::new(self.body.len() as u64 + ENTRY_OVERHEAD_BYTES)
    }
}
