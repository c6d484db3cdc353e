//! Selection of the headers that are forwarded between callers and services.

use http::HeaderMap;
use http::header::{AUTHORIZATION, COOKIE, HOST, HeaderName, PROXY_AUTHORIZATION};

use crate::headers::without_hop_by_hop;

/// Id of the request, set on requests to the service; the service may echo it in its answer.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Workspace to which the caller's key belongs, set on requests to the service.
pub(crate) const WORKSPACE: HeaderName = HeaderName::from_static("x-workspace");

/// Set to `1` by a service that did not run the request.
pub(crate) const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");

/// Headers between caller and router that are not forwarded to services.
///
/// A service that received the caller's credentials could use them to impersonate the caller.
const CALLER_ONLY_HEADERS: [HeaderName; 8] = [
    AUTHORIZATION,
    COOKIE,
    HOST,
    PROXY_AUTHORIZATION,
    HeaderName::from_static("x-api-key"),
    HeaderName::from_static("x-idempotency-key"),
    REQUEST_ID,
    WORKSPACE,
];

/// Prefix of the headers that callers and the router exchange.
const ROUTER_HEADER_PREFIX: &str = "x-wisteriahitch-";

/// Returns the headers of a caller's request that are forwarded to the service.
pub(crate) fn headers_for_service(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = without_hop_by_hop(headers);
    for name in &CALLER_ONLY_HEADERS {
        forwarded.remove(name);
    }
    without_router_headers(forwarded)
}

/// Returns the headers of a service's answer that are forwarded to the caller.
pub(crate) fn headers_for_caller(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = without_hop_by_hop(headers);
    forwarded.remove(NOT_RUN);
    forwarded.remove(REQUEST_ID);
    without_router_headers(forwarded)
}

fn without_router_headers(mut headers: HeaderMap) -> HeaderMap {
    let is_router_header = |name: &&HeaderName| name.as_str().starts_with(ROUTER_HEADER_PREFIX);
    let router_headers: Vec<HeaderName> =
        headers.keys().filter(is_router_header).cloned().collect();
    for name in router_headers {
        headers.remove(name);
    }
    headers
}
