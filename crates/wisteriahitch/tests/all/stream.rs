//! Each caller gets the whole answer to its own request, or is told that it doesn't.

use serde_json::{Value, json};
use wisteriahitch_bench::caller::CallError;

use crate::harness::{SECRET, Site, SiteOptions, ask, post_json, prompt};

const PROMPT_TOKENS: u64 = 50;
const ANSWER_TOKENS: u64 = 12;

struct FaultCase {
    /// Fault of the first engine for its next answer.
    fault: Value,
    /// Engines of the site; a second one can take over.
    engines: usize,
    /// Whether the caller may be told that its answer is incomplete.
    may_be_incomplete: bool,
}

#[tokio::test]
async fn engine_faults_never_reach_a_caller_as_an_answer() {
    // Symptom: a mechanic reads another bike's history, or half a plan that looks whole. Sequence
    // of events: an engine answers with another request's id, repeats or skips a position, closes
    // midway, sends nonsense, or refuses. Cause: bytes are passed on unchecked.
    let cases = [
        FaultCase {
            fault: json!("wrong_request_id"),
            engines: 2,
            may_be_incomplete: false,
        },
        FaultCase {
            fault: json!("repeat_position"),
            engines: 2,
            may_be_incomplete: false,
        },
        FaultCase {
            fault: json!("skip_position"),
            engines: 2,
            may_be_incomplete: false,
        },
        FaultCase {
            fault: json!("close_midway"),
            engines: 2,
            may_be_incomplete: true,
        },
        FaultCase {
            fault: json!("nonsense"),
            engines: 2,
            may_be_incomplete: false,
        },
        FaultCase {
            fault: json!("refuse_not_run"),
            engines: 2,
            may_be_incomplete: false,
        },
        FaultCase {
            fault: json!({ "late_ms": 300 }),
            engines: 1,
            may_be_incomplete: false,
        },
    ];
    for (number, case) in cases.iter().enumerate() {
        let options = SiteOptions {
            engines: case.engines,
            ..SiteOptions::default()
        };
        let site = Site::start(options).await;
        for engine in &site.engines {
            let control = json!({ "fault": case.fault, "count": 1 });
            post_json(engine.address, "/control", &control).await;
        }
        let completion = prompt(&format!("case{number}"), PROMPT_TOKENS, ANSWER_TOKENS);
        match ask(&site, 0, SECRET, &completion).await {
            Ok(_) => {}
            Err(CallError::Refused { code, .. }) if case.may_be_incomplete => {
                assert_eq!(code.to_string(), "W3004", "{}", case.fault);
            }
            Err(error) => panic!("{}: {error}\n{}", case.fault, site.logs()),
        }
    }
}

#[tokio::test]
async fn frozen_engine_with_its_connection_open() {
    // Symptom: a mechanic waits for the whole deadline. Sequence of events: an engine freezes with
    // its connections open; a request is sent to it. Cause: the daemon waits for the deadline
    // instead of asking another engine.
    let options = SiteOptions {
        engines: 2,
        ..SiteOptions::default()
    };
    let site = Site::start(options).await;
    post_json(
        site.engines[0].address,
        "/control",
        &json!({ "fault": "freeze" }),
    )
    .await;
    for number in 0..4 {
        let completion = prompt(&format!("freeze{number}"), PROMPT_TOKENS, ANSWER_TOKENS);
        let answer = ask(&site, number % 2, SECRET, &completion).await;
        assert!(answer.is_ok(), "{answer:?}\n{}", site.logs());
    }
}

#[tokio::test]
async fn broken_caller_resumes_at_its_position() {
    // Symptom: a driver's phone loses its connection and the contract is read from the start.
    // Sequence of events: a caller gets some tokens, its connection breaks, it comes back with the
    // position that it has. Cause: nothing is kept of a broken stream.
    let options = SiteOptions {
        engine_flags: vec!["--decode-us-per-token".to_owned(), "20000".to_owned()],
        ..SiteOptions::default()
    };
    let site = Site::start(options).await;
    let completion = prompt("resume", PROMPT_TOKENS, 40);
    let (request_id, beginning, next) = read_some(&site, &completion, 5).await;
    let rest = resume(&site, &request_id, next).await;
    let version = "v1".parse().unwrap();
    let source = wisteriahitch_standin::engine::AnswerSource::new(
        &completion.prompt,
        &completion.model,
        None,
        &version,
    );
    assert_eq!(beginning + &rest, source.text(completion.max_tokens));
}

