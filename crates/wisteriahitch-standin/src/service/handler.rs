//! Request handler of the plain service's stand-in.

use std::time::{Duration, Instant};

use async_trait::async_trait;
use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode};
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde_json::json;
use tokio::sync::Semaphore;
use tokio::time::sleep;
use wisteriahitch_wire::service::ServiceLoad;

use super::control::{ServiceControl, ServiceControlState, ServiceMode};
use super::options::ServiceOptions;
use crate::util::{
    Abort, Answer, Handler, answer_body, answer_json, answer_status, answer_truncated, read_json,
    read_whole,
};

const MAX_BODY_BYTES: usize = 8_000_000;
const HEADER_REQUEST_ID: &str = "x-request-id";
const HEADER_NOT_RUN: &str = "x-not-run";

/// Headers that runs are counted by; the first one present is used.
const RUN_KEY_HEADERS: [&str; 3] = ["x-test-key", "idempotency-key", HEADER_REQUEST_ID];

#[derive(Debug)]
pub(crate) struct ServiceHandler {
    state: Mutex<ServiceControlState>,
    slots: usize,
    free_slots: Semaphore,
    run_time: Duration,
    started_at: Instant,
}

/// Increments a counter of waiting or running requests until it is dropped, which also happens when
/// the caller disconnects.
struct CountGuard<'a> {
    state: &'a Mutex<ServiceControlState>,
    counter: fn(&mut ServiceControlState) -> &mut u64,
}

impl<'a> CountGuard<'a> {
    fn new(
        state: &'a Mutex<ServiceControlState>,
        counter: fn(&mut ServiceControlState) -> &mut u64,
    ) -> CountGuard<'a> {
        *counter(&mut state.lock()) += 1;
        CountGuard { state, counter }
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        *(self.counter)(&mut self.state.lock()) -= 1;
    }
}

impl ServiceHandler {
    pub(crate) fn new(options: &ServiceOptions) -> Self {
        Self {
            state: Mutex::default(),
            slots: options.slots,
            free_slots: Semaphore::new(options.slots),
            run_time: options.run_time_us.into(),
            started_at: Instant::now(),
        }
    }

    async fn run(&self, head: Parts, body: Incoming) -> Result<Answer, Abort> {
        let body = read_whole(body, MAX_BODY_BYTES).await?;
        let mode = self.state.lock().consume_mode();
        if mode == ServiceMode::RefuseNotRun {
            return Ok(refuse_not_run(&head.headers));
        }
        let queued = CountGuard::new(&self.state, |state| &mut state.queued);
        let _slot = self.free_slots.acquire().await.map_err(|_| Abort)?;
        drop(queued);
        let _running = CountGuard::new(&self.state, |state| &mut state.running);
        let (sequence, slow_ms) = {
            let mut state = self.state.lock();
            (state.count_run(run_key(&head.headers)), state.slow_ms)
        };
        sleep(self.run_time + Duration::from_millis(slow_ms)).await;
        answer_run(mode, &head, &body, sequence).await
    }

    fn load(&self) -> ServiceLoad {
        let state = self.state.lock();
        ServiceLoad {
            made_at_ms: u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX),
            running: state.running,
            slots: self.slots as u64,
            queued: state.queued,
            leaving: state.leaving,
        }
    }

    async fn handle_control(&self, request: Request<Incoming>) -> Result<Answer, Abort> {
        if request.method() == Method::POST {
            match read_json::<ServiceControl>(request.into_body(), MAX_BODY_BYTES).await? {
                Ok(change) => self.state.lock().apply(change),
                Err(error) => return Ok(answer_body(StatusCode::BAD_REQUEST, error.to_string())),
            }
        }
        Ok(answer_json(StatusCode::OK, &*self.state.lock()))
    }
}

#[async_trait]
impl Handler for ServiceHandler {
    async fn handle(&self, request: Request<Incoming>) -> Result<Answer, Abort> {
        match request.uri().path() {
            "/load" => Ok(answer_json(StatusCode::OK, &self.load())),
            "/control" => self.handle_control(request).await,
            "/control/runs" => Ok(answer_json(StatusCode::OK, &self.state.lock().runs)),
            _ => {
                let (head, body) = request.into_parts();
                self.run(head, body).await
            }
        }
    }
}

async fn answer_run(
    mode: ServiceMode,
    head: &Parts,
    body: &Bytes,
    sequence: u64,
) -> Result<Answer, Abort> {
    let result = json!({
        "ran": true,
        "path": head.uri.path(),
        "body_hash": blake3::hash(body).to_hex().as_str(),
        "sequence": sequence,
    });
    let mut answer = match mode {
        ServiceMode::Freeze => std::future::pending().await,
        ServiceMode::CloseBeforeAnswer => return Err(Abort),
        ServiceMode::CloseMidway => answer_truncated(StatusCode::OK, result.to_string().into()),
        _ => answer_json(StatusCode::OK, &result),
    };
    if mode == ServiceMode::WrongId {
        let other = HeaderValue::from_static("r-of-another-request");
        answer.headers_mut().insert(HEADER_REQUEST_ID, other);
    } else {
        echo_request_id(&head.headers, &mut answer);
    }
    Ok(answer)
}

fn refuse_not_run(headers: &HeaderMap) -> Answer {
    let mut answer = answer_status(StatusCode::SERVICE_UNAVAILABLE);
    let value = HeaderValue::from_static("1");
    answer.headers_mut().insert(HEADER_NOT_RUN, value);
    echo_request_id(headers, &mut answer);
    answer
}

fn echo_request_id(headers: &HeaderMap, answer: &mut Answer) {
    if let Some(id) = headers.get(HEADER_REQUEST_ID) {
        answer.headers_mut().insert(HEADER_REQUEST_ID, id.clone());
    }
}

fn run_key(headers: &HeaderMap) -> &str {
    let mut found = RUN_KEY_HEADERS.iter().filter_map(|name| headers.get(*name));
    let first = found.next().and_then(|value| value.to_str().ok());
    first.unwrap_or("")
}
