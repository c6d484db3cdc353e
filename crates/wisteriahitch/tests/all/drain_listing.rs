//! A draining daemon is off the lists long before it ends.

use std::sync::atomic::{AtomicBool, Ordering};

use http::Method;
use nix::sys::signal::Signal;

use crate::drain::is_listed;
use crate::harness::{SECRET, Site, SiteOptions, ask, prompt, wait_until};

#[tokio::test]
async fn draining_daemon_is_not_listed_while_it_works() {
    // Symptom: callers get connection errors at each update. Sequence of events: a daemon is told
    // to stop and works on for long; others still name it; it ends, and callers that have just
    // been given its address connect. Cause: nobody hears that it drains, only that it has left.
    let options = SiteOptions {
        engine_flags: vec!["--decode-us-per-token".to_owned(), "100000".to_owned()],
        ..SiteOptions::default()
    };
    let site = Site::start(options).await;
    let long = prompt("long", 50, 200);
    let has_ended = AtomicBool::new(false);
    let stream = async {
        let answer = ask(&site, 0, SECRET, &long).await;
        has_ended.store(true, Ordering::Release);
        answer
    };
    let (answer, ()) = tokio::join!(stream, async {
        wait_until("the stream to run", async || {
            let status = site.operator(0, Method::GET, "/v1/status", "").await;
            let rows = status.unwrap().json()["endpoints"].clone();
            let rows = rows.as_array().unwrap().clone();
            rows.iter().any(|row| row["running"].as_u64() > Some(0))
        })
        .await;
        site.daemons[0].process.signal(Signal::SIGTERM);
        wait_until("the daemon to leave the entries", async || {
            !is_listed(&site).await
        })
        .await;
        assert!(
            !has_ended.load(Ordering::Acquire),
            "it was named until it had ended\n{}",
            site.logs()
        );
    });
    assert!(answer.is_ok(), "{answer:?}\n{}", site.logs());
}
