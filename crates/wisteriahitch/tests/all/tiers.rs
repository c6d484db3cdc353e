//! No request reads a block that is freed, partly written or altered.

use http::Method;
use serde_json::{Value, json};
use wisteriahitch_bench::caller::Completion;

use crate::harness::{SECRET, Site, SiteOptions, ask, post_json, prompt, wait_until};

pub(crate) const HISTORY_TOKENS: u64 = 800;

/// An engine that computes so slowly that an import always keeps pace, also on a busy machine: one
/// that doesn't is given up, as it should be, and the prompt is computed again.
pub(crate) fn options() -> SiteOptions {
    let flags = [
        "--kv-capacity-tokens",
        "1000",
        "--prefill-tokens-per-s",
        "500",
    ];
    SiteOptions {
        engine_flags: flags.map(str::to_owned).to_vec(),
        ..SiteOptions::default()
    }
}

pub(crate) async fn locate(site: &Site, completion: &Completion) -> Vec<Value> {
    let question = json!({
        "workspace": "kandy-central",
        "model": "hist-7b",
        "prompt": completion.prompt,
    });
    let answer = site
        .operator(0, Method::POST, "/v1/locate", &question.to_string())
        .await;
    answer.unwrap().json()["blocks"].as_array().unwrap().clone()
}

pub(crate) fn holds_all(blocks: &[Value], name: &str) -> bool {
    blocks
        .iter()
        .all(|block| !block[name].as_array().unwrap().is_empty())
}

pub(crate) fn holds_none(blocks: &[Value], name: &str) -> bool {
    blocks
        .iter()
        .all(|block| block[name].as_array().unwrap().is_empty())
}

/// Brings a prompt into the tier and out of the engine's memory.
pub(crate) async fn save_and_evict(site: &Site, history: &Completion) {
    ask(site, 0, SECRET, history).await.unwrap();
    wait_until("the blocks to be saved", async || {
        holds_all(&locate(site, history).await, "stores")
    })
    .await;
    let mut number = 0;
    wait_until("the blocks to be evicted", async || {
        number += 1;
        let filler = prompt(&format!("filler{number}x"), HISTORY_TOKENS, 1);
        ask(site, 0, SECRET, &filler).await.unwrap();
        holds_none(&locate(site, history).await, "endpoints")
    })
    .await;
}

#[tokio::test]
async fn return_after_eviction_reads_the_tier() {
    // Symptom: a history that was read yesterday takes as long as the first time. Sequence of
    // events: it is saved, evicted from the engine, and returns. Cause: the tier isn't used.
    let site = Site::start(options()).await;
    let history = prompt("history", HISTORY_TOKENS, 4);
    save_and_evict(&site, &history).await;
    let back = ask(&site, 0, SECRET, &history).await.unwrap();
    assert_eq!(back.cached_tokens.get(), HISTORY_TOKENS, "{}", site.logs());
}

/// Returns the life of the store VM that the first daemon knows.
async fn incarnation(site: &Site) -> Value {
    let status = site
        .operator(0, Method::GET, "/v1/status", "")
        .await
        .unwrap();
    status.json()["stores"][0]["incarnation"].clone()
}

struct FaultCase {
    fault: Value,
}

#[tokio::test]
async fn altered_blocks_are_never_used() {
    // Symptom: an answer is wrong although its prompt is right. Sequence of events: a block is
    // shortened or altered on its way from the store VM, or the store freezes. Cause: it is used
    // without a check, or waited for. `ask` checks the answers.
    let cases = [
        FaultCase {
            fault: json!({ "corrupt_reads": 100 }),
        },
        FaultCase {
            fault: json!({ "short_reads": 100 }),
        },
        FaultCase {
            fault: json!("freeze"),
        },
    ];
    for case in cases {
        let site = Site::start(options()).await;
        let history = prompt("history", HISTORY_TOKENS, 4);
        save_and_evict(&site, &history).await;
        post_json(
            site.store.address,
            "/control",
            &json!({ "fault": case.fault }),
        )
        .await;
        let back = ask(&site, 0, SECRET, &history).await.unwrap();
        assert_eq!(
            back.cached_tokens.get(),
            0,
            "{}: {}",
            case.fault,
            site.logs()
        );
    }
}

