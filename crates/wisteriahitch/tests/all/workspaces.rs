//! Workspaces stay apart: neither cache nor answers nor reports reach another.

use http::Method;
use serde_json::json;
use wisteriahitch::core::once::ClaimShard;

use crate::harness::{OTHER_SECRET, SECRET, Site, SiteOptions, ask, call, post_json, prompt};

#[tokio::test]
async fn equal_prompts_of_two_workspaces() {
    // Symptom: a seller sees by the speed of an answer which contract another one read. Sequence
    // of events: two workspaces send the same prompt. Cause: blocks are named by their text alone.
    let site = Site::start(SiteOptions::default()).await;
    let completion = prompt("shared", 450, 4);
    let first = ask(&site, 0, SECRET, &completion).await.unwrap();
    assert_eq!(first.cached_tokens.get(), 0);
    let other = ask(&site, 0, OTHER_SECRET, &completion).await.unwrap();
    assert_eq!(
        other.cached_tokens.get(),
        0,
        "a hit on another workspace's block"
    );
    let own = ask(&site, 0, SECRET, &completion).await.unwrap();
    assert_eq!(own.cached_tokens.get(), 400);
}

#[tokio::test]
async fn keys_and_requests_of_another_workspace() {
    // Symptom: a shop gets the answer to another shop's booking. Sequence of events: both use the
    // same idempotency key, or one uses the other's ticket or request id. Cause: keys are told
    // apart by their text alone.
    let site = Site::start(SiteOptions::default()).await;
    let own = site
        .send(0, Method::POST, "/bookings", Some("k-1"), "own")
        .await
        .unwrap();
    let bearer = format!("Bearer {OTHER_SECRET}");
    let other = |path: &'static str, key: String, body: &'static str| {
        let headers = [("authorization", bearer.clone()), ("idempotency-key", key)];
        let address = site.daemons[0].callers;
        async move {
            let headers: Vec<(&str, &str)> = headers
                .iter()
                .map(|(name, value)| (*name, value.as_str()))
                .collect();
            call(address, Method::POST, path, &headers, body)
                .await
                .unwrap()
        }
    };
    let booked = other("/bookings", "k-1".to_owned(), "other").await;
    assert_eq!(booked.status, 200);
    assert_ne!(booked.body, own.body, "another workspace's kept answer");
    let ticket = site.ticket(0).await;
    let foreign = other("/bookings", ticket.clone(), "other").await;
    assert_eq!(foreign.code(), "W1010", "{}", foreign.text());
    assert_eq!(site.runs(&ticket).await, 0);
}

#[tokio::test]
async fn reports_name_no_other_workspace() {
    // Symptom: a customer, or whoever scrapes the metrics, learns who else is served. Sequence of
    // events: workspaces send prompts; metrics and refusals are read. Cause: labels and messages
    // carry workspace names.
    let site = Site::start(SiteOptions::default()).await;
    let completion = prompt("secretword", 120, 4);
    ask(&site, 0, SECRET, &completion).await.unwrap();
    let metrics = call(site.daemons[0].operators, Method::GET, "/metrics", &[], "")
        .await
        .unwrap();
    let bad_key = [("authorization", "Bearer wrong")];
    let body = json!({ "model": "hist-7b", "prompt": "x" }).to_string();
    let callers = site.daemons[0].callers;
    let refused = call(callers, Method::POST, "/v1/completions", &bad_key, body)
        .await
        .unwrap();
    assert_eq!(refused.code(), "W1008");
    let dump = site.dump(0).await.to_string();
    for (name, text) in [("metrics", metrics.text()), ("refusal", refused.text())] {
        assert!(
            !text.contains("kandy") && !text.contains("galle"),
            "{name}: {text}"
        );
    }
    assert!(!dump.contains("secretword"), "the dump holds a prompt");
    assert!(
        metrics
            .text()
            .contains("wisteriahitch_prompt_tokens_total 120")
    );
}

#[tokio::test]
async fn damaged_claims_put_no_answer_into_the_log() {
    // Symptom: who reads a daemon's log reads a seller's order. Sequence of events: an object of
    // claims is damaged; a keyed request needs it. Cause: the parser's message quotes what it found
    // in place of what it wanted.
    let site = Site::start(SiteOptions::default()).await;
    for shard in ClaimShard::all() {
        let object = json!({
            "apiVersion": "wisteriahitch.example/v1",
            "kind": "claims",
            "metadata": { "name": shard.to_string() },
            "spec": { "entries": "two trucks to Hualien" },
        });
        let path = "/apis/wisteriahitch.example/v1/claims";
        post_json(site.platform.address, path, &object).await;
    }
    let refused = site.send(0, Method::POST, "/bookings", Some("k-9"), "{}");
    let refused = refused.await.unwrap();
    assert_eq!(refused.code(), "W3007", "{}", refused.text());
    let logs = site.logs();
    assert!(logs.contains("claims-"), "{logs}");
    assert!(!logs.contains("Hualien"), "{logs}");
}
