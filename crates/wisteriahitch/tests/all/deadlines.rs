//! A request that is given up gets its final answer by its deadline, with when to come back.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::Method;
use serde_json::json;
use tokio::task::JoinSet;

use crate::harness::{Answer, Site, SiteOptions, post_json};

/// Deadline of every request here.
const DEADLINE: Duration = Duration::from_secs(3);

/// More calls than run at once.
const CALLS: usize = 40;

/// What a slow machine may take beyond the deadline; twice the deadline is the fault.
const SLACK: Duration = Duration::from_secs(2);

#[tokio::test]
async fn frozen_service_uses_up_one_deadline_only() {
    // Symptom: a till waits several times its deadline. Sequence of events: a repeatable call goes
    // to an endpoint that takes it and says nothing; it is tried again. Cause: every attempt gets
    // the whole deadline anew.
    let site = Site::start(options()).await;
    freeze_service(&site).await;
    let started = Instant::now();
    let answer = site.send(0, Method::GET, "/stock/1", None, "").await;
    check(&answer.unwrap(), started);
}

#[tokio::test]
async fn frozen_engine_uses_up_one_deadline_only() {
    // Symptom and cause as above, with a prompt and two engines that take it and say nothing.
    let site = Site::start(options()).await;
    for engine in &site.engines {
        let fault = json!({ "fault": "freeze" });
        post_json(engine.address, "/control", &fault).await;
    }
    let body = json!({ "model": "hist-7b", "prompt": "a b c", "max_tokens": 2 }).to_string();
    let started = Instant::now();
    let answer = site.send(0, Method::POST, "/v1/completions", None, &body);
    check(&answer.await.unwrap(), started);
}

#[tokio::test]
async fn waiting_for_a_turn_counts() {
    // Symptom: as above. Sequence of events: a call waits for a turn behind others at a frozen
    // service, and then waits for its own answer as long again. Cause: the time in the queue isn't
    // taken off the deadline of the attempt.
    let site = Site::start(options()).await;
    freeze_service(&site).await;
    let started = Instant::now();
    let site = Arc::new(site);
    let mut calls = JoinSet::new();
    for _ in 0..CALLS {
        let site = Arc::clone(&site);
        calls.spawn(async move { site.send(0, Method::POST, "/bookings", None, "{}").await });
    }
    for answer in calls.join_all().await {
        check(&answer.unwrap(), started);
    }
}

fn options() -> SiteOptions {
    let deadline_ms = DEADLINE.as_millis() as u64;
    SiteOptions {
        engines: 2,
        prompt_deadline_ms: deadline_ms,
        till_deadline_ms: deadline_ms,
        ..SiteOptions::default()
    }
}

async fn freeze_service(site: &Site) {
    let control = json!({ "mode": "freeze" });
    post_json(site.service.address, "/control", &control).await;
}

fn check(answer: &Answer, started: Instant) {
    let taken = started.elapsed();
    assert!(answer.status >= 500, "{answer:?}");
    assert!(answer.headers.contains_key("retry-after"), "{answer:?}");
    assert!(taken < DEADLINE + SLACK, "{taken:?} {}", answer.text());
}
