//! The list of daemon addresses that a caller should use.

use bytes::Bytes;
use http::Response;
use serde::Serialize;

use super::body::{ResponseBody, full_body};
use super::identity::Identity;
use crate::shared::Shared;

#[derive(Serialize)]
struct Entries {
    entries: Vec<EntryRow>,
    ttl_ms: u64,
    resume_after_ms: u64,
}

#[derive(Serialize)]
struct EntryRow {
    address: String,
    availability_zone: String,
}

/// Time, in milliseconds, that a caller should wait before it resumes an interrupted stream at
/// another daemon.
const RESUME_AFTER_MS: u64 = 200;

/// Answers `GET /v1/entries` with the daemons' addresses, the best one for this caller first.
///
/// The order is randomized for each response. Callers cache the list, so a fixed order would send
/// all of them to the same daemon.
pub(crate) fn answer(shared: &Shared, identity: &Identity) -> Response<ResponseBody> {
    let ttl_us = identity.in_force.configuration.limits.entries_ttl_us;
    let addresses = shared.list_entries(&identity.workspace);
    let rows = addresses
        .into_iter()
        .map(|entry| EntryRow {
            address: entry.address.to_string(),
            availability_zone: entry.availability_zone.to_string(),
        })
        .collect();
    let entries = Entries {
        entries: rows,
        ttl_ms: ttl_us.as_ms(),
        resume_after_ms: RESUME_AFTER_MS,
    };
    json_response(&entries)
}

/// Renders a value as a JSON response.
pub(crate) fn json_response<T: Serialize>(value: &T) -> Response<ResponseBody> {
    let body = Bytes::from(serde_json::to_vec(value).unwrap_or_default());
    let mut response = Response::new(full_body(body));
    let json = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, json);
    response
}
