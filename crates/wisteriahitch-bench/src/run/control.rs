//! HTTP client for the control pages of the stand-ins and the operators' pages of the daemons.

use std::net::SocketAddr;

use anyhow::{Context, ensure};
use bytes::Bytes;
use http::Request;
use serde_json::Value;
use wisteriahitch::types::{ByteCount, DurationUs};
use wisteriahitch::wire::http_client::{HttpClient, HttpClientOptions};

const OPERATOR_SECRET: &str = "demo-operator-key";
const CALL_TIMEOUT_US: DurationUs = DurationUs::from_ms(10_000);
const MAX_ANSWER_BYTES: ByteCount = ByteCount::new(64 * 1_024 * 1_024);

/// Client for pages that answer with JSON.
#[derive(Clone, Debug)]
pub(crate) struct ControlClient {
    http: HttpClient,
}

impl ControlClient {
    pub(crate) fn new() -> Self {
        Self {
            http: HttpClient::new(HttpClientOptions::default()),
        }
    }

    /// Fetches a page.
    pub(crate) async fn get(&self, address: SocketAddr, path: &str) -> anyhow::Result<Value> {
        self.call(address, "GET", path, Bytes::new()).await
    }

    /// Sends JSON or TOML to a page.
    pub(crate) async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: impl Into<Bytes>,
    ) -> anyhow::Result<Value> {
        self.call(address, "POST", path, body.into()).await
    }

    async fn call(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
        body: Bytes,
    ) -> anyhow::Result<Value> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("x-operator-key", OPERATOR_SECRET)
            .body(body)?;
        let response = self
            .http
            .fetch(address, request, CALL_TIMEOUT_US, MAX_ANSWER_BYTES)
            .await?;
        let status = response.status();
        ensure!(
            status.is_success(),
            "{path} of {address} answered {status}: {}",
            String::from_utf8_lossy(response.body())
        );
        if response.body().is_empty() {
            return Ok(Value::Null);
        }
        serde_json::from_slice(response.body())
            .with_context(|| format!("{path} of {address} sent no JSON"))
    }
}
