//! Headers that are passed on, and those that aren't.

use http::HeaderMap;
use http::header::{AUTHORIZATION, COOKIE, HOST, HeaderName, PROXY_AUTHORIZATION};

use crate::headers::without_hop_by_hop;

/// Names the request in both directions.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Names the workspace that the caller's key belongs to.
pub(crate) const WORKSPACE: HeaderName = HeaderName::from_static("x-workspace");

/// Carries the service's own word that it did not run the request.
pub(crate) const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");

/// Headers that are the system's own business with the caller.
///
/// A credential that reached a service could be used there in the caller's name.
const CALLER_ONLY: [HeaderName; 8] = [
    AUTHORIZATION,
    COOKIE,
    HOST,
    PROXY_AUTHORIZATION,
    HeaderName::from_static("x-api-key"),
    HeaderName::from_static("x-idempotency-key"),
    REQUEST_ID,
    WORKSPACE,
];

/// Start of the names of headers that callers and the system exchange.
const OWN_PREFIX: &str = "x-wisteriahitch-";

/// Returns the headers of a caller's request that go on to the service.
pub(crate) fn pass_to_service(headers: &HeaderMap) -> HeaderMap {
    let mut passed = without_hop_by_hop(headers);
    for name in &CALLER_ONLY {
        passed.remove(name);
    }
    without_own(passed)
}

/// Returns the headers of a service's answer that go on to the caller.
pub(crate) fn pass_to_caller(headers: &HeaderMap) -> HeaderMap {
    let mut passed = without_hop_by_hop(headers);
    passed.remove(NOT_RUN);
    passed.remove(REQUEST_ID);
    without_own(passed)
}

fn without_own(mut headers: HeaderMap) -> HeaderMap {
    let is_own = |name: &&HeaderName| name.as_str().starts_with(OWN_PREFIX);
    let own: Vec<HeaderName> = headers.keys().filter(is_own).cloned().collect();
    for name in own {
        headers.remove(name);
    }
    headers
}
