//! One workspace's odd requests take no endpoint away from the others.

use http::Method;
use serde_json::json;

use crate::harness::{Site, SiteOptions, post_json};

/// More failures than an endpoint may have in a row, at each of two.
const REQUESTS: usize = 20;

#[tokio::test]
async fn prompts_for_no_tokens_eject_no_endpoint() {
    // Symptom: mechanics of every workshop wait, since endpoints are taken out one by one.
    // Sequence of events: one workspace's program asks for completions of no tokens, which engines
    // refuse. Cause: each refusal counts as the endpoint's failure, is tried again elsewhere, and
    // uses up the retries of everybody.
    let site = Site::start(SiteOptions {
        engines: 2,
        ..SiteOptions::default()
    })
    .await;
    let body = json!({ "model": "hist-7b", "prompt": "a b c", "max_tokens": 0 }).to_string();
    for _ in 0..REQUESTS {
        let refused = site.send(0, Method::POST, "/v1/completions", None, &body);
        let refused = refused.await.unwrap();
        assert_eq!(refused.code(), "W1002", "{}", refused.text());
        assert_eq!(refused.meaning(), "not_run");
    }
    let status = site.operator(0, Method::GET, "/v1/status", "").await;
    let endpoints = status.unwrap().json()["endpoints"].clone();
    for endpoint in endpoints.as_array().unwrap() {
        assert_eq!(endpoint["state"], "ready", "{endpoints}");
    }
}

#[tokio::test]
async fn requests_that_engines_reject_eject_no_endpoint() {
    // Symptom and sequence of events as above, with a fault that only the engine finds. Cause: an
    // answer 400 counts as the endpoint's failure.
    let site = Site::start(SiteOptions {
        engines: 2,
        ..SiteOptions::default()
    })
    .await;
    for engine in &site.engines {
        let control = json!({ "fault": "reject", "count": 1_000 });
        post_json(engine.address, "/control", &control).await;
    }
    for _ in 0..REQUESTS {
        let body = json!({ "model": "hist-7b", "prompt": "a b c", "max_tokens": 1 }).to_string();
        let rejected = site.send(0, Method::POST, "/v1/completions", None, &body);
        let rejected = rejected.await.unwrap();
        assert_eq!(rejected.code(), "W3003", "{}", rejected.text());
    }
    let status = site.operator(0, Method::GET, "/v1/status", "").await;
    let endpoints = status.unwrap().json()["endpoints"].clone();
    for endpoint in endpoints.as_array().unwrap() {
        assert_eq!(endpoint["state"], "ready", "{endpoints}");
    }
}
