//! Fields of an answer as text.

use serde_json::Value;

/// Stands where an answer has no value.
const MISSING_VALUE: &str = "-";

/// Returns a field as text without quotes; a missing one is a dash.
pub(crate) fn field(value: &Value, name: &str) -> String {
    value_text(&value[name])
}

/// Returns a value as text; the elements of a list stand side by side.
pub(super) fn value_text(value: &Value) -> String {
    match value {
        Value::Null => MISSING_VALUE.to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(elements) if elements.is_empty() => MISSING_VALUE.to_owned(),
        Value::Array(elements) => {
            let texts: Vec<String> = elements.iter().map(value_text).collect();
            texts.join(" ")
        }
        other => other.to_string(),
    }
}

/// Renders any JSON with indentation.
pub(crate) fn pretty(value: &Value) -> String {
    let text = serde_json::to_string_pretty(value).unwrap_or_else(|_| value.to_string());
    text + "\n"
}
