//! Text in the path or query of a URL.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, PercentEncode, percent_encode};

/// All bytes but the unreserved ones (RFC 3986, section 2.3).
const ENCODED_BYTES: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// Percent-encodes text that other programs chose, such as the name of an object.
///
/// # Examples
///
/// ```
/// use wisteriahitch_wire::url_text::encode;
///
/// assert_eq!(encode(b"a b&c").to_string(), "a%20b%26c");
/// ```
pub fn encode(text: &[u8]) -> PercentEncode<'_> {
    percent_encode(text, ENCODED_BYTES)
}
