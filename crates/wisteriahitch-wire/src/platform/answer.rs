//! Parsing of the platform's answers.

use bytes::Bytes;
use http::header::RETRY_AFTER;
use http::{HeaderMap, Response, StatusCode};
use serde::de::DeserializeOwned;
use wisteriahitch_types::DurationUs;

use super::document::{ObjectDocument, StatusDocument};
use super::{Object, ObjectKind, PlatformError, PlatformErrorKind};

/// Converts an unsuccessful answer to an error.
///
/// Only statuses that the platform sends before it writes may be classified as "nothing was
/// written". After any other status, such as 500 or a gateway's 504, the outcome of a write is
/// unknown.
pub(crate) fn classify_refusal(response: &Response<Bytes>) -> PlatformError {
    let status = response.status();
    let reason = parse_reason(response.body());
    let kind = match status {
        StatusCode::CONFLICT if reason == "AlreadyExists" => PlatformErrorKind::AlreadyExists,
        StatusCode::CONFLICT => PlatformErrorKind::Conflict,
        StatusCode::NOT_FOUND => PlatformErrorKind::NotFound,
        StatusCode::PAYLOAD_TOO_LARGE => PlatformErrorKind::TooLarge,
        StatusCode::TOO_MANY_REQUESTS => PlatformErrorKind::RateLimited,
        StatusCode::SERVICE_UNAVAILABLE
        | StatusCode::BAD_REQUEST
        | StatusCode::UNAUTHORIZED
        | StatusCode::FORBIDDEN
        | StatusCode::METHOD_NOT_ALLOWED
        | StatusCode::UNPROCESSABLE_ENTITY => PlatformErrorKind::Unavailable,
        _ => PlatformErrorKind::Malformed,
    };
    let error = PlatformError::new(
        kind,
        format!("the platform answered with status {status} {reason}"),
    );
    match get_retry_after(response.headers()) {
        Some(retry_after_us) => error.with_retry_after_us(retry_after_us),
        None => error,
    }
}

/// Parses a JSON body.
pub(crate) fn parse_body<T: DeserializeOwned>(body: &Bytes) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|error| malformed(error.to_string()))
}

/// Converts a document to an object and checks that its kind and name are the requested ones.
///
/// Otherwise a misrouted answer to another call would be accepted; the wrong claim could let a
/// request run twice.
pub(crate) fn parse_object(
    document: ObjectDocument,
    kind: ObjectKind,
    name: &str,
) -> Result<Object, PlatformError> {
    let object = document.try_into_object(kind).map_err(malformed)?;
    if object.name == name {
        Ok(object)
    } else {
        Err(malformed(format!(
            "the answer has the object {:?} instead of the requested one",
            object.name
        )))
    }
}

pub(crate) fn malformed(detail: impl Into<String>) -> PlatformError {
    PlatformError::new(PlatformErrorKind::Malformed, detail)
}

fn parse_reason(body: &Bytes) -> String {
    let status: StatusDocument = serde_json::from_slice(body).unwrap_or_default();
    status.reason
}

/// Parses a `Retry-After` header in seconds; the form with a date is ignored.
fn get_retry_after(headers: &HeaderMap) -> Option<DurationUs> {
    let text = headers.get(RETRY_AFTER)?.to_str().ok()?;
    let seconds: u64 = text.trim().parse().ok()?;
    Some(DurationUs::from_ms(seconds.saturating_mul(1_000)))
}
