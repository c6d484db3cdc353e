use expect_test::expect;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use wisteriahitch_types::{ByteCount, DurationUs};
use wisteriahitch_wire::service::{
    HttpService, HttpServiceOptions, Service, ServiceErrorKind, ServiceRequest,
};

use crate::canned::{CannedServer, Reply, refusing_address};

fn request() -> ServiceRequest {
    ServiceRequest {
        request_id: "r-1".parse().unwrap(),
        workspace: "kandy-1".parse().unwrap(),
        method: Method::POST,
        path_and_query: "/bookings?bay=2".to_owned(),
        headers: HeaderMap::new(),
        body: "order".into(),
        timeout_us: DurationUs::from_ms(1_000),
        answer_limit_bytes: ByteCount::new(100),
    }
}

fn headers(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
    let pairs = pairs.iter().map(|(name, value)| {
        let name = HeaderName::from_static(name);
        (name, HeaderValue::from_static(value))
    });
    pairs.collect()
}

#[tokio::test]
async fn failures_are_classified_by_whether_the_request_may_have_run() {
    struct Case {
        name: &'static str,
        reply: Reply,
        expected: ServiceErrorKind,
    }
    let unavailable = "503 Service Unavailable";
    let cases = [
        Case {
            name: "closed without an answer",
            reply: Reply::close(""),
            expected: ServiceErrorKind::Lost,
        },
        Case {
            name: "truncated answer",
            reply: Reply::close("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf"),
            expected: ServiceErrorKind::Lost,
        },
        Case {
            name: "no answer in time",
            reply: Reply::stall(""),
            expected: ServiceErrorKind::Timeout,
        },
        Case {
            name: "not HTTP",
            reply: Reply::close("good morning to all of you\r\n\r\n"),
            expected: ServiceErrorKind::Nonsense,
        },
        Case {
            name: "another request's answer",
            reply: Reply::complete("200 OK", "x-request-id: r-2\r\n", ""),
            expected: ServiceErrorKind::Nonsense,
        },
        Case {
            name: "two request ids",
            reply: Reply::complete("200 OK", "x-request-id: r-1\r\nx-request-id: r-2\r\n", ""),
            expected: ServiceErrorKind::Nonsense,
        },
        Case {
            name: "protocol switched",
            reply: Reply::complete("101 Switching Protocols", "", ""),
            expected: ServiceErrorKind::Nonsense,
        },
        Case {
            name: "too large",
            reply: Reply::complete("200 OK", "", &"x".repeat(101)),
            expected: ServiceErrorKind::TooLarge,
        },
        Case {
            name: "not run",
            reply: Reply::complete(unavailable, "x-not-run: 1\r\n", ""),
            expected: ServiceErrorKind::NotRun,
        },
        Case {
            name: "another request's not run",
            reply: Reply::complete(unavailable, "x-not-run: 1\r\nx-request-id: r-2\r\n", ""),
            expected: ServiceErrorKind::Nonsense,
        },
    ];
    for case in cases {
        let server = CannedServer::start(vec![case.reply]).await;
        let service = HttpService::new(HttpServiceOptions::default());
        let error = service.call(server.address, request()).await.unwrap_err();
        assert_eq!(error.kind(), case.expected, "{}: {error}", case.name);
        let is_not_run = case.expected == ServiceErrorKind::NotRun;
        assert_eq!(error.is_not_run(), is_not_run, "{}", case.name);
        assert_eq!(server.requests().len(), 1, "{}", case.name);
    }
}

#[tokio::test]
async fn a_request_that_was_not_sent_was_not_run() {
    struct Case {
        name: &'static str,
        method: Method,
        path_and_query: &'static str,
        refuses_connections: bool,
    }
    let cases = [
        Case {
            name: "refused connection",
            method: Method::POST,
            path_and_query: "/a",
            refuses_connections: true,
        },
        Case {
            name: "method without a path",
            method: Method::CONNECT,
            path_and_query: "/a",
            refuses_connections: false,
        },
        Case {
            name: "another host in the path",
            method: Method::GET,
            path_and_query: "http://127.0.0.1:1/a",
            refuses_connections: false,
        },
        Case {
            name: "no path",
            method: Method::GET,
            path_and_query: "/a b",
            refuses_connections: false,
        },
    ];
    let server = CannedServer::start(vec![Reply::complete("200 OK", "", "")]).await;
    for case in cases {
        let address = if case.refuses_connections {
            refusing_address()
        } else {
            server.address
        };
        let request = ServiceRequest {
            method: case.method,
            path_and_query: case.path_and_query.to_owned(),
            ..request()
        };
        let service = HttpService::new(HttpServiceOptions::default());
        let error = service.call(address, request).await.unwrap_err();
        assert_eq!(error.kind(), ServiceErrorKind::NotSent, "{}", case.name);
    }
    assert_eq!(server.requests().len(), 0);
}

