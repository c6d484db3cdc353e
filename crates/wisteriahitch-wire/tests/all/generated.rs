//! Randomly corrupted answers of each external system: every call ends, and no corrupted answer
//! makes a client conclude that a request was not run or a write did not take effect.

use std::time::Duration;

use futures_util::StreamExt;
use http::{HeaderMap, Method};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::{Index, select};
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use serde_json::json;
use tokio::time::timeout;
use wisteriahitch_types::{AttemptNumber, BlockKey, ByteCount, DurationUs, TokenCount};
use wisteriahitch_wire::engine::{CompletionRequest, Engine, EngineError, HttpEngine};
use wisteriahitch_wire::http_client::{HttpClient, HttpClientOptions};
use wisteriahitch_wire::platform::{
    HttpPlatform, HttpPlatformOptions, ObjectKind, ObjectVersion, Platform, PlatformErrorKind,
};
use wisteriahitch_wire::service::{HttpService, HttpServiceOptions, Service, ServiceRequest};
use wisteriahitch_wire::store::{HttpStore, Store};

use crate::canned::{CannedServer, Reply};

const SEED: u64 = 0x5eed;
const CASES: usize = 150;

/// Limits waits that would never end if a client had a bug.
const CALL_DEADLINE: Duration = Duration::from_secs(60);
const TIMEOUT_US: DurationUs = DurationUs::from_ms(2_000);
const LIMIT_BYTES: ByteCount = ByteCount::new(10_000);
const KEY: BlockKey = BlockKey::from_bytes([7; 16]);

const COMPLETION_HEAD: &str = "x-request-id: r-1\r\nx-attempt: 1\r\nx-weight-version: v1\r\n\
                               x-cached-tokens: 0\r\n";
const COMPLETION: &str = "data: {\"request_id\":\"r-1\",\"attempt\":1,\"position\":0,\"text\":\"a \",\"finish_reason\":\"length\"}\n\ndata: [DONE]\n\n";
const LOAD: &str = r#"{"made_at_ms":1,"running":0,"batch_slots":8,"queued":0,"queued_tokens":0,"kv_used_tokens":0,"kv_capacity_tokens":9000,"prefill_tokens_per_s":8000,"decode_us_per_token":100,"leaving":false,"models":[{"model":"hist-7b","weight_version":"v1","adapters":[],"ready":true}],"role":"assistant","checks_fence":true}"#;
const EVENTS: &str = r#"{"incarnation":"i-1","first":1,"next":2,"events":[{"number":1,"kind":"stored","key":"00000000000000000000000000000001"}]}"#;
const LISTING: &str =
    r#"{"incarnation":"i-1","next":3,"keys":["00000000000000000000000000000001"]}"#;
const SERVICE_LOAD: &str = r#"{"made_at_ms":1,"running":0,"slots":4,"queued":0,"leaving":false}"#;
const STORE: &str = r#"{"incarnation":"s-1","memory":{"capacity_bytes":10,"used_bytes":0},"disk":{"capacity_bytes":10,"used_bytes":0},"link":{"rate_bytes_per_s":1,"queued_bytes":0,"sent_bytes":0},"leaving":false}"#;
const BLOCKS: &str = r#"{"incarnation":"s-1","blocks":[{"key":"00000000000000000000000000000001","generation":1,"bytes":10,"tokens":100,"weight_version":"v1","tier":"memory","state":"readable"}]}"#;
const PIN: &str =
    r#"{"pin":"p-1","generation":1,"bytes":10,"crc32c":1,"weight_version":"v1","tier":"disk"}"#;
const OBJECT: &str = r#"{"apiVersion":"wisteriahitch.example/v1","kind":"Claim","metadata":{"name":"a","resourceVersion":"8"},"spec":{"x":[1,2]}}"#;
const OBJECTS: &str = r#"{"metadata":{"resourceVersion":"9"},"items":[{"metadata":{"name":"a","resourceVersion":"8"},"spec":{}}]}"#;
const EVENT: &str = r#"{"type":"MODIFIED","object":{"kind":"Claim","metadata":{"name":"a","resourceVersion":"8"},"spec":{}}}"#;

/// Generates bodies: `valid` itself, edited or truncated copies of it, and arbitrary text.
fn bodies(valid: &'static str) -> impl Strategy<Value = String> {
    let replacement = select(
        &[
            "",
            "\"",
            "{",
            "]",
            "-1",
            "1e999",
            "18446744073709551616",
            "null",
            "\n\n",
            "\0",
            "é",
            "[[[[",
        ][..],
    );
    let edited = vec((any::<Index>(), 0..10_usize, replacement), 1..4).prop_map(move |edits| {
        let mut text: Vec<char> = valid.chars().collect();
        for (place, length, replacement) in edits {
            let start = place.index(text.len() + 1);
            let end = text.len().min(start + length);
            text.splice(start..end, replacement.chars());
        }
        text.into_iter().collect::<String>()
    });
    let truncated =
        any::<Index>().prop_map(move |place| valid[..place.index(valid.len())].to_owned());
    let nested = (1..20_000_usize).prop_map(|depth| "[".repeat(depth));
    prop_oneof![
        1 => Just(valid.to_owned()),
        4 => edited,
        1 => truncated,
        1 => nested,
        1 => any::<String>(),
    ]
}

/// Generates answers with status 200 and such a body, mostly with the correct content-length.
fn replies(head: &'static str, valid: &'static str) -> Vec<Reply> {
    let framing = 0..12_u8;
    let strategy = (bodies(valid), framing).prop_map(move |(body, framing)| {
        let length = match framing {
            0 => body.len() + 7,
            1 => body.len() / 2,
            2 => return Reply::close(&body),
            _ => body.len(),
        };
        Reply::close(&format!(
            "HTTP/1.1 200 OK\r\n{head}content-length: {length}\r\n\r\n{body}"
        ))
    });
    let mut runner = TestRunner::new(Config {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    });
    let generate = |_| strategy.new_tree(&mut runner).unwrap().current();
    (0..CASES).map(generate).collect()
}

