//! Completion requests, answered as a stream of tokens or as one whole response.

use std::sync::Arc;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderValue, Response, header};
use tokio::sync::mpsc;
use wisteriahitch_config::{Model, RequestFacts};
use wisteriahitch_types::{Code, RequestId, TokenCount};
use wisteriahitch_wire::engine::{CompletionHead, Token};

use super::Refusal;
use super::body::{ResponseBody, full_body};
use super::completion_body::{AnswerIdentity, CompletionBody, Usage, render};
use super::identity::Identity;
use super::request_id::set_request_id;
use super::rules::{apply_rules, request_labels};
use super::stream_body::{data_event, done_event, error_event, open_stream};
use crate::dispatch::completion_call::{CompletionCall, CompletionEvent};
use crate::dispatch::completion_run;
use crate::shared::Shared;
use crate::state::OpenStream;

/// Tokens buffered for a slow caller before reading from the endpoint pauses.
const EVENT_BUFFER_LEN: usize = 64;

/// Answers `POST /v1/completions`.
pub(crate) async fn answer(
    shared: &Arc<Shared>,
    identity: Identity,
    request_id: &RequestId,
    parts: &Parts,
    body: Bytes,
) -> Result<Response<ResponseBody>, Refusal> {
    let body = CompletionBody::try_parse(&body)?;
    let is_stream = body.stream;
    let opened = shared.try_open_stream()?;
    let call = build_call(shared, identity, request_id, parts, body)?;
    run(shared, call, opened, is_stream).await
}

/// Runs a completion in a task of its own and returns the response that carries its tokens.
pub(crate) async fn run(
    shared: &Arc<Shared>,
    call: CompletionCall,
    opened: OpenStream,
    is_stream: bool,
) -> Result<Response<ResponseBody>, Refusal> {
    let request_id = call.request_id.clone();
    let model = call.model.name.clone();
    let prompt_tokens = call.prompt_tokens;
    let (sender, mut events) = mpsc::channel(EVENT_BUFFER_LEN);
    let task_shared = Arc::clone(shared);
    tokio::spawn(async move {
        // The response head is sent long before its end. Counting the request here makes draining
        // wait for the end of the stream.
        let _accepted = task_shared.track_request();
        completion_run::run(&task_shared, &call, &sender).await;
        drop(opened);
    });
    let head = receive_head(&mut events).await?;
    let name = AnswerIdentity {
        request_id: request_id.clone(),
        model,
        weight_version: head.weight_version.clone(),
    };
    let usage = Usage {
        prompt_tokens,
        cached_tokens: head.cached_tokens,
        completion_tokens: TokenCount::ZERO,
    };
    let answer = Answer {
        name,
        usage,
        events,
    };
    let mut response = match is_stream {
        true => answer.stream(shared),
        false => answer.collect().await?,
    };
    set_request_id(&mut response, &request_id);
    set_head_headers(&mut response, &head);
    Ok(response)
}

async fn receive_head(
    events: &mut mpsc::Receiver<CompletionEvent>,
) -> Result<CompletionHead, Refusal> {
    match events.recv().await {
        Some(CompletionEvent::Head(head)) => Ok(head),
        Some(CompletionEvent::Refused(refusal)) => Err(refusal),
        Some(CompletionEvent::Token(_)) | None => Err(Refusal::new(Code::Internal)),
    }
}

fn set_head_headers(response: &mut Response<ResponseBody>, head: &CompletionHead) {
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(head.weight_version.as_str()) {
        headers.insert("x-weight-version", value);
    }
    headers.insert(
        "x-cached-tokens",
        HeaderValue::from(head.cached_tokens.get()),
    );
}

