//! The site that the demo talks to.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, bail, ensure};
use bytes::Bytes;
use http::Request;
use serde_json::{Value, json};
use wisteriahitch::types::{ByteCount, DurationUs};
use wisteriahitch::wire::http_client::{HttpClient, HttpClientOptions};

use crate::caller::Caller;

/// Workspace whose key the demo uses; the secret is the one of `examples/demo.toml`.
pub(crate) const WORKSPACE: &str = "kandy-central";
const SECRET: &str = "demo-key-kandy-central";
const OPERATOR_SECRET: &str = "demo-operator-key";

/// Model of the demo site.
pub(crate) const MODEL: &str = "hist-7b";

const POLL_PAUSE: Duration = Duration::from_millis(100);
const MAX_POLLS: usize = 600;
const TIMEOUT_US: DurationUs = DurationUs::from_ms(10_000);
const LIMIT_BYTES: ByteCount = ByteCount::new(16 * 1_024 * 1_024);

/// Holds the addresses of a running demo site.
#[derive(Clone, Debug)]
pub struct Site {
    /// Callers' addresses of the daemons.
    pub entries: Vec<SocketAddr>,
    /// Operators' address of a daemon.
    pub operators: SocketAddr,
    /// Stand-in of the plain service.
    pub service: SocketAddr,
}

impl Site {
    /// Returns a caller with the demo workspace's key.
    pub(crate) fn caller(&self) -> Caller {
        Caller::new(SECRET)
    }

    /// Waits until every daemon lists every daemon and the endpoints are ready.
    pub(crate) async fn wait_until_ready(&self) -> anyhow::Result<()> {
        ensure!(self.entries.len() >= 3, "the demo needs three entry VMs");
        let caller = self.caller();
        for entry in &self.entries {
            poll("every daemon to list every other one", async || {
                let listed = caller.entries(*entry).await.unwrap_or_default();
                Ok(listed.len() >= self.entries.len())
            })
            .await?;
        }
        poll("the endpoints to be ready", async || {
            let status = self.operator("GET", "/v1/status", &Value::Null).await?;
            let rows = status["endpoints"].as_array().cloned().unwrap_or_default();
            Ok(!rows.is_empty() && rows.iter().all(|row| row["state"] == "ready"))
        })
        .await
    }

    /// Returns where the blocks of a prompt are.
    pub(crate) async fn locate(&self, prompt: &str) -> anyhow::Result<Vec<Value>> {
        let question = json!({ "workspace": WORKSPACE, "model": MODEL, "prompt": prompt });
        let answer = self.operator("POST", "/v1/locate", &question).await?;
        Ok(answer["blocks"].as_array().cloned().unwrap_or_default())
    }

    /// Returns how often the plain service ran the request with this key.
    pub(crate) async fn runs(&self, key: &str) -> anyhow::Result<u64> {
        let runs = fetch(self.service, "GET", "/control/runs", &Value::Null).await?;
        Ok(runs[key].as_u64().unwrap_or(0))
    }

    async fn operator(&self, method: &str, path: &str, body: &Value) -> anyhow::Result<Value> {
        fetch(self.operators, method, path, body).await
    }
}

async fn fetch(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &Value,
) -> anyhow::Result<Value> {
    let body = match body {
        Value::Null => Bytes::new(),
        body => Bytes::from(body.to_string()),
    };
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("x-operator-key", OPERATOR_SECRET)
        .body(body)?;
    let http = HttpClient::new(HttpClientOptions::default());
    let response = http
        .fetch(address, request, TIMEOUT_US, LIMIT_BYTES)
        .await?;
    serde_json::from_slice(response.body())
        .with_context(|| format!("{path} answered {}", response.status()))
}

/// Waits for a state with a generous bound.
pub(crate) async fn poll(
    what: &str,
    mut is_reached: impl AsyncFnMut() -> anyhow::Result<bool>,
) -> anyhow::Result<()> {
    let mut last_error = None;
    for _ in 0..MAX_POLLS {
        match is_reached().await {
            Ok(true) => return Ok(()),
            Ok(false) => {}
            Err(error) => last_error = Some(error),
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }
    match last_error {
        Some(error) => bail!("waited in vain for {what}: {error:#}"),
        None => bail!("waited in vain for {what}"),
    }
}
