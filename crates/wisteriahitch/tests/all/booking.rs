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

#[tokio::test]
async fn refusal_by_the_endpoint_uses_the_key_up() {
    // Symptom: a caller was told `not run`, gave up, and the booking stands. Sequence of events:
    // the endpoint says that it did not run the request; a late copy of it arrives. Cause: the
    // copy is taken for a first one.
    let site = Site::start(SiteOptions::default()).await;
    let control = json!({ "mode": "refuse_not_run", "count": 1 });
    post_json(site.service.address, "/control", &control).await;
    let ticket = site.ticket(0).await;
    for (key, code) in [(ticket.as_str(), "W2011"), ("own-2", "W2011")] {
        post_json(site.service.address, "/control", &control).await;
        let refused = site
            .send(0, Method::POST, "/bookings", Some(key), BODY)
            .await
            .unwrap();
        assert_eq!(refused.code(), code, "{}", refused.text());
        assert_eq!(refused.meaning(), "not_run");
        for daemon in 0..2 {
            let late = site
                .send(daemon, Method::POST, "/bookings", Some(key), BODY)
                .await
                .unwrap();
            assert_eq!(late.code(), "W3010", "{}", late.text());
            assert_eq!(late.meaning(), "not_run");
        }
        assert_eq!(site.runs(key).await, 0);
    }
}

#[tokio::test]
async fn lost_answer_of_a_claim_is_settled() {
    // Symptom: a booking with the caller's own key can never be made, or is made twice. Sequence
    // of events: the write of the claim takes effect and its answer is lost. Cause: the daemon
    // takes its own claim for another's, or writes a second one.
    let site = Site::start(SiteOptions::default()).await;
    let control = json!({ "lose_answers": 1, "lose_answer_kinds": ["claims"] });
    post_json(site.platform.address, "/control", &control).await;
    let booked = site
        .send(0, Method::POST, "/bookings", Some("lost-1"), BODY)
        .await
        .unwrap();
    assert_eq!(booked.status, 200, "{}", booked.text());
    let repeat = site
        .send(1, Method::POST, "/bookings", Some("lost-1"), BODY)
        .await
        .unwrap();
    assert_eq!(repeat.body, booked.body);
    assert_eq!(site.runs("lost-1").await, 1);
}

#[tokio::test]
async fn lost_answer_of_the_service_is_outcome_unknown() {
    // Symptom: a dispatch sends two trucks. Sequence of events: the service runs the request and
    // its connection breaks before or in the answer; the caller repeats. Cause: a broken
    // connection is taken for a request that was not run.
    let site = Site::start(SiteOptions::default()).await;
    for mode in ["close_before_answer", "close_midway", "wrong_id"] {
        post_json(
            site.service.address,
            "/control",
            &json!({ "mode": mode, "count": 1 }),
        )
        .await;
        let first = site
            .send(0, Method::POST, "/bookings", Some(mode), BODY)
            .await
            .unwrap();
        assert_eq!(
            first.meaning(),
            "outcome_unknown",
            "{mode}: {}",
            first.text()
        );
        let repeat = site
            .send(1, Method::POST, "/bookings", Some(mode), BODY)
            .await
            .unwrap();
        assert_eq!(
            repeat.meaning(),
            "outcome_unknown",
            "{mode}: {}",
            repeat.text()
        );
        assert_eq!(site.runs(mode).await, 1, "{mode}");
    }
}

#[tokio::test]
async fn repeat_after_the_daemon_died_gets_the_written_answer() {
    // Symptom: a caller can't learn whether its booking stands. Sequence of events: a booking with
    // the caller's own key is answered; its daemon dies; the caller repeats elsewhere. Cause: the
    // answer lived in that daemon's memory alone.
    let mut site = Site::start(SiteOptions::default()).await;
    let booked = site
        .send(0, Method::POST, "/bookings", Some("kept-1"), BODY)
        .await
        .unwrap();
    assert_eq!(booked.status, 200, "{}", booked.text());
    wait_until("the outcome to be written down", async || {
        let path = "/apis/wisteriahitch.example/v1/claims";
        let claims = crate::harness::call(site.platform.address, Method::GET, path, &[], "").await;
        claims.unwrap().text().contains("finished")
    })
    .await;
    site.daemons[0].process.kill();
    let repeat = site
        .send(1, Method::POST, "/bookings", Some("kept-1"), BODY)
        .await
        .unwrap();
    assert_eq!(repeat.status, 200, "{}", repeat.text());
    assert_eq!(repeat.body, booked.body);
    assert_eq!(site.runs("kept-1").await, 1);
}
