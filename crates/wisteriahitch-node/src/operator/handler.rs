//! Routes operators' requests by method and path.

use std::sync::Arc;

use async_trait::async_trait;
use http::request::Parts;
use http::{HeaderMap, Method, Request, Response};
use hyper::body::Incoming;
use serde_json::json;
use wisteriahitch_config::key_hash;
use wisteriahitch_types::Code;

use super::{config, dump, explain, status};
use crate::caller::body::{ResponseBody, full_body, read_body};
use crate::caller::{Refusal, json_response, new_request_id};
use crate::server::Handler;
use crate::shared::Shared;

const KEY_HEADER: &str = "x-operator-key";

/// HTTP handler of the operators' listener.
pub(crate) struct OperatorHandler {
    shared: Arc<Shared>,
}

impl OperatorHandler {
    /// Creates the handler.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    async fn answer(
        &self,
        parts: &Parts,
        body: Incoming,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let shared = &self.shared;
        let path = parts.uri.path();
        if (&parts.method, path) == (&Method::GET, "/metrics") {
            shared
                .metrics
                .set_platform_calls(&shared.clients.platform.counts());
            return Ok(Response::new(full_body(shared.metrics.render())));
        }
        self.check_key(&parts.headers)?;
        let limits = &shared.settings.limits;
        let body = read_body(body, limits.body_bytes, limits.body_timeout_us.into())
            .await
            .map_err(Refusal::new)?;
        match (&parts.method, path) {
            (&Method::GET, "/debug/state") => Ok(json_response(&dump::state(shared))),
            (&Method::GET, "/v1/status") => Ok(json_response(&status::status(shared))),
            (&Method::GET, "/v1/config") => config::show(shared),
            (&Method::GET, "/v1/config/history") => config::history(shared),
            (&Method::POST, "/v1/config") => config::submit(shared, parts, &body).await,
            (&Method::POST, "/v1/explain") => explain::explain(shared, &body),
            (&Method::POST, "/v1/locate") => explain::locate(shared, &body),
            (&Method::POST, "/v1/drain") => {
                shared.start_drain();
                Ok(json_response(&json!({ "state": "draining" })))
            }
            _ => Err(Refusal::new(Code::UnknownPath)),
        }
    }

    fn check_key(&self, headers: &HeaderMap) -> Result<(), Refusal> {
        let secret = headers
            .get(KEY_HEADER)
            .and_then(|value| value.to_str().ok());
        let hash = secret.map(key_hash);
        let known = &self.shared.settings.operators.key_hashes;
        match hash.is_some_and(|hash| known.contains(&hash)) {
            true => Ok(()),
            false => Err(Refusal::new(Code::OperatorKey)),
        }
    }
}

#[async_trait]
impl Handler for OperatorHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let (parts, body) = request.into_parts();
        let answered = self.answer(&parts, body).await;
        answered.unwrap_or_else(|refusal| refusal.to_response(&new_request_id(&self.shared)))
    }
}
