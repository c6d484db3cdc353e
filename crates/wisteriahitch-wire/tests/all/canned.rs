//! Server that answers with prepared bytes, also such as are no HTTP.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// What becomes of the connection after the bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Then {
    Close,
    Hold,
    Next,
}

/// Bytes that are sent in answer to a request.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub(crate) bytes: String,
    pub(crate) then: Then,
}

impl Reply {
    pub(crate) fn close(bytes: &str) -> Self {
        Self {
            bytes: bytes.to_owned(),
            then: Then::Close,
        }
    }

    pub(crate) fn hold(bytes: &str) -> Self {
        Self {
            bytes: bytes.to_owned(),
            then: Then::Hold,
        }
    }

    /// Builds a whole answer with a length and keeps the connection.
    pub(crate) fn whole(status: &str, headers: &str, body: &str) -> Self {
        let len = body.len();
        Self {
            bytes: format!("HTTP/1.1 {status}\r\n{headers}content-length: {len}\r\n\r\n{body}"),
            then: Then::Next,
        }
    }
}

/// Answers the n-th request with the n-th reply, and any more with the last one.
pub(crate) struct Canned {
    pub(crate) address: SocketAddr,
    seen: Arc<Mutex<Vec<String>>>,
    connections: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl Canned {
    pub(crate) async fn start(replies: Vec<Reply>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let seen = Arc::new(Mutex::new(Vec::new()));
        let connections = Arc::new(AtomicUsize::new(0));
        let replies = Arc::new(replies);
        let task = tokio::spawn({
            let (seen, connections) = (Arc::clone(&seen), Arc::clone(&connections));
            async move {
                loop {
                    let (stream, _) = listener.accept().await.unwrap();
                    connections.fetch_add(1, Ordering::SeqCst);
                    tokio::spawn(converse(stream, Arc::clone(&replies), Arc::clone(&seen)));
                }
            }
        });
        Self {
            address,
            seen,
            connections,
            task,
        }
    }

    /// Returns how many connections were opened.
    pub(crate) fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    /// Returns the requests that arrived whole, head and body.
    pub(crate) fn seen(&self) -> Vec<String> {
        self.seen.lock().unwrap().clone()
    }
}

impl Drop for Canned {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Returns an address on which nothing listens.
pub(crate) fn refusing_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

async fn converse(mut stream: TcpStream, replies: Arc<Vec<Reply>>, seen: Arc<Mutex<Vec<String>>>) {
    while let Some(request) = read_request(&mut stream).await {
        let number = {
            let mut seen = seen.lock().unwrap();
            seen.push(request);
            seen.len() - 1
        };
        let reply = replies.get(number).or(replies.last()).unwrap();
        let _ = stream.write_all(reply.bytes.as_bytes()).await;
        match reply.then {
            Then::Close => return,
            Then::Hold => std::future::pending().await,
            Then::Next => {}
        }
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut text = String::new();
    while !is_whole(&text) {
        let mut buffer = [0; 4096];
        let count = stream.read(&mut buffer).await.ok()?;
        if count == 0 {
            return None;
        }
        text.push_str(std::str::from_utf8(&buffer[..count]).unwrap());
    }
    Some(text)
}

fn is_whole(text: &str) -> bool {
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let lower = head.to_ascii_lowercase();
    let len = lower
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .map_or(0, |len| len.parse().unwrap());
    body.len() >= len
}
