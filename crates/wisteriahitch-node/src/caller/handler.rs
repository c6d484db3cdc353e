//! Routes callers' requests by method and path.

use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use http::header::CONNECTION;
use http::request::Parts;
use http::{HeaderValue, Method, Request, Response};
use hyper::body::Incoming;
use wisteriahitch_types::{Code, RequestId};

use super::body::{ResponseBody, read_body};
use super::identity::{Identity, identify, new_request_id};
use super::plain::KEY_HEADER;
use super::{Refusal, completion, entries, plain, resume, tickets};
use crate::server::Handler;
use crate::shared::Shared;

const ENTRIES_PATH: &str = "/v1/entries";
const TICKETS_PATH: &str = "/v1/tickets";
const COMPLETIONS_PATH: &str = "/v1/completions";
const REQUESTS_PREFIX: &str = "/v1/requests/";
/// Paths with this prefix are reserved for the daemon's own API and never reach a plain service.
const RESERVED_PATH_PREFIX: &str = "/v1/";

/// HTTP handler of the callers' listener.
pub(crate) struct CallerHandler {
    shared: Arc<Shared>,
}

impl CallerHandler {
    /// Creates the handler.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    async fn answer(
        &self,
        request_id: &RequestId,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let _accepted = self.shared.track_request();
        let (parts, body) = request.into_parts();
        let received = self.authenticate_and_read_body(&parts, body).await;
        // A request refused at this point was never looked up, neither its key nor its stream, so a
        // copy of it may have run.
        let (identity, body) = match may_have_run_elsewhere(&parts) {
            true => received.map_err(Refusal::with_outcome_unknown)?,
            false => received?,
        };
        let path = parts.uri.path().to_owned();
        self.count_request(&path);
        match (&parts.method, path.as_str()) {
            (&Method::GET, ENTRIES_PATH) => Ok(entries::answer(&self.shared, &identity)),
            (&Method::POST, TICKETS_PATH) => tickets::answer(&self.shared, &identity, &body),
            (&Method::POST, COMPLETIONS_PATH) => {
                completion::answer(&self.shared, identity, request_id, &parts, body).await
            }
            (&Method::GET, path) if path.starts_with(REQUESTS_PREFIX) => {
                resume::answer(&self.shared, &identity, &parts).await
            }
            (_, path) if path.starts_with(RESERVED_PATH_PREFIX) => {
                Err(Refusal::new(Code::UnknownPath))
            }
            _ => plain::answer(&self.shared, identity, request_id, &parts, body).await,
        }
    }

    /// Identifies the workspace of a request and reads its body.
    async fn authenticate_and_read_body(
        &self,
        parts: &Parts,
        body: Incoming,
    ) -> Result<(Identity, Bytes), Refusal> {
        let identity = identify(&self.shared, &parts.headers)?;
        let limits = &self.shared.settings.limits;
        let body = read_body(body, limits.body_bytes, limits.body_timeout_us.into())
            .await
            .map_err(Refusal::new)?;
        Ok((identity, body))
    }

    fn count_request(&self, path: &str) {
        let label = match path {
            ENTRIES_PATH => "entries",
            TICKETS_PATH => "tickets",
            COMPLETIONS_PATH => "completions",
            path if path.starts_with(REQUESTS_PREFIX) => "requests",
            _ => "plain",
        };
        self.shared
            .metrics
            .requests
            .with_label_values(&[label])
            .inc();
    }
}

/// Returns whether a request may already have run at another daemon or in an earlier incarnation of
/// this one.
///
/// A copy of a keyed request, or a request to resume a stream, can reach a daemon that has only
/// just started and knows nothing of the original. If it answered `not run`, a caller whose booking
/// succeeded would book again (`docs/design/at-most-once.md`).
fn may_have_run_elsewhere(parts: &Parts) -> bool {
    let path = parts.uri.path();
    let is_keyed =
        !path.starts_with(RESERVED_PATH_PREFIX) && parts.headers.contains_key(KEY_HEADER);
    is_keyed || path.starts_with(REQUESTS_PREFIX)
}

#[async_trait]
impl Handler for CallerHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let request_id = new_request_id(&self.shared);
        let answered = self.answer(&request_id, request).await;
        let mut response = answered.unwrap_or_else(|refusal| {
            self.shared.metrics.count_refusal(refusal.code());
            refusal.to_response(&request_id)
        });
        // A caller that sends requests one after the other on a keep-alive connection would have
        // one in transit when the process exits, and get no answer to it. `connection: close` makes
        // it reconnect elsewhere first.
        if self.shared.is_draining() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }
}
