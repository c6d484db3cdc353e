//! Conversion of object API calls to HTTP requests.

use std::fmt::Write;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, Request, Uri};
use serde_json::Value;
use wisteriahitch_types::DurationUs;

use super::document::{API_VERSION, ObjectDocument};
use super::{ObjectKind, ObjectVersion, PlatformError, PlatformErrorKind};

/// Kind of a call. It determines the rate limit that applies and whether a failed call may be sent
/// to another address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallKind {
    Read,
    Write,
    Watch,
}

/// One call, which may be sent to several addresses in sequence.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) kind: CallKind,
    method: Method,
    path: String,
    body: Bytes,
}

impl Call {
    pub(crate) fn get(kind: ObjectKind, name: &str) -> Self {
        Self::new(CallKind::Read, Method::GET, object_path(kind, name))
    }

    pub(crate) fn list(kind: ObjectKind) -> Self {
        Self::new(CallKind::Read, Method::GET, kind_path(kind))
    }

    pub(crate) fn create(kind: ObjectKind, name: &str, spec: Value) -> Result<Self, PlatformError> {
        let document = ObjectDocument::new(kind, name, spec, None);
        Self::new(CallKind::Write, Method::POST, kind_path(kind)).with_body(&document)
    }

    pub(crate) fn update(
        kind: ObjectKind,
        name: &str,
        spec: Value,
        expected: ObjectVersion,
    ) -> Result<Self, PlatformError> {
        let document = ObjectDocument::new(kind, name, spec, Some(expected));
        Self::new(CallKind::Write, Method::PUT, object_path(kind, name)).with_body(&document)
    }

    pub(crate) fn delete(kind: ObjectKind, name: &str, expected: ObjectVersion) -> Self {
        let path = format!("{}?resourceVersion={expected}", object_path(kind, name));
        Self::new(CallKind::Write, Method::DELETE, path)
    }

    pub(crate) fn watch(
        kind: ObjectKind,
        name: &str,
        after: ObjectVersion,
        wait_us: DurationUs,
    ) -> Self {
        let path = format!(
            "{}?watch=1&fieldSelector=metadata.name={}&resourceVersion={after}&timeoutSeconds={}",
            kind_path(kind),
            encode(name),
            wait_us.as_ms() / 1_000,
        );
        Self::new(CallKind::Watch, Method::GET, path)
    }

    /// Builds the HTTP request for one attempt.
    pub(crate) fn to_request(&self) -> Result<Request<Bytes>, PlatformError> {
        let uri = Uri::try_from(self.path.as_str()).map_err(|error| {
            PlatformError::new(PlatformErrorKind::Unavailable, error.to_string())
        })?;
        let mut request = Request::new(self.body.clone());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = uri;
        if !self.body.is_empty() {
            let json = HeaderValue::from_static("application/json");
            request.headers_mut().insert(CONTENT_TYPE, json);
        }
        Ok(request)
    }

    fn new(kind: CallKind, method: Method, path: String) -> Self {
        Self {
            kind,
            method,
            path,
            body: Bytes::new(),
        }
    }

    fn with_body(mut self, document: &ObjectDocument) -> Result<Self, PlatformError> {
        let body = serde_json::to_vec(document).map_err(|error| {
            PlatformError::new(PlatformErrorKind::Unavailable, error.to_string())
        })?;
        self.body = body.into();
        Ok(self)
    }
}

fn kind_path(kind: ObjectKind) -> String {
    format!("/apis/{API_VERSION}/{}", kind.path_name())
}

fn object_path(kind: ObjectKind, name: &str) -> String {
    format!("{}/{}", kind_path(kind), encode(name))
}

/// Percent-encodes all bytes but letters, digits and `-._~:`.
fn encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~:".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            // Writing to a string cannot fail.
            let _ = write!(encoded, "%{byte:02X}");
        }
    }
    encoded
}
