//! Which headers concern one connection only.

use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, PROXY_AUTHENTICATE, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderValue};

/// Headers that speak of one connection or of the body's way over it.
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

/// Returns the headers without those that concern only the connection they came on.
///
/// Passed on, they would give a message a second framing, and what one side takes for the end of
/// a body the other would take for the next request.
pub fn without_hop_by_hop(headers: &HeaderMap) -> HeaderMap {
    let mut passed = headers.clone();
    for name in HOP_BY_HOP.into_iter().chain(named_by_connection(headers)) {
        passed.remove(name);
    }
    passed
}

/// Returns the headers that a `Connection` header declares as its own.
fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value: &HeaderValue| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect()
}
