//! Blocks and stores that go away while a request waits for them.

use http::Method;
use serde_json::{Value, json};

use crate::harness::{SECRET, Site, SiteOptions, ask, call, post_json};
use crate::tiers::{HISTORY_TOKENS, save_and_evict};

/// Slow enough that an import is still under way when its fault comes, and that computing again
/// would take longer: so the request waits for the link.
fn options() -> SiteOptions {
    let flags = [
        "--kv-capacity-tokens",
        "1000",
        "--prefill-tokens-per-s",
        "400",
    ];
    SiteOptions {
        engine_flags: flags.map(str::to_owned).to_vec(),
        store_flags: ["--link-bytes-per-s", "1000000"]
            .map(str::to_owned)
            .to_vec(),
        bytes_per_token: 512,
        ..SiteOptions::default()
    }
}

#[derive(Clone, Copy, Debug)]
enum Loss {
    BlocksFreed,
    StoreDies,
}

#[tokio::test]
async fn blocks_go_while_their_reader_waits_for_the_link() {
    // Symptom: a prompt reads another prompt's block, or never ends. Sequence of events: a prompt
    // returns and waits for its blocks, one after the other over a slow link; the store frees them
    // all, or dies, meanwhile. Cause: a place in the link's queue is taken for a right to whatever
    // lies there when the turn comes. `ask` checks the answer.
    for loss in [Loss::BlocksFreed, Loss::StoreDies] {
        let mut site = Site::start(options()).await;
        let history = crate::harness::prompt("history", HISTORY_TOKENS, 4);
        save_and_evict(&site, &history).await;
        post_json(
            site.store.address,
            "/control",
            &json!({ "fault": { "slow_factor": 4 } }),
        )
        .await;
        let store = site.store.address;
        let before = reads(store).await;
        let (back, ()) = tokio::join!(ask(&site, 0, SECRET, &history), async {
            // The request may have gone on without the tier; then there is nothing to wait for.
            for _ in 0..100 {
                if reads(store).await > before {
                    break;
                }
                tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            }
            match loss {
                Loss::BlocksFreed => free_all(store).await,
                Loss::StoreDies => {
                    site.store.process.signal(nix::sys::signal::Signal::SIGKILL);
                }
            }
        });
        let back = back.unwrap_or_else(|error| panic!("{loss:?}: {error}\n{}", site.logs()));
        assert!(back.cached_tokens.get() <= HISTORY_TOKENS);
        site.store.process.kill();
        let again = ask(&site, 0, SECRET, &history).await;
        assert!(again.is_ok(), "{loss:?}: {again:?}\n{}", site.logs());
    }
}

/// Counts the reads that began at the store.
async fn reads(store: std::net::SocketAddr) -> u64 {
    let answer = call(store, Method::GET, "/control", &[], "").await.unwrap();
    answer.json()["read_blocks"].as_u64().unwrap()
}

/// Frees every block that the store lists.
async fn free_all(store: std::net::SocketAddr) {
    let answer = call(store, Method::GET, "/v1/blocks", &[], "")
        .await
        .unwrap();
    let listing: Value = answer.json();
    let blocks = listing["blocks"].as_array().unwrap().clone();
    assert!(!blocks.is_empty());
    for block in blocks {
        let (key, generation) = (block["key"].as_str().unwrap(), &block["generation"]);
        let path = format!("/v1/blocks/{key}?generation={generation}");
        let freed = call(store, Method::DELETE, &path, &[], "").await.unwrap();
        assert_eq!(freed.status, 200, "{}", freed.text());
    }
}
