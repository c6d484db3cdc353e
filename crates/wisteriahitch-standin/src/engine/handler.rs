//! HTTP routes of a stand-in engine.

use std::sync::Arc;

use async_trait::async_trait;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::completion::refuse;
use super::state::EngineState;
use super::{EngineControl, completion, order, transfer};
use crate::shared::get_query;
use crate::util::{Abort, Answer, Handler, answer_json, answer_status, read_json};

/// Maximum length of a request body; long prompts need the most.
const BODY_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Answers the requests of one engine.
pub(super) struct EngineHandler {
    pub(super) state: Arc<EngineState>,
}

#[derive(Serialize)]
struct CancelAnswer {
    cancelled: bool,
}

#[async_trait]
impl Handler for EngineHandler {
    async fn handle(&self, request: Request<Incoming>) -> Result<Answer, Abort> {
        let uri = request.uri().clone();
        let path: Vec<&str> = uri.path().split('/').skip(1).collect();
        if path == ["control"] {
            return self.control(request).await;
        }
        self.state.freeze.wait_until_thawed().await;
        match (request.method().clone(), path.as_slice()) {
            (Method::POST, ["v1", "completions"]) => self.complete(request).await,
            (Method::DELETE, ["v1", "requests", id]) => Ok(self.cancel(id)),
            (Method::GET, ["v1", "load"]) => Ok(ok_json(&self.state.load_report())),
            (Method::GET, ["v1", "cache", "events"]) => {
                let after = get_query(&uri, "after").unwrap_or(0);
                Ok(ok_json(&self.state.cache.lock().events_after(after)))
            }
            (Method::GET, ["v1", "cache", "blocks"]) => {
                Ok(ok_json(&self.state.cache.lock().listing()))
            }
            (Method::POST, ["v1", "kv", "export"]) => match parse(request).await? {
                Ok(body) => Ok(transfer::export(&self.state, body).await),
                Err(refusal) => Ok(refusal),
            },
            (Method::POST, ["v1", "kv", "import"]) => match parse(request).await? {
                Ok(body) => Ok(transfer::import(&self.state, body).await),
                Err(refusal) => Ok(refusal),
            },
            (Method::POST, ["v1", "orders"]) => match parse(request).await? {
                Ok(body) => Ok(order::handle_order(&self.state, body).await),
                Err(refusal) => Ok(refusal),
            },
            _ => Ok(answer_status(StatusCode::NOT_FOUND)),
        }
    }
}

impl EngineHandler {
    async fn complete(&self, request: Request<Incoming>) -> Result<Answer, Abort> {
        match parse(request).await? {
            Ok(body) => completion::complete(&self.state, body).await,
            Err(refusal) => Ok(refusal),
        }
    }

    fn cancel(&self, id: &str) -> Answer {
        let cancelled = id.parse().is_ok_and(|id| self.state.runs.cancel(&id));
        ok_json(&CancelAnswer { cancelled })
    }

    async fn control(&self, request: Request<Incoming>) -> Result<Answer, Abort> {
        if request.method() == Method::GET {
            let counters = self.state.counters.lock().clone();
            return Ok(ok_json(&counters));
        }
        match parse::<EngineControl>(request).await? {
            Ok(control) => {
                self.state.apply_control(control);
                Ok(answer_status(StatusCode::OK))
            }
            Err(refusal) => Ok(refusal),
        }
    }
}

fn ok_json(value: &impl Serialize) -> Answer {
    answer_json(StatusCode::OK, value)
}

async fn parse<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<Result<T, Answer>, Abort> {
    let parsed = read_json(request.into_body(), BODY_LIMIT_BYTES).await?;
    Ok(parsed.map_err(|error| refuse(StatusCode::BAD_REQUEST, false, &error.to_string())))
}
