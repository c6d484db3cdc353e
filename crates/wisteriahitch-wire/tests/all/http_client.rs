use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;
use wisteriahitch_types::{ByteCount, DurationUs};
use wisteriahitch_wire::http_client::{HttpClient, HttpClientOptions, HttpErrorKind};

use crate::canned::{Canned, Reply, refusing_address};

const LIMIT_BYTES: ByteCount = ByteCount::new(20);
const LONG_US: DurationUs = DurationUs::from_ms(3_600_000);

/// Bounds waits that a fault in the client would make endless.
const GENEROUS: Duration = Duration::from_secs(20);

fn request(path: &str) -> Request<Bytes> {
    Request::post(path)
        .body(Bytes::from_static(b"order"))
        .unwrap()
}

#[tokio::test]
async fn failures_tell_whether_a_byte_may_have_left() {
    struct Case {
        name: &'static str,
        reply: Reply,
        timeout_us: DurationUs,
        expected: HttpErrorKind,
    }
    let case = |name, reply, expected| Case {
        name,
        reply,
        timeout_us: LONG_US,
        expected,
    };
    let cases = [
        case("closed unanswered", Reply::close(""), HttpErrorKind::Lost),
        case(
            "cut in the head",
            Reply::close("HTTP/1.1 200 OK\r\ncontent-le"),
            HttpErrorKind::Lost,
        ),
        case(
            "cut in the body",
            Reply::close("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf"),
            HttpErrorKind::Lost,
        ),
        case(
            "cut between chunks",
            Reply::close("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n"),
            HttpErrorKind::Lost,
        ),
        case(
            "no HTTP",
            Reply::close("good morning to all of you\r\n\r\n"),
            HttpErrorKind::Malformed,
        ),
        case(
            "no end stated",
            Reply::close("HTTP/1.1 200 OK\r\n\r\nperhaps whole"),
            HttpErrorKind::Malformed,
        ),
        case(
            "too large by its length",
            Reply::hold("HTTP/1.1 200 OK\r\ncontent-length: 21\r\n\r\n"),
            HttpErrorKind::TooLarge,
        ),
        case(
            "too large by its chunks",
            Reply::hold(
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n15\r\n012345678901234567890\r\n",
            ),
            HttpErrorKind::TooLarge,
        ),
        Case {
            name: "no head in time",
            reply: Reply::hold(""),
            timeout_us: DurationUs::from_ms(1_000),
            expected: HttpErrorKind::Timeout,
        },
        Case {
            name: "no whole body in time",
            reply: Reply::hold("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf"),
            timeout_us: DurationUs::from_ms(1_000),
            expected: HttpErrorKind::Timeout,
        },
    ];
    for case in cases {
        let server = Canned::start(vec![case.reply]).await;
        let client = HttpClient::new(HttpClientOptions::default());
        let call = client.fetch(server.address, request("/a"), case.timeout_us, LIMIT_BYTES);
        let error = timeout(GENEROUS, call).await.unwrap().unwrap_err();
        assert_eq!(error.kind(), case.expected, "{}: {error}", case.name);
        assert_eq!(server.seen().len(), 1, "{}", case.name);
    }
}

#[tokio::test]
async fn an_answer_of_the_limit_is_taken() {
    let body = "01234567890123456789";
    let server = Canned::start(vec![Reply::whole("200 OK", "", body)]).await;
    let client = HttpClient::new(HttpClientOptions::default());
    let response = client
        .fetch(server.address, request("/a"), LONG_US, LIMIT_BYTES)
        .await
        .unwrap();
    assert_eq!(response.body(), body);
}

#[tokio::test]
async fn a_refused_connection_is_not_sent() {
    let client = HttpClient::new(HttpClientOptions::default());
    let error = client
        .fetch(refusing_address(), request("/a"), LONG_US, LIMIT_BYTES)
        .await
        .unwrap_err();
    assert_eq!(error.kind(), HttpErrorKind::NotSent, "{error}");
}

