//! Counts in the reports of endpoints.

use serde::de::{Deserialize, Deserializer, Error, Unexpected};

/// Most requests or slots that an endpoint may report; sums over a whole fleet stay far from the
/// end of their type.
const MAX_COUNT: u64 = u32::MAX as u64;

/// Reads a count and refuses one that no endpoint can have.
///
/// Without this bound the sum of two fields of a broken report overflows: the task that follows the
/// endpoint dies, or the endpoint looks idle and draws all new work.
pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let count = u64::deserialize(deserializer)?;
    if count <= MAX_COUNT {
        return Ok(count);
    }
    let expected = "a count of at most 4294967295";
    Err(D::Error::invalid_value(
        Unexpected::Unsigned(count),
        &expected,
    ))
}
