//! A shutdown waits for what callers still hold.

use std::time::Duration;

use http::Method;
use nix::sys::signal::Signal;

use crate::harness::{SECRET, Site, SiteOptions, ask, prompt, wait_until};

/// Longer than the lists of entries that name the daemon are kept; it would be gone without the
/// ticket.
const PAUSE: Duration = Duration::from_secs(5);

#[tokio::test]
async fn unused_ticket_keeps_its_daemon() {
    // Symptom: at each update some bookings end as `outcome unknown`. Sequence of events: a caller
    // takes a ticket; its daemon is told to stop; the caller books at another daemon. Cause: the
    // only one that may redeem the ticket has gone.
    let mut site = Site::start(SiteOptions::default()).await;
    let ticket = site.ticket(0).await;
    site.daemons[0].process.signal(Signal::SIGTERM);
    tokio::time::sleep(PAUSE).await;
    let booked = site
        .send(1, Method::POST, "/bookings", Some(&ticket), "{}")
        .await
        .unwrap();
    assert_eq!(booked.status, 200, "{}\n{}", booked.text(), site.logs());
    assert_eq!(site.runs(&ticket).await, 1);
    let status = site.daemons[0].process.wait_for_exit().await;
    assert!(status.success(), "{status}\n{}", site.logs());
}

#[tokio::test]
async fn long_stream_outlives_the_lists() {
    // Symptom: at each update the longest plans break off. Sequence of events: a daemon is told to
    // stop while an answer streams that takes longer than any list of entries is kept. Cause: it
    // waits for the lists alone, and not for what it has accepted.
    let options = SiteOptions {
        engine_flags: vec!["--decode-us-per-token".to_owned(), "100000".to_owned()],
        ..SiteOptions::default()
    };
    let mut site = Site::start(options).await;
    let long = prompt("long", 50, 90);
    let (answer, ()) = tokio::join!(ask(&site, 0, SECRET, &long), async {
        wait_until("the stream to run", async || {
            let status = site.operator(0, Method::GET, "/v1/status", "").await;
            let rows = status.unwrap().json()["endpoints"].clone();
            let rows = rows.as_array().unwrap().clone();
            rows.iter().any(|row| row["running"].as_u64() > Some(0))
        })
        .await;
        site.daemons[0].process.signal(Signal::SIGTERM);
    });
    assert!(answer.is_ok(), "{answer:?}\n{}", site.logs());
    let status = site.daemons[0].process.wait_for_exit().await;
    assert!(status.success(), "{status}\n{}", site.logs());
}