/// Makes one call per generated answer, and passes each error to `check`. Fails if a call hangs, or
/// if all answers are accepted or all rejected.
async fn call_all<T, E>(
    head: &'static str,
    valid: &'static str,
    mut call: impl AsyncFnMut(std::net::SocketAddr) -> Result<T, E>,
    mut check: impl FnMut(E),
) {
    let server = CannedServer::start(replies(head, valid)).await;
    let (mut accepted, mut rejected) = (0, 0);
    for number in 0..CASES {
        let outcome = timeout(CALL_DEADLINE, call(server.address)).await;
        match outcome
            .unwrap_or_else(|_| panic!("call {number} did not end; the valid answer is {valid}"))
        {
            Ok(_) => accepted += 1,
            Err(error) => {
                rejected += 1;
                check(error);
            }
        }
    }
    assert!(accepted > 0, "no answer was accepted; valid is {valid}");
    assert!(rejected > 0, "no answer was rejected; valid is {valid}");
}

fn completion() -> CompletionRequest {
    CompletionRequest {
        request_id: "r-1".parse().unwrap(),
        attempt: AttemptNumber::new(1),
        model: "hist-7b".parse().unwrap(),
        adapter: None,
        weight_version: "v1".parse().unwrap(),
        prompt: "chain squeaks".to_owned(),
        max_tokens: TokenCount::new(1),
        priority: 3,
        position: 0,
        blocks: vec![],
    }
}

async fn complete(engine: &HttpEngine, address: std::net::SocketAddr) -> Result<(), EngineError> {
    let (_, mut tokens) = engine.complete(address, completion(), TIMEOUT_US).await?;
    while let Some(token) = tokens.next().await {
        let token = token?;
        // A token of another request must never be returned.
        assert_eq!(token.request_id.as_str(), "r-1");
        assert_eq!(token.attempt, AttemptNumber::new(1));
    }
    Ok(())
}

#[tokio::test]
async fn corrupted_answers_of_engines_end_each_call() {
    let engine = HttpEngine::new(HttpClient::new(HttpClientOptions::default()));
    let check = |error: EngineError| assert!(!error.is_not_run(), "{error}");
    let complete = async |address| complete(&engine, address).await;
    call_all(COMPLETION_HEAD, COMPLETION, complete, check).await;
    call_all("", LOAD, async |address| engine.load(address).await, drop).await;
    let events = async |address| engine.cache_events(address, 0).await;
    call_all("", EVENTS, events, drop).await;
    let listing = async |address| engine.cache_listing(address).await;
    call_all("", LISTING, listing, drop).await;
}

#[tokio::test]
async fn corrupted_answers_of_services_never_mean_not_run() {
    let service = HttpService::new(HttpServiceOptions::default());
    let load = async |address| service.load(address).await;
    call_all("", SERVICE_LOAD, load, drop).await;
    let call = async |address| {
        let request = ServiceRequest {
            request_id: "r-1".parse().unwrap(),
            workspace: "kandy-1".parse().unwrap(),
            method: Method::POST,
            path_and_query: "/bookings".to_owned(),
            headers: HeaderMap::new(),
            body: "order".into(),
            timeout_us: TIMEOUT_US,
            answer_limit_bytes: LIMIT_BYTES,
        };
        service.call(address, request).await
    };
    let head = "x-request-id: r-1\r\n";
    call_all(head, SERVICE_LOAD, call, |error| {
        assert!(!error.is_not_run(), "{error}");
    })
    .await;
}

#[tokio::test]
async fn corrupted_answers_of_stores_end_each_call() {
    let store = HttpStore::new(HttpClient::new(HttpClientOptions::default()));
    call_all("", STORE, async |address| store.report(address).await, drop).await;
    call_all("", BLOCKS, async |address| store.list(address).await, drop).await;
    let incarnation = "s-1".parse().unwrap();
    let pin = async |address| store.pin(address, KEY, &incarnation).await;
    call_all("", PIN, pin, drop).await;
}

fn platform(address: std::net::SocketAddr) -> HttpPlatform {
    HttpPlatform::new(HttpPlatformOptions {
        addresses: vec![address],
        call_timeout_us: TIMEOUT_US,
        answer_limit_bytes: LIMIT_BYTES,
        ..HttpPlatformOptions::default()
    })
}

#[tokio::test]
async fn corrupted_answers_of_the_platform_leave_writes_undecided() {
    let get = async |address| platform(address).get(ObjectKind::Claim, "a").await;
    call_all("", OBJECT, get, drop).await;
    let list = async |address| platform(address).list(ObjectKind::Claim).await;
    call_all("", OBJECTS, list, drop).await;
    let watch = async |address| {
        let seen = ObjectVersion::new(1);
        let platform = platform(address);
        platform
            .watch(ObjectKind::Claim, "a", seen, TIMEOUT_US)
            .await
    };
    call_all("", EVENT, watch, drop).await;
    let update = async |address| {
        let version = ObjectVersion::new(7);
        let platform = platform(address);
        platform
            .update(ObjectKind::Claim, "a", json!({}), version)
            .await
    };
    call_all("", OBJECT, update, |error| {
        let undecided_kinds = [PlatformErrorKind::AnswerLost, PlatformErrorKind::Malformed];
        assert!(undecided_kinds.contains(&error.kind()), "{error}");
    })
    .await;
}
