//! A shutdown waits for what callers still hold.

use std::time::Duration;

use http::Method;
use nix::sys::signal::Signal;

use crate::harness::{Site, SiteOptions};

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