#[tokio::test]
async fn store_dies_and_comes_back_empty() {
    // Symptom: a prompt waits for blocks that are gone. Sequence of events: the store VM dies; the
    // prompt returns; the store starts again, empty, under its old address. Cause: its blocks are
    // still believed to be there.
    let mut site = Site::start(options()).await;
    let history = prompt("history", HISTORY_TOKENS, 4);
    save_and_evict(&site, &history).await;
    let address = site.store.address;
    site.store.process.kill();
    let without = ask(&site, 0, SECRET, &history).await.unwrap();
    assert_eq!(without.cached_tokens.get(), 0);
    let old = incarnation(&site).await;
    site.restart_store(address);
    wait_until("the store's new life to be seen", async || {
        let new = incarnation(&site).await;
        new != old && new != Value::Null
    })
    .await;
    save_and_evict(&site, &history).await;
    let back = ask(&site, 0, SECRET, &history).await.unwrap();
    assert_eq!(back.cached_tokens.get(), HISTORY_TOKENS, "{}", site.logs());
}

#[tokio::test]
async fn full_store_refuses_saves_and_nothing_else() {
    // Symptom: prompts fail because the cache is full. Sequence of events: the store VM fills up
    // during a save. Cause: a failed save is taken for a failed request.
    let site = Site::start(options()).await;
    post_json(site.store.address, "/control", &json!({ "fault": "full" })).await;
    for number in 0..3 {
        let completion = prompt(&format!("full{number}x"), HISTORY_TOKENS, 4);
        ask(&site, number % 2, SECRET, &completion).await.unwrap();
    }
    let history = prompt("full0x", HISTORY_TOKENS, 4);
    assert!(holds_none(&locate(&site, &history).await, "stores"));
}

#[tokio::test]
async fn blocks_that_find_no_memory_return_from_disk() {
    // Symptom: prompts of yesterday are computed again although the store's disk is empty.
    // Sequence of events: the store's memory has no room left; a prompt is saved, evicted from the
    // engine, and returns. Cause: only memory is saved to, or what lies on disk is not read.
    let site = Site::start(SiteOptions {
        // Room for no block in memory, and for many on disk.
        store_flags: vec!["--memory-bytes".to_owned(), "5000".to_owned()],
        store_memory_bytes: 5_000,
        ..options()
    })
    .await;
    let history = prompt("history", HISTORY_TOKENS, 4);
    save_and_evict(&site, &history).await;
    let blocks = locate(&site, &history).await;
    let is_on_disk = |block: &Value| block["stores"][0][1] == "disk";
    assert!(blocks.iter().all(is_on_disk), "{blocks:?}");
    let back = ask(&site, 0, SECRET, &history).await.unwrap();
    assert_eq!(back.cached_tokens.get(), HISTORY_TOKENS, "{}", site.logs());
}

#[tokio::test]
async fn removed_store_holds_no_block_any_more() {
    // Symptom: after a store VM was taken out of the configuration, prompts go where their blocks
    // seem to be read soon, and are computed again. Sequence of events: blocks are saved; the store
    // is removed. Cause: nobody tells the directory.
    let site = Site::start(options()).await;
    let history = prompt("history", HISTORY_TOKENS, 4);
    save_and_evict(&site, &history).await;
    let configuration = site.configuration("v1");
    let start = configuration.find("[[stores]]").unwrap();
    let end = configuration.find("[[services]]").unwrap();
    let without = format!("{}{}", &configuration[..start], &configuration[end..]);
    let without = without.replace("stores = [\"hub-cache\"]\n", "");
    let answer = site.submit(0, &without, "no-store").await;
    assert_eq!(answer.status, 200, "{}", answer.text());
    wait_until("the store's blocks to be forgotten", async || {
        holds_none(&locate(&site, &history).await, "stores")
    })
    .await;
}
