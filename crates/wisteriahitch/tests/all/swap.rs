//! Runs under way across a swap of weights.

use crate::harness::{SECRET, Site, SiteOptions, ask, prompt, wait_until};
use crate::weights::is_complete;

#[tokio::test]
async fn run_under_way_keeps_its_version() {
    // Symptom: an answer begins by one version and ends by another, or breaks off at an update.
    // Sequence of events: long streams run while new weights are rolled out; the same prompts
    // return meanwhile. Cause: a run is moved to the new weights, or is cut off by them. `ask`
    // checks each answer, whole, against the version that it names.
    let options = SiteOptions {
        engines: 2,
        engine_flags: vec!["--decode-us-per-token".to_owned(), "100000".to_owned()],
        ..SiteOptions::default()
    };
    let site = Site::start(options).await;
    let long = [prompt("long0x", 450, 60), prompt("long1x", 450, 60)];
    let short = prompt("long0x", 450, 2);
    let (one, other, ()) = tokio::join!(
        ask(&site, 0, SECRET, &long[0]),
        ask(&site, 1, SECRET, &long[1]),
        async {
            wait_until("both streams to run", async || running(&site).await >= 2).await;
            let accepted = site.submit(0, &site.configuration("v2"), "v2").await;
            assert_eq!(accepted.status, 200, "{}", accepted.text());
            wait_until("every engine to run v2", async || {
                let back = ask(&site, 1, SECRET, &short).await;
                assert!(back.is_ok(), "{back:?}\n{}", site.logs());
                is_complete(&site).await
            })
            .await;
        },
    );
    for answer in [one, other] {
        let answer = answer.unwrap_or_else(|error| panic!("{error}\n{}", site.logs()));
        assert_eq!(answer.weight_version.as_str(), "v1");
    }
}

/// Counts the requests that run at the engines, by their lagging reports.
async fn running(site: &Site) -> u64 {
    let status = site
        .operator(0, http::Method::GET, "/v1/status", "")
        .await
        .unwrap();
    let rows = status.json()["endpoints"].as_array().unwrap().clone();
    let engines = rows.iter().filter(|row| row["service"] == "assistant");
    engines.filter_map(|row| row["running"].as_u64()).sum()
}
