//! Deserialization of counts in the load reports of endpoints.

use serde::de::{Deserialize, Deserializer, Error, Unexpected};

/// Maximum number of requests or slots that an endpoint may report. Sums over a whole fleet then
/// stay far below the maximum of `u64`.
const MAX_REPORTED_COUNT: u64 = u32::MAX as u64;

/// Deserializes a count and rejects one above [`MAX_REPORTED_COUNT`].
///
/// Without this bound, the sum of two fields of a faulty report could overflow: the task that
/// watches the endpoint would panic, or the endpoint would look idle and attract all new requests.
pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let count = u64::deserialize(deserializer)?;
    if count <= MAX_REPORTED_COUNT {
        return Ok(count);
    }
    let expected = "a count of at most 4294967295";
    Err(D::Error::invalid_value(
        Unexpected::Unsigned(count),
        &expected,
    ))
}
