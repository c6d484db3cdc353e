//! Client for the callers' addresses of entry VMs.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::BodyExt;
use serde_json::{Value, json};
use wisteriahitch::types::{
    AdapterName, ByteCount, Code, DurationUs, Meaning, ModelName, TokenCount, WeightVersion,
};
use wisteriahitch::wire::engine::SseParser;
use wisteriahitch::wire::http_client::{
    HttpClient, HttpClientOptions, HttpError, HttpErrorKind, TrackedBody,
};
use wisteriahitch_standin::engine::AnswerSource;

use super::{CallError, CompletionAnswer, PlainAnswer};

const HEAD_TIMEOUT_US: DurationUs = DurationUs::from_ms(60_000);
const MAX_ANSWER_BYTES: ByteCount = ByteCount::new(64 * 1_024 * 1_024);

/// A completion request.
#[derive(Clone, Debug)]
pub struct Completion {
    /// Model that generates the answer.
    pub model: ModelName,
    /// Adapter to apply to the model.
    pub adapter: Option<AdapterName>,
    /// Prompt text.
    pub prompt: String,
    /// Tokens to generate.
    pub max_tokens: TokenCount,
}

impl Completion {
    /// Returns whether an answer is exactly the one that the engine stand-in generates for this
    /// request.
    pub fn is_answer(&self, answer: &CompletionAnswer) -> bool {
        let version = &answer.weight_version;
        let source = AnswerSource::new(&self.prompt, &self.model, self.adapter.as_ref(), version);
        answer.text == source.text(self.max_tokens)
    }
}

/// Client that uses the key of one workspace.
#[derive(Clone, Debug)]
pub struct Caller {
    http: HttpClient,
    secret: String,
}

impl Caller {
    /// Creates a client that authenticates with `secret`.
    pub fn new(secret: impl Into<String>) -> Self {
        let options = HttpClientOptions {
            max_idle_per_address: 256,
            ..Default::default()
        };
        Self {
            http: HttpClient::new(options),
            secret: secret.into(),
        }
    }

    /// Fetches the list of addresses to use from an entry VM.
    pub async fn entries(&self, entry: SocketAddr) -> Result<Vec<SocketAddr>, CallError> {
        let answer = self
            .plain(entry, Method::GET, "/v1/entries", None, Bytes::new())
            .await?;
        let value = parse_json(answer.body.as_bytes())?;
        let rows = value["entries"].as_array().into_iter().flatten();
        Ok(rows
            .filter_map(|row| row["address"].as_str()?.parse().ok())
            .collect())
    }

    /// Requests `count` tickets.
    pub async fn tickets(&self, entry: SocketAddr, count: usize) -> Result<Vec<String>, CallError> {
        let body = json!({ "count": count }).to_string();
        let answer = self
            .plain(entry, Method::POST, "/v1/tickets", None, body.into())
            .await?;
        let value = parse_json(answer.body.as_bytes())?;
        let rows = value["tickets"].as_array().into_iter().flatten();
        Ok(rows
            .filter_map(|row| row.as_str().map(str::to_owned))
            .collect())
    }

    /// Calls a plain service; `key` is a ticket or an idempotency key.
    pub async fn plain(
        &self,
        entry: SocketAddr,
        method: Method,
        path: &str,
        key: Option<&str>,
        body: Bytes,
    ) -> Result<PlainAnswer, CallError> {
        let mut builder = self.request(method, path);
        if let Some(key) = key {
            builder = builder.header("idempotency-key", key);
        }
        let request = builder
            .body(body)
            .map_err(|error| CallError::Broken(error.to_string()))?;
        let response = self
            .http
            .fetch(entry, request, HEAD_TIMEOUT_US, MAX_ANSWER_BYTES)
            .await
            .map_err(classify_http_error)?;
        check_refusal(
            response.headers().get("x-wisteriahitch-code").is_some(),
            response.body(),
        )?;
        Ok(PlainAnswer {
            status: response.status().as_u16(),
            body: String::from_utf8_lossy(response.body()).into_owned(),
        })
    }

    /// Requests a streamed completion and reads the stream to its end.
    pub async fn complete(
        &self,
        entry: SocketAddr,
        completion: &Completion,
    ) -> Result<CompletionAnswer, CallError> {
        let body = json!({
            "model": completion.model,
            "adapter": completion.adapter,
            "prompt": completion.prompt,
            "max_tokens": completion.max_tokens,
            "stream": true,
        });
        let request = self
            .request(Method::POST, "/v1/completions")
            .body(Bytes::from(body.to_string()))
            .map_err(|error| CallError::Broken(error.to_string()))?;
        let sent_at = Instant::now();
        let response = self
            .http
            .send(entry, request, HEAD_TIMEOUT_US)
            .await
            .map_err(classify_http_error)?;
        if response.headers().contains_key("x-wisteriahitch-code") {
            let body = response.into_body().collect().await;
            let body = body
                .map_err(|error| CallError::Broken(error.to_string()))?
                .to_bytes();
            return Err(parse_refusal(&parse_json(&body)?));
        }
        read_stream(response, sent_at).await
    }

