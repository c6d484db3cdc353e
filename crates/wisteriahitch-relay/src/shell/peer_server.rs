//! HTTP server for other daemons, operators and metrics scrapers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_ENCODING;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;
use wisteriahitch_types::DurationUs;

use super::answer_body::AnswerBody;
use super::blocked_requests::{BLOCKED_PATH, blocked_list, lift};
use super::compression::{GZIP, MIN_COMPRESSED_LEN, accepts_gzip, compress};
use super::forwarding::{FORWARD_PATH, answer_forward_request};
use super::object_answers::answer_objects_request;
use super::peer_client::{
    ENGINE_MEMORY_PATH, EngineMemorySnapshot, PEER_OBJECTS_PATH, PEER_PARTS_PATH,
};
use super::retry_lending::answer_borrower;
use super::room_lending::{ROOM_PATH, answer_room_request};
use super::server::{ConnectionLimits, RequestHandler};
use super::shared::Shared;
use super::stream_origins::{ORIGIN_PATH, answer_question};
use super::watch_state::{WATCHED_ROLES, kind_name};

/// Serves requests of other daemons, operators and metrics scrapers.
pub(crate) struct PeerHttpHandler {
    pub(crate) shared: Arc<Shared>,
}

impl RequestHandler for PeerHttpHandler {
    const SWITCHES_PROTOCOLS: bool = true;

    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        from: SocketAddr,
    ) -> Response<AnswerBody> {
        if request.uri().path().starts_with(FORWARD_PATH) {
            return answer_forward_request(&self.shared, request, from.ip()).await;
        }
        let path = request.uri().path();
        let query = request.uri().query();
        if let Some(kind) = path.strip_prefix(PEER_OBJECTS_PATH) {
            let query = query.unwrap_or_default();
            let answer = answer_objects_request(&self.shared, kind, query, request.headers());
            return answer.unwrap_or_else(|| response_of(None, false));
        }
        if let Some(key) = path.strip_prefix(ORIGIN_PATH) {
            let answer = answer_question(&self.shared, key, query).await;
            return response_of(answer.and_then(|answer| json(&answer)), false);
        }
        let body = match *request.method() {
            _ if path.starts_with(ROOM_PATH) => {
                answer_room_request(&self.shared, request.method(), path, query, from.ip())
            }
            Method::DELETE => lift(&self.shared, path),
            Method::POST => answer_borrower(&self.shared, path, from.ip()),
            _ => self.response_body(path),
        };
        response_of(body, accepts_gzip(request.headers()))
    }

    fn limits(&self) -> ConnectionLimits {
        ConnectionLimits {
            header_bytes: 8_192,
            idle_timeout: Duration::from_secs(10),
        }
    }
}

impl PeerHttpHandler {
    /// Returns the body for a path, or `None` if the path is unknown.
    fn response_body(&self, path: &str) -> Option<Bytes> {
        let shared = &self.shared;
        if let Some(store) = path.strip_prefix(PEER_PARTS_PATH) {
            let store: SocketAddr = store.parse().ok()?;
            return json(&shared.part_stores.lock().stored_parts_at(store));
        }
        match path {
            ENGINE_MEMORY_PATH => json(&engine_memory_snapshot(shared)),
            "/metrics" => Some(metrics_text(shared).into()),
            BLOCKED_PATH => json(&blocked_list(shared)),
            "/v1/dump" => Some(super::daemon::dump(shared).into()),
            _ => None,
        }
    }
}

/// Returns the response with a body, compressed if it is large and that is accepted, or 404 without one.
fn response_of(body: Option<Bytes>, accepts_gzip: bool) -> Response<AnswerBody> {
    let Some(body) = body else {
        let mut response = Response::new(AnswerBody::full(Bytes::new()));
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    };
    let is_compressible = accepts_gzip && body.len() >= MIN_COMPRESSED_LEN;
    // What can't be compressed is sent as it is.
    match is_compressible.then(|| compress(&body).ok()).flatten() {
        Some(compressed) => {
            let mut response = Response::new(AnswerBody::full(compressed));
            let encoding = HeaderValue::from_static(GZIP);
            response.headers_mut().insert(CONTENT_ENCODING, encoding);
            response
        }
        None => Response::new(AnswerBody::full(body)),
    }
}

fn engine_memory_snapshot(shared: &Shared) -> EngineMemorySnapshot {
    let now = shared.now();
    EngineMemorySnapshot {
        up_ms: now.since(shared.started_at_us).as_ms(),
        engines: shared.endpoints.lock().engine_memory(now),
    }
}

fn json<T: Serialize>(value: &T) -> Option<Bytes> {
    serde_json::to_vec(value).ok().map(Bytes::from)
}

fn metrics_text(shared: &Shared) -> String {
    for role in WATCHED_ROLES {
        let Some(age_ms) = shared.watches.age_ms(role, shared.now()) else {
            continue;
        };
        let ages = &shared.metrics.store_age_s;
        let gauge = ages.with_label_values(&[kind_name(role)]);
        gauge.set(DurationUs::from_ms(age_ms).as_secs_f64());
    }
    let endpoints = shared.endpoints.lock();
    for (state, count) in endpoints.count_by_state() {
        let gauge = shared.metrics.endpoints.with_label_values(&[state]);
        gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
    }
    let (now, metrics) = (shared.now(), &shared.metrics);
    let counts = [
        (
            &metrics.brittle_services,
            endpoints.brittle_services().count(),
        ),
        (&metrics.cold_endpoints, endpoints.cold_count(now)),
        (&metrics.limited_endpoints, endpoints.limited_count(now)),
        (&metrics.leaving_endpoints, endpoints.leaving_count()),
        (&metrics.resting_endpoints, endpoints.resting_count(now)),
    ];
    for (gauge, count) in counts {
        gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
    }
    drop(endpoints);
    shared.metrics.text()
}
