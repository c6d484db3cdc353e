//! Renders the explanation of a routing decision.

use serde_json::Value;

use super::field;

const US_PER_MS: f64 = 1_000.0;
const US_PER_S: f64 = 1_000_000.0;

/// Fields of a route that are printed if present, with the label before the value.
const ROUTE_FIELDS: [(&str, &str); 4] = [
    ("adapter", "adapter"),
    ("priority", "priority"),
    ("first_token_weight", "first token weight"),
    ("save", "save"),
];

/// Renders the rules that were tried, the action, and each endpoint with its estimated cost.
pub fn explain(value: &Value) -> String {
    let mut lines = format!("rule {} decides\n", field(value, "rule"));
    for tried in value["tried"].as_array().into_iter().flatten() {
        lines += &format!("  {}\n", field(tried, "outcome"));
    }
    lines += &action(&value["action"]);
    if !value["refusal"].is_null() {
        lines += &format!("no endpoint takes it: {}\n", field(value, "refusal"));
    }
    if !value["endpoint"].is_null() {
        lines += &format!("endpoint {}{}\n", field(value, "endpoint"), plan(value));
    }
    for row in value["weighed"].as_array().into_iter().flatten() {
        lines += &scored_endpoint(row);
    }
    lines
}

fn action(action: &Value) -> String {
    let refusal = &action["refuse"];
    if !refusal.is_null() {
        return format!(
            "refuses: {} (come back in {})\n",
            field(refusal, "reason"),
            duration(refusal, "retry_after_us"),
        );
    }
    let route = &action["route"];
    let mut line = format!("routes to service {}", field(route, "service"));
    for (name, label) in ROUTE_FIELDS {
        if !route[name].is_null() {
            line += &format!(", {label} {}", field(route, name));
        }
    }
    if let Some(may_repeat) = route["may_repeat"].as_bool() {
        line += match may_repeat {
            true => ", may be repeated",
            false => ", may not be repeated",
        };
    }
    line + &format!(", deadline {}\n", duration(route, "deadline_us"))
}

/// Renders how many prompt tokens are resident, imported and computed; empty without a prompt.
fn plan(value: &Value) -> String {
    let plan = &value["plan"];
    let imported = plan["import"].as_array().map_or(&[][..], Vec::as_slice);
    let tokens = |name: &str| plan[name].as_u64().unwrap_or(0);
    let imported: u64 = imported
        .iter()
        .filter_map(|step| step["tokens"].as_u64())
        .sum();
    let (resident, computed) = (tokens("resident_tokens"), tokens("recompute_tokens"));
    if resident + imported + computed == 0 {
        return String::new();
    }
    format!(": {resident} tokens resident, {imported} imported, {computed} computed")
}

fn scored_endpoint(row: &Value) -> String {
    format!(
        "  {}: first token {} (queue {}, transfer {}, prefill {}), cost {}\n",
        field(row, "endpoint"),
        duration(row, "first_token_us"),
        duration(row, "queue_us"),
        duration(row, "transfer_us"),
        duration(row, "prefill_us"),
        duration(row, "cost"),
    )
}

/// Renders a field in microseconds as milliseconds, or as seconds if it is at least one second.
fn duration(value: &Value, name: &str) -> String {
    match value[name].as_f64() {
        Some(duration_us) if duration_us >= US_PER_S => format!("{:.1} s", duration_us / US_PER_S),
        Some(duration_us) => format!("{:.1} ms", duration_us / US_PER_MS),
        None => field(value, name),
    }
}
