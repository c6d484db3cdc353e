//! Answers that belong to another request.

use http::Method;
use serde_json::json;

use crate::harness::{SECRET, Site, SiteOptions, ask, call, post_json, prompt};

#[tokio::test]
async fn crossed_answer_is_asked_for_again() {
    // Symptom: a mechanic reads another bike's history. Sequence of events: an engine answers a
    // request under another one's id. Cause: the answer is passed on by the connection that it
    // came on. The stand-in crosses the id alone, so that its text can't show the mistake; what
    // shows it is that one run was enough.
    let options = SiteOptions {
        engines: 2,
        ..SiteOptions::default()
    };
    let site = Site::start(options).await;
    for engine in &site.engines {
        let control = json!({ "fault": "wrong_request_id", "count": 1 });
        post_json(engine.address, "/control", &control).await;
    }
    let completion = prompt("crossed", 50, 12);
    let answer = ask(&site, 0, SECRET, &completion).await;
    assert!(answer.is_ok(), "{answer:?}\n{}", site.logs());
    let mut runs = 0;
    for engine in &site.engines {
        let answer = call(engine.address, Method::GET, "/control", &[], "").await;
        let counters = answer.unwrap().json();
        let of_requests = counters["runs"].as_object().unwrap().clone();
        runs += of_requests
            .values()
            .filter_map(|runs| runs.as_u64())
            .sum::<u64>();
    }
    assert!(runs >= 2, "a crossed answer was passed on\n{}", site.logs());
}
