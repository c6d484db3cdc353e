use expect_test::expect;
use serde_json::json;
use wisteriahitch_types::{ByteCount, DurationUs};
use wisteriahitch_wire::platform::{
    CallCounts, CallRate, FailedWrite, HttpPlatform, HttpPlatformOptions, Object, ObjectKind,
    ObjectVersion, Platform, PlatformError, PlatformErrorKind,
};

use crate::canned::{CannedServer, Reply, refusing_address};

const CLAIM: &str =
    r#"{"apiVersion":"x","kind":"Claim","metadata":{"name":"a","resourceVersion":"8"},"spec":{}}"#;

fn options(addresses: &[std::net::SocketAddr]) -> HttpPlatformOptions {
    HttpPlatformOptions {
        addresses: addresses.to_vec(),
        call_timeout_us: DurationUs::from_ms(1_000),
        answer_limit_bytes: ByteCount::new(1_000),
        ..HttpPlatformOptions::default()
    }
}

#[tokio::test]
async fn writes_without_a_valid_answer_may_have_taken_effect() {
    struct Case {
        name: &'static str,
        reply: Reply,
        expected: PlatformErrorKind,
    }
    let lost = |name, reply| Case {
        name,
        reply,
        expected: PlatformErrorKind::AnswerLost,
    };
    let malformed = |name, reply| Case {
        name,
        reply,
        expected: PlatformErrorKind::Malformed,
    };
    let altered = |from, to| Reply::complete("200 OK", "", &CLAIM.replace(from, to));
    let truncated = "HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{";
    let cases = [
        lost("closed without an answer", Reply::close("")),
        lost("truncated answer", Reply::close(truncated)),
        lost("no answer in time", Reply::stall("")),
        malformed(
            "not HTTP",
            Reply::close("good morning to all of you\r\n\r\n"),
        ),
        malformed("not JSON", Reply::complete("200 OK", "", "fine")),
        malformed(
            "too large",
            Reply::complete("200 OK", "", &" ".repeat(1_001)),
        ),
        malformed("another object", altered("\"a\"", "\"b\"")),
        malformed("another kind", altered("Claim", "Lease")),
        malformed("no version", altered("\"8\"", "\"eight\"")),
        malformed("version that did not increase", altered("\"8\"", "\"7\"")),
        malformed("internal error", refusal("500 Internal Server Error", "")),
        malformed("gateway timeout", refusal("504 Gateway Timeout", "")),
    ];
    for case in cases {
        let (error, spare) = update_with_spare(case.reply).await;
        let error = error.unwrap_err();
        assert_eq!(error.kind(), case.expected, "{}", case.name);
        assert!(error.is_outcome_unknown(), "{}", case.name);
        assert_eq!(spare.requests().len(), 0, "{}", case.name);
    }
}

#[tokio::test]
async fn refused_writes_are_classified_by_status_and_reason() {
    struct Case {
        reply: Reply,
        expected: PlatformErrorKind,
    }
    let case = |status, reason, expected| Case {
        reply: refusal(status, reason),
        expected,
    };
    let cases = [
        case(
            "409 Conflict",
            "AlreadyExists",
            PlatformErrorKind::AlreadyExists,
        ),
        case("409 Conflict", "Conflict", PlatformErrorKind::Conflict),
        case("404 Not Found", "", PlatformErrorKind::NotFound),
        case("413 Payload Too Large", "", PlatformErrorKind::TooLarge),
        case("429 Too Many Requests", "", PlatformErrorKind::RateLimited),
    ];
    for case in cases {
        let (error, spare) = update_with_spare(case.reply).await;
        let error = error.unwrap_err();
        assert_eq!(error.kind(), case.expected);
        assert!(!error.is_outcome_unknown(), "{error}");
        assert_eq!(spare.requests().len(), 0, "{error}");
    }
}

#[tokio::test]
async fn a_write_is_sent_to_the_next_address_if_nothing_was_written() {
    let (written, spare) = update_with_spare(refusal("503 Service Unavailable", "")).await;
    assert_eq!(written.unwrap().version, ObjectVersion::new(8));
    assert_eq!(spare.requests().len(), 1);
}

