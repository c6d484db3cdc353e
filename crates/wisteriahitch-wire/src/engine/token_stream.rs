//! Reads the tokens of a streamed answer from its body.

use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::unfold;
use http_body_util::BodyExt;
use tokio::time::timeout;

use super::body::DONE;
use super::{EngineError, EngineErrorKind, SseParser, Token, TokenStream};
use crate::http_client::TrackedBody;

/// Maximum wait for each event or the end of the body after the last token.
const BODY_END_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns a stream of the tokens in `body`. It ends when the answer is complete or fails.
///
/// Dropping the stream drops the body and closes the connection, which cancels the request at the
/// engine.
pub(super) fn read_tokens(body: TrackedBody) -> TokenStream {
    let reader = TokenReader {
        body,
        parser: SseParser::default(),
        state: ReadState::Tokens,
    };
    unfold(reader, |mut reader| async move {
        let token = reader.next_token().await?;
        Some((token, reader))
    })
    .boxed()
}

/// How far an answer has been read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ReadState {
    /// More tokens are expected.
    Tokens,
    /// The last token has been read, but not the end of the body.
    Finished,
    /// Reading is over, because the answer is complete or has failed.
    Ended,
}

struct TokenReader {
    body: TrackedBody,
    parser: SseParser,
    state: ReadState,
}

impl TokenReader {
    async fn next_token(&mut self) -> Option<Result<Token, EngineError>> {
        match self.state {
            ReadState::Tokens => {}
            ReadState::Finished => return self.read_end().await.map(Err),
            ReadState::Ended => return None,
        }
        let token = self.read_token().await;
        self.state = match &token {
            Err(_) => ReadState::Ended,
            Ok(token) if token.finish_reason.is_some() => ReadState::Finished,
            Ok(_) => ReadState::Tokens,
        };
        Some(token)
    }

    async fn read_token(&mut self) -> Result<Token, EngineError> {
        let Some(data) = self.next_event().await? else {
            // An engine that crashes between two tokens closes its connection like one that has
            // finished. Only the missing finish reason tells the truncated answer from a complete
            // one.
            return Err(connection_lost(
                "the stream ended before a token with a finish reason",
            ));
        };
        if data == DONE {
            return Err(malformed(
                "[DONE] arrived before a token with a finish reason",
            ));
        }
        serde_json::from_str(&data).map_err(|error| malformed(error.to_string()))
    }

    /// Reads the body to its end after the last token, so that the connection can be reused.
    ///
    /// The answer is already complete, so a body that breaks or does not end in time is not an
    /// error. Returns an error if more events than `[DONE]` follow.
    async fn read_end(&mut self) -> Option<EngineError> {
        self.state = ReadState::Ended;
        loop {
            match timeout(BODY_END_TIMEOUT, self.next_event()).await {
                Ok(Ok(Some(data))) if data == DONE => {}
                Ok(Ok(Some(_))) => return Some(malformed("events followed the last token")),
                Ok(Ok(None) | Err(_)) | Err(_) => return None,
            }
        }
    }

    async fn next_event(&mut self) -> Result<Option<String>, EngineError> {
        loop {
            let event = self.parser.next_event();
            if let Some(data) = event.map_err(|error| malformed(error.to_string()))? {
                return Ok(Some(data));
            }
            let Some(frame) = self.body.frame().await else {
                return Ok(None);
            };
            let frame = frame.map_err(|error| connection_lost(error.to_string()))?;
            if let Ok(chunk) = frame.into_data() {
                let pushed = self.parser.push(&chunk);
                pushed.map_err(|error| malformed(error.to_string()))?;
            }
        }
    }
}

fn connection_lost(detail: impl Into<String>) -> EngineError {
    EngineError::new(EngineErrorKind::Lost, detail)
}

fn malformed(detail: impl Into<String>) -> EngineError {
    EngineError::new(EngineErrorKind::Nonsense, detail)
}
