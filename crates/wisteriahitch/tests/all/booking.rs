//! Bookings run at most once, whatever dies.

use http::Method;
use serde_json::json;

use crate::harness::{Site, SiteOptions, post_json, wait_until};

const BODY: &str = r#"{"bay":3}"#;

#[tokio::test]
async fn daemon_dies_between_dispatch_and_answer() {
    // Symptom: two bikes are booked into one bay. Sequence of events: a booking is dispatched, its
    // daemon dies before the answer comes, the caller repeats with the same ticket at another
    // daemon. Cause: the second daemon takes the ticket for a fresh one.
    let mut site = Site::start(SiteOptions {
        service_flags: vec!["--work-ms".to_owned(), "1500".to_owned()],
        ..SiteOptions::default()
    })
    .await;
    let ticket = site.ticket(0).await;
    let first = site.send(0, Method::POST, "/bookings", Some(&ticket), BODY);
    tokio::select! {
        answer = first => panic!("the booking was answered too early: {answer:?}"),
        () = wait_until("the booking to run", async || site.runs(&ticket).await == 1) => {}
    }
    site.daemons[0].process.kill();
    let repeat = site
        .send(1, Method::POST, "/bookings", Some(&ticket), BODY)
        .await
        .unwrap();
    assert_eq!(repeat.code(), "W3005", "{}", repeat.text());
    assert_eq!(repeat.meaning(), "outcome_unknown");
    assert_eq!(site.runs(&ticket).await, 1);
}

#[tokio::test]
async fn same_key_at_two_daemons_at_once() {
    // Symptom: a stock pull empties a shelf twice. Sequence of events: a caller sends the same key
    // to two daemons at the same time. Cause: each one finds the key unused and dispatches.
    let site = Site::start(SiteOptions {
        service_flags: vec!["--work-ms".to_owned(), "300".to_owned()],
        ..SiteOptions::default()
    })
    .await;
    let (one, other) = tokio::join!(
        site.send(0, Method::POST, "/bookings", Some("pull-1"), BODY),
        site.send(1, Method::POST, "/bookings", Some("pull-1"), BODY),
    );
    let (one, other) = (one.unwrap(), other.unwrap());
    assert_eq!(one.status, 200, "{}", one.text());
    assert_eq!(one.body, other.body);
    assert_eq!(site.runs("pull-1").await, 1);
}

#[tokio::test]
async fn tickets_work_while_the_platform_is_away() {
    // Symptom: no booking can be made for an hour. Sequence of events: the platform goes away;
    // callers book with tickets and with their own keys. Cause: every key asks the platform. The
    // refusal of a claim must not say `not run`, since another copy may have been claimed before.
    let site = Site::start(SiteOptions::default()).await;
    post_json(
        site.platform.address,
        "/control",
        &json!({ "mode": "down" }),
    )
    .await;
    let ticket = site.ticket(0).await;
    let booked = site
        .send(1, Method::POST, "/bookings", Some(&ticket), BODY)
        .await
        .unwrap();
    assert_eq!(booked.status, 200, "{}", booked.text());
    assert_eq!(site.runs(&ticket).await, 1);
    let refused = site
        .send(1, Method::POST, "/bookings", Some("own-1"), BODY)
        .await
        .unwrap();
    assert_eq!(refused.code(), "W3007", "{}", refused.text());
    assert_eq!(refused.meaning(), "outcome_unknown");
    assert!(refused.headers.contains_key("retry-after"));
    assert_eq!(site.runs("own-1").await, 0);
}
