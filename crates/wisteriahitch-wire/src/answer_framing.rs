//! How the end of an answer's body is recognised.

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Method, StatusCode};

/// How the end of an answer's body is recognised (RFC 9112, section 6.3).
///
/// # Examples
///
/// ```
/// use http::{HeaderMap, Method, StatusCode};
/// use wisteriahitch_wire::answer_framing::AnswerFraming;
///
/// let headers = HeaderMap::new();
/// let framing = AnswerFraming::of(&Method::GET, StatusCode::OK, &headers);
/// assert_eq!(framing, AnswerFraming::Close);
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerFraming {
    /// The head states the length, or the answer has no body.
    Length,
    /// The last chunk is marked.
    Chunks,
    /// The body ends with its connection. A process that is killed closes its connections in the same
    /// way, so the end proves nothing by itself.
    Close,
}

impl AnswerFraming {
    /// Returns the framing of the answer to a request with `method`.
    pub fn of(method: &Method, status: StatusCode, headers: &HeaderMap) -> Self {
        let has_no_body = method == Method::HEAD
            || status.is_informational()
            || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        if has_no_body {
            return Self::Length;
        }
        let last_coding = headers.get_all(TRANSFER_ENCODING).iter().next_back();
        match last_coding.map(|value| value.to_str().unwrap_or_default()) {
            Some(codings) if ends_in_chunked(codings) => Self::Chunks,
            Some(_) => Self::Close,
            None if headers.contains_key(CONTENT_LENGTH) => Self::Length,
            None => Self::Close,
        }
    }

    /// Returns the label for logs.
    pub const fn label(self) -> &'static str {
        match self {
            AnswerFraming::Length => "length",
            AnswerFraming::Chunks => "chunks",
            AnswerFraming::Close => "close",
        }
    }
}

fn ends_in_chunked(codings: &str) -> bool {
    let last = codings.rsplit(',').next().unwrap_or_default();
    last.trim().eq_ignore_ascii_case("chunked")
}
