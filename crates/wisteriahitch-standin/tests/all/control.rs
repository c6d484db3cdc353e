//! Calls to the control paths of the stand-ins.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use serde::Serialize;
use serde_json::Value;
use wisteriahitch_types::{ByteCount, DurationUs};
use wisteriahitch_wire::http_client::{HttpClient, HttpClientOptions};

const TIMEOUT_US: DurationUs = DurationUs::from_ms(20_000);
const LIMIT_BYTES: ByteCount = ByteCount::new(1_000_000);

/// Timeout of [`wait_for`].
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

pub(crate) async fn post(address: SocketAddr, path: &str, value: &impl Serialize) {
    let body = serde_json::to_vec(value).unwrap();
    let request = Request::post(path).body(Bytes::from(body)).unwrap();
    send(address, request).await;
}

pub(crate) async fn get(address: SocketAddr, path: &str) -> Value {
    let request = Request::get(path).body(Bytes::new()).unwrap();
    serde_json::from_slice(&send(address, request).await).unwrap()
}

/// Polls `probe` until it returns `Some`; panics after [`WAIT_TIMEOUT`].
pub(crate) async fn wait_for<T, F: Future<Output = Option<T>>>(mut probe: impl FnMut() -> F) -> T {
    let wait = async {
        loop {
            if let Some(found) = probe().await {
                return found;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, wait).await.unwrap()
}

async fn send(address: SocketAddr, request: Request<Bytes>) -> Bytes {
    let client = HttpClient::new(HttpClientOptions::default());
    let response = client
        .fetch(address, request, TIMEOUT_US, LIMIT_BYTES)
        .await
        .unwrap();
    assert!(response.status().is_success(), "{response:?}");
    response.into_body()
}
