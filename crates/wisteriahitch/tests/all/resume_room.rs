//! One workspace's broken streams push out no other's.

use std::net::SocketAddr;

use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::harness::{OTHER_SECRET, Site, SiteOptions, prompt, wait_until};
use crate::stream::{read_some, resume};

/// More broken streams than a daemon keeps.
const BROKEN: usize = 300;

/// Streams that the other workspace breaks at a time.
const AT_ONCE: usize = 50;

#[tokio::test]
async fn broken_streams_of_others_push_out_none() {
    // Symptom: a driver's phone comes back after some seconds and gets no rest of its answer.
    // Sequence of events: its stream breaks; another workspace's program opens streams and leaves
    // them, again and again. Cause: all share the room for broken streams, and the oldest goes.
    let site = Site::start(SiteOptions {
        daemons: 1,
        engine_flags: vec!["--decode-us-per-token".to_owned(), "20000".to_owned()],
        ..SiteOptions::default()
    })
    .await;
    let completion = prompt("kept", 20, 12);
    let (request_id, beginning, next) = read_some(&site, &completion, 3).await;
    for _ in 0..BROKEN / AT_ONCE {
        let mut callers = JoinSet::new();
        for _ in 0..AT_ONCE {
            callers.spawn(open_and_leave(site.daemons[0].callers));
        }
        callers.join_all().await;
    }
    wait_until("the breaks to be noticed", async || {
        site.streams(0).await == 0
    })
    .await;
    let rest = resume(&site, &request_id, next).await;
    assert!(!rest.is_empty() && !beginning.is_empty());
}

async fn open_and_leave(address: SocketAddr) {
    let body = json!({
        "model": "hist-7b", "prompt": "left alone", "max_tokens": 200, "stream": true
    })
    .to_string();
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {OTHER_SECRET}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut bytes = [0; 256];
    assert!(stream.read(&mut bytes).await.unwrap() > 0);
}
