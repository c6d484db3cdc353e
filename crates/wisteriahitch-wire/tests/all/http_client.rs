use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;
use wisteriahitch_types::{ByteCount, DurationUs};
use wisteriahitch_wire::http_client::{HttpClient, HttpClientOptions, HttpErrorKind};

use crate::canned::{CannedServer, Reply, refusing_address};

const LIMIT_BYTES: ByteCount = ByteCount::new(20);
const LONG_US: DurationUs = DurationUs::from_ms(3_600_000);

/// Limits waits that would never end if the client had a bug.
const CALL_DEADLINE: Duration = Duration::from_secs(20);

fn request(path: &str) -> Request<Bytes> {
    Request::post(path)
        .body(Bytes::from_static(b"order"))
        .unwrap()
}

#[tokio::test]
async fn failures_are_classified_by_whether_a_byte_may_have_been_sent() {
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
        case(
            "closed without an answer",
            Reply::close(""),
            HttpErrorKind::Lost,
        ),
        case(
            "truncated in the head",
            Reply::close("HTTP/1.1 200 OK\r\ncontent-le"),
            HttpErrorKind::Lost,
        ),
        case(
            "truncated in the body",
            Reply::close("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf"),
            HttpErrorKind::Lost,
        ),
        case(
            "truncated between chunks",
            Reply::close("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n"),
            HttpErrorKind::Lost,
        ),
        case(
            "not HTTP",
            Reply::close("good morning to all of you\r\n\r\n"),
            HttpErrorKind::Malformed,
        ),
        case(
            "no content-length and not chunked",
            Reply::close("HTTP/1.1 200 OK\r\n\r\nperhaps whole"),
            HttpErrorKind::Malformed,
        ),
        case(
            "too large by its length",
            Reply::stall("HTTP/1.1 200 OK\r\ncontent-length: 21\r\n\r\n"),
            HttpErrorKind::TooLarge,
        ),
        case(
            "too large by its chunks",
            Reply::stall(
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n15\r\n012345678901234567890\r\n",
            ),
            HttpErrorKind::TooLarge,
        ),
        Case {
            name: "no head in time",
            reply: Reply::stall(""),
            timeout_us: DurationUs::from_ms(1_000),
            expected: HttpErrorKind::Timeout,
        },
        Case {
            name: "no complete body in time",
            reply: Reply::stall("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf"),
            timeout_us: DurationUs::from_ms(1_000),
            expected: HttpErrorKind::Timeout,
        },
    ];
    for case in cases {
        let server = CannedServer::start(vec![case.reply]).await;
        let client = HttpClient::new(HttpClientOptions::default());
        let call = client.fetch(server.address, request("/a"), case.timeout_us, LIMIT_BYTES);
        let error = timeout(CALL_DEADLINE, call).await.unwrap().unwrap_err();
        assert_eq!(error.kind(), case.expected, "{}: {error}", case.name);
        assert_eq!(server.requests().len(), 1, "{}", case.name);
    }
}

#[tokio::test]
async fn an_answer_of_exactly_the_limit_is_accepted() {
    let body = "01234567890123456789";
    let server = CannedServer::start(vec![Reply::complete("200 OK", "", body)]).await;
    let client = HttpClient::new(HttpClientOptions::default());
    let response = client
        .fetch(server.address, request("/a"), LONG_US, LIMIT_BYTES)
        .await
        .unwrap();
    assert_eq!(response.body(), body);
}

#[tokio::test]
async fn a_refused_connection_counts_as_not_sent() {
    let client = HttpClient::new(HttpClientOptions::default());
    let error = client
        .fetch(refusing_address(), request("/a"), LONG_US, LIMIT_BYTES)
        .await
        .unwrap_err();
    assert_eq!(error.kind(), HttpErrorKind::NotSent, "{error}");
}

/// A removed VM answers no packet. Connecting to it must end with the connect timeout, so that the
/// caller does not wait for its whole timeout. The test simulates the VM with a listener whose
/// accept queue is full.
#[tokio::test]
async fn a_connection_that_does_not_open_counts_as_not_sent() {
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
            name: "call timeout first",
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
        let error = timeout(CALL_DEADLINE, call).await.unwrap().unwrap_err();
        assert_eq!(
            error.kind(),
            HttpErrorKind::NotSent,
            "{}: {error}",
            case.name
        );
    }
}

#[tokio::test]
async fn connections_are_reused() {
    const CALLS: usize = 50;
    let server = CannedServer::start(vec![Reply::complete("200 OK", "", "ok")]).await;
    let client = HttpClient::new(HttpClientOptions::default());
    for _ in 0..CALLS {
        let call = client.fetch(server.address, request("/a"), LONG_US, LIMIT_BYTES);
        assert_eq!(call.await.unwrap().body(), "ok");
    }
    // A connection returns to the pool shortly after its answer, so a call may open another one.
    assert!(server.connection_count() < CALLS / 2);
}

/// A request must not run twice. If the server reads a request from a pooled connection and crashes
/// before it answers, an HTTP library that retries on broken pooled connections would send the
/// request again.
#[tokio::test]
async fn a_request_read_from_a_pooled_connection_is_not_retried() {
    let replies = vec![
        Reply::complete("200 OK", "", "first"),
        Reply::close(""),
        Reply::complete("200 OK", "", "repeated"),
    ];
    let server = CannedServer::start(replies).await;
    let client = HttpClient::new(HttpClientOptions::default());
    let first = client
        .fetch(server.address, request("/first"), LONG_US, LIMIT_BYTES)
        .await;
    assert_eq!(first.unwrap().body(), "first");
    let second = client
        .fetch(server.address, request("/second"), LONG_US, LIMIT_BYTES)
        .await;
    assert_eq!(second.unwrap_err().kind(), HttpErrorKind::Lost);
    assert_eq!(server.requests().len(), 2);
}

/// A request that ran must not be reported as not sent, and none may run twice. The server closes
/// each pooled connection right after its answer, while the client is sending the next request on
/// it; the client must not take a request that may have been written for one that was not.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_error_is_correct_when_the_server_closes_pooled_connections() {
    const CALLS: usize = 500;
    let reply = Reply::close("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
    let server = CannedServer::start(vec![reply]).await;
    let client = HttpClient::new(HttpClientOptions::default());
    let mut reported = BTreeMap::new();
    for number in 0..CALLS {
        let path = format!("/{number}-");
        let outcome = client
            .fetch(server.address, request(&path), LONG_US, LIMIT_BYTES)
            .await;
        reported.insert(path, outcome.map_err(|error| error.kind()));
    }
    let requests = server.requests();
    for (path, outcome) in reported {
        let start = format!("POST {path} ");
        let arrived = requests
            .iter()
            .filter(|text| text.starts_with(&start))
            .count();
        match outcome {
            Ok(_) => assert_eq!(arrived, 1, "{path}"),
            Err(HttpErrorKind::NotSent) => assert_eq!(arrived, 0, "{path}"),
            Err(_) => assert!(arrived <= 1, "{path}"),
        }
    }
}
