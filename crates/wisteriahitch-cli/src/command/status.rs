//! The `status` command: prints the state of the site as a daemon reports it.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use serde_json::Value;

use crate::client::Client;
use crate::flags::{Status, Wisteriahitch};
use crate::output::print_answer;
use crate::render;

/// Time between two calls with `--watch`.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// Phase of a rollout that was rolled back after failures.
const STOPPED_PHASE: &str = "stopped";

/// Runs `wisteriahitch status`: once, or with `--watch` until no rollout is under way or one has
/// failed.
pub(crate) async fn run(flags: &Wisteriahitch, status: &Status) -> anyhow::Result<bool> {
    let mut client = Client::from_flags(flags)?;
    loop {
        let answer = client.call(Method::GET, "/v1/status", "").await?;
        let is_success = print_answer(&answer, flags.json, render::status)?;
        if !status.watch || !is_success {
            return Ok(is_success);
        }
        let value = answer.json()?;
        if is_rollout_stopped(&value) {
            return Ok(false);
        }
        if !is_rollout_under_way(&value) {
            return Ok(true);
        }
        // Only the daemon that gives the rollout orders knows whether a rollout has failed.
        if let Some(ordering_daemon) = find_ordering_daemon(&value) {
            client = client.with_preferred_address(ordering_daemon);
        }
        tokio::time::sleep(WATCH_INTERVAL).await;
    }
}

fn find_ordering_daemon(value: &Value) -> Option<SocketAddr> {
    value["rollout"]["ordered_by"].as_str()?.parse().ok()
}

fn is_rollout_under_way(value: &Value) -> bool {
    value["rollout"]["pending"].as_u64().unwrap_or(0) > 0
}

/// Returns whether a rollout has failed. Its pending models then stay pending, so waiting for it
/// to complete would never end.
fn is_rollout_stopped(value: &Value) -> bool {
    let progress = value["rollout"]["progress"].as_array();
    progress.is_some_and(|models| models.iter().any(|model| model["phase"] == STOPPED_PHASE))
}
