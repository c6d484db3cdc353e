//! Removal of hop-by-hop headers.

use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, PROXY_AUTHENTICATE, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderValue};

/// Headers that apply to a single connection or to the framing of the body on it.
const HOP_BY_HOP: [HeaderName; 10] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    PROXY_AUTHENTICATE,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Returns the headers without the hop-by-hop headers and those listed in `Connection`.
///
/// If they were forwarded, a message would have two conflicting framings: what one side takes for
/// part of a body the other could take for the next request (request smuggling).
pub fn without_hop_by_hop(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    for name in HOP_BY_HOP.into_iter().chain(named_by_connection(headers)) {
        forwarded.remove(name);
    }
    forwarded
}

/// Returns the names of the headers that the `Connection` headers list as hop-by-hop.
fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value: &HeaderValue| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect()
}
