//! Bad input gets a numbered error and loses nothing.

use std::net::SocketAddr;

use http::Method;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::harness::{SECRET, Site, SiteOptions, ask, call, prompt};

struct BodyCase {
    name: &'static str,
    body: String,
    code: &'static str,
}

#[tokio::test]
async fn bad_bodies_are_refused_with_a_code() {
    let site = Site::start(SiteOptions::default()).await;
    let long = "x ".repeat(65_000);
    let cases = [
        BodyCase {
            name: "not JSON",
            body: "{".to_owned(),
            code: "W1002",
        },
        BodyCase {
            name: "no prompt",
            body: json!({"model": "hist-7b"}).to_string(),
            code: "W1002",
        },
        BodyCase {
            name: "unknown field",
            body: json!({"model": "hist-7b", "prompt": "x", "stop": "y"}).to_string(),
            code: "W1002",
        },
        BodyCase {
            name: "unknown model",
            body: json!({"model": "none", "prompt": "x"}).to_string(),
            code: "W2009",
        },
        BodyCase {
            name: "long prompt",
            body: json!({"model": "hist-7b", "prompt": long}).to_string(),
            code: "W2010",
        },
        BodyCase {
            name: "oversize",
            body: "x".repeat(5_000_000),
            code: "W1003",
        },
    ];
    let bearer = format!("Bearer {SECRET}");
    let headers = [("authorization", bearer.as_str())];
    let callers = site.daemons[0].callers;
    for case in cases {
        let answer = call(
            callers,
            Method::POST,
            "/v1/completions",
            &headers,
            case.body,
        )
        .await
        .unwrap();
        assert_eq!(answer.code(), case.code, "{}: {}", case.name, answer.text());
        assert_eq!(answer.meaning(), "not_run", "{}", case.name);
    }
    ask(&site, 0, SECRET, &prompt("after", 20, 2))
        .await
        .unwrap();
}

#[tokio::test]
async fn malformed_heads_get_a_code_too() {
    // Symptom: a caller's program stops with an empty answer and no hint. Sequence of events: it
    // sends a head that isn't HTTP, or one that is too large. Cause: the HTTP library answers
    // before any handler runs.
    let site = Site::start(SiteOptions::default()).await;
    let callers = site.daemons[0].callers;
    let garbage = send_raw(callers, b"\x01\x02 nonsense\r\n\r\n").await;
    assert!(garbage.starts_with("HTTP/1.1 400"), "{garbage}");
    assert!(garbage.contains("W1001"), "{garbage}");
    let filler = "a".repeat(40_000);
    let head = format!("GET /v1/entries HTTP/1.1\r\nhost: x\r\nx-filler: {filler}\r\n\r\n");
    let large = send_raw(callers, head.as_bytes()).await;
    assert!(large.starts_with("HTTP/1.1 431"), "{large}");
    assert!(large.contains("W1004"), "{large}");
    ask(&site, 0, SECRET, &prompt("after", 20, 2))
        .await
        .unwrap();
}

async fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut answer = Vec::new();
    // The server may reset the connection after its answer, because bytes were left unread.
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test]
async fn slow_senders_and_readers_hold_nothing_for_long() {
    // Symptom: a daemon answers nobody any more while its processor is idle. Sequence of events:
    // callers send a head or a body a byte at a time, or stop reading a long answer. Cause: each
    // holds a connection, and perhaps a batch slot, for as long as it likes.
    let site = Site::start(SiteOptions {
        settings: "[limits]\nheader_timeout_ms = 300\nbody_timeout_ms = 300\n\
                   reader_stall_timeout_ms = 300\n"
            .to_owned(),
        engine_flags: vec!["--decode-us-per-token".to_owned(), "1".to_owned()],
        ..SiteOptions::default()
    })
    .await;
    let callers = site.daemons[0].callers;
    let head = send_raw(callers, b"GET /v1/entries HT").await;
    assert!(!head.contains("200 OK"), "{head}");
    let body = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {SECRET}\r\n\
         content-length: 100\r\n\r\n{{"
    );
    let body = send_raw(callers, body.as_bytes()).await;
    assert!(body.contains("W1005"), "{body}");
    let reader = stop_reading(callers).await;
    crate::harness::wait_until("the stalled answer to be given up", async || {
        let metrics = call(site.daemons[0].operators, Method::GET, "/metrics", &[], "").await;
        metrics.unwrap().text().contains("wisteriahitch_streams 0")
    })
    .await;
    drop(reader);
    ask(&site, 0, SECRET, &prompt("after", 20, 2))
        .await
        .unwrap();
}

/// Asks for an answer that is longer than every buffer on its way, and reads none of it.
async fn stop_reading(address: SocketAddr) -> TcpStream {
    let body = json!({
        "model": "hist-7b",
        "prompt": "x",
        "max_tokens": 200_000,
        "stream": true,
    })
    .to_string();
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {SECRET}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut first = [0; 16];
    stream.read_exact(&mut first).await.unwrap();
    assert!(first.starts_with(b"HTTP/1.1 200"));
    stream
}

#[tokio::test]
async fn broken_head_object_leaves_the_last_good_configuration() {
    // Symptom: the site stops because of one damaged object. Sequence of events: the head in the
    // platform doesn't parse any more. Cause: the daemons drop what they have.
    let site = Site::start(SiteOptions::default()).await;
    let path = "/apis/wisteriahitch.example/v1/configheads/site";
    let platform = site.platform.address;
    let object = call(platform, Method::GET, path, &[], "")
        .await
        .unwrap()
        .json();
    let mut damaged = object.clone();
    damaged["spec"] = json!({ "version": "none" });
    let written = call(platform, Method::PUT, path, &[], damaged.to_string())
        .await
        .unwrap();
    assert_eq!(written.status, 200, "{}", written.text());
    crate::harness::wait_until("the damage to be reported", async || {
        site.daemons
            .iter()
            .any(|daemon| daemon.process.read_log().contains("W4012"))
    })
    .await;
    for daemon in 0..2 {
        assert_eq!(site.version(daemon).await, 1);
        ask(&site, daemon, SECRET, &prompt("after", 20, 2))
            .await
            .unwrap();
    }
}
