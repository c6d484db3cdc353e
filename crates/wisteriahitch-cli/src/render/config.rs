//! Renders submissions and accepted versions of the configuration.

use serde_json::Value;
use wisteriahitch::types::SubmissionId;

use super::field;

const MS_PER_S: u64 = 1_000;

/// Renders an accepted submission and how many other daemons stored the version before the answer.
pub fn accepted(value: &Value) -> String {
    format!(
        "accepted as version {} (submission {}), held by {} peers in {} other availability zones\n",
        field(value, "version"),
        field(value, "submission"),
        field(value, "held_by_peers"),
        field(value, "held_in_availability_zones"),
    )
}

/// Returns the instruction for a submission with an unknown outcome: submit again with the same id.
pub fn resubmit_hint(id: &SubmissionId) -> String {
    format!("to settle submission {id}, submit the same file with --submission {id}")
}

/// Renders the accepted versions, which the answer lists latest first, with their age at
/// `now_unix_ms`.
pub fn history(value: &Value, now_unix_ms: u64) -> String {
    let in_force = &value["in_force"];
    let entries = value["history"].as_array().into_iter().flatten();
    let render = |entry: &Value| {
        let in_force_suffix = match entry["version"] == *in_force {
            true => ", in force",
            false => "",
        };
        format!(
            "version {}: submission {}, accepted {}{in_force_suffix}\n",
            field(entry, "version"),
            field(entry, "submission"),
            age(entry, now_unix_ms),
        )
    };
    entries.map(render).collect()
}

fn age(entry: &Value, now_unix_ms: u64) -> String {
    match entry["accepted_at_unix_ms"].as_u64() {
        Some(at_ms) => format!("{} s ago", now_unix_ms.saturating_sub(at_ms) / MS_PER_S),
        None => "at an unknown time".to_owned(),
    }
}
