//! Calls to the operators' addresses of daemons.

use std::net::SocketAddr;

use anyhow::{Context, bail};
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use serde_json::Value;
use wisteriahitch::types::{ByteCount, DurationUs};
use wisteriahitch::wire::http_client::{HttpClient, HttpClientOptions, HttpErrorKind};

use crate::flags::Wisteriahitch;

const ADDRESSES_ENV_VAR: &str = "WISTERIAHITCH_OPERATORS";
const KEY_ENV_VAR: &str = "WISTERIAHITCH_OPERATOR_KEY";
const CALL_TIMEOUT_US: DurationUs = DurationUs::from_ms(30_000);
const MAX_ANSWER_BYTES: ByteCount = ByteCount::new(256 * 1_024 * 1_024);

/// Asks daemons on an operator's behalf.
pub(crate) struct Client {
    http: HttpClient,
    addresses: Vec<SocketAddr>,
    key: String,
}

/// Holds a daemon's answer.
pub(crate) struct Answer {
    /// HTTP status.
    pub(crate) status: StatusCode,
    /// Body as sent.
    pub(crate) body: Bytes,
}

impl Answer {
    /// Returns the body as JSON.
    pub(crate) fn json(&self) -> anyhow::Result<Value> {
        serde_json::from_slice(&self.body).context("the daemon's answer is not JSON")
    }
}

impl Client {
    /// Builds a client from the flags and the environment.
    pub(crate) fn from_flags(flags: &Wisteriahitch) -> anyhow::Result<Self> {
        let addresses = resolve_addresses(flags)?;
        let key = read_operator_key(flags)?;
        let http = HttpClient::new(HttpClientOptions::default());
        Ok(Self {
            http,
            addresses,
            key,
        })
    }

    /// Returns a client that asks the daemon at this operators' address first.
    pub(crate) fn with_preferred_address(mut self, address: SocketAddr) -> Self {
        self.addresses.retain(|other| *other != address);
        self.addresses.insert(0, address);
        self
    }

    /// Sends a call to the first daemon that can be reached.
    ///
    /// Another daemon is asked only where no byte of the call has left, so that nothing is
    /// submitted twice.
    pub(crate) async fn call(
        &self,
        method: Method,
        path: &str,
        body: impl Into<Bytes>,
    ) -> anyhow::Result<Answer> {
        let body = body.into();
        let mut failures = Vec::new();
        for address in &self.addresses {
            match self
                .call_address(*address, method.clone(), path, body.clone())
                .await
            {
                Ok(answer) => return Ok(answer),
                Err((HttpErrorKind::NotSent, detail)) => failures.push(detail),
                Err((_, detail)) => bail!("{detail}; whether the call took effect is unknown"),
            }
        }
        bail!("no daemon can be reached: {}", failures.join("; "))
    }

    async fn call_address(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Answer, (HttpErrorKind, String)> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("x-operator-key", &self.key)
            .body(body)
            .map_err(|error| (HttpErrorKind::Malformed, error.to_string()))?;
        let response = self
            .http
            .fetch(address, request, CALL_TIMEOUT_US, MAX_ANSWER_BYTES)
            .await
            .map_err(|error| (error.kind(), format!("{address}: {error}")))?;
        Ok(Answer {
            status: response.status(),
            body: response.into_body(),
        })
    }
}

fn resolve_addresses(flags: &Wisteriahitch) -> anyhow::Result<Vec<SocketAddr>> {
    if !flags.daemon.is_empty() {
        return Ok(flags.daemon.clone());
    }
    let Ok(text) = std::env::var(ADDRESSES_ENV_VAR) else {
        bail!("no daemon is named; use --daemon IP:PORT or set {ADDRESSES_ENV_VAR}");
    };
    let parse = |part: &str| {
        part.trim()
            .parse()
            .with_context(|| format!("{part:?} in {ADDRESSES_ENV_VAR}"))
    };
    text.split(',').map(parse).collect()
}

fn read_operator_key(flags: &Wisteriahitch) -> anyhow::Result<String> {
    let Some(path) = &flags.key_file else {
        return Ok(std::env::var(KEY_ENV_VAR).unwrap_or_default());
    };
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("the key file {} can't be read", path.display()))?;
    Ok(text.trim().to_owned())
}
