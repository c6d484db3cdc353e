//! Answers to completion requests, whole or as server-sent events.

use std::collections::VecDeque;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::unfold;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use serde::Serialize;
use tokio::task::yield_now;
use tokio::time::sleep;
use wisteriahitch_types::{AttemptNumber, RequestId, TokenCount, WeightVersion};
use wisteriahitch_wire::engine::{
    CompletionBody, CompletionHead, DONE, HEADER_ATTEMPT, HEADER_CACHED_TOKENS, HEADER_REQUEST_ID,
    HEADER_WEIGHT_VERSION, RefusalBody, Token,
};

use super::answer::count_tokens;
use super::control::EngineFault;
use super::models::NotRun;
use super::run::{FINISH_LENGTH, Run};
use super::state::EngineState;
use crate::util::{Abort, Answer, answer_json};

/// Request id that answers carry under [`EngineFault::WrongRequestId`].
const WRONG_REQUEST_ID: &str = "r-of-another";

/// Runs a completion and answers it, under the current fault.
pub(super) async fn complete(
    state: &Arc<EngineState>,
    body: CompletionBody,
) -> Result<Answer, Abort> {
    if let Err(reason) = check_body(&body) {
        return Ok(refuse(StatusCode::BAD_REQUEST, false, reason));
    }
    let fault = state.fault.lock().consume_for_completion();
    if fault == EngineFault::Reject {
        return Ok(refuse(
            StatusCode::BAD_REQUEST,
            false,
            "the request is wrong",
        ));
    }
    if fault == EngineFault::RefuseNotRun {
        return Ok(refuse(
            StatusCode::SERVICE_UNAVAILABLE,
            true,
            "refused on demand",
        ));
    }
    let is_streamed = body.stream;
    let run = match Run::begin(state, body).await {
        Ok(run) => run,
        Err(NotRun { status, reason }) => return Ok(refuse(status, true, reason)),
    };
    if let EngineFault::LateMs(late_ms) = fault {
        sleep(Duration::from_millis(late_ms)).await;
    }
    if is_streamed {
        return Ok(stream_events(run, fault));
    }
    answer_whole(run).await
}

/// Builds the answer to a refused request.
pub(super) fn refuse(status: StatusCode, not_run: bool, reason: &str) -> Answer {
    let body = RefusalBody {
        not_run,
        reason: reason.to_owned(),
    };
    answer_json(status, &body)
}

fn check_body(body: &CompletionBody) -> Result<(), &'static str> {
    let extension = &body.wisteriahitch;
    let block_tokens: TokenCount = extension.blocks.iter().map(|block| block.tokens).sum();
    if block_tokens > count_tokens(&body.prompt) {
        return Err("the blocks have more tokens than the prompt");
    }
    if extension.position >= body.max_tokens.get() {
        return Err("the position is beyond the last token");
    }
    Ok(())
}

#[derive(Serialize)]
struct Usage {
    prompt_tokens: TokenCount,
    cached_tokens: TokenCount,
    completion_tokens: u64,
}

#[derive(Serialize)]
struct WholeAnswer {
    request_id: RequestId,
    attempt: AttemptNumber,
    weight_version: WeightVersion,
    text: String,
    tokens: u64,
    finish_reason: &'static str,
    usage: Usage,
}

async fn answer_whole(mut run: Run) -> Result<Answer, Abort> {
    let head = run.head();
    let mut text = String::new();
    let mut tokens = 0;
    while let Some(token) = run.next_token().await.map_err(|_| Abort)? {
        text.push_str(&token.text);
        tokens += 1;
    }
    let whole = WholeAnswer {
        request_id: head.request_id.clone(),
        attempt: head.attempt,
        weight_version: head.weight_version.clone(),
        text,
        tokens,
        finish_reason: FINISH_LENGTH,
        usage: Usage {
            prompt_tokens: run.prompt_tokens(),
            cached_tokens: head.cached_tokens,
            completion_tokens: tokens,
        },
    };
    let mut answer = answer_json(StatusCode::OK, &whole);
    set_head_headers(&mut answer, &head);
    Ok(answer)
}

fn stream_events(run: Run, fault: EngineFault) -> Answer {
    let mut head = run.head();
    if fault == EngineFault::WrongRequestId {
        head.request_id = wrong_request_id(head.request_id);
    }
    let events = EventStream {
        fault_position: run.middle_position(),
        run,
        fault,
        pending_events: VecDeque::new(),
        is_finished: false,
    };
    let frames = unfold(events, |mut events| async move {
        let event = events.next().await?;
        Some((event.map(Frame::data), events))
    });
    let mut answer = Response::new(BodyExt::boxed(StreamBody::new(frames)));
    let event_stream = HeaderValue::from_static("text/event-stream");
    answer.headers_mut().insert(CONTENT_TYPE, event_stream);
    set_head_headers(&mut answer, &head);
    answer
}

fn set_head_headers(answer: &mut Answer, head: &CompletionHead) {
    let values = [
        (HEADER_REQUEST_ID, head.request_id.to_string()),
        (HEADER_ATTEMPT, head.attempt.to_string()),
        (HEADER_WEIGHT_VERSION, head.weight_version.to_string()),
        (HEADER_CACHED_TOKENS, head.cached_tokens.get().to_string()),
    ];
    for (name, value) in values {
        if let Ok(value) = HeaderValue::try_from(value) {
            answer.headers_mut().insert(name, value);
        }
    }
}

/// Writes the tokens of a run as server-sent events and applies the current fault.
struct EventStream {
    run: Run,
    fault: EngineFault,
    fault_position: u64,
    pending_events: VecDeque<io::Result<Bytes>>,
    is_finished: bool,
}

impl EventStream {
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            if let Some(event) = self.pending_events.pop_front() {
                if event.is_err() {
                    // The server flushes its buffer only when the body is pending. Without this
                    // yield, an error right after the first tokens discards them and the head.
                    yield_now().await;
                }
                return Some(event);
            }
            if self.is_finished {
                return None;
            }
            match self.run.next_token().await {
                Ok(Some(token)) => self.push(token),
                Ok(None) => self.finish_with(Ok(write_event(DONE))),
                Err(_) => self.finish_with(Err(io::Error::other("cancelled"))),
            }
        }
    }

    fn push(&mut self, mut token: Token) {
        if self.fault == EngineFault::WrongRequestId {
            token.request_id = wrong_request_id(token.request_id);
        }
        let event = write_token(&token);
        if token.position != self.fault_position {
            self.pending_events.push_back(Ok(event));
            return;
        }
        match self.fault {
            EngineFault::SkipPosition => {}
            EngineFault::RepeatPosition => {
                self.pending_events.extend([Ok(event.clone()), Ok(event)])
            }
            EngineFault::CloseMidway => self.finish_with(Err(io::Error::other("closed on demand"))),
            EngineFault::Nonsense => self.pending_events.push_back(Ok(write_event("{nonsense"))),
            _ => self.pending_events.push_back(Ok(event)),
        }
    }

    fn finish_with(&mut self, event: io::Result<Bytes>) {
        self.pending_events.push_back(event);
        self.is_finished = true;
    }
}

fn write_token(token: &Token) -> Bytes {
    // Tokens consist of numbers and strings, so serialization can't fail.
    write_event(&serde_json::to_string(token).unwrap_or_default())
}

fn write_event(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}

fn wrong_request_id(original: RequestId) -> RequestId {
    WRONG_REQUEST_ID.parse().unwrap_or(original)
}
