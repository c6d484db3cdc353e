//! Conversion of TOML values to typed values.

use std::net::SocketAddr;
use std::str::FromStr;

use toml::de::DeValue;
use wisteriahitch_types::{
    AdapterName, AvailabilityZone, DaemonId, EndpointId, KeyHash, ModelName, ParseKeyError,
    RuleName, ServiceName, Share, StoreId, WeightVersion, WorkspaceId,
};

/// A type that can be read from a TOML value; the error is a message for the operator.
pub(crate) trait FromValue: Sized {
    /// Converts the value, or returns a message with what was expected and what was found.
    fn from_value(value: &DeValue<'_>) -> Result<Self, String>;
}

/// Returns the message for a value of the wrong type.
pub(crate) fn wrong_type(expected: &str, value: &DeValue<'_>) -> String {
    format!("expected {expected}, found {}", describe(value))
}

fn describe(value: &DeValue<'_>) -> &'static str {
    match value {
        DeValue::String(_) => "a string",
        DeValue::Integer(_) => "a whole number",
        DeValue::Float(_) => "a fraction",
        DeValue::Boolean(_) => "a boolean",
        DeValue::Datetime(_) => "a date",
        DeValue::Array(_) => "a list",
        DeValue::Table(_) => "a table",
    }
}

/// Returns an integer, or the message for a value that is not one.
pub(crate) fn whole_number(value: &DeValue<'_>) -> Result<i128, String> {
    let DeValue::Integer(integer) = value else {
        return Err(wrong_type("a whole number", value));
    };
    i128::from_str_radix(integer.as_str(), integer.radix())
        .map_err(|_| "the number is too large".to_owned())
}

fn text<'v>(value: &'v DeValue<'_>) -> Result<&'v str, String> {
    value.as_str().ok_or_else(|| wrong_type("a string", value))
}

impl FromValue for bool {
    fn from_value(value: &DeValue<'_>) -> Result<Self, String> {
        let found = value.as_bool();
        found.ok_or_else(|| wrong_type("true or false", value))
    }
}

impl FromValue for String {
    fn from_value(value: &DeValue<'_>) -> Result<Self, String> {
        text(value).map(str::to_owned)
    }
}

impl FromValue for SocketAddr {
    fn from_value(value: &DeValue<'_>) -> Result<Self, String> {
        let text = text(value)?;
        text.parse().map_err(|_| {
            format!("{text:?} is not an IP number with a port, such as \"127.0.0.1:8080\"")
        })
    }
}

impl FromValue for Share {
    fn from_value(value: &DeValue<'_>) -> Result<Self, String> {
        let text = match value {
            DeValue::Float(float) => float.as_str(),
            DeValue::Integer(integer) if integer.radix() == 10 => integer.as_str(),
            _ => return Err(wrong_type("a share from 0 to 1", value)),
        };
        let share = text.parse::<f64>().ok().map(Self::try_from);
        match share {
            Some(Ok(share)) => Ok(share),
            _ => Err(format!("must be a share from 0 to 1, found {text}")),
        }
    }
}

impl FromValue for KeyHash {
    fn from_value(value: &DeValue<'_>) -> Result<Self, String> {
        // The integer parser used by `KeyHash` accepts signs: `+1` would count as two digits, and
        // one hash could be written in two ways.
        let is_hex = text(value)?.chars().all(|c| c.is_ascii_hexdigit());
        match parse_text(value) {
            Ok(hash) if is_hex => Ok(hash),
            _ => Err(ParseKeyError.to_string()),
        }
    }
}

fn parse_text<T>(value: &DeValue<'_>) -> Result<T, String>
where
    T: FromStr,
    T::Err: ToString,
{
    text(value)?
        .parse()
        .map_err(|error: T::Err| error.to_string())
}

macro_rules! from_text {
    ($($name:ident),+ $(,)?) => {$(
        impl FromValue for $name {
            fn from_value(value: &DeValue<'_>) -> Result<Self, String> {
                parse_text(value)
            }
        }
    )+};
}

from_text!(
    AdapterName,
    AvailabilityZone,
    DaemonId,
    EndpointId,
    ModelName,
    RuleName,
    ServiceName,
    StoreId,
    WeightVersion,
    WorkspaceId,
);
