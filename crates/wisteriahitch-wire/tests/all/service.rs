use expect_test::expect;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use wisteriahitch_types::{ByteCount, DurationUs};
use wisteriahitch_wire::service::{
    HttpService, HttpServiceOptions, Service, ServiceErrorKind, ServiceRequest,
};

use crate::canned::{Canned, Reply, refusing_address};

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
async fn failures_are_sorted_by_what_may_have_run() {
    struct Case {
        name: &'static str,
        reply: Reply,
        expected: ServiceErrorKind,
    }
    let unavailable = "503 Service Unavailable";
    let cases = [
        Case {
            name: "closed unanswered",
            reply: Reply::close(""),
            expected: ServiceErrorKind::Lost,
        },
        Case {
            name: "cut answer",
            reply: Reply::close("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf"),
            expected: ServiceErrorKind::Lost,
        },
        Case {
            name: "no answer in time",
            reply: Reply::hold(""),
            expected: ServiceErrorKind::Timeout,
        },
        Case {
            name: "no HTTP",
            reply: Reply::close("good morning to all of you\r\n\r\n"),
            expected: ServiceErrorKind::Nonsense,
        },
        Case {
            name: "another request's answer",
            reply: Reply::whole("200 OK", "x-request-id: r-2\r\n", ""),
            expected: ServiceErrorKind::Nonsense,
        },
        Case {
            name: "two ids",
            reply: Reply::whole("200 OK", "x-request-id: r-1\r\nx-request-id: r-2\r\n", ""),
            expected: ServiceErrorKind::Nonsense,
        },
        Case {
            name: "protocol switched",
            reply: Reply::whole("101 Switching Protocols", "", ""),
            expected: ServiceErrorKind::Nonsense,
        },
        Case {
            name: "too large",
            reply: Reply::whole("200 OK", "", &"x".repeat(101)),
            expected: ServiceErrorKind::TooLarge,
        },
        Case {
            name: "not run",
            reply: Reply::whole(unavailable, "x-not-run: 1\r\n", ""),
            expected: ServiceErrorKind::NotRun,
        },
        Case {
            name: "another request's not run",
            reply: Reply::whole(unavailable, "x-not-run: 1\r\nx-request-id: r-2\r\n", ""),
            expected: ServiceErrorKind::Nonsense,
        },
    ];
    for case in cases {
        let server = Canned::start(vec![case.reply]).await;
        let service = HttpService::new(HttpServiceOptions::default());
        let error = service.call(server.address, request()).await.unwrap_err();
        assert_eq!(error.kind(), case.expected, "{}: {error}", case.name);
        let is_not_run = case.expected == ServiceErrorKind::NotRun;
        assert_eq!(error.is_not_run(), is_not_run, "{}", case.name);
        assert_eq!(server.seen().len(), 1, "{}", case.name);
    }
}

#[tokio::test]
async fn what_was_never_sent_is_not_run() {
    struct Case {
        name: &'static str,
        method: Method,
        path_and_query: &'static str,
        is_refusing: bool,
    }
    let cases = [
        Case {
            name: "refused connection",
            method: Method::POST,
            path_and_query: "/a",
            is_refusing: true,
        },
        Case {
            name: "method without a path",
            method: Method::CONNECT,
            path_and_query: "/a",
            is_refusing: false,
        },
        Case {
            name: "another host in the path",
            method: Method::GET,
            path_and_query: "http://127.0.0.1:1/a",
            is_refusing: false,
        },
        Case {
            name: "no path",
            method: Method::GET,
            path_and_query: "/a b",
            is_refusing: false,
        },
    ];
    let server = Canned::start(vec![Reply::whole("200 OK", "", "")]).await;
    for case in cases {
        let address = if case.is_refusing {
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
    assert_eq!(server.seen().len(), 0);
}

#[tokio::test]
async fn answers_pass_with_any_status() {
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
        let reply = Reply::whole(&case.status.to_string(), case.headers, "body");
        let server = Canned::start(vec![reply]).await;
        let service = HttpService::new(HttpServiceOptions::default());
        let answer = service.call(server.address, request()).await.unwrap();
        assert_eq!(answer.status, case.status);
        assert_eq!(answer.body, "body");
    }
}

/// Symptom: a service acts in a caller's name elsewhere. Sequence: the caller's key arrives with
/// its request, and the service uses it. Cause: headers are passed on without a look.
#[tokio::test]
async fn headers_of_the_caller_and_of_the_connection_stay_behind() {
    let reply = Reply::whole(
        "200 OK",
        "connection: x-hop\r\nx-hop: 1\r\nx-kept: 1\r\nkeep-alive: 5\r\nx-request-id: r-1\r\n",
        "",
    );
    let server = Canned::start(vec![reply]).await;
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
    let seen = server.seen();
    let mut lines: Vec<&str> = seen[0]
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
async fn load_reports_are_read() {
    struct Case {
        name: &'static str,
        reply: Reply,
        expected: Result<u64, ServiceErrorKind>,
    }
    let report = r#"{"made_at_ms":1,"running":2,"slots":4,"queued":0,"leaving":false}"#;
    let cases = [
        Case {
            name: "report",
            reply: Reply::whole("200 OK", "", report),
            expected: Ok(2),
        },
        Case {
            name: "no JSON",
            reply: Reply::whole("200 OK", "", "busy"),
            expected: Err(ServiceErrorKind::Nonsense),
        },
        Case {
            name: "more than any endpoint runs",
            reply: Reply::whole("200 OK", "", &report.replace('2', "4294967296")),
            expected: Err(ServiceErrorKind::Nonsense),
        },
        Case {
            name: "refusal",
            reply: Reply::whole("503 Service Unavailable", "", report),
            expected: Err(ServiceErrorKind::Nonsense),
        },
    ];
    for case in cases {
        let server = Canned::start(vec![case.reply]).await;
        let service = HttpService::new(HttpServiceOptions::default());
        let outcome = service.load(server.address).await;
        let outcome = outcome.map(|l| l.running).map_err(|error| error.kind());
        assert_eq!(outcome, case.expected, "{}", case.name);
    }
}