/// Guards against a write that is sent again, or whose lease is given up, although it took effect: its
/// answer was larger than allowed, which counted as nothing written.
#[test]
fn each_error_of_a_write_says_whether_it_may_have_taken_effect() {
    let cases = [
        (PlatformErrorKind::AlreadyExists, FailedWrite::Conflict),
        (PlatformErrorKind::Conflict, FailedWrite::Conflict),
        (PlatformErrorKind::NotFound, FailedWrite::Conflict),
        (PlatformErrorKind::TooLarge, FailedWrite::NotWritten),
        (PlatformErrorKind::RateLimited, FailedWrite::NotWritten),
        (PlatformErrorKind::Unavailable, FailedWrite::NotWritten),
        (PlatformErrorKind::AnswerLost, FailedWrite::Unknown),
        (PlatformErrorKind::Malformed, FailedWrite::Unknown),
        (PlatformErrorKind::AnswerTooLarge, FailedWrite::Unknown),
    ];
    for (kind, expected) in cases {
        let failed_write = PlatformError::new(kind, "").failed_write();
        assert_eq!(failed_write, expected, "{kind:?}");
    }
}

fn refusal(status: &str, reason: &str) -> Reply {
    Reply::complete(status, "", &json!({"reason": reason}).to_string())
}

/// Sends an update to a server that answers with `reply`, with a second address whose server would
/// accept the update. Returns the outcome and the second server.
async fn update_with_spare(reply: Reply) -> (Result<Object, PlatformError>, CannedServer) {
    let server = CannedServer::start(vec![reply]).await;
    let spare = CannedServer::start(vec![Reply::complete("200 OK", "", CLAIM)]).await;
    let platform = HttpPlatform::new(options(&[server.address, spare.address]));
    let expected = ObjectVersion::new(7);
    let outcome = platform
        .update(ObjectKind::Claim, "a", json!({}), expected)
        .await;
    assert_eq!(server.requests().len(), 1);
    (outcome, spare)
}

#[tokio::test]
async fn a_refused_connection_means_that_nothing_was_written() {
    let platform = HttpPlatform::new(options(&[refusing_address()]));
    let error = platform
        .create(ObjectKind::Claim, "a", json!({}))
        .await
        .unwrap_err();
    assert_eq!(error.kind(), PlatformErrorKind::Unavailable);
    assert!(!error.is_outcome_unknown());
}

#[tokio::test]
async fn reads_switch_to_the_next_address_and_stay_there() {
    struct Case {
        name: &'static str,
        reply: Reply,
    }
    let cases = [
        Case {
            name: "closed without an answer",
            reply: Reply::close(""),
        },
        Case {
            name: "no answer in time",
            reply: Reply::stall(""),
        },
        Case {
            name: "outage",
            reply: Reply::complete("503 Service Unavailable", "", ""),
        },
    ];
    for case in cases {
        let server = CannedServer::start(vec![case.reply]).await;
        let spare = CannedServer::start(vec![Reply::complete("200 OK", "", CLAIM)]).await;
        let platform = HttpPlatform::new(options(&[server.address, spare.address]));
        for _ in 0..2 {
            let read = platform.get(ObjectKind::Claim, "a").await.unwrap();
            assert_eq!(
                read.unwrap().version,
                ObjectVersion::new(8),
                "{}",
                case.name
            );
        }
        assert_eq!(server.requests().len(), 1, "{}", case.name);
        assert_eq!(spare.requests().len(), 2, "{}", case.name);
    }
}

#[tokio::test]
async fn retry_after_is_read_from_the_answer() {
    let reply = Reply::complete("429 Too Many Requests", "retry-after: 3\r\n", "");
    let server = CannedServer::start(vec![reply]).await;
    let platform = HttpPlatform::new(options(&[server.address]));
    let error = platform.list(ObjectKind::Claim).await.unwrap_err();
    assert_eq!(error.retry_after_us(), Some(DurationUs::from_ms(3_000)));
}

/// A daemon that writes in a tight loop must not use up the rate limit of the platform, which would
/// then refuse all daemons. Each daemon therefore limits its own rate.
#[tokio::test]
async fn calls_above_the_rate_limit_are_not_sent() {
    let server = CannedServer::start(vec![Reply::complete("200 OK", "", CLAIM)]).await;
    let slow = CallRate::new(0.001);
    let platform = HttpPlatform::new(HttpPlatformOptions {
        reads_per_s: slow,
        writes_per_s: slow,
        ..options(&[server.address])
    });
    let first_write = platform.create(ObjectKind::Claim, "a", json!({})).await;
    let second_write = platform.create(ObjectKind::Claim, "a", json!({})).await;
    let first_read = platform.get(ObjectKind::Claim, "a").await;
    let second_read = platform.get(ObjectKind::Claim, "a").await;
    assert!(first_write.is_ok() && first_read.is_ok());
    for error in [second_write.unwrap_err(), second_read.unwrap_err()] {
        assert_eq!(error.kind(), PlatformErrorKind::RateLimited);
        assert!(error.retry_after_us().unwrap() > DurationUs::ZERO);
    }
    assert_eq!(server.requests().len(), 2);
    let expected = CallCounts {
        reads: 1,
        writes: 1,
        watches: 0,
        over_budget: 2,
    };
    assert_eq!(platform.counts(), expected);
}

