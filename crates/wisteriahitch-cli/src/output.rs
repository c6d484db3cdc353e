//! Printing answers for people and for scripts.

use http::StatusCode;
use serde_json::Value;

use crate::client::Answer;

/// Prints an answer and returns whether it was a success.
///
/// For people, `render` turns the JSON into lines; failures are told by their code.
pub(crate) fn print_answer(
    answer: &Answer,
    as_json: bool,
    render: impl Fn(&Value) -> String,
) -> anyhow::Result<bool> {
    let value = answer.json()?;
    let is_success = answer.status.is_success();
    if as_json {
        println!("{value}");
    } else if is_success {
        print!("{}", render(&value));
    } else {
        eprint!("{}", render_failure(answer.status, &value));
    }
    Ok(is_success)
}

/// Renders any JSON with indentation.
pub(crate) fn render_pretty(value: &Value) -> String {
    let text = serde_json::to_string_pretty(value).unwrap_or_else(|_| value.to_string());
    text + "\n"
}

/// Returns a field as text without quotes; a missing one is a dash.
pub(crate) fn field(value: &Value, name: &str) -> String {
    match &value[name] {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Renders a failure: its problems one a line, or its code and message.
pub(crate) fn render_failure(status: StatusCode, value: &Value) -> String {
    if let Some(problems) = value["problems"].as_array() {
        return problems.iter().map(render_problem).collect();
    }
    let error = &value["error"];
    let mut line = format!("{} {}", field(error, "code"), field(error, "message"));
    if let Some(version) = error["winning_version"].as_u64() {
        line += &format!(" (version {version} won)");
    }
    if let Some(wait_ms) = error["retry_after_ms"].as_u64() {
        line += &format!(" (come back in {wait_ms} ms)");
    }
    format!("refused with status {}: {line}\n", status.as_u16())
}

fn render_problem(problem: &Value) -> String {
    format!(
        "{}:{}: {} {}\n",
        field(problem, "line"),
        field(problem, "column"),
        field(problem, "code"),
        field(problem, "message")
    )
}
