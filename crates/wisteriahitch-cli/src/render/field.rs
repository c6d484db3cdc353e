//! Renders single fields of an answer.

use serde_json::Value;

/// Printed in place of a missing, null or empty value.
const MISSING_VALUE: &str = "-";

/// Returns a field as text without quotes, or a dash if it is missing.
pub(crate) fn field(value: &Value, name: &str) -> String {
    value_text(&value[name])
}

/// Returns a value as text; the elements of a list are separated by spaces.
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

/// Renders JSON with indentation.
pub(crate) fn pretty(value: &Value) -> String {
    let text = serde_json::to_string_pretty(value).unwrap_or_else(|_| value.to_string());
    text + "\n"
}