    fn request(&self, method: Method, path: &str) -> http::request::Builder {
        Request::builder()
            .method(method)
            .uri(path)
            .header("authorization", format!("Bearer {}", self.secret))
    }
}

fn parse_json(body: &[u8]) -> Result<Value, CallError> {
    serde_json::from_slice(body).map_err(|error| CallError::Broken(error.to_string()))
}

fn classify_http_error(error: HttpError) -> CallError {
    match error.kind() {
        HttpErrorKind::NotSent => CallError::NotSent(error.to_string()),
        _ => CallError::Broken(error.to_string()),
    }
}

fn check_refusal(is_refusal: bool, body: &[u8]) -> Result<(), CallError> {
    if !is_refusal {
        return Ok(());
    }
    Err(parse_refusal(&parse_json(body)?))
}

fn parse_refusal(value: &Value) -> CallError {
    let error = &value["error"];
    let code = error["code"]
        .as_str()
        .and_then(|code| code.parse::<Code>().ok());
    let meaning = match error["meaning"].as_str() {
        Some("not_run") => Meaning::NotRun,
        _ => Meaning::OutcomeUnknown,
    };
    let Some(code) = code else {
        return CallError::Broken(format!("a refusal without a code: {value}"));
    };
    let retry_after_us = error["retry_after_ms"].as_u64().map(DurationUs::from_ms);
    CallError::Refused {
        code,
        meaning,
        retry_after_us,
        request_id: error["request_id"].as_str().map(str::to_owned),
    }
}

/// Builds an answer from the events of one stream.
struct StreamReader {
    sent_at: Instant,
    last_token_at: Option<Instant>,
    answer: CompletionAnswer,
    is_done: bool,
}

async fn read_stream(
    response: Response<TrackedBody>,
    sent_at: Instant,
) -> Result<CompletionAnswer, CallError> {
    let version = response.headers().get("x-weight-version");
    let version = version.and_then(|value| value.to_str().ok()?.parse::<WeightVersion>().ok());
    let version = version.ok_or_else(|| {
        CallError::Broken("the answer has no valid x-weight-version header".to_owned())
    })?;
    let mut reader = StreamReader::new(version, sent_at);
    let mut parser = SseParser::default();
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| CallError::Broken(error.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        parser
            .push(&data)
            .map_err(|error| CallError::Broken(error.to_string()))?;
        while let Some(event) = parser
            .next_event()
            .map_err(|error| CallError::Broken(error.to_string()))?
        {
            reader.apply_event(&event)?;
        }
    }
    match reader.is_done {
        true => Ok(reader.answer),
        false => Err(CallError::CutOff),
    }
}

impl StreamReader {
    fn new(weight_version: WeightVersion, sent_at: Instant) -> Self {
        let answer = CompletionAnswer {
            text: String::new(),
            weight_version,
            prompt_tokens: TokenCount::ZERO,
            cached_tokens: TokenCount::ZERO,
            completion_tokens: TokenCount::ZERO,
            first_token: Duration::ZERO,
            first_token_at: None,
            gaps: Vec::new(),
        };
        Self {
            sent_at,
            last_token_at: None,
            answer,
            is_done: false,
        }
    }

    fn apply_event(&mut self, event: &str) -> Result<(), CallError> {
        if event == "[DONE]" {
            self.is_done = true;
            return Ok(());
        }
        let value = parse_json(event.as_bytes())?;
        if !value["error"].is_null() {
            return Err(parse_refusal(&value));
        }
        let now = Instant::now();
        match self.last_token_at {
            None => {
                self.answer.first_token = now - self.sent_at;
                self.answer.first_token_at = Some(now);
            }
            Some(last) => self.answer.gaps.push(now - last),
        }
        self.last_token_at = Some(now);
        self.answer.text += value["choices"][0]["text"].as_str().unwrap_or_default();
        if let Some(usage) = value["usage"].as_object() {
            let count = |name: &str| TokenCount::new(usage[name].as_u64().unwrap_or(0));
            self.answer.prompt_tokens = count("prompt_tokens");
            self.answer.cached_tokens = count("cached_tokens");
            self.answer.completion_tokens = count("completion_tokens");
        }
        Ok(())
    }
}
