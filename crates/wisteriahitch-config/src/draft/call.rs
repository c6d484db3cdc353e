//! Methods and path prefixes in rules and repeatable calls.

use toml::de::DeValue;

use crate::model::is_plain_path;
use crate::read::FromValue;

/// Methods that a rule or a repeatable call may name.
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// Matches every method in a repeatable call.
const ANY_METHOD: &str = "*";

/// An HTTP method in upper case.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Method(pub(super) String);

impl FromValue for Method {
    fn from_value(value: &DeValue<'_>) -> Result<Self, String> {
        let text = String::from_value(value)?;
        if METHODS.contains(&text.as_str()) {
            return Ok(Self(text));
        }
        Err(format!("{text:?} is not one of {}", METHODS.join(", ")))
    }
}

/// An HTTP method in upper case, or `*` for every method.
pub(super) struct MethodOrAny(pub(super) String);

impl FromValue for MethodOrAny {
    fn from_value(value: &DeValue<'_>) -> Result<Self, String> {
        if value.as_str() == Some(ANY_METHOD) {
            return Ok(Self(ANY_METHOD.to_owned()));
        }
        match Method::from_value(value) {
            Ok(Method(text)) => Ok(Self(text)),
            Err(message) => Err(format!("{message} or {ANY_METHOD}")),
        }
    }
}

/// A prefix of a request path, without escapes.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct PathPrefix(pub(super) String);

impl FromValue for PathPrefix {
    fn from_value(value: &DeValue<'_>) -> Result<Self, String> {
        let text = String::from_value(value)?;
        if !text.starts_with('/') {
            return Err(format!("{text:?} does not start with /"));
        }
        if text.contains(['?', '#']) {
            return Err(format!(
                "{text:?} holds a query, and rules see the path alone"
            ));
        }
        // Escapes have two spellings (`%e5`, `%E5`), so a prefix with an escape would not match all
        // equivalent paths.
        if !is_plain_path(&text) || text.contains('%') {
            return Err(format!(
                "{text:?} can't match: paths with empty or dot segments, \
                 escapes or blanks are never served"
            ));
        }
        Ok(Self(text))
    }
}
