//! The bound on streams holds for every way to open one.

use http::Method;

use crate::harness::{SECRET, Site, SiteOptions, ask, prompt, wait_until};
use crate::stream::read_some;

#[tokio::test]
async fn resumption_counts_as_a_stream() {
    // Symptom: a daemon holds many more streams than it may and runs out of memory. Sequence of
    // events: many streams break at once, such as by a network fault; all callers resume. Cause:
    // only new requests are counted against the bound.
    let site = Site::start(SiteOptions {
        daemons: 1,
        engine_flags: vec!["--decode-us-per-token".to_owned(), "20000".to_owned()],
        settings: "[limits]\nstreams = 2\n".to_owned(),
        ..SiteOptions::default()
    })
    .await;
    let broken = prompt("broken", 20, 200);
    let (request_id, _, next) = read_some(&site, &broken, 3).await;
    wait_until("the break to be noticed", async || {
        site.streams(0).await == 0
    })
    .await;
    let long = [prompt("one", 20, 200), prompt("other", 20, 200)];
    let running = async {
        let both = tokio::join!(
            ask(&site, 0, SECRET, &long[0]),
            ask(&site, 0, SECRET, &long[1])
        );
        both.0.unwrap();
        both.1.unwrap();
    };
    let resuming = async {
        wait_until("both streams to run", async || site.streams(0).await == 2).await;
        let path = format!("/v1/requests/{request_id}/stream?position={next}");
        site.send(0, Method::GET, &path, None, "").await.unwrap()
    };
    let (refused, ()) = tokio::join!(resuming, running);
    assert_eq!(refused.code(), "W2008", "{}", refused.text());
    assert_eq!(refused.meaning(), "outcome_unknown");
    assert!(refused.headers.contains_key("retry-after"));
}
