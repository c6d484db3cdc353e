//! A daemon that has no configuration yet is named to no caller.

use http::Method;
use serde_json::json;

use crate::harness::{Site, SiteOptions, post_json, wait_until};

#[tokio::test]
async fn starting_daemon_is_not_listed() {
    // Symptom: after a restart in an outage callers are refused with `not ready` for seconds.
    // Sequence of events: the platform is away; a daemon starts and waits for its peers' versions;
    // the others name it to callers. Cause: whoever is alive is named, ready or not.
    let mut site = Site::start(SiteOptions::default()).await;
    let down = json!({ "mode": "down" });
    post_json(site.platform.address, "/control", &down).await;
    site.daemons[1].process.kill();
    wait_until("the daemon to leave the entries", async || {
        !is_listed(&site).await
    })
    .await;
    site.restart_daemon(1);
    wait_until("the daemon to be listed again", async || {
        is_listed(&site).await
    })
    .await;
    let answer = site.send(1, Method::GET, "/v1/entries", None, "").await;
    let answer = answer.unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
}

async fn is_listed(site: &Site) -> bool {
    let answer = site.send(0, Method::GET, "/v1/entries", None, "").await;
    let address = site.daemons[1].callers.to_string();
    answer.unwrap().text().contains(&address)
}
