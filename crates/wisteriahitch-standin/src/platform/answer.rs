//! Execution of writes, and the answers to writes and refused calls.

use http::header::RETRY_AFTER;
use http::{HeaderValue, StatusCode};
use serde_json::json;
use wisteriahitch_types::DurationUs;

use super::call::{Call, CallMethod};
use super::object_table::{ObjectDocument, ObjectTable, WriteRefusal};
use crate::util::{Answer, answer_json};

/// Maximum length of an object's `spec` as JSON, in bytes.
const MAX_SPEC_BYTES: usize = 1_000_000;

/// Applies a write to the table and answers it; `document` is `None` for a deletion.
pub(crate) fn write_object(
    objects: &mut ObjectTable,
    call: &Call,
    document: Option<ObjectDocument>,
) -> Answer {
    let Some(document) = document else {
        let Some(expected) = call.query_number("resourceVersion") else {
            return refusal(StatusCode::BAD_REQUEST, "BadRequest");
        };
        return match objects.delete(call.kind, &call.name, expected) {
            Ok(()) => answer_json(StatusCode::OK, &json!({"status": "Success"})),
            Err(reason) => write_refusal_answer(reason),
        };
    };
    if document.spec.to_string().len() > MAX_SPEC_BYTES {
        return refusal(StatusCode::PAYLOAD_TOO_LARGE, "RequestEntityTooLarge");
    }
    let name = document.metadata.name;
    if call.method == CallMethod::Create {
        return match objects.create(call.kind, &name, document.spec) {
            Ok(object) => answer_json(StatusCode::CREATED, &object),
            Err(reason) => write_refusal_answer(reason),
        };
    }
    let expected = document.metadata.resource_version;
    let Some(expected) = expected.and_then(|text| text.parse().ok()) else {
        return refusal(StatusCode::BAD_REQUEST, "BadRequest");
    };
    match objects.update(call.kind, &call.name, document.spec, expected) {
        Ok(object) => answer_json(StatusCode::OK, &object),
        Err(reason) => write_refusal_answer(reason),
    }
}

fn write_refusal_answer(reason: WriteRefusal) -> Answer {
    match reason {
        WriteRefusal::AlreadyExists => refusal(StatusCode::CONFLICT, "AlreadyExists"),
        WriteRefusal::Conflict => refusal(StatusCode::CONFLICT, "Conflict"),
        WriteRefusal::NotFound => refusal(StatusCode::NOT_FOUND, "NotFound"),
    }
}

pub(crate) fn refusal(status: StatusCode, reason: &str) -> Answer {
    let body = json!({"kind": "Status", "code": status.as_u16(), "reason": reason});
    answer_json(status, &body)
}

pub(crate) fn too_many_requests(retry_after_us: DurationUs) -> Answer {
    let mut answer = refusal(StatusCode::TOO_MANY_REQUESTS, "TooManyRequests");
    let retry_after_s = retry_after_us.as_secs_f64().ceil().max(1.0);
    if let Ok(value) = HeaderValue::from_str(&retry_after_s.to_string()) {
        answer.headers_mut().insert(RETRY_AFTER, value);
    }
    answer
}
