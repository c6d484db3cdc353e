//! Workspaces' quotas hold over all daemons of a site.

use http::Method;

use crate::harness::{Site, SiteOptions, wait_until};

/// Requests that one workspace may send to the whole site in a second.
const REQUESTS_PER_S: u32 = 30;

/// More than the burst of one daemon's part, and not more than that of the whole quota.
const SENT: usize = 60;

/// What one daemon of three may let through, with several seconds' refill for a slow machine.
const MOST: usize = 50;

#[tokio::test]
async fn daemon_grants_only_its_part_when_others_join() {
    // Symptom: a workspace with a quota sends several times as much and makes the others wait.
    // Sequence of events: a configuration comes into force at a daemon that is alone; others
    // start. Cause: the part of the quota is worked out only when a configuration comes into
    // force, so that each daemon that was alone then grants the whole of it for ever.
    let mut site = Site::start(SiteOptions {
        daemons: 3,
        ..SiteOptions::default()
    })
    .await;
    for daemon in [1, 2] {
        site.daemons[daemon].process.kill();
    }
    wait_until("the daemon to be alone", async || alive(&site).await == 1).await;
    let quota = format!("max_queued = 200\nrequests_per_s = {REQUESTS_PER_S}");
    let configuration = site.configuration("v1").replace("max_queued = 200", &quota);
    let answer = site.submit(0, &configuration, "quota").await;
    assert_eq!(answer.status, 200, "{}", answer.text());
    for daemon in [1, 2] {
        site.restart_daemon(daemon);
    }
    site.wait_until_ready().await;
    let accepted = count_accepted(&site).await;
    assert!(accepted > 0, "{}", site.logs());
    assert!(accepted <= MOST, "{accepted} of {SENT}");
}

async fn alive(site: &Site) -> usize {
    let status = site.operator(0, Method::GET, "/v1/status", "").await;
    let daemons = status.unwrap().json()["daemons"].clone();
    let rows = daemons.as_array().unwrap();
    rows.iter().filter(|row| row["state"] == "alive").count()
}

async fn count_accepted(site: &Site) -> usize {
    let sent = (0..SENT).map(|_| site.send(0, Method::GET, "/stock/7", None, ""));
    let mut accepted = 0;
    for answer in sent {
        accepted += usize::from(answer.await.unwrap().status == 200);
    }
    accepted
}
