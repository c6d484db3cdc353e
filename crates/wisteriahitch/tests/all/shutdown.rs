//! The end of a graceful shutdown: kept connections, late outcomes, frozen peers.

use std::net::SocketAddr;

use http::Method;
use nix::sys::signal::Signal;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::harness::{SECRET, Site, SiteOptions, post_json, wait_until};

/// Callers that send one request after the other on a connection each.
const CALLERS: usize = 16;

#[tokio::test]
async fn kept_connections_are_given_up_before_the_end() {
    // Symptom: at each update some callers see their connection close in place of an answer.
    // Sequence of events: callers keep a connection and send request after request; the daemon
    // drains, and ends in the moment between two requests. Cause: nothing tells the callers to
    // leave, so a request is on its way when the connection closes.
    let mut site = Site::start(SiteOptions::default()).await;
    let address = site.daemons[0].callers;
    let mut callers = JoinSet::new();
    for _ in 0..CALLERS {
        callers.spawn(send_until_told_to_leave(address));
    }
    site.daemons[0].process.signal(Signal::SIGTERM);
    let status = site.daemons[0].process.wait_for_exit().await;
    assert!(status.success(), "{status}\n{}", site.logs());
    for answered in callers.join_all().await {
        assert!(answered.is_ok(), "{answered:?}\n{}", site.logs());
    }
}

#[tokio::test]
async fn outcome_is_written_down_before_the_end() {
    // Symptom: a caller whose booking was answered gets no answer to its repeat, ever. Sequence of
    // events: a daemon drains; its last booking ends; the write of the outcome to a slow platform
    // is under way; the process ends. Cause: a draining daemon waits for requests alone.
    let mut site = Site::start(SiteOptions {
        service_flags: vec!["--work-ms".to_owned(), "5000".to_owned()],
        till_deadline_ms: 20_000,
        ..SiteOptions::default()
    })
    .await;
    let first = site.send(0, Method::POST, "/bookings", Some("late-1"), "{}");
    let (first, ()) = tokio::join!(first, async {
        wait_until("the booking to run", async || {
            site.runs("late-1").await == 1
        })
        .await;
        slow_platform(&site, 700).await;
        site.daemons[0].process.signal(Signal::SIGTERM);
    });
    let first = first.unwrap();
    assert_eq!(first.status, 200, "{}", first.text());
    let status = site.daemons[0].process.wait_for_exit().await;
    assert!(status.success(), "{status}");
    slow_platform(&site, 0).await;
    let repeat = site.send(1, Method::POST, "/bookings", Some("late-1"), "{}");
    let repeat = repeat.await.unwrap();
    assert_eq!(repeat.status, 200, "{}\n{}", repeat.text(), site.logs());
    assert_eq!(repeat.body, first.body);
    assert_eq!(site.runs("late-1").await, 1);
}

#[tokio::test]
async fn frozen_peer_does_not_hold_a_daemon_back() {
    // Symptom: an update of the fleet stands still at one daemon. Sequence of events: a peer
    // freezes with connections open; a daemon is told to stop. Cause: the peers' side waits for
    // the frozen one to say goodbye.
    let mut site = Site::start(SiteOptions::default()).await;
    site.daemons[1].process.signal(Signal::SIGSTOP);
    site.daemons[0].process.signal(Signal::SIGTERM);
    let status = site.daemons[0].process.wait_for_exit().await;
    assert!(status.success(), "{status}\n{}", site.logs());
}

#[tokio::test]
async fn platform_that_hangs_does_not_hold_a_daemon_back() {
    // Symptom: as above. Sequence of events: the platform hangs while a claim is under way; the
    // daemon drains. Cause: the daemon waits for an outcome that nobody can write down.
    let mut site = Site::start(SiteOptions::default()).await;
    post_json(
        site.platform.address,
        "/control",
        &json!({ "mode": "hang" }),
    )
    .await;
    let refused = site.send(0, Method::POST, "/bookings", Some("hang-1"), "{}");
    assert_eq!(refused.await.unwrap().meaning(), "outcome_unknown");
    site.daemons[0].process.signal(Signal::SIGTERM);
    let status = site.daemons[0].process.wait_for_exit().await;
    assert!(status.success(), "{status}\n{}", site.logs());
}

async fn slow_platform(site: &Site, slow_ms: u64) {
    let control = json!({ "slow_ms": slow_ms });
    post_json(site.platform.address, "/control", &control).await;
}

/// Sends requests on one connection until an answer says that it will be closed.
///
/// Returns the number of answers, or how a request was cut off.
async fn send_until_told_to_leave(address: SocketAddr) -> Result<u64, String> {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!(
        "GET /v1/entries HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {SECRET}\r\n\r\n"
    );
    for answers in 0.. {
        let sent = stream.write_all(request.as_bytes()).await;
        sent.map_err(|error| format!("request {answers}: {error}"))?;
        let head = read_answer(&mut stream).await;
        let head = head.map_err(|error| format!("answer {answers}: {error}"))?;
        if head.contains("connection: close") {
            return Ok(answers + 1);
        }
    }
    unreachable!("the numbers end later than the test")
}

/// Reads one answer with its body and returns its head.
async fn read_answer(stream: &mut TcpStream) -> Result<String, String> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head
                .lines()
                .find_map(|l| l.strip_prefix("content-length: "));
            let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
            if body.len() >= length {
                return Ok(head.to_owned());
            }
        }
        match stream.read_buf(&mut bytes).await {
            Ok(0) => return Err("the connection was closed".to_owned()),
            Ok(_) => {}
            Err(error) => return Err(error.to_string()),
        }
    }
}
