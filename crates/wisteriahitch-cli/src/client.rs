//! HTTP client for the operators' addresses of daemons.

use std::net::SocketAddr;

use anyhow::{Context, bail};
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use serde_json::Value;
use wisteriahitch::types::{ByteCount, DurationUs};
use wisteriahitch::wire::http_client::{HttpClient, HttpClientOptions, HttpErrorKind};

use crate::flags::Wisteriahitch;

/// Comma-separated operators' addresses, used if no `--daemon` is given.
const ADDRESSES_ENV_VAR: &str = "WISTERIAHITCH_OPERATORS";
/// Operators' key, used if no `--key-file` is given.
const KEY_ENV_VAR: &str = "WISTERIAHITCH_OPERATOR_KEY";
const CALL_TIMEOUT_US: DurationUs = DurationUs::from_ms(30_000);
const MAX_ANSWER_BYTES: ByteCount = ByteCount::new(256 * 1_024 * 1_024);

/// Sends an operator's calls to the given daemons, in the order of their addresses.
pub(crate) struct Client {
    http: HttpClient,
    addresses: Vec<SocketAddr>,
    key: String,
}

/// A daemon's HTTP answer, whatever its status.
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    /// Unparsed body.
    pub(crate) body: Bytes,
}

impl Answer {
    /// Parses the body as JSON.
    pub(crate) fn json(&self) -> anyhow::Result<Value> {
        serde_json::from_slice(&self.body).context("the daemon's answer is not JSON")
    }
}

impl Client {
    /// Builds a client from the flags, or from the environment where they are not given.
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

    /// Moves this operators' address to the front of the addresses to call, adding it if it is new.
    pub(crate) fn with_preferred_address(mut self, address: SocketAddr) -> Self {
        self.addresses.retain(|other| *other != address);
        self.addresses.insert(0, address);
        self
    }

    /// Calls the first daemon that can be reached.
    ///
    /// The next daemon is tried only if no byte of the call was sent to the previous one, so that
    /// nothing is submitted twice.
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
        bail!("no daemon address is given; use --daemon IP:PORT or set {ADDRESSES_ENV_VAR}");
    };
    let parse = |part: &str| {
        part.trim()
            .parse()
            .with_context(|| format!("{part:?} in {ADDRESSES_ENV_VAR} is not an address IP:PORT"))
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
