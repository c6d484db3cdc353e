//! Failures of an HTTP call.

use std::error::Error as StdError;
use std::fmt;

use hyper_util::client::legacy::Error as ClientError;

/// Sorts failed calls by what may be concluded about the request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum HttpErrorKind {
    /// No byte of the request left.
    NotSent,
    /// A byte may have left, and the answer didn't arrive whole in time.
    Timeout,
    /// A byte may have left, and the connection broke before the answer was whole.
    Lost,
    /// A byte may have left, and the answer isn't HTTP or doesn't say where it ends.
    Malformed,
    /// A byte may have left, and the answer is larger than the limit.
    TooLarge,
}

/// Reports a failed HTTP call.
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

    /// Returns the sort of failure.
    pub fn kind(&self) -> HttpErrorKind {
        self.kind
    }

    /// Returns the text for the log.
    pub fn detail(&self) -> &str {
        &self.detail
    }

    /// Sorts a failure of sending a request and waiting for its answer's head.
    pub(super) fn of_request(error: &ClientError) -> Self {
        if was_never_sent(error) {
            Self::new(HttpErrorKind::NotSent, describe(error))
        } else {
            Self::after_send(error)
        }
    }

    /// Sorts a failure that was met after a byte may have left.
    pub(crate) fn after_send(error: &(dyn StdError + 'static)) -> Self {
        let is_parse = get_hyper_error(error).is_some_and(hyper::Error::is_parse);
        let kind = if is_parse {
            HttpErrorKind::Malformed
        } else {
            HttpErrorKind::Lost
        };
        Self::new(kind, describe(error))
    }
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "HTTP call failed ({:?}): {}", self.kind, self.detail)
    }
}

/// Returns whether the library knows that the request never went to a connection.
fn was_never_sent(error: &ClientError) -> bool {
    error.is_connect() || get_hyper_error(error).is_some_and(hyper::Error::is_canceled)
}

fn get_hyper_error<'a>(error: &'a (dyn StdError + 'static)) -> Option<&'a hyper::Error> {
    let mut next = Some(error);
    while let Some(error) = next {
        if let Some(found) = error.downcast_ref() {
            return Some(found);
        }
        next = error.source();
    }
    None
}

fn describe(error: &(dyn StdError + 'static)) -> String {
    let mut text = error.to_string();
    let mut next = error.source();
    while let Some(cause) = next {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        next = cause.source();
    }
    text
}
