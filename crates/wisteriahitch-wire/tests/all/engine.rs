use std::net::SocketAddr;

use expect_test::expect;
use futures_util::StreamExt;
use wisteriahitch_types::{
    AttemptNumber, BlockKey, ByteCount, DurationUs, FenceNumber, Generation, TokenCount,
};
use wisteriahitch_wire::engine::{
    BlockRef, CompletionHead, CompletionRequest, Engine, EngineError, EngineErrorKind,
    ExportRequest, HttpEngine, ImportRequest, Order, TokenStream,
};
use wisteriahitch_wire::http_client::{HttpClient, HttpClientOptions};

use crate::canned::{CannedServer, Reply, refusing_address};

const KEY: BlockKey = BlockKey::from_bytes([7; 16]);
const HEAD_TIMEOUT: DurationUs = DurationUs::from_ms(300);
const HEAD: &str = "x-request-id: r-1\r\nx-attempt: 1\r\nx-weight-version: v1\r\n\
                    x-cached-tokens: 2000\r\n";
const FIRST: &str =
    r#"data: {"request_id":"r-1","attempt":1,"position":0,"text":"a ","finish_reason":null}"#;
const LAST: &str =
    r#"data: {"request_id":"r-1","attempt":1,"position":1,"text":"b ","finish_reason":"length"}"#;

fn engine() -> HttpEngine {
    HttpEngine::new(HttpClient::new(HttpClientOptions::default()))
}

fn request() -> CompletionRequest {
    CompletionRequest {
        request_id: "r-1".parse().unwrap(),
        attempt: AttemptNumber::new(1),
        model: "hist-7b".parse().unwrap(),
        adapter: None,
        weight_version: "v1".parse().unwrap(),
        prompt: "chain squeaks".to_owned(),
        max_tokens: TokenCount::new(2),
        priority: 3,
        position: 0,
        blocks: vec![BlockRef {
            key: KEY,
            tokens: TokenCount::new(2),
        }],
    }
}

async fn start_completion(
    address: SocketAddr,
) -> Result<(CompletionHead, TokenStream), EngineError> {
    engine().complete(address, request(), HEAD_TIMEOUT).await
}

fn stream_head(framing: &str) -> String {
    format!("HTTP/1.1 200 OK\r\n{HEAD}{framing}\r\n")
}

/// Builds a streamed answer whose body ends when the connection closes.
fn stream(events: &[&str]) -> Reply {
    let body: String = events.iter().map(|event| format!("{event}\n\n")).collect();
    Reply::close(&(stream_head("") + &body))
}

/// Encodes one chunk of a chunked body, without the final empty chunk.
fn chunk(body: &str) -> String {
    format!("{:x}\r\n{body}\r\n", body.len())
}