/// Symptom: a VM that is gone answers no packet, and the caller waits for its whole timeout.
/// Sequence: a connection is asked for, and nothing comes back; here a full queue of connections
/// takes the place of the lost VM. Cause: connecting has no bound of its own.
#[tokio::test]
async fn a_connection_that_does_not_open_is_not_sent() {
    struct Case {
        name: &'static str,
        connect_timeout_us: DurationUs,
        timeout_us: DurationUs,
    }
    let cases = [
        Case {
            name: "connect timeout first",
            connect_timeout_us: DurationUs::from_ms(100),
            timeout_us: LONG_US,
        },
        Case {
            name: "whole timeout first",
            connect_timeout_us: LONG_US,
            timeout_us: DurationUs::from_ms(100),
        },
    ];
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let mut queue = Vec::new();
    while let Ok(stream) = timeout(Duration::from_millis(300), TcpStream::connect(address)).await {
        queue.push(stream.unwrap());
    }
    for case in cases {
        let client = HttpClient::new(HttpClientOptions {
            connect_timeout_us: case.connect_timeout_us,
            ..HttpClientOptions::default()
        });
        let call = client.fetch(address, request("/a"), case.timeout_us, LIMIT_BYTES);
        let error = timeout(GENEROUS, call).await.unwrap().unwrap_err();
        assert_eq!(
            error.kind(),
            HttpErrorKind::NotSent,
            "{}: {error}",
            case.name
        );
    }
}

#[tokio::test]
async fn connections_are_kept_for_later_requests() {
    const CALLS: usize = 50;
    let server = Canned::start(vec![Reply::whole("200 OK", "", "ok")]).await;
    let client = HttpClient::new(HttpClientOptions::default());
    for _ in 0..CALLS {
        let call = client.fetch(server.address, request("/a"), LONG_US, LIMIT_BYTES);
        assert_eq!(call.await.unwrap().body(), "ok");
    }
    // A connection comes back to the pool a moment after its answer, so not each one is reused.
    assert!(server.connections() < CALLS / 2);
}

/// Symptom: a booking stands twice. Sequence: a request goes out on a kept connection, the server
/// reads it and dies before it answers, and the client sends it again on a new connection. Cause:
/// a library that repeats requests whose kept connection turned out dead.
#[tokio::test]
async fn a_request_read_on_a_kept_connection_is_not_repeated() {
    let replies = vec![
        Reply::whole("200 OK", "", "first"),
        Reply::close(""),
        Reply::whole("200 OK", "", "repeated"),
    ];
    let server = Canned::start(replies).await;
    let client = HttpClient::new(HttpClientOptions::default());
    let first = client
        .fetch(server.address, request("/first"), LONG_US, LIMIT_BYTES)
        .await;
    assert_eq!(first.unwrap().body(), "first");
    let second = client
        .fetch(server.address, request("/second"), LONG_US, LIMIT_BYTES)
        .await;
    assert_eq!(second.unwrap_err().kind(), HttpErrorKind::Lost);
    assert_eq!(server.seen().len(), 2);
}

/// Symptom: "not run" is said of a request that ran, or a request runs twice. Sequence: the server
/// closes each kept connection right after its answer, while the next request is being handed to
/// it. Cause: the client takes a request that may have been written for one that wasn't.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn closing_connections_never_make_a_request_arrive_against_its_report() {
    const CALLS: usize = 500;
    let reply = Reply::close("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
    let server = Canned::start(vec![reply]).await;
    let client = HttpClient::new(HttpClientOptions::default());
    let mut reported = BTreeMap::new();
    for number in 0..CALLS {
        let path = format!("/{number}-");
        let outcome = client
            .fetch(server.address, request(&path), LONG_US, LIMIT_BYTES)
            .await;
        reported.insert(path, outcome.map_err(|error| error.kind()));
    }
    let seen = server.seen();
    for (path, outcome) in reported {
        let start = format!("POST {path} ");
        let arrived = seen.iter().filter(|text| text.starts_with(&start)).count();
        match outcome {
            Ok(_) => assert_eq!(arrived, 1, "{path}"),
            Err(HttpErrorKind::NotSent) => assert_eq!(arrived, 0, "{path}"),
            Err(_) => assert!(arrived <= 1, "{path}"),
        }
    }
}
