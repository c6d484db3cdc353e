//! Turns the body of a streamed answer into tokens.

use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::unfold;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use super::body::DONE;
use super::{EngineError, EngineErrorKind, SseParser, Token, TokenStream};

/// Longest wait for the end of a body whose last token has come.
const END_WAIT: Duration = Duration::from_secs(1);

/// Reads tokens until the answer is whole or broken.
///
/// Dropping the stream drops the body, and with it the connection; an engine takes that as a
/// cancellation.
pub(super) fn read_tokens(body: Incoming) -> TokenStream {
    let reader = TokenReader {
        body,
        parser: SseParser::default(),
        step: Step::Tokens,
    };
    unfold(reader, |mut reader| async move {
        let token = reader.next_token().await?;
        Some((token, reader))
    })
    .boxed()
}

/// Names how far an answer has been read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Step {
    /// More tokens are due.
    Tokens,
    /// The last token has come, the end of the body has not.
    Finished,
    /// Nothing more is read.
    Ended,
}

struct TokenReader {
    body: Incoming,
    parser: SseParser,
    step: Step,
}

impl TokenReader {
    async fn next_token(&mut self) -> Option<Result<Token, EngineError>> {
        match self.step {
            Step::Tokens => {}
            Step::Finished => return self.read_end().await.map(Err),
            Step::Ended => return None,
        }
        let token = self.read_token().await;
        self.step = match &token {
            Err(_) => Step::Ended,
            Ok(token) if token.finish_reason.is_some() => Step::Finished,
            Ok(_) => Step::Tokens,
        };
        Some(token)
    }

    async fn read_token(&mut self) -> Result<Token, EngineError> {
        let Some(data) = self.next_event().await? else {
            // An engine that dies between two tokens closes its connection like one that has
            // finished. The caller would take half an answer for a whole one; only the missing
            // finish reason shows it.
            return Err(lost("the stream ended before its last token"));
        };
        if data == DONE {
            return Err(nonsense("the end came before a token with a finish reason"));
        }
        serde_json::from_str(&data).map_err(|error| nonsense(error.to_string()))
    }

    /// Reads what follows the last token, so that the connection can be used again.
    ///
    /// The answer is whole by now, so a body that doesn't end in time or breaks is no failure;
    /// more tokens are.
    async fn read_end(&mut self) -> Option<EngineError> {
        self.step = Step::Ended;
        loop {
            match timeout(END_WAIT, self.next_event()).await {
                Ok(Ok(Some(data))) if data == DONE => {}
                Ok(Ok(Some(_))) => return Some(nonsense("an event came after the last token")),
                Ok(Ok(None) | Err(_)) | Err(_) => return None,
            }
        }
    }

    async fn next_event(&mut self) -> Result<Option<String>, EngineError> {
        loop {
            let event = self.parser.next_event();
            if let Some(data) = event.map_err(|error| nonsense(error.to_string()))? {
                return Ok(Some(data));
            }
            let Some(frame) = self.body.frame().await else {
                return Ok(None);
            };
            let frame = frame.map_err(|error| lost(error.to_string()))?;
            if let Ok(piece) = frame.into_data() {
                let pushed = self.parser.push(&piece);
                pushed.map_err(|error| nonsense(error.to_string()))?;
            }
        }
    }
}

fn lost(detail: impl Into<String>) -> EngineError {
    EngineError::new(EngineErrorKind::Lost, detail)
}

fn nonsense(detail: impl Into<String>) -> EngineError {
    EngineError::new(EngineErrorKind::Nonsense, detail)
}