fn build_call(
    shared: &Shared,
    identity: Identity,
    request_id: &RequestId,
    parts: &Parts,
    body: CompletionBody,
) -> Result<CompletionCall, Refusal> {
    let arrived_us = shared.clock.now();
    let prompt_tokens = TokenCount::new(body.prompt.split_whitespace().count() as u64);
    let facts = RequestFacts {
        workspace: Some(identity.workspace.clone()),
        method: parts.method.as_str().to_owned(),
        path: parts.uri.path().to_owned(),
        model: Some(body.model.clone()),
        adapter: body.adapter.clone(),
        prompt_tokens: Some(prompt_tokens),
        stream: body.stream,
        labels: request_labels(&parts.headers),
        availability_zone: Some(shared.settings.availability_zone.clone()),
    };
    let route = apply_rules(&identity, &facts)?;
    let model = find_model(&identity, &body, prompt_tokens)?;
    let adapter = route.adapter.clone().or(body.adapter);
    Ok(CompletionCall {
        identity,
        route,
        request_id: request_id.clone(),
        arrived_us,
        model,
        adapter,
        prompt: body.prompt,
        prompt_tokens,
        max_tokens: body.max_tokens,
        resumption: None,
    })
}

fn find_model(
    identity: &Identity,
    body: &CompletionBody,
    prompt_tokens: TokenCount,
) -> Result<Model, Refusal> {
    let models = &identity.in_force.configuration.models;
    let model = models
        .get(&body.model)
        .ok_or_else(|| Refusal::new(Code::UnknownModel))?;
    if prompt_tokens > model.max_prompt_tokens {
        let message = format!(
            "the prompt has {prompt_tokens}, the model takes {}",
            model.max_prompt_tokens
        );
        return Err(Refusal::new(Code::PromptTooLong).with_message(message));
    }
    Ok(model.clone())
}

/// Turns the events of one completion into the response to its caller.
struct Answer {
    name: AnswerIdentity,
    usage: Usage,
    events: mpsc::Receiver<CompletionEvent>,
}

impl Answer {
    fn stream(self, shared: &Arc<Shared>) -> Response<ResponseBody> {
        let (sender, body) = open_stream();
        let shared = Arc::clone(shared);
        tokio::spawn(self.send_events(shared, sender));
        let mut response = Response::new(body);
        let event_stream = HeaderValue::from_static("text/event-stream");
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, event_stream);
        response
    }

    /// Sends each token as a server-sent event. An incomplete answer always ends with an `error`
    /// event, so that a caller can't take it for a complete one.
    async fn send_events(mut self, shared: Arc<Shared>, sender: mpsc::Sender<Bytes>) {
        let mut is_complete = false;
        while let Some(completion_event) = self.events.recv().await {
            let event = match completion_event {
                CompletionEvent::Head(_) => continue,
                CompletionEvent::Token(token) => {
                    is_complete = token.finish_reason.is_some();
                    data_event(&self.render_token(&token))
                }
                CompletionEvent::Refused(refusal) => {
                    shared.metrics.count_refusal(refusal.code());
                    let event = error_event(&refusal.to_json(&self.name.request_id));
                    // Sending fails when the caller has disconnected, and then nobody is left to
                    // notify.
                    let _ = sender.send(event).await;
                    return;
                }
            };
            if sender.send(event).await.is_err() {
                return;
            }
        }
        let event = match is_complete {
            true => done_event(),
            false => {
                let refusal = Refusal::new(Code::StreamIncomplete);
                error_event(&refusal.to_json(&self.name.request_id))
            }
        };
        let _ = sender.send(event).await;
    }

    fn render_token(&mut self, token: &Token) -> Bytes {
        self.usage.completion_tokens += TokenCount::new(1);
        let usage = token.finish_reason.is_some().then_some(self.usage);
        let reason = token.finish_reason.as_deref();
        render(&self.name, token.position, &token.text, reason, usage)
    }

    async fn collect(mut self) -> Result<Response<ResponseBody>, Refusal> {
        let mut text = String::new();
        let mut finish_reason = None;
        while let Some(completion_event) = self.events.recv().await {
            match completion_event {
                CompletionEvent::Head(_) => {}
                CompletionEvent::Token(token) => {
                    self.usage.completion_tokens += TokenCount::new(1);
                    text.push_str(&token.text);
                    finish_reason = token.finish_reason;
                }
                CompletionEvent::Refused(refusal) => return Err(refusal),
            }
        }
        let Some(reason) = finish_reason else {
            return Err(Refusal::new(Code::StreamIncomplete));
        };
        let json = render(&self.name, 0, &text, Some(&reason), Some(self.usage));
        let mut response = Response::new(full_body(json));
        let json_type = HeaderValue::from_static("application/json");
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, json_type);
        Ok(response)
    }
}