/// Reads a few tokens of a stream, breaks the connection, and returns what came.
pub(crate) async fn read_some(
    site: &Site,
    completion: &wisteriahitch_bench::caller::Completion,
    tokens: u64,
) -> (String, String, u64) {
    let body = json!({
        "model": completion.model,
        "prompt": completion.prompt,
        "max_tokens": completion.max_tokens,
        "stream": true,
    });
    let mut stream = EventStream::open(site, "POST", "/v1/completions", &body.to_string()).await;
    let request_id = stream.request_id.clone();
    let mut text = String::new();
    let mut next = 0;
    while next < tokens {
        let event: Value = serde_json::from_str(&stream.next().await.unwrap()).unwrap();
        text += event["choices"][0]["text"].as_str().unwrap();
        next = event["position"].as_u64().unwrap() + 1;
    }
    (request_id, text, next)
}

pub(crate) async fn resume(site: &Site, request_id: &str, position: u64) -> String {
    let path = format!("/v1/requests/{request_id}/stream?position={position}");
    let mut text = String::new();
    let mut is_whole = false;
    // The daemon hears of the broken connection a little later than the caller.
    for _ in 0..100 {
        let mut stream = EventStream::open(site, "GET", &path, "").await;
        if stream.status != 200 {
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            continue;
        }
        while let Some(event) = stream.next().await {
            if event == "[DONE]" {
                is_whole = true;
                break;
            }
            let event: Value = serde_json::from_str(&event).unwrap();
            text += event["choices"][0]["text"].as_str().unwrap_or_default();
        }
        break;
    }
    assert!(is_whole, "{}", site.logs());
    text
}

/// Reads server-sent events from a daemon; dropping it closes the connection.
struct EventStream {
    status: u16,
    request_id: String,
    body: wisteriahitch::wire::http_client::TrackedBody,
    parser: wisteriahitch::wire::engine::SseParser,
}

impl EventStream {
    async fn open(site: &Site, method: &str, path: &str, body: &str) -> Self {
        use wisteriahitch::types::DurationUs;
        use wisteriahitch::wire::http_client::{HttpClient, HttpClientOptions};

        let request = http::Request::builder()
            .method(method)
            .uri(path)
            .header("authorization", format!("Bearer {SECRET}"))
            .body(bytes::Bytes::from(body.to_owned()))
            .unwrap();
        let client = HttpClient::new(HttpClientOptions::default());
        let timeout_us = DurationUs::from_ms(30_000);
        let response = client
            .send(site.daemons[0].callers, request, timeout_us)
            .await
            .unwrap();
        let request_id = response.headers()["x-request-id"]
            .to_str()
            .unwrap()
            .to_owned();
        Self {
            status: response.status().as_u16(),
            request_id,
            body: response.into_body(),
            parser: wisteriahitch::wire::engine::SseParser::default(),
        }
    }

    async fn next(&mut self) -> Option<String> {
        use http_body_util::BodyExt;

        loop {
            if let Some(event) = self.parser.next_event().unwrap() {
                return Some(event);
            }
            let frame = self.body.frame().await?.ok()?;
            if let Ok(data) = frame.into_data() {
                self.parser.push(&data).unwrap();
            }
        }
    }
}

#[tokio::test]
async fn refusal_after_an_attempt_does_not_say_not_run() {
    // Symptom: a caller is told `not run` and its request has run. Sequence of events: the only
    // engine answers nonsense each time; the daemon finds no other one. Cause: the refusal of the
    // last choice speaks of that choice alone, not of the attempts before it.
    let site = Site::start(SiteOptions::default()).await;
    let control = json!({ "fault": "nonsense", "count": 100 });
    post_json(site.engines[0].address, "/control", &control).await;
    let completion = prompt("unknown", PROMPT_TOKENS, ANSWER_TOKENS);
    let answer = ask(&site, 0, SECRET, &completion).await;
    let Err(CallError::Refused { meaning, .. }) = answer else {
        panic!("{answer:?}");
    };
    assert_eq!(meaning.to_string(), "outcome unknown");
}
