//! Receiving answers for as long as they make progress.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::Instant;
use wisteriahitch_types::ByteCount;
use wisteriahitch_wire::connection_pool::Connection;
use wisteriahitch_wire::http_client::HttpErrorKind;
use wisteriahitch_wire::transfer::{TransferLimits, TransferProgress};

const BODY_BYTES: usize = 300_000;

/// Limit until the head; a body may take longer.
const HEAD: Duration = Duration::from_millis(700);

const LIMIT_BYTES: ByteCount = ByteCount::new(1_000_000);

/// Far longer than anything waited for takes even on a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// A server that sends one answer: its body in pieces, with a pause after each one.
struct SlowServer {
    piece_bytes: usize,
    pause: Duration,
    /// Number of bytes after which it falls silent.
    silent_after: usize,
    /// Pause between the head and the body.
    first_pause: Duration,
}

impl SlowServer {
    async fn start(self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = [0; 1_024];
            assert!(stream.read(&mut request).await.unwrap() > 0);
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {BODY_BYTES}\r\n\r\n");
            stream.write_all(head.as_bytes()).await.unwrap();
            tokio::time::sleep(self.first_pause).await;
            let mut sent = 0;
            while sent < BODY_BYTES.min(self.silent_after) {
                let length = self.piece_bytes.min(BODY_BYTES - sent);
                // The client may have given the answer up.
                if stream.write_all(&vec![b'x'; length]).await.is_err() {
                    return;
                }
                sent += length;
                tokio::time::sleep(self.pause).await;
            }
            std::future::pending::<()>().await;
        });
        address
    }
}

struct Case {
    name: &'static str,
    server: SlowServer,
    limits: TransferLimits,
    expected: Result<usize, HttpErrorKind>,
    max_duration: Duration,
}

fn cases() -> Vec<Case> {
    let by_progress = TransferLimits::for_body(HEAD, LIMIT_BYTES);
    let steady = |silent_after| SlowServer {
        piece_bytes: 20_000,
        pause: Duration::from_millis(100),
        silent_after,
        first_pause: Duration::ZERO,
    };
    vec![
        Case {
            name: "1.5 s at 200 KB/s",
            server: steady(usize::MAX),
            limits: by_progress,
            expected: Ok(BODY_BYTES),
            max_duration: WAIT_TIMEOUT,
        },
        Case {
            name: "silent in the middle",
            server: steady(100_000),
            limits: by_progress,
            expected: Err(HttpErrorKind::Timeout),
            max_duration: Duration::from_secs(5),
        },
        Case {
            name: "a byte now and then",
            server: SlowServer {
                piece_bytes: 100,
                pause: Duration::from_millis(50),
                silent_after: usize::MAX,
                first_pause: Duration::ZERO,
            },
            limits: by_progress,
            expected: Err(HttpErrorKind::Timeout),
            max_duration: Duration::from_secs(5),
        },
        Case {
            name: "a message that must arrive whole in time",
            server: steady(usize::MAX),
            limits: TransferLimits::for_message(HEAD, LIMIT_BYTES),
            expected: Err(HttpErrorKind::Timeout),
            max_duration: Duration::from_secs(5),
        },
        Case {
            name: "the head of a watch comes long before its body",
            server: SlowServer {
                first_pause: Duration::from_millis(1_500),
                ..steady(usize::MAX)
            },
            limits: TransferLimits::for_body(Duration::from_secs(10), LIMIT_BYTES),
            expected: Ok(BODY_BYTES),
            max_duration: WAIT_TIMEOUT,
        },
        Case {
            name: "silent after the head",
            server: steady(0),
            limits: by_progress,
            expected: Err(HttpErrorKind::Timeout),
            max_duration: Duration::from_secs(5),
        },
        Case {
            name: "larger than what is accepted",
            server: steady(usize::MAX),
            limits: TransferLimits::for_body(HEAD, ByteCount::new(1_000)),
            expected: Err(HttpErrorKind::TooLarge),
            max_duration: Duration::from_secs(1),
        },
    ]
}

/// Guards against large answers that never arrive over a narrow link: the limit for their first byte
/// was applied to all of them. Silence in the middle is found as fast as before the first byte, and
/// a connection that delivers next to nothing is given up as well.
#[tokio::test]
async fn a_body_is_received_for_as_long_as_it_makes_progress() {
    for case in cases() {
        let address = case.server.start().await;
        let mut connection = Connection::open(address, WAIT_TIMEOUT).await.unwrap();
        let request = Request::get("/").header("host", "a").body(Bytes::new());
        let progress = TransferProgress::default();
        let started_at = Instant::now();
        let received = connection.receive(request.unwrap(), &case.limits, &progress);
        let received = received.await.map(|response| response.body().len());
        let received = received.map_err(|error| error.kind());
        assert_eq!(received, case.expected, "{}", case.name);
        let elapsed = started_at.elapsed();
        assert!(elapsed <= case.max_duration, "{}: {elapsed:?}", case.name);
        assert!(!progress.is_receiving(), "{}", case.name);
    }
}
