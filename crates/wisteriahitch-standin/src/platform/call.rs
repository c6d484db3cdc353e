//! Calls of the object API, parsed from method and URI.

use std::collections::BTreeMap;

use http::{Method, Uri};
use serde::Serialize;

use super::object_table::find_kind;

const API_ROOT: &str = "/apis/wisteriahitch.example/v1/";
const NAME_SELECTOR: &str = "metadata.name=";

/// Kind of operation; the call counters are kept by it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum CallMethod {
    Get,
    List,
    Watch,
    Create,
    Update,
    Delete,
}

impl CallMethod {
    /// Returns whether the call may change an object.
    pub(crate) fn is_write(self) -> bool {
        matches!(self, Self::Create | Self::Update | Self::Delete)
    }
}

/// One call of the object API.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) method: CallMethod,
    /// Kind of the object, as named in paths.
    pub(crate) kind: &'static str,
    /// Name of the object; empty for lists and creations.
    pub(crate) name: String,
    query: BTreeMap<String, String>,
}

impl Call {
    /// Parses a call; returns `None` if the API has no such call.
    pub(crate) fn try_parse(method: &Method, uri: &Uri) -> Option<Self> {
        let rest = uri.path().strip_prefix(API_ROOT)?;
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let kind = find_kind(kind)?;
        let query = parse_query(uri.query().unwrap_or(""));
        let has_name = !name.is_empty();
        let is_watch = query.contains_key("watch");
        let (method, name) = match (method, has_name) {
            (&Method::GET, true) => (CallMethod::Get, percent_decode(name)),
            (&Method::GET, false) if is_watch => (CallMethod::Watch, parse_selected_name(&query)?),
            (&Method::GET, false) => (CallMethod::List, String::new()),
            (&Method::POST, false) => (CallMethod::Create, String::new()),
            (&Method::PUT, true) => (CallMethod::Update, percent_decode(name)),
            (&Method::DELETE, true) => (CallMethod::Delete, percent_decode(name)),
            _ => return None,
        };
        Some(Self {
            method,
            kind,
            name,
            query,
        })
    }

    /// Returns a query parameter as a number, or `None` if it is absent or doesn't parse.
    pub(crate) fn query_number(&self, key: &str) -> Option<u64> {
        self.query.get(key)?.parse().ok()
    }
}

fn parse_selected_name(query: &BTreeMap<String, String>) -> Option<String> {
    let selector = query.get("fieldSelector")?;
    selector.strip_prefix(NAME_SELECTOR).map(str::to_owned)
}

fn parse_query(query: &str) -> BTreeMap<String, String> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(key, value)| (percent_decode(key), percent_decode(value)))
        .collect()
}

/// Decodes percent-encoded bytes such as `%41`; malformed ones are left unchanged.
fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while index < bytes.len() {
        let escaped = bytes
            .get(index + 1..index + 3)
            .filter(|_| bytes[index] == b'%');
        let code = escaped
            .and_then(|digits| std::str::from_utf8(digits).ok())
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        decoded.push(code.unwrap_or(bytes[index]));
        index += if code.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