#[tokio::test]
async fn answers_with_any_status_are_returned() {
    struct Case {
        status: StatusCode,
        headers: &'static str,
    }
    let cases = [
        Case {
            status: StatusCode::OK,
            headers: "x-request-id: r-1\r\n",
        },
        Case {
            status: StatusCode::CONFLICT,
            headers: "x-not-run: 1\r\n",
        },
        Case {
            status: StatusCode::SERVICE_UNAVAILABLE,
            headers: "",
        },
        Case {
            status: StatusCode::SERVICE_UNAVAILABLE,
            headers: "x-not-run: 0\r\n",
        },
    ];
    for case in cases {
        let reply = Reply::complete(&case.status.to_string(), case.headers, "body");
        let server = CannedServer::start(vec![reply]).await;
        let service = HttpService::new(HttpServiceOptions::default());
        let answer = service.call(server.address, request()).await.unwrap();
        assert_eq!(answer.status, case.status);
        assert_eq!(answer.body, "body");
    }
}

/// The caller's credentials must not be forwarded to the service, which could use them to
/// impersonate the caller. Hop-by-hop headers must not be forwarded in either direction.
#[tokio::test]
async fn credentials_and_hop_by_hop_headers_are_not_forwarded() {
    let reply = Reply::complete(
        "200 OK",
        "connection: x-hop\r\nx-hop: 1\r\nx-kept: 1\r\nkeep-alive: 5\r\nx-request-id: r-1\r\n",
        "",
    );
    let server = CannedServer::start(vec![reply]).await;
    let service = HttpService::new(HttpServiceOptions::default());
    let request = ServiceRequest {
        headers: headers(&[
            ("accept", "text/plain"),
            ("authorization", "Bearer key"),
            ("connection", "close, X-Hop"),
            ("content-length", "77"),
            ("cookie", "key=1"),
            ("host", "elsewhere"),
            ("idempotency-key", "k-1"),
            ("transfer-encoding", "chunked"),
            ("upgrade", "websocket"),
            ("x-api-key", "key"),
            ("x-hop", "1"),
            ("x-idempotency-key", "k-2"),
            ("x-request-id", "forged"),
            ("x-wisteriahitch-ticket", "t-1"),
            ("x-workspace", "forged"),
        ]),
        ..request()
    };
    let answer = service.call(server.address, request).await.unwrap();
    let requests = server.requests();
    let mut lines: Vec<&str> = requests[0]
        .lines()
        .filter(|l| !l.starts_with("host:"))
        .collect();
    lines.sort_unstable();
    expect![[r#"
        [
            "",
            "POST /bookings?bay=2 HTTP/1.1",
            "accept: text/plain",
            "content-length: 5",
            "idempotency-key: k-1",
            "order",
            "x-request-id: r-1",
            "x-workspace: kandy-1",
        ]
    "#]]
    .assert_eq(&format!("{lines:#?}\n"));
    expect![[r#"
        {
            "x-kept": "1",
        }
    "#]]
    .assert_eq(&format!("{:#?}\n", answer.headers));
}

#[tokio::test]
async fn load_reports_are_parsed() {
    struct Case {
        name: &'static str,
        reply: Reply,
        expected: Result<u64, ServiceErrorKind>,
    }
    let report = r#"{"made_at_ms":1,"running":2,"slots":4,"queued":0,"leaving":false}"#;
    let cases = [
        Case {
            name: "report",
            reply: Reply::complete("200 OK", "", report),
            expected: Ok(2),
        },
        Case {
            name: "not JSON",
            reply: Reply::complete("200 OK", "", "busy"),
            expected: Err(ServiceErrorKind::Nonsense),
        },
        Case {
            name: "count above the maximum",
            reply: Reply::complete("200 OK", "", &report.replace('2', "4294967296")),
            expected: Err(ServiceErrorKind::Nonsense),
        },
        Case {
            name: "refusal",
            reply: Reply::complete("503 Service Unavailable", "", report),
            expected: Err(ServiceErrorKind::Nonsense),
        },
    ];
    for case in cases {
        let server = CannedServer::start(vec![case.reply]).await;
        let service = HttpService::new(HttpServiceOptions::default());
        let outcome = service.load(server.address).await;
        let outcome = outcome.map(|l| l.running).map_err(|error| error.kind());
        assert_eq!(outcome, case.expected, "{}", case.name);
    }
}
