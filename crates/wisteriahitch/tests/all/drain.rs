//! A graceful shutdown cuts off no request.

use http::Method;
use nix::sys::signal::Signal;
use serde_json::Value;

use crate::harness::{SECRET, Site, SiteOptions, ask, prompt, wait_until};

#[tokio::test]
async fn shutdown_under_load() {
    // Symptom: at each update some mechanics' answers stop in the middle. Sequence of events: a
    // daemon is told to stop while a long stream runs and a booking is under way; callers that
    // hold an old list of entries still connect to it. Cause: it stops listening and ends at once.
    let options = SiteOptions {
        engine_flags: vec!["--decode-us-per-token".to_owned(), "50000".to_owned()],
        service_flags: vec!["--work-ms".to_owned(), "1000".to_owned()],
        ..SiteOptions::default()
    };
    let mut site = Site::start(options).await;
    let long = prompt("long", 50, 60);
    let (stream, booking, late, ()) = tokio::join!(
        ask(&site, 0, SECRET, &long),
        site.send(0, Method::POST, "/bookings", Some("drain-1"), "{}"),
        async {
            wait_until("the daemon to leave the entries", async || {
                !is_listed(&site).await
            })
            .await;
            // An address that a caller kept still works.
            let short = prompt("late", 20, 2);
            ask(&site, 0, SECRET, &short).await
        },
        async {
            wait_until("the booking to run", async || {
                site.runs("drain-1").await == 1
            })
            .await;
            site.daemons[0].process.signal(Signal::SIGTERM);
        },
    );
    assert!(stream.is_ok(), "{stream:?}\n{}", site.logs());
    assert!(late.is_ok(), "{late:?}\n{}", site.logs());
    assert_eq!(booking.unwrap().status, 200);
    wait_until("the other daemon to hear that it has left", async || {
        let status = site
            .operator(1, Method::GET, "/v1/status", "")
            .await
            .unwrap()
            .json();
        let daemons = status["daemons"].as_array().unwrap().clone();
        daemons
            .iter()
            .any(|row| row["daemon"] == "entry-0" && row["state"] == "left")
    })
    .await;
    let status = site.daemons[0].process.wait_for_exit().await;
    assert!(status.success(), "{status}\n{}", site.logs());
}

pub(crate) async fn is_listed(site: &Site) -> bool {
    let answer = site
        .send(1, Method::GET, "/v1/entries", None, "")
        .await
        .unwrap();
    let address = site.daemons[0].callers.to_string();
    let entries: Value = answer.json();
    entries["entries"]
        .as_array()
        .unwrap()
        .iter()
        .any(|entry| entry["address"] == address.as_str())
}
