//! Renders the state of a site.

use serde_json::Value;

use super::field;
use super::field::value_text;

/// Reasons why a rollout doesn't update an endpoint yet: the name in the answer and its
/// description.
const BLOCKED_REASONS: [(&str, &str); 5] = [
    ("too_many_loading", "as many load at the site as may"),
    (
        "first_not_confirmed",
        "the first endpoint is still to confirm the version",
    ),
    (
        "needed_for_load",
        "the others couldn't carry the present load",
    ),
    ("no_lease", "this daemon doesn't hold the lease for orders"),
    ("no_report", "it hasn't reported its load"),
];

/// Renders daemons, endpoints, stores and rollouts; the first three are sorted by name.
pub fn status(value: &Value) -> String {
    let mut lines = format!(
        "daemon {} is {}, configuration {}\n",
        field(value, "daemon"),
        field(value, "state"),
        field(value, "config_version")
    );
    lines += &rows("daemons", value, "daemon", |row| {
        format!(
            "{}, configuration {}, {}",
            field(row, "state"),
            field(row, "config_version"),
            field(row, "availability_zone")
        )
    });
    lines += &rows("endpoints", value, "endpoint", |row| {
        format!(
            "{}, service {}, running {}, models {}",
            field(row, "state"),
            field(row, "service"),
            field(row, "running"),
            field(row, "versions")
        )
    });
    lines += &rows("stores", value, "store", |row| {
        format!(
            "{}, incarnation {}",
            field(row, "state"),
            field(row, "incarnation")
        )
    });
    lines + &rollouts(&value["rollout"])
}

fn rows(title: &str, value: &Value, name: &str, render: impl Fn(&Value) -> String) -> String {
    let rows = value[title].as_array().into_iter().flatten();
    let mut lines: Vec<String> = rows
        .map(|row| format!("  {}: {}\n", field(row, name), render(row)))
        .collect();
    lines.sort();
    format!("{title}:\n{}", lines.concat())
}

fn rollouts(rollout: &Value) -> String {
    let mut lines = format!(
        "rollout: {} of the wanted models ready, {} not yet\n",
        field(rollout, "done"),
        field(rollout, "pending")
    );
    for model in rollout["progress"].as_array().into_iter().flatten() {
        lines += &model_progress(model);
    }
    lines
}

fn model_progress(model: &Value) -> String {
    let mut line = format!("  {} to {}", field(model, "model"), field(model, "to"));
    if !model["from"].is_null() {
        line += &format!(" from {}", field(model, "from"));
    }
    line += &format!(
        ": {}, {} of {} endpoints, {} failures",
        field(model, "phase"),
        field(model, "done"),
        field(model, "total"),
        field(model, "failures")
    );
    let loading = &model["loading"];
    if loading.as_array().is_some_and(|names| !names.is_empty()) {
        line += &format!(", loading {}", value_text(loading));
    }
    line += "\n";
    for pair in model["blocked"].as_array().into_iter().flatten() {
        line += &format!(
            "    {} waits: {}\n",
            value_text(&pair[0]),
            blocked_reason(&value_text(&pair[1]))
        );
    }
    line
}

/// Describes why a rollout doesn't update an endpoint yet; an unknown reason is returned unchanged.
fn blocked_reason(name: &str) -> &str {
    let known = BLOCKED_REASONS.iter().find(|(reason, _)| *reason == name);
    known.map_or(name, |(_, description)| description)
}
