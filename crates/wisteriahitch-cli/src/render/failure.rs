//! Renders refusals and configuration problems.

use http::StatusCode;
use serde_json::Value;

use super::field;

/// Printed in place of the file name if it is not known.
const UNNAMED_FILE: &str = "text";

/// Renders a failure as one line per problem, or as one line with its code and message.
///
/// `file` is the submitted file; problems are printed with it in the format of `config check`.
pub fn failure(status: StatusCode, value: &Value, file: Option<&str>) -> String {
    if let Some(problems) = value["problems"].as_array() {
        let file = file.unwrap_or(UNNAMED_FILE);
        return problems.iter().map(|row| problem(row, file)).collect();
    }
    let error = &value["error"];
    let mut line = format!("{} {}", field(error, "code"), field(error, "message"));
    if let Some(version) = error["winning_version"].as_u64() {
        line += &format!(" Version {version} is in force.");
    }
    if let Some(wait_ms) = error["retry_after_ms"].as_u64() {
        line += &format!(" Come back in {wait_ms} ms.");
    }
    format!("refused with status {}: {line}\n", status.as_u16())
}

/// Renders one problem. If it is in a section that is already in force, its location is that
/// section and not the submitted file.
fn problem(problem: &Value, file: &str) -> String {
    let location = match problem["section"].as_str() {
        Some(section) => format!("{section} (in force)"),
        None => file.to_owned(),
    };
    let path = match problem["path"].as_str() {
        Some(path) if !path.is_empty() => format!(" {path}"),
        _ => String::new(),
    };
    format!(
        "{location}:{}:{}: {}{path}: {}\n",
        field(problem, "line"),
        field(problem, "column"),
        field(problem, "code"),
        field(problem, "message")
    )
}
