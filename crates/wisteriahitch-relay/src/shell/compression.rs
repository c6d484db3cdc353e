//! Compression of large answers between daemons.
//!
//! Objects repeat the same field names and values, so a configuration takes a fifteenth of its bytes on
//! the wire (`docs/design/large-objects.md`).

use std::io::{self, Read};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::{GzDecoder, GzEncoder};
use http::HeaderMap;
use http::header::ACCEPT_ENCODING;
use wisteriahitch_types::ByteCount;

/// Name of the encoding in HTTP headers.
pub(super) const GZIP: &str = "gzip";

/// Minimum size of an answer that is compressed. A smaller one fits into a few packets.
pub(super) const MIN_COMPRESSED_LEN: usize = 16 * 1024;

/// Returns whether the sender of a request accepts a compressed answer.
pub(super) fn accepts_gzip(headers: &HeaderMap) -> bool {
    let accepted = headers.get(ACCEPT_ENCODING);
    accepted.is_some_and(|value| value.as_bytes() == GZIP.as_bytes())
}

/// Compresses an answer.
///
/// # Errors
///
/// None are known; reading from memory doesn't fail.
pub(super) fn compress(answer: &[u8]) -> io::Result<Bytes> {
    let mut compressed = Vec::new();
    // Higher levels need several times the processor time for a tenth less.
    GzEncoder::new(answer, Compression::fast()).read_to_end(&mut compressed)?;
    Ok(compressed.into())
}

/// Decompresses an answer of at most `max` bytes.
///
/// # Errors
///
/// Fails if the answer is corrupt, or larger.
pub(super) fn decompress(compressed: &[u8], max: ByteCount) -> io::Result<Vec<u8>> {
    let mut answer = Vec::new();
    let decoder = GzDecoder::new(compressed);
    decoder.take(max.get() + 1).read_to_end(&mut answer)?;
    match u64::try_from(answer.len()).is_ok_and(|len| len <= max.get()) {
        true => Ok(answer),
        false => Err(io::Error::other(format!(
            "the decompressed answer is larger than {max}"
        ))),
    }
}
