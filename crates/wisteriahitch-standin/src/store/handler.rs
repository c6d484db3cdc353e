//! HTTP routes of a stand-in store.

use std::sync::Arc;

use async_trait::async_trait;
use http::{Method, Request, StatusCode, Uri};
use hyper::body::Incoming;
use tokio::time::Instant;
use wisteriahitch_types::{BlockKey, Generation};
use wisteriahitch_wire::engine::RefusalBody;
use wisteriahitch_wire::store::{MoveBody, PinBody, ReserveRequest};

use super::block::BlockId;
use super::refusal::StoreRefusal;
use super::state::StoreState;
use super::{StoreControl, transfer};
use crate::shared::get_query;
use crate::util::{Abort, Answer, Handler, answer_json, answer_status, read_json};

/// Maximum length of a request body other than block content.
const BODY_LIMIT_BYTES: usize = 64 * 1024;

/// Answers the requests of one store.
pub(super) struct StoreHandler {
    pub(super) state: Arc<StoreState>,
}

/// Answer, or the reason to refuse the call, or [`Abort`] to close the connection unanswered.
type CallOutcome = Result<Result<Answer, StoreRefusal>, Abort>;

#[async_trait]
impl Handler for StoreHandler {
    async fn handle(&self, request: Request<Incoming>) -> Result<Answer, Abort> {
        let uri = request.uri().clone();
        let path: Vec<&str> = uri.path().split('/').skip(1).collect();
        if path == ["control"] {
            return self.control(request).await;
        }
        self.state.freeze.wait_until_thawed().await;
        let outcome = match (request.method().clone(), path.as_slice()) {
            (Method::GET, ["v1", "store"]) => ok_json(&self.state.report()),
            (Method::GET, ["v1", "blocks"]) => ok_json(&self.state.list()),
            (Method::POST, ["v1", "blocks"]) => self.reserve(request).await,
            (Method::PUT, ["v1", "blocks", key]) => {
                let id = parse_id(key, &uri);
                match id {
                    Ok(id) => transfer::write(&self.state, id, request).await,
                    Err(refusal) => Ok(Err(refusal)),
                }
            }
            (Method::GET, ["v1", "blocks", key]) => Ok(self.read(key, &request)),
            (Method::DELETE, ["v1", "blocks", key]) => Ok(self.free(key, &uri)),
            (Method::POST, ["v1", "blocks", key, "pins"]) => self.pin(key, request).await,
            (Method::DELETE, ["v1", "blocks", key, "pins", pin]) => Ok(self.unpin(key, pin)),
            (Method::POST, ["v1", "blocks", key, "move"]) => self.move_to(key, request).await,
            _ => Ok(Ok(answer_status(StatusCode::NOT_FOUND))),
        };
        Ok(outcome?.unwrap_or_else(refuse))
    }
}

impl StoreHandler {
    async fn control(&self, request: Request<Incoming>) -> Result<Answer, Abort> {
        if request.method() == Method::GET {
            let counters = self.state.counters.lock().clone();
            return Ok(answer_json(StatusCode::OK, &counters));
        }
        match read_json::<StoreControl>(request.into_body(), BODY_LIMIT_BYTES).await? {
            Ok(control) => {
                self.state.apply_control(control);
                Ok(answer_status(StatusCode::OK))
            }
            Err(error) => Ok(refuse_bad_json(&error)),
        }
    }

    async fn reserve(&self, request: Request<Incoming>) -> CallOutcome {
        let body = match read_json::<ReserveRequest>(request.into_body(), BODY_LIMIT_BYTES).await? {
            Ok(body) => body,
            Err(error) => return Ok(Ok(refuse_bad_json(&error))),
        };
        let reserved = self
            .state
            .check_accepts_blocks()
            .and_then(|()| self.state.table.lock().reserve(body, Instant::now()));
        if reserved == Err(StoreRefusal::Full) {
            self.state.counters.lock().refused_full += 1;
        }
        Ok(reserved.map(|reserved| {
            let status = match reserved.state {
                None => StatusCode::CREATED,
                Some(_) => StatusCode::OK,
            };
            answer_json(status, &reserved)
        }))
    }

    fn read(&self, key: &str, request: &Request<Incoming>) -> Result<Answer, StoreRefusal> {
        let id = parse_id(key, request.uri())?;
        let pin: String = get_query(request.uri(), "pin").ok_or(StoreRefusal::Gone)?;
        transfer::read(&self.state, id, &pin, request.headers())
    }

    fn free(&self, key: &str, uri: &Uri) -> Result<Answer, StoreRefusal> {
        let id = parse_id(key, uri)?;
        self.state.table.lock().free(id, Instant::now())?;
        Ok(answer_status(StatusCode::OK))
    }

    async fn pin(&self, key: &str, request: Request<Incoming>) -> CallOutcome {
        let body = match read_json::<PinBody>(request.into_body(), BODY_LIMIT_BYTES).await? {
            Ok(body) => body,
            Err(error) => return Ok(Ok(refuse_bad_json(&error))),
        };
        // A new incarnation of a store keeps its name. A block that was saved with an earlier
        // incarnation isn't here, even if the same key has been written again, because a
        // generation identifies different content in each incarnation.
        if body.incarnation != self.state.incarnation {
            return Ok(Err(StoreRefusal::Gone));
        }
        let pin = parse_key(key).and_then(|key| self.state.table.lock().pin(key, Instant::now()));
        Ok(pin.map(|pin| answer_json(StatusCode::CREATED, &pin)))
    }

    fn unpin(&self, key: &str, pin: &str) -> Result<Answer, StoreRefusal> {
        self.state.table.lock().unpin(parse_key(key)?, pin);
        Ok(answer_status(StatusCode::OK))
    }

    async fn move_to(&self, key: &str, request: Request<Incoming>) -> CallOutcome {
        let body = match read_json::<MoveBody>(request.into_body(), BODY_LIMIT_BYTES).await? {
            Ok(body) => body,
            Err(error) => return Ok(Ok(refuse_bad_json(&error))),
        };
        let moved = parse_key(key).and_then(|key| self.state.table.lock().move_to(key, body));
        Ok(moved.map(|()| answer_status(StatusCode::OK)))
    }
}

fn ok_json(value: &impl serde::Serialize) -> CallOutcome {
    Ok(Ok(answer_json(StatusCode::OK, value)))
}

fn parse_key(key: &str) -> Result<BlockKey, StoreRefusal> {
    key.parse().map_err(|_| StoreRefusal::Gone)
}

fn parse_id(key: &str, uri: &Uri) -> Result<BlockId, StoreRefusal> {
    let generation: Generation = get_query(uri, "generation").ok_or(StoreRefusal::Gone)?;
    Ok((parse_key(key)?, generation))
}

fn refuse(refusal: StoreRefusal) -> Answer {
    let (status, reason) = match refusal {
        StoreRefusal::Gone => (StatusCode::GONE, "gone"),
        StoreRefusal::Full => (StatusCode::INSUFFICIENT_STORAGE, "full"),
        StoreRefusal::WrongLength => (StatusCode::UNPROCESSABLE_ENTITY, "wrong length"),
    };
    refuse_with(status, reason)
}

fn refuse_bad_json(error: &serde_json::Error) -> Answer {
    refuse_with(StatusCode::BAD_REQUEST, &error.to_string())
}

fn refuse_with(status: StatusCode, reason: &str) -> Answer {
    let body = RefusalBody {
        not_run: false,
        reason: reason.to_owned(),
    };
    answer_json(status, &body)
}