#[tokio::test]
async fn calls_have_the_documented_wire_format() {
    let server =
        CannedServer::start(vec![Reply::complete("503 Service Unavailable", "", "")]).await;
    let platform = HttpPlatform::new(options(&[server.address]));
    let version = ObjectVersion::new(7);
    let wait_us = DurationUs::from_ms(5_999);
    let spec = json!({"holder": "d1"});
    let _ = platform.get(ObjectKind::Lease, "a/b?c").await;
    let _ = platform.list(ObjectKind::VirtualMachine).await;
    let _ = platform.create(ObjectKind::Lease, "a", spec.clone()).await;
    let _ = platform.update(ObjectKind::Lease, "a", spec, version).await;
    let _ = platform.delete(ObjectKind::Lease, "a", version).await;
    let _ = platform
        .watch(ObjectKind::ConfigHead, "site", version, wait_us)
        .await;
    let requests = server.requests();
    let lines = requests.iter().map(|text| {
        let (head, body) = text.split_once("\r\n\r\n").unwrap();
        let line = format!("{} {body}", head.lines().next().unwrap());
        format!("{}\n", line.trim_end())
    });
    expect![[r#"
        GET /apis/wisteriahitch.example/v1/leases/a%2Fb%3Fc HTTP/1.1
        GET /apis/wisteriahitch.example/v1/virtualmachines HTTP/1.1
        POST /apis/wisteriahitch.example/v1/leases HTTP/1.1 {"apiVersion":"wisteriahitch.example/v1","kind":"Lease","metadata":{"name":"a"},"spec":{"holder":"d1"}}
        PUT /apis/wisteriahitch.example/v1/leases/a HTTP/1.1 {"apiVersion":"wisteriahitch.example/v1","kind":"Lease","metadata":{"name":"a","resourceVersion":"7"},"spec":{"holder":"d1"}}
        DELETE /apis/wisteriahitch.example/v1/leases/a?resourceVersion=7 HTTP/1.1
        GET /apis/wisteriahitch.example/v1/configheads?watch=1&fieldSelector=metadata.name=site&resourceVersion=7&timeoutSeconds=5 HTTP/1.1
    "#]]
    .assert_eq(&lines.collect::<String>());
}

#[tokio::test]
async fn watch_events_are_parsed() {
    struct Case {
        name: &'static str,
        reply: Reply,
        expected: Result<Option<u64>, PlatformErrorKind>,
    }
    let event = |kind: &str| format!("{{\"type\":\"{kind}\",\"object\":{CLAIM}}}\n");
    let cases = [
        Case {
            name: "no event",
            reply: Reply::complete("200 OK", "", ""),
            expected: Ok(None),
        },
        Case {
            name: "new object",
            reply: Reply::complete("200 OK", "", &event("ADDED")),
            expected: Ok(Some(8)),
        },
        Case {
            name: "changed object",
            reply: Reply::complete("200 OK", "", &event("MODIFIED")),
            expected: Ok(Some(8)),
        },
        Case {
            name: "deleted object",
            reply: Reply::complete("200 OK", "", &event("DELETED")),
            expected: Err(PlatformErrorKind::NotFound),
        },
        Case {
            name: "old event",
            reply: Reply::complete("200 OK", "", &event("MODIFIED").replace("\"8\"", "\"7\"")),
            expected: Err(PlatformErrorKind::Malformed),
        },
        Case {
            name: "unknown event",
            reply: Reply::complete("200 OK", "", &event("BOOKMARK")),
            expected: Err(PlatformErrorKind::Malformed),
        },
    ];
    for case in cases {
        let server = CannedServer::start(vec![case.reply]).await;
        let platform = HttpPlatform::new(options(&[server.address]));
        let after = ObjectVersion::new(7);
        let wait_us = DurationUs::from_ms(1_000);
        let outcome = platform
            .watch(ObjectKind::Claim, "a", after, wait_us)
            .await
            .map(|object| object.map(|object| object.version.get()))
            .map_err(|error| error.kind());
        assert_eq!(outcome, case.expected, "{}", case.name);
    }
}
