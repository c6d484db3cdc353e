//! An accepted configuration is in force everywhere and never reverts.

use http::Method;
use serde_json::json;

use crate::harness::{Site, SiteOptions, post_json, wait_until};

fn workspace_change(weight: u32) -> String {
    format!(
        "[[workspaces]]\nid = \"galle-fort\"\n\
         key_hashes = [\"42b3140546aafff770b4cdb4df859abf\"]\nweight = {weight}\n\
         max_queued = 200\nstore_bytes = 64_000_000\n"
    )
}

#[tokio::test]
async fn two_operators_submit_at_once() {
    // Symptom: an accepted change is gone without a word. Sequence of events: two operators submit
    // at the same time through two daemons. Cause: the second update overwrites the first.
    let site = Site::start(SiteOptions::default()).await;
    let (one, other) = (workspace_change(3), workspace_change(5));
    // Both name the version that they looked at: without it, the second daemon may have taken the
    // first one's version over before its own submission comes, and then both are right.
    let (one, other) = tokio::join!(
        site.submit(0, &one, "one&base=1"),
        site.submit(1, &other, "other&base=1"),
    );
    let mut statuses = [one.status, other.status];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409], "{} {}", one.text(), other.text());
    let loser = if one.status == 409 { one } else { other };
    assert_eq!(loser.json()["error"]["code"], "W4009");
    assert_eq!(loser.json()["error"]["winning_version"], 2);
    for daemon in 0..2 {
        wait_until("version 2 everywhere", async || {
            site.version(daemon).await == 2
        })
        .await;
    }
}

#[tokio::test]
async fn restart_during_an_outage_does_not_revert() {
    // Symptom: an accepted rule stops to apply after a restart. Sequence of events: version 2 is
    // accepted, the platform goes away, a daemon dies and starts again. Cause: it takes an older
    // version from somewhere, or none, and goes on with that.
    let mut site = Site::start(SiteOptions {
        daemons: 3,
        ..SiteOptions::default()
    })
    .await;
    let accepted = site.submit(0, &workspace_change(3), "second").await;
    assert_eq!(accepted.status, 200, "{}", accepted.text());
    for daemon in 0..3 {
        wait_until("version 2 everywhere", async || {
            site.version(daemon).await == 2
        })
        .await;
    }
    post_json(
        site.platform.address,
        "/control",
        &json!({ "mode": "down" }),
    )
    .await;
    site.restart_daemon(0);
    wait_until("the restarted daemon to learn from its peers", async || {
        site.version(0).await == 2
    })
    .await;
    let unknown = site.submit(0, &workspace_change(9), "third").await;
    assert_eq!(unknown.status, 503, "{}", unknown.text());
    assert_eq!(site.version(1).await, 2);
}

#[tokio::test]
async fn lost_answer_of_an_acceptance_is_settled() {
    // Symptom: an operator is told that a change failed, and it is in force. Sequence of events:
    // the update of the head takes effect and its answer is lost. Cause: a lost answer counts as a
    // failure.
    let site = Site::start(SiteOptions::default()).await;
    let control = json!({ "mode": "up", "lose_answers": 1, "lose_answer_kinds": ["configheads"] });
    post_json(site.platform.address, "/control", &control).await;
    let answer = site.submit(0, &workspace_change(4), "lost").await;
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert_eq!(answer.json()["version"], 2);
    let again = site.submit(0, &workspace_change(4), "lost").await;
    assert_eq!(again.json()["version"], 2, "{}", again.text());
}

#[tokio::test]
async fn mistake_in_one_workspace_touches_no_other() {
    // Symptom: one workshop's typing error stops all workshops. Sequence of events: an operator
    // submits a section of one workspace with mistakes. Cause: it is accepted, and the whole
    // doesn't parse on the daemons any more.
    let site = Site::start(SiteOptions::default()).await;
    let bad = "[[workspaces]]\nid = \"galle-fort\"\nkey_hashes = [\"zz\"]\nwheight = 2\n";
    let refused = site.submit(0, bad, "bad").await;
    assert_eq!(refused.status, 422, "{}", refused.text());
    let problems = refused.json()["problems"].as_array().unwrap().clone();
    let codes: Vec<&str> = problems.iter().filter_map(|p| p["code"].as_str()).collect();
    assert!(
        codes.contains(&"W4002") && codes.contains(&"W4003"),
        "{codes:?}"
    );
    assert_eq!(site.version(0).await, 1);
    let served = site
        .send(0, Method::GET, "/stock/7", None, "")
        .await
        .unwrap();
    assert_eq!(served.status, 200, "{}", served.text());
}
