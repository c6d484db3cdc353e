//! Test server that answers with prepared bytes, which need not be valid HTTP.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// What the server does with the connection after it has sent the bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AfterReply {
    /// Closes it.
    Close,
    /// Keeps it open but sends nothing more.
    Stall,
    /// Reads the next request from it.
    KeepAlive,
}

/// Bytes to send in answer to a request.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub(crate) bytes: String,
    pub(crate) then: AfterReply,
}

impl Reply {
    pub(crate) fn close(bytes: &str) -> Self {
        Self {
            bytes: bytes.to_owned(),
            then: AfterReply::Close,
        }
    }

    pub(crate) fn stall(bytes: &str) -> Self {
        Self {
            bytes: bytes.to_owned(),
            then: AfterReply::Stall,
        }
    }

    /// Builds a complete answer with a content-length; the connection stays in use.
    pub(crate) fn complete(status: &str, headers: &str, body: &str) -> Self {
        let len = body.len();
        Self {
            bytes: format!("HTTP/1.1 {status}\r\n{headers}content-length: {len}\r\n\r\n{body}"),
            then: AfterReply::KeepAlive,
        }
    }
}

/// Server that answers the n-th request with the n-th reply, and later ones with the last reply.
pub(crate) struct CannedServer {
    pub(crate) address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
    connection_count: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl CannedServer {
    pub(crate) async fn start(replies: Vec<Reply>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let connection_count = Arc::new(AtomicUsize::new(0));
        let replies = Arc::new(replies);
        let task = tokio::spawn({
            let (requests, connection_count) =
                (Arc::clone(&requests), Arc::clone(&connection_count));
            async move {
                loop {
                    let (stream, _) = listener.accept().await.unwrap();
                    connection_count.fetch_add(1, Ordering::SeqCst);
                    tokio::spawn(serve_connection(
                        stream,
                        Arc::clone(&replies),
                        Arc::clone(&requests),
                    ));
                }
            }
        });
        Self {
            address,
            requests,
            connection_count,
            task,
        }
    }

    /// Returns how many connections clients have opened.
    pub(crate) fn connection_count(&self) -> usize {
        self.connection_count.load(Ordering::SeqCst)
    }

    /// Returns the requests that arrived completely, as text of head and body.
    pub(crate) fn requests(&self) -> Vec<String> {
        self.requests.lock().unwrap().clone()
    }
}

impl Drop for CannedServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Returns a local address at which connections are refused.
pub(crate) fn refusing_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

async fn serve_connection(
    mut stream: TcpStream,
    replies: Arc<Vec<Reply>>,
    requests: Arc<Mutex<Vec<String>>>,
) {
    while let Some(request) = read_request(&mut stream).await {
        let number = {
            let mut requests = requests.lock().unwrap();
            requests.push(request);
            requests.len() - 1
        };
        let reply = replies.get(number).or(replies.last()).unwrap();
        let _ = stream.write_all(reply.bytes.as_bytes()).await;
        match reply.then {
            AfterReply::Close => return,
            AfterReply::Stall => std::future::pending().await,
            AfterReply::KeepAlive => {}
        }
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut text = String::new();
    while !is_complete(&text) {
        let mut buffer = [0; 4096];
        let count = stream.read(&mut buffer).await.ok()?;
        if count == 0 {
            return None;
        }
        text.push_str(std::str::from_utf8(&buffer[..count]).unwrap());
    }
    Some(text)
}

fn is_complete(text: &str) -> bool {
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
