//! Refusals: the error responses to callers.

use bytes::Bytes;
use http::{Response, StatusCode};
use serde::Serialize;
use wisteriahitch_types::{Code, DurationUs, Meaning, RequestId};

use super::body::{ResponseBody, full_body};

const MS_PER_S: u64 = 1_000;

/// An error response: a numbered code, its meaning for the request and an optional retry time.
///
/// A refusal is sent as soon as it is decided; a request that has been given up is never kept open
/// until its deadline (`docs/ERRORS.md`).
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    code: Code,
    meaning: Meaning,
    message: String,
    retry_after_us: Option<DurationUs>,
}

#[derive(Serialize)]
struct RefusalBody<'a> {
    error: RefusalFields<'a>,
}

#[derive(Serialize)]
struct RefusalFields<'a> {
    code: Code,
    name: &'a str,
    meaning: Meaning,
    message: &'a str,
    request_id: &'a RequestId,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates a refusal with the code's default message and meaning.
    pub(crate) fn new(code: Code) -> Self {
        Self {
            code,
            meaning: code.meaning(),
            message: code.summary().to_owned(),
            retry_after_us: None,
        }
    }

    /// Replaces the message, which must not name anything of another workspace.
    pub(crate) fn with_message(mut self, message: impl Into<String>) -> Self {
        self.message = message.into();
        self
    }

    /// Sets the time after which the caller may retry.
    pub(crate) fn with_retry_after_us(mut self, retry_after_us: DurationUs) -> Self {
        self.retry_after_us = Some(retry_after_us);
        self
    }

    /// Changes the meaning to `outcome unknown`.
    ///
    /// While another copy of a keyed request may be in transit to another daemon, only the daemon
    /// that decides for the key knows that the request was not run (`docs/design/at-most-once.md`).
    pub(crate) fn with_outcome_unknown(mut self) -> Self {
        self.meaning = Meaning::OutcomeUnknown;
        self
    }

    /// Returns the numbered code.
    pub(crate) fn code(&self) -> Code {
        self.code
    }

    /// Returns what the refusal says about the request: whether it was not run or its outcome is
    /// unknown.
    pub(crate) fn meaning(&self) -> Meaning {
        self.meaning
    }

    /// Renders the JSON used in response bodies and in the `error` event of an incomplete stream.
    pub(crate) fn to_json(&self, request_id: &RequestId) -> Bytes {
        let body = RefusalBody {
            error: RefusalFields {
                code: self.code,
                name: self.code.name(),
                meaning: self.meaning,
                message: &self.message,
                request_id,
                retry_after_ms: self.retry_after_us.map(DurationUs::as_ms),
            },
        };
        Bytes::from(serde_json::to_vec(&body).unwrap_or_default())
    }

    /// Renders the HTTP response.
    pub(crate) fn to_response(&self, request_id: &RequestId) -> Response<ResponseBody> {
        let status = StatusCode::from_u16(self.code.http_status())
            .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut builder = Response::builder()
            .status(status)
            .header("content-type", "application/json")
            .header("x-request-id", request_id.as_str())
            .header("x-wisteriahitch-code", self.code.to_string())
            .header("x-wisteriahitch-meaning", meaning_label(self.meaning));
        if let Some(wait_us) = self.retry_after_us {
            builder = builder
                .header("retry-after", wait_us.as_ms().div_ceil(MS_PER_S))
                .header("x-retry-after-ms", wait_us.as_ms());
        }
        builder
            .body(full_body(self.to_json(request_id)))
            .unwrap_or_else(|_| Response::new(full_body(Bytes::new())))
    }
}

/// Returns the value of the header `x-wisteriahitch-meaning`.
pub(crate) fn meaning_label(meaning: Meaning) -> &'static str {
    match meaning {
        Meaning::NotRun => "not_run",
        Meaning::OutcomeUnknown => "outcome_unknown",
        Meaning::Notice => "notice",
    }
}
