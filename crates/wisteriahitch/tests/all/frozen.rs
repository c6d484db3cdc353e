//! A frozen endpoint costs each daemon a bounded number of calls.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

use crate::harness::{Site, SiteOptions, wait_until};

/// Calls after which the number at once is looked at.
const CALLS: usize = 3;

/// Counts the connections of an endpoint that takes calls and never answers.
#[derive(Debug, Default)]
struct Connections {
    all: AtomicUsize,
    open: AtomicUsize,
    most_open: AtomicUsize,
}

#[tokio::test]
async fn frozen_endpoint_is_asked_once_at_a_time() {
    // Symptom: each daemon holds more and more connections and tasks for one frozen VM, and reads
    // its cache several times at once when it thaws. Sequence of events: an endpoint accepts
    // connections and answers nothing. Cause: the next round asks it again while the last call
    // still waits.
    let site = Site::start(SiteOptions {
        daemons: 1,
        ..SiteOptions::default()
    })
    .await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let frozen = listener.local_addr().unwrap().to_string();
    let configuration = site.configuration("v1");
    let configuration = configuration.replace(&site.service.address.to_string(), &frozen);
    let connections = Arc::new(Connections::default());
    tokio::spawn(hold_connections(listener, Arc::clone(&connections)));
    let answer = site.submit(0, &configuration, "frozen").await;
    assert_eq!(answer.status, 200, "{}", answer.text());
    wait_until("the endpoint to be asked again", async || {
        connections.all.load(Ordering::SeqCst) >= CALLS
    })
    .await;
    assert_eq!(connections.most_open.load(Ordering::SeqCst), 1);
}

async fn hold_connections(listener: TcpListener, connections: Arc<Connections>) {
    while let Ok((stream, _)) = listener.accept().await {
        connections.all.fetch_add(1, Ordering::SeqCst);
        let open = connections.open.fetch_add(1, Ordering::SeqCst) + 1;
        connections.most_open.fetch_max(open, Ordering::SeqCst);
        tokio::spawn(hold(stream, Arc::clone(&connections)));
    }
}

async fn hold(mut stream: TcpStream, connections: Arc<Connections>) {
    let mut bytes = [0; 1_024];
    while matches!(stream.read(&mut bytes).await, Ok(1..)) {}
    connections.open.fetch_sub(1, Ordering::SeqCst);
}
