//! Workspaces stay apart where something of a request is kept: broken streams and the tiers.

use http::Method;

use crate::harness::{OTHER_SECRET, SECRET, Site, SiteOptions, ask, call, prompt};
use crate::stream::{read_some, resume};
use crate::tiers::{self, HISTORY_TOKENS, save_and_evict};

#[tokio::test]
async fn stream_of_another_workspace_is_unknown() {
    // Symptom: a shop reads the rest of another shop's contract. Sequence of events: a stream
    // breaks; somebody of another workspace asks for its rest by the request id. Cause: a broken
    // stream is found by its id alone. The refusal is that of an id that never was.
    let options = SiteOptions {
        engine_flags: vec!["--decode-us-per-token".to_owned(), "20000".to_owned()],
        ..SiteOptions::default()
    };
    let site = Site::start(options).await;
    let completion = prompt("resume", 50, 40);
    let (request_id, _, next) = read_some(&site, &completion, 5).await;
    let bearer = format!("Bearer {OTHER_SECRET}");
    let headers = [("authorization", bearer.as_str())];
    let callers = site.daemons[0].callers;
    // The stream is kept only once the daemon has noticed that its caller is gone. The owner gets
    // it from then on, and may ask for it once more.
    let mut rests = Vec::new();
    for id in [request_id.as_str(), "r-never-was"] {
        let path = format!("/v1/requests/{id}/stream?position={next}");
        for _ in 0..10 {
            let answer = call(callers, Method::GET, &path, &headers, "")
                .await
                .unwrap();
            assert_eq!(answer.code(), "W1014", "{}", answer.text());
            rests.push(answer.text().replace(id, "ID"));
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        }
    }
    let rest = resume(&site, &request_id, next).await;
    assert!(!rest.is_empty());
    assert!(rests.iter().all(|text| !text.contains(rest.trim())));
}

#[tokio::test]
async fn saved_blocks_of_another_workspace_are_no_hit() {
    // Symptom: a seller sees by the speed of an answer which contract another one read. Sequence
    // of events: a prompt is saved to the tier and evicted; another workspace sends the same
    // prompt, then the first one returns. Cause: blocks in the tier are found by their text alone.
    let site = Site::start(tiers::options()).await;
    let history = prompt("history", HISTORY_TOKENS, 4);
    save_and_evict(&site, &history).await;
    let other = ask(&site, 0, OTHER_SECRET, &history).await.unwrap();
    assert_eq!(other.cached_tokens.get(), 0, "{}", site.logs());
    let own = ask(&site, 0, SECRET, &history).await.unwrap();
    assert_eq!(own.cached_tokens.get(), HISTORY_TOKENS, "{}", site.logs());
}
