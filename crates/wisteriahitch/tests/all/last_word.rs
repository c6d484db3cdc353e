//! What a refusal says of a request that went through several hands.

use http::Method;
use serde_json::json;
use wisteriahitch_bench::caller::CallError;

use crate::harness::{SECRET, Site, SiteOptions, ask, call, post_json, prompt};

/// Enough for both orders of the two engines to come up.
const REQUESTS: usize = 8;

#[tokio::test]
async fn refusal_of_the_last_engine_does_not_speak_for_the_first() {
    // Symptom: a caller is told `not run`, and its request has run. Sequence of events: one engine
    // runs it and answers nonsense, the other one says that it did not run it. Cause: the last
    // word is passed on, which is true of the last attempt alone.
    let options = SiteOptions {
        engines: 2,
        ..SiteOptions::default()
    };
    let site = Site::start(options).await;
    let [runner, refuser] = [site.engines[0].address, site.engines[1].address];
    for (engine, fault) in [(runner, "nonsense"), (refuser, "refuse_not_run")] {
        let control = json!({ "fault": fault, "count": 1_000 });
        post_json(engine, "/control", &control).await;
    }
    let mut ran = 0;
    for number in 0..REQUESTS {
        let before = runs(runner).await;
        let completion = prompt(&format!("last{number}x"), 40, 2);
        let answer = ask(&site, number % 2, SECRET, &completion).await;
        let Err(CallError::Refused { meaning, .. }) = answer else {
            panic!("{answer:?}\n{}", site.logs());
        };
        if runs(runner).await > before {
            ran += 1;
            assert_eq!(meaning.to_string(), "outcome unknown", "{}", site.logs());
        }
    }
    assert!(ran > 0, "the first engine ran nothing\n{}", site.logs());
}

/// Counts the requests that an engine has run.
async fn runs(engine: std::net::SocketAddr) -> usize {
    let answer = call(engine, Method::GET, "/control", &[], "").await;
    let counters = answer.unwrap().json();
    counters["runs"].as_object().map_or(0, serde_json::Map::len)
}
