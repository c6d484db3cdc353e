//! A leaving endpoint whose sign reaches one daemon alone.

use std::time::Duration;

use http::Method;
use wisteriahitch::peer::{BlockHint, HintKind, PeerClient, PeerIdentity, PublishBlocksRequest};
use wisteriahitch::types::Incarnation;

use crate::harness::{SECRET, Site, SiteOptions, ask, call, prompt, wait_until};
use crate::leaving::state_of;

const TIMEOUT: Duration = Duration::from_secs(30);

#[tokio::test]
async fn peer_sees_it_first() {
    // Symptom: one daemon sends prompts to an engine that shuts down, long after another one knew.
    // Sequence of events: the sign reaches one daemon alone, here by a peer that the test plays;
    // the engine's own report and the VM list say nothing yet. Cause: the daemon that knows tells
    // nobody, or the others don't listen.
    let options = SiteOptions {
        daemons: 3,
        engines: 2,
        ..SiteOptions::default()
    };
    let site = Site::start(options).await;
    let engine = site.engines[0].address;
    let listing = call(engine, Method::GET, "/v1/cache/blocks", &[], "").await;
    let life = listing.unwrap().json()["incarnation"]
        .as_str()
        .map(str::to_owned);
    let hint = BlockHint {
        holder: "assistant-0".to_owned(),
        holder_incarnation: life.unwrap(),
        kind: HintKind::Leaving.into(),
        ..BlockHint::default()
    };
    let me = PeerIdentity::new("entry-9".parse().unwrap(), Incarnation::new(9));
    let request = PublishBlocksRequest {
        envelope: Some(me.envelope(None)),
        batch_number: 0,
        hints: vec![hint],
    };
    let client = PeerClient::new(TIMEOUT);
    let told = client
        .publish_blocks(site.daemons[0].peers, request, TIMEOUT)
        .await;
    assert_eq!(told.unwrap().accepted, 1);
    for daemon in 0..3 {
        wait_until("the peer's news to be everywhere", async || {
            state_of(&site, daemon, "assistant-0").await == "leaving"
        })
        .await;
    }
    let before = runs(&site).await;
    for number in 0..6 {
        let completion = prompt(&format!("peer{number}"), 30, 2);
        let answer = ask(&site, number % 3, SECRET, &completion).await;
        assert!(answer.is_ok(), "{answer:?}\n{}", site.logs());
    }
    assert_eq!(runs(&site).await, before, "new work was sent");
}

/// Returns how many requests the first engine has run.
async fn runs(site: &Site) -> usize {
    let answer = call(site.engines[0].address, Method::GET, "/control", &[], "").await;
    let counters = answer.unwrap().json();
    counters["runs"].as_object().map_or(0, serde_json::Map::len)
}
