//! Errors of an HTTP call.

use std::error::Error as StdError;
use std::fmt;
use std::io;

use hyper_util::client::legacy::Error as ClientError;

use crate::answer_meter::EndlessAnswer;

/// Classes of failed calls, by what they imply about the request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum HttpErrorKind {
    /// No byte of the request was sent.
    NotSent,
    /// A byte may have been sent, and the complete answer did not arrive before the deadline.
    Timeout,
    /// A byte may have been sent, and the connection broke before the answer was complete.
    Lost,
    /// A byte may have been sent, and the answer is not HTTP or its body has no defined end.
    Malformed,
    /// A byte may have been sent, and the answer exceeds the size limit.
    TooLarge,
}

/// Error of a failed HTTP call.
#[derive(Clone, Debug, thiserror::Error)]
pub struct HttpError {
    kind: HttpErrorKind,
    detail: String,
}

impl HttpError {
    /// Builds an error of `kind` with a `detail` for the log.
    pub fn new(kind: HttpErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
        }
    }

    /// Returns the class of the failure.
    pub fn kind(&self) -> HttpErrorKind {
        self.kind
    }

    /// Returns the detail for the log.
    pub fn detail(&self) -> &str {
        &self.detail
    }

    /// Classifies a failure of sending a request or waiting for the head of its answer.
    pub(super) fn from_request_error(error: &ClientError) -> Self {
        if was_never_sent(error) {
            Self::new(HttpErrorKind::NotSent, with_causes(error))
        } else {
            Self::from_error_after_send(error)
        }
    }

    /// Classifies a failure of reading the body of an answer.
    pub fn from_body_error(error: &hyper::Error) -> Self {
        Self::from_error_after_send(error)
    }

    /// Classifies a failure that occurred after a byte may have been sent.
    pub(crate) fn from_error_after_send(error: &(dyn StdError + 'static)) -> Self {
        let is_parse = find_hyper_error(error).is_some_and(hyper::Error::is_parse);
        let kind = if is_parse || is_invalid_data(error) {
            HttpErrorKind::Malformed
        } else {
            HttpErrorKind::Lost
        };
        Self::new(kind, with_causes(error))
    }
}

impl From<EndlessAnswer> for HttpError {
    fn from(excess: EndlessAnswer) -> Self {
        Self::new(HttpErrorKind::Malformed, excess.to_string())
    }
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "HTTP call failed ({:?}): {}", self.kind, self.detail)
    }
}

/// Returns whether the library knows that it wrote the request to no connection.
fn was_never_sent(error: &ClientError) -> bool {
    error.is_connect() || find_hyper_error(error).is_some_and(hyper::Error::is_canceled)
}

fn find_hyper_error<'a>(error: &'a (dyn StdError + 'static)) -> Option<&'a hyper::Error> {
    let mut next = Some(error);
    while let Some(error) = next {
        if let Some(found) = error.downcast_ref() {
            return Some(found);
        }
        next = error.source();
    }
    None
}

/// Returns whether an error says that the bytes of an answer are not valid or exceed a bound, which
/// sockets don't report.
fn is_invalid_data(error: &(dyn StdError + 'static)) -> bool {
    let mut next = Some(error);
    while let Some(error) = next {
        let kind = error.downcast_ref().map(io::Error::kind);
        if let Some(io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput) = kind {
            return true;
        }
        next = error.source();
    }
    false
}

/// Returns whether an error says that nothing more is written to a socket: it is broken, or the
/// request may no longer be sent.
pub(crate) fn is_broken_socket(error: &(dyn StdError + 'static)) -> bool {
    let mut next = Some(error);
    while let Some(error) = next {
        let kind = error.downcast_ref().map(io::Error::kind);
        if let Some(
            io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe | io::ErrorKind::TimedOut,
        ) = kind
        {
            return true;
        }
        next = error.source();
    }
    false
}

pub(crate) fn with_causes(error: &(dyn StdError + 'static)) -> String {
    let mut text = error.to_string();
    let mut next = error.source();
    while let Some(cause) = next {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        next = cause.source();
    }
    text
}
