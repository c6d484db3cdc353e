//! A request that was given up doesn't arrive afterwards, and only connections with such a request
//! are reset.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::timeout;
use wisteriahitch_types::{ByteCount, DurationUs};
use wisteriahitch_wire::connection_pool::{Connection, ConnectionPool};
use wisteriahitch_wire::http_client::{HttpClient, HttpClientOptions, HttpErrorKind, read_body};

/// Receive buffer of a server that doesn't read, far smaller than a request.
const RECEIVE_BUFFER_BYTES: u32 = 4 * 1024;

/// Size of a request's body: too large for the server's receive buffer, small enough for the
/// sender's buffers to take it whole.
const BODY_BYTES: usize = 128 * 1024;

/// Time in which the sender's buffers take a request.
const SEND_TIME: Duration = Duration::from_millis(300);

/// Far longer than anything waited for takes even on a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for the client to return a connection to its pool.
const POOL_RETURN_DELAY: Duration = Duration::from_millis(20);

const LIMIT_BYTES: ByteCount = ByteCount::new(1_000_000);

/// How a connection ended at the server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ConnectionEnd {
    Closed,
    Reset,
}

fn listen(receive_buffer_bytes: Option<u32>) -> (TcpListener, SocketAddr) {
    let socket = TcpSocket::new_v4().unwrap();
    if let Some(bytes) = receive_buffer_bytes {
        socket.set_recv_buffer_size(bytes).unwrap();
    }
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let listener = socket.listen(16).unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn request(body_bytes: usize) -> Request<Bytes> {
    let body = Bytes::from(vec![b'x'; body_bytes]);
    Request::post("/").header("host", "a").body(body).unwrap()
}

/// Reads a connection to its end; returns what arrived and how it ended.
async fn read_to_end(stream: &mut TcpStream) -> (Vec<u8>, ConnectionEnd) {
    let mut arrived = Vec::new();
    let read = timeout(WAIT_TIMEOUT, stream.read_to_end(&mut arrived)).await;
    let end = match read.expect("the connection stays open") {
        Ok(_) => ConnectionEnd::Closed,
        Err(error) => {
            assert_eq!(error.kind(), ErrorKind::ConnectionReset);
            ConnectionEnd::Reset
        }
    };
    (arrived, end)
}

/// Returns the size of the body that arrived behind the head of a request.
fn arrived_body_bytes(arrived: &[u8]) -> usize {
    let head = arrived.windows(4).position(|bytes| bytes == b"\r\n\r\n");
    head.map_or(0, |position| arrived.len() - position - 4)
}

/// How a request is given up.
#[derive(Clone, Copy, Debug)]
enum GivingUp {
    /// The wait for the head is cancelled and the connection dropped.
    Cancelled,
    /// The task that waits for the head and owns the connection is aborted.
    TaskAborted,
    /// The call runs into its timeout.
    TimedOut,
}

impl GivingUp {
    async fn play(self, mut connection: Connection) {
        match self {
            GivingUp::Cancelled => {
                let sent = timeout(SEND_TIME, connection.send(request(BODY_BYTES))).await;
                assert!(sent.is_err());
            }
            GivingUp::TaskAborted => {
                let call = async move { connection.send(request(BODY_BYTES)).await.map(drop) };
                let task = tokio::spawn(call);
                tokio::time::sleep(SEND_TIME).await;
                task.abort();
                assert!(task.await.unwrap_err().is_cancelled());
            }
            GivingUp::TimedOut => {
                let request = request(BODY_BYTES);
                let fetched = connection.fetch(request, SEND_TIME, LIMIT_BYTES).await;
                assert_eq!(fetched.unwrap_err().kind(), HttpErrorKind::Timeout);
            }
        }
    }
}

/// Guards against requests that arrive, and begin, after they were given up: the socket was closed in
/// the ordinary way, so that the system went on sending the bytes that the server hadn't yet taken.
#[tokio::test]
async fn a_request_that_was_given_up_does_not_arrive() {
    for case in [
        GivingUp::Cancelled,
        GivingUp::TaskAborted,
        GivingUp::TimedOut,
    ] {
        let (listener, address) = listen(Some(RECEIVE_BUFFER_BYTES));
        let connection = Connection::open(address, WAIT_TIMEOUT).await.unwrap();
        let (mut accepted, _) = listener.accept().await.unwrap();
        case.play(connection).await;
        let (arrived, end) = read_to_end(&mut accepted).await;
        assert!(arrived_body_bytes(&arrived) < BODY_BYTES, "{case:?}");
        assert_eq!(end, ConnectionEnd::Reset, "{case:?}");
    }
}

/// An answer, and what becomes of the connection that brought it.
struct AnswerCase {
    what: &'static str,
    answer: &'static str,
    after: AfterAnswer,
    end: ConnectionEnd,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AfterAnswer {
    /// The body is read to its end and the connection dropped.
    Read,
    /// As `Read`, but the connection is returned to a pool and closed as idle.
    Pooled,
    /// Only the head is read.
    Abandoned,
}

const ANSWER_CASES: [AnswerCase; 9] = [
    AnswerCase {
        what: "a body with a length",
        answer: "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
        after: AfterAnswer::Read,
        end: ConnectionEnd::Closed,
    },
    AnswerCase {
        what: "a body in chunks",
        answer: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        after: AfterAnswer::Read,
        end: ConnectionEnd::Closed,
    },
    AnswerCase {
        what: "an empty body",
        answer: "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
        after: AfterAnswer::Abandoned,
        end: ConnectionEnd::Closed,
    },
    AnswerCase {
        what: "an answer without a body",
        answer: "HTTP/1.1 204 No Content\r\n\r\n",
        after: AfterAnswer::Abandoned,
        end: ConnectionEnd::Closed,
    },
    AnswerCase {
        what: "the last answer of a connection",
        answer: "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok",
        after: AfterAnswer::Read,
        end: ConnectionEnd::Closed,
    },
    AnswerCase {
        what: "an idle connection",
        answer: "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
        after: AfterAnswer::Pooled,
        end: ConnectionEnd::Closed,
    },
    AnswerCase {
        what: "a body that isn't read",
        answer: "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
        after: AfterAnswer::Abandoned,
        end: ConnectionEnd::Reset,
    },
    AnswerCase {
        what: "a body whose end hasn't come",
        answer: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n",
        after: AfterAnswer::Abandoned,
        end: ConnectionEnd::Reset,
    },
    AnswerCase {
        what: "an answer that only announces another",
        answer: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nok",
        after: AfterAnswer::Abandoned,
        end: ConnectionEnd::Reset,
    },
];

/// Answers one request and returns how its connection ended.
async fn answer_one(listener: TcpListener, answer: &'static str) -> ConnectionEnd {
    let (mut accepted, _) = listener.accept().await.unwrap();
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(accepted.read_u8().await.unwrap());
    }
    accepted.write_all(answer.as_bytes()).await.unwrap();
    read_to_end(&mut accepted).await.1
}

/// Guards against resets of connections whose answer has been read, and against an ordinary close
/// where the server is still at work.
#[tokio::test]
async fn only_a_connection_whose_answer_was_not_read_is_reset() {
    for case in ANSWER_CASES {
        let (listener, address) = listen(None);
        let server = tokio::spawn(answer_one(listener, case.answer));
        let mut connection = Connection::open(address, WAIT_TIMEOUT).await.unwrap();
        let answer = connection.send(request(0)).await.unwrap();
        if case.after != AfterAnswer::Abandoned {
            let body = read_body(answer.into_body(), LIMIT_BYTES).await;
            assert_eq!(body.unwrap(), "ok", "{}", case.what);
        }
        if case.after == AfterAnswer::Pooled {
            assert!(connection.ready().await, "{}", case.what);
            let pool = ConnectionPool::default();
            pool.check_in(&address, connection);
            pool.close_idle(&address);
        } else {
            drop(connection);
        }
        assert_eq!(server.await.unwrap(), case.end, "{}", case.what);
    }
}

/// Guards against the same late arrivals where the HTTP client gives a request up: it leaves the
/// connection to the library, which closes it in the ordinary way.
#[tokio::test]
async fn a_request_that_the_http_client_gave_up_does_not_arrive() {
    for is_cancelled in [false, true] {
        let (listener, address) = listen(Some(RECEIVE_BUFFER_BYTES));
        let client = HttpClient::new(HttpClientOptions::default());
        let timeout_us = match is_cancelled {
            true => DurationUs::from(WAIT_TIMEOUT),
            false => DurationUs::from(SEND_TIME),
        };
        let call = client.fetch(address, request(BODY_BYTES), timeout_us, LIMIT_BYTES);
        let (accepted, called) = tokio::join!(listener.accept(), timeout(SEND_TIME * 2, call));
        assert_eq!(called.is_err(), is_cancelled);
        let (mut accepted, _) = accepted.unwrap();
        let (arrived, end) = read_to_end(&mut accepted).await;
        assert!(arrived_body_bytes(&arrived) < BODY_BYTES, "{is_cancelled}");
        assert_eq!(end, ConnectionEnd::Reset, "{is_cancelled}");
    }
}

/// Guards against resets of the HTTP client's connections whose answer has been read, also after
/// several requests.
#[tokio::test]
async fn the_http_client_closes_idle_connections_in_the_ordinary_way() {
    const REQUESTS: usize = 3;
    let (listener, address) = listen(None);
    let server = tokio::spawn(async move {
        let (mut accepted, _) = listener.accept().await.unwrap();
        for _ in 0..REQUESTS {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                head.push(accepted.read_u8().await.unwrap());
            }
            let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
            accepted.write_all(answer).await.unwrap();
        }
        read_to_end(&mut accepted).await.1
    });
    let client = HttpClient::new(HttpClientOptions::default());
    for _ in 0..REQUESTS {
        let timeout_us = DurationUs::from(WAIT_TIMEOUT);
        let answer = client
            .fetch(address, request(0), timeout_us, LIMIT_BYTES)
            .await;
        assert_eq!(answer.unwrap().body(), "ok");
        // The connection returns to the pool in the background.
        tokio::time::sleep(POOL_RETURN_DELAY).await;
    }
    drop(client);
    assert_eq!(server.await.unwrap(), ConnectionEnd::Closed);
}
