//! The right to give orders passes on, and its former holder wakes up.

use nix::sys::signal::Signal;
use serde_json::Value;

use crate::harness::{Site, SiteOptions, call, wait_until};

#[tokio::test]
async fn frozen_lease_holder_gives_no_order_when_it_wakes() {
    // Symptom: weights that were rolled out go back by themselves. Sequence of events: the daemon
    // that gives orders freezes; its lease runs out and another one takes it and rolls out a new
    // version; the frozen one wakes with its old lease, old configuration and old reports. Cause:
    // it goes by what it held when it froze. The engines here take orders of any fencing number.
    let options = SiteOptions {
        daemons: 3,
        engines: 2,
        checks_fence: false,
        ..SiteOptions::default()
    };
    let site = Site::start(options).await;
    let mut holder = None;
    wait_until("some daemon to hold the lease", async || {
        for daemon in 0..3 {
            if lease_phase(&site, daemon).await == "held" {
                holder = Some(daemon);
            }
        }
        holder.is_some()
    })
    .await;
    let frozen = holder.unwrap();
    let others: Vec<usize> = (0..3).filter(|daemon| *daemon != frozen).collect();
    site.daemons[frozen].process.signal(Signal::SIGSTOP);
    let accepted = site
        .submit(others[0], &site.configuration("v2"), "v2")
        .await;
    assert_eq!(accepted.status, 200, "{}", accepted.text());
    wait_until("another daemon to roll out v2", async || {
        are_on_v2(&site, others[0]).await
    })
    .await;
    let orders = orders(&site).await;
    site.daemons[frozen].process.signal(Signal::SIGCONT);
    wait_until("the woken daemon to know v2 and no lease", async || {
        site.version(frozen).await == 2
            && lease_phase(&site, frozen).await != "held"
            && are_on_v2(&site, frozen).await
    })
    .await;
    assert!(are_on_v2(&site, others[0]).await, "{}", site.logs());
    assert_eq!(self::orders(&site).await, orders, "{}", site.logs());
}

/// Returns the state of a daemon's one lease.
async fn lease_phase(site: &Site, daemon: usize) -> String {
    let dump = site.dump(daemon).await;
    let leases = dump["orders"]["leases"].as_array().cloned();
    let leases = leases.unwrap_or_default();
    let phase = leases.first().and_then(|lease| lease["phase"].as_str());
    phase.unwrap_or_default().to_owned()
}

/// Returns whether a daemon finds every engine ready with the second version.
async fn are_on_v2(site: &Site, daemon: usize) -> bool {
    let status = site
        .operator(daemon, http::Method::GET, "/v1/status", "")
        .await;
    let Some(status) = status.map(|status| status.json()) else {
        return false;
    };
    let rows = status["endpoints"].as_array().cloned().unwrap_or_default();
    let mut engines = rows.iter().filter(|row| row["service"] == "assistant");
    engines.all(|row| row["versions"][0] == "hist-7b@v2" && row["state"] == "ready")
}

/// Counts the orders that each engine has taken.
async fn orders(site: &Site) -> Vec<u64> {
    let mut counts = Vec::new();
    for engine in &site.engines {
        let answer = call(engine.address, http::Method::GET, "/control", &[], "").await;
        let counters: Value = answer.unwrap().json();
        counts.push(counters["taken_orders"].as_u64().unwrap());
    }
    counts
}
