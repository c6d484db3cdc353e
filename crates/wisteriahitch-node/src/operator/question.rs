//! Request bodies of the operators' queries.

use bytes::Bytes;
use wisteriahitch_types::Code;

use crate::caller::Refusal;

/// Parses a JSON request body.
pub(crate) fn parse<T: serde::de::DeserializeOwned>(body: &Bytes) -> Result<T, Refusal> {
    serde_json::from_slice(body)
        .map_err(|error| Refusal::new(Code::BadJson).with_message(error.to_string()))
}
