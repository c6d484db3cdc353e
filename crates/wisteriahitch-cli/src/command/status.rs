//! Prints the state of the site as the daemons report it.

use std::time::Duration;

use http::Method;
use serde_json::Value;

use crate::client::Client;
use crate::flags::{Status, Wisteriahitch};
use crate::output::{field, print_answer};

const WATCH_PAUSE: Duration = Duration::from_secs(1);

/// Runs `wisteriahitch status`, once or until no rollout is under way.
pub(crate) async fn run(flags: &Wisteriahitch, status: &Status) -> anyhow::Result<bool> {
    let client = Client::from_flags(flags)?;
    loop {
        let answer = client.call(Method::GET, "/v1/status", "").await?;
        let is_success = print_answer(&answer, flags.json, render)?;
        if !status.watch || !is_success || !is_rollout_under_way(&answer.json()?) {
            return Ok(is_success);
        }
        tokio::time::sleep(WATCH_PAUSE).await;
    }
}

fn is_rollout_under_way(value: &Value) -> bool {
    value["rollout"]["pending"].as_u64().unwrap_or(0) > 0
}

fn render(value: &Value) -> String {
    let mut text = format!(
        "daemon {} {} with configuration {}\n",
        field(value, "daemon"),
        field(value, "state"),
        field(value, "config_version")
    );
    text += &render_rows("daemons", value, &["daemon", "state", "config_version"]);
    text += &render_rows(
        "endpoints",
        value,
        &["endpoint", "state", "versions", "running"],
    );
    text += &render_rows("stores", value, &["store", "state", "used_bytes"]);
    let rollout = &value["rollout"];
    text += &format!(
        "rollout: {} done, {} pending\n",
        field(rollout, "done"),
        field(rollout, "pending")
    );
    text
}

fn render_rows(title: &str, value: &Value, fields: &[&str]) -> String {
    let rows = value[title].as_array().into_iter().flatten();
    let render = |row: &Value| {
        let cells: Vec<String> = fields.iter().map(|name| field(row, name)).collect();
        format!("  {}\n", cells.join("  "))
    };
    format!("{title}:\n{}", rows.map(render).collect::<String>())
}