#[tokio::test]
async fn completions_are_requested_as_a_stream() {
    let server = CannedServer::start(vec![stream(&[FIRST, LAST, "data: [DONE]"])]).await;
    let (head, tokens) = start_completion(server.address).await.unwrap();
    let tokens: Vec<_> = tokens.map(Result::unwrap).collect().await;
    assert_eq!(head.cached_tokens, TokenCount::new(2000));
    let texts: Vec<_> = tokens.iter().map(|token| token.text.as_str()).collect();
    assert_eq!(texts, ["a ", "b "]);
    let seen = server.requests();
    let (_, body) = seen[0].split_once("\r\n\r\n").unwrap();
    expect![[r#"{"model":"hist-7b","prompt":"chain squeaks","max_tokens":2,"stream":true,"wisteriahitch":{"request_id":"r-1","attempt":1,"priority":3,"adapter":null,"weight_version":"v1","position":0,"blocks":[{"key":"07070707070707070707070707070707","tokens":2}]}}"#]]
        .assert_eq(body);
}

struct RefusalCase {
    name: &'static str,
    reply: Reply,
    kind: EngineErrorKind,
    is_not_run: bool,
}

fn refusal_cases() -> Vec<RefusalCase> {
    let case = |name, reply, kind, is_not_run| RefusalCase {
        name,
        reply,
        kind,
        is_not_run,
    };
    let refusal = |status, body| Reply::complete(status, "", body);
    let not_run = r#"{"not_run":true,"reason":"busy"}"#;
    vec![
        case(
            "busy",
            refusal("503 Service Unavailable", not_run),
            EngineErrorKind::NotRun,
            true,
        ),
        case(
            "not loaded",
            refusal("404 Not Found", not_run),
            EngineErrorKind::NotRun,
            true,
        ),
        case(
            "another version",
            refusal("409 Conflict", not_run),
            EngineErrorKind::OtherVersion,
            true,
        ),
        case(
            "a status alone",
            refusal("503 Service Unavailable", ""),
            EngineErrorKind::Nonsense,
            false,
        ),
        case(
            "an invalid request",
            refusal("400 Bad Request", ""),
            EngineErrorKind::Rejected,
            false,
        ),
        case(
            "states that it did run",
            refusal("503 Service Unavailable", r#"{"not_run":false}"#),
            EngineErrorKind::Nonsense,
            false,
        ),
        case(
            "a status that is not used for refusals",
            refusal("500 Internal Server Error", not_run),
            EngineErrorKind::Nonsense,
            false,
        ),
        case(
            "a truncated refusal",
            Reply::close("HTTP/1.1 503 No\r\ncontent-length: 99\r\n\r\n{\"not_run\":true"),
            EngineErrorKind::Lost,
            false,
        ),
        case("no answer", Reply::close(""), EngineErrorKind::Lost, false),
        case(
            "no answer in time",
            Reply::stall(""),
            EngineErrorKind::Timeout,
            false,
        ),
        case(
            "not HTTP",
            Reply::close("ready.\r\n\r\n"),
            EngineErrorKind::Nonsense,
            false,
        ),
        case(
            "a head without the required headers",
            refusal("200 OK", ""),
            EngineErrorKind::Nonsense,
            false,
        ),
    ]
}

#[tokio::test]
async fn a_refused_completion_is_not_run_only_if_the_engine_says_so() {
    for case in refusal_cases() {
        let server = CannedServer::start(vec![case.reply]).await;
        let error = start_completion(server.address).await.err().unwrap();
        assert_eq!(error.kind(), case.kind, "{}: {error}", case.name);
        assert_eq!(error.is_not_run(), case.is_not_run, "{}", case.name);
        assert_eq!(server.requests().len(), 1, "{}: sent once", case.name);
    }
    let error = start_completion(refusing_address()).await.err().unwrap();
    assert_eq!(error.kind(), EngineErrorKind::NotSent);
}

struct StreamCase {
    name: &'static str,
    reply: Reply,
    tokens: usize,
    end: Option<EngineErrorKind>,
}

fn stream_cases() -> Vec<StreamCase> {
    let case = |name, reply, tokens, end| StreamCase {
        name,
        reply,
        tokens,
        end,
    };
    let chunked = |body: &str| {
        let head = stream_head("transfer-encoding: chunked\r\n");
        Reply::close(&(head + &chunk(body)))
    };
    vec![
        case("complete", stream(&[FIRST, LAST, "data: [DONE]"]), 2, None),
        case(
            "truncated after the last token",
            chunked(&format!("{FIRST}\n\n{LAST}\n\n")),
            2,
            None,
        ),
        case(
            "closed cleanly midway",
            stream(&[FIRST]),
            1,
            Some(EngineErrorKind::Lost),
        ),
        case(
            "truncated midway",
            chunked(&format!("{FIRST}\n\n")),
            1,
            Some(EngineErrorKind::Lost),
        ),
        case(
            "last token without its blank line",
            Reply::close(&format!("{}{FIRST}\n\n{LAST}\n", stream_head(""))),
            1,
            Some(EngineErrorKind::Lost),
        ),
        case(
            "no events at all",
            stream(&[]),
            0,
            Some(EngineErrorKind::Lost),
        ),
        case(
            "[DONE] before the last token",
            stream(&[FIRST, "data: [DONE]"]),
            1,
            Some(EngineErrorKind::Nonsense),
        ),
        case(
            "a token after the last one",
            stream(&[LAST, FIRST, "data: [DONE]"]),
            1,
            Some(EngineErrorKind::Nonsense),
        ),
        case(
            "an event that doesn't parse",
            stream(&[FIRST, "data: {nonsense", LAST]),
            1,
            Some(EngineErrorKind::Nonsense),
        ),
        case(
            "a line too long",
            stream(&[FIRST, &"x".repeat(70_000), LAST]),
            1,
            Some(EngineErrorKind::Nonsense),
        ),
    ]
}

#[tokio::test]
async fn a_truncated_stream_is_never_accepted_as_complete() {
    // A caller must not get part of an answer as if it were complete. If the engine crashes between
    // two tokens, its connection closes cleanly, and a body without a content-length then ends
    // without an error.
    for case in stream_cases() {
        let server = CannedServer::start(vec![case.reply]).await;
        let (_, tokens) = start_completion(server.address).await.unwrap();
        let mut results: Vec<_> = tokens.collect().await;
        let end = results.pop_if(|token| token.is_err());
        let end = end.map(|error| error.unwrap_err().kind());
        assert_eq!(end, case.end, "{}", case.name);
        assert_eq!(results.len(), case.tokens, "{}", case.name);
        assert!(results.iter().all(Result::is_ok), "{}", case.name);
    }
}

#[tokio::test]
async fn control_calls_classify_refusals_by_status() {
    struct Case {
        status: &'static str,
        body: &'static str,
        order: Result<(), EngineErrorKind>,
        import: Result<(), EngineErrorKind>,
    }
    let both = |status, body, kind| Case {
        status,
        body,
        order: Err(kind),
        import: Err(kind),
    };
    let cases = [
        Case {
            status: "200 OK",
            body: "",
            order: Ok(()),
            import: Ok(()),
        },
        both(
            "409 Conflict",
            r#"{"reason":"fenced"}"#,
            EngineErrorKind::Fenced,
        ),
        both("409 Conflict", "", EngineErrorKind::OtherVersion),
        both("410 Gone", "", EngineErrorKind::Gone),
        both("422 Unprocessable", "", EngineErrorKind::Corrupt),
        both("503 Unavailable", "", EngineErrorKind::NotRun),
        both("502 Bad Gateway", "", EngineErrorKind::Lost),
        both("500 Internal", "", EngineErrorKind::Nonsense),
    ];
    let order = Order::UnloadModel {
        model: "hist-7b".parse().unwrap(),
    };
    let import = ImportRequest {
        key: KEY,
        from: "http://127.0.0.1:1/v1/blocks/x".to_owned(),
        generation: Generation::new(1),
        pin: "p1".to_owned(),
        weight_version: "v1".parse().unwrap(),
        bytes: ByteCount::new(1),
        crc32c: 1,
    };
    for case in cases {
        let server = CannedServer::start(vec![Reply::complete(case.status, "", case.body)]).await;
        let fence = FenceNumber::new(4);
        let ordered = engine()
            .order(server.address, fence, order.clone(), HEAD_TIMEOUT)
            .await;
        assert_eq!(ordered.map_err(|e| e.kind()), case.order, "{}", case.status);
        let imported = engine().import(server.address, import.clone()).await;
        assert_eq!(
            imported.map_err(|e| e.kind()),
            case.import,
            "{}",
            case.status
        );
    }
}

#[tokio::test]
async fn answers_with_unexpected_json_are_malformed() {
    let server =
        CannedServer::start(vec![Reply::complete("200 OK", "", r#"{"bytes":"many"}"#)]).await;
    let engine = engine();
    let export = ExportRequest {
        key: KEY,
        to: String::new(),
        generation: Generation::new(1),
        weight_version: "v1".parse().unwrap(),
    };
    let address = server.address;
    let errors = [
        engine.load(address).await.err(),
        engine.cache_events(address, 3).await.err(),
        engine.cache_listing(address).await.err(),
        engine.export(address, export).await.err(),
    ];
    for error in errors {
        assert_eq!(error.unwrap().kind(), EngineErrorKind::Nonsense);
    }
    engine.cancel(address, &request().request_id).await.unwrap();
    let lines = server.requests();
    let lines: Vec<_> = lines
        .iter()
        .map(|seen| seen.lines().next().unwrap())
        .collect();
    expect![[r#"
        GET /v1/load HTTP/1.1
        GET /v1/cache/events?after=3 HTTP/1.1
        GET /v1/cache/blocks HTTP/1.1
        POST /v1/kv/export HTTP/1.1
        DELETE /v1/requests/r-1 HTTP/1.1"#]]
    .assert_eq(&lines.join("\n"));
}
