//! HTTP calls as callers and operators send them.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Method, Request};
use serde_json::Value;
use wisteriahitch::types::{ByteCount, DurationUs};
use wisteriahitch::wire::http_client::{HttpClient, HttpClientOptions, HttpError};

const TIMEOUT_US: DurationUs = DurationUs::from_ms(60_000);
const LIMIT_BYTES: ByteCount = ByteCount::new(64 * 1_024 * 1_024);

/// Holds a whole answer.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Answer {
    /// Returns the body as text.
    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the body as JSON.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }

    /// Returns the numbered code of a refusal, or an empty text.
    pub(crate) fn code(&self) -> String {
        self.header("x-wisteriahitch-code")
    }

    /// Returns what a refusal says of the request, or an empty text.
    pub(crate) fn meaning(&self) -> String {
        self.header("x-wisteriahitch-meaning")
    }

    fn header(&self, name: &str) -> String {
        let value = self.headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    }
}

/// Sends one call on a connection of its own.
pub(crate) async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Result<Answer, HttpError> {
    let mut builder = Request::builder().method(method).uri(path);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let request = builder.body(body.into()).unwrap();
    let http = HttpClient::new(HttpClientOptions::default());
    let response = http
        .fetch(address, request, TIMEOUT_US, LIMIT_BYTES)
        .await?;
    let (head, body) = response.into_parts();
    Ok(Answer {
        status: head.status.as_u16(),
        headers: head.headers,
        body,
    })
}

/// Posts JSON, such as to a stand-in's control path, and fails the test if that fails.
pub(crate) async fn post_json(address: SocketAddr, path: &str, body: &Value) -> Value {
    let answer = call(address, Method::POST, path, &[], body.to_string())
        .await
        .unwrap();
    assert!(answer.status < 300, "{path}: {answer:?}");
    serde_json::from_slice(&answer.body).unwrap_or(Value::Null)
}
