//! Keyed requests that wait for the platform are bounded.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::Method;
use serde_json::json;
use tokio::task::JoinSet;

use crate::harness::{Site, SiteOptions, post_json, wait_until};

/// Keyed requests that may wait at a daemon.
const ROOM: usize = 8;

/// Requests at once, each with a key of its own.
const SENT: usize = 60;

/// Far below the wait for a platform that is slow.
const AT_ONCE: Duration = Duration::from_millis(600);

#[tokio::test]
async fn crowd_at_a_slow_platform_is_refused_at_once() {
    // Symptom: a daemon's memory grows while the platform is slow. Sequence of events: callers with
    // their own keys send, leave and send again. Cause: each key waits for its claim in a task of
    // its own, with its body, and nothing bounds their number.
    let site = Site::start(SiteOptions {
        daemons: 1,
        settings: format!("[limits]\nqueued_requests = {ROOM}\n"),
        ..SiteOptions::default()
    })
    .await;
    let slow = json!({ "slow_ms": 900 });
    post_json(site.platform.address, "/control", &slow).await;
    let site = Arc::new(site);
    let mut calls = JoinSet::new();
    for number in 0..SENT {
        let site = Arc::clone(&site);
        calls.spawn(async move {
            let started = Instant::now();
            let key = format!("crowd-{number}");
            let answer = site
                .send(0, Method::POST, "/bookings", Some(&key), "{}")
                .await;
            (answer.unwrap(), started.elapsed())
        });
    }
    let answers = calls.join_all().await;
    let at_once = answers.iter().filter(|(_, taken)| *taken < AT_ONCE);
    assert!(at_once.clone().count() >= SENT / 2, "{answers:?}");
    for (refused, _) in at_once {
        assert_eq!(refused.code(), "W3007", "{}", refused.text());
        assert_eq!(refused.meaning(), "outcome_unknown");
        assert!(refused.headers.contains_key("retry-after"));
    }
    let fast = json!({ "slow_ms": 0 });
    post_json(site.platform.address, "/control", &fast).await;
    wait_until("the crowd to be gone", async || {
        let later = site.send(0, Method::POST, "/bookings", Some("later"), "{}");
        later.await.unwrap().status == 200
    })
    .await;
}
