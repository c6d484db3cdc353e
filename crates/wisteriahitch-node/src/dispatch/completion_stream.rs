//! Following the tokens of one attempt.

use std::time::Duration;

use tokio::sync::mpsc::error::SendError;
use tokio::time::{Instant, timeout_at};
use tokio_stream::StreamExt;
use wisteriahitch_core::stream::{HeadVerdict, StreamHead, StreamToken, TokenVerdict};
use wisteriahitch_types::DurationUs;
use wisteriahitch_wire::engine::{
    CompletionHead, EngineError, EngineErrorKind, Token, TokenStream,
};

use super::completion_call::Piece;
use super::completion_plan::Plan;
use super::completion_run::{Ended, Run};
use crate::state::Flight;

/// Longest pause between two tokens before the endpoint counts as frozen.
const TOKEN_STALL_US: DurationUs = DurationUs::from_ms(5_000);

/// Shortest wait for a first token before the endpoint counts as frozen.
const MIN_FIRST_TOKEN_WAIT_US: DurationUs = DurationUs::from_ms(2_000);

/// How many times as long as estimated a first token may take.
const FIRST_TOKEN_SLACK: u64 = 4;

impl Run<'_> {
    /// Passes tokens on as long as each is the next one of this very attempt.
    pub(super) async fn follow(
        &mut self,
        plan: &Plan,
        flight: &Flight,
        head: CompletionHead,
        mut stream: TokenStream,
    ) -> Ended {
        if let Err(error) = self.check_head(&head) {
            return Ended::Failed(error);
        }
        let wait_us = self.first_token_wait(plan.choice.estimate.first_token_us);
        let mut due = Instant::now() + Duration::from(wait_us);
        loop {
            // The time runs on over tokens that are dropped: an endpoint that sends nothing but
            // another request's tokens would otherwise hold the caller for ever.
            let next = tokio::select! {
                next = timeout_at(due, stream.next()) => next,
                () = self.pieces.closed() => return Ended::CallerGone,
            };
            let token = match next {
                Ok(Some(Ok(token))) => token,
                Ok(Some(Err(error))) => return Ended::Failed(error),
                Ok(None) => return failed(EngineErrorKind::Lost, "the stream ended early"),
                Err(_) => return failed(EngineErrorKind::Timeout, "no token in time"),
            };
            let verdict = self.check.on_token(&stream_token(&token));
            match verdict {
                TokenVerdict::Pass | TokenVerdict::PassLast => {}
                TokenVerdict::Drop(_) => continue,
                TokenVerdict::Missing => {
                    return failed(EngineErrorKind::Nonsense, "a token is missing");
                }
            }
            if self.pass_on(flight, &head, token).await.is_err() {
                return Ended::CallerGone;
            }
            due = Instant::now() + Duration::from(TOKEN_STALL_US);
            if verdict == TokenVerdict::PassLast {
                return Ended::Whole;
            }
        }
    }

    async fn pass_on(
        &mut self,
        flight: &Flight,
        head: &CompletionHead,
        token: Token,
    ) -> Result<(), SendError<Piece>> {
        if !self.has_sent_head {
            self.has_sent_head = true;
            self.note_first_token(flight, head);
            self.pieces.send(Piece::Head(head.clone())).await?;
        }
        self.pieces.send(Piece::Token(token)).await
    }

    /// Checks that the answer is this attempt's and comes from the version that was decided for.
    fn check_head(&mut self, head: &CompletionHead) -> Result<(), EngineError> {
        let verdict = self.check.on_head(&StreamHead {
            request: head.request_id.clone(),
            attempt: head.attempt,
            weight_version: head.weight_version.clone(),
        });
        let detail = match verdict {
            HeadVerdict::Pass => return Ok(()),
            HeadVerdict::Drop(_) => "the answer is another request's",
            HeadVerdict::WrongVersion => "the answer comes from another weight version",
        };
        Err(EngineError::new(EngineErrorKind::Nonsense, detail))
    }

    /// Returns how long the first token may take before another endpoint is tried.
    ///
    /// A frozen endpoint keeps its connections open and says nothing. Waiting for the deadline
    /// would use up the time in which another one could answer.
    pub(super) fn first_token_wait(&self, expected_us: DurationUs) -> DurationUs {
        let patient_us = DurationUs::new(expected_us.get().saturating_mul(FIRST_TOKEN_SLACK));
        let patient_us = patient_us.max(MIN_FIRST_TOKEN_WAIT_US);
        match self.has_sent_head {
            // The deadline is that of the first token, which the caller has.
            true => patient_us,
            false => patient_us.min(self.call.due_us().since(self.shared.clock.now())),
        }
    }

    fn note_first_token(&self, flight: &Flight, head: &CompletionHead) {
        flight.first_token();
        let metrics = &self.shared.metrics;
        metrics.prompt_tokens.inc_by(self.call.prompt_tokens.get());
        metrics.cached_tokens.inc_by(head.cached_tokens.get());
        let taken_us = self.shared.clock.now().since(self.call.arrived_us);
        metrics.observe_first_token(taken_us);
    }
}

fn stream_token(token: &Token) -> StreamToken {
    StreamToken {
        request: token.request_id.clone(),
        attempt: token.attempt,
        position: token.position,
        is_last: token.finish_reason.is_some(),
    }
}

fn failed(kind: EngineErrorKind, detail: &str) -> Ended {
    Ended::Failed(EngineError::new(kind, detail))
}
