//! Relays the tokens of one attempt to the caller.

use std::time::Duration;

use tokio::sync::mpsc::error::SendError;
use tokio::time::{Instant, timeout_at};
use tokio_stream::StreamExt;
use wisteriahitch_core::stream::{HeadVerdict, StreamHead, StreamToken, TokenVerdict};
use wisteriahitch_types::DurationUs;
use wisteriahitch_wire::engine::{
    CompletionHead, EngineError, EngineErrorKind, Token, TokenStream,
};

use super::completion_call::CompletionEvent;
use super::completion_plan::AttemptPlan;
use super::completion_run::{AttemptEnd, CompletionRun};
use crate::state::AttemptGuard;

/// Maximum time between two tokens before the endpoint counts as frozen.
const TOKEN_STALL_TIMEOUT_US: DurationUs = DurationUs::from_ms(5_000);

/// Minimum timeout of the first token, whatever the estimate.
const MIN_FIRST_TOKEN_TIMEOUT_US: DurationUs = DurationUs::from_ms(2_000);

/// The first token's timeout is its estimated time multiplied by this factor.
const FIRST_TOKEN_TIMEOUT_FACTOR: u64 = 4;

impl CompletionRun<'_> {
    /// Relays tokens as long as each is the next one of this attempt.
    pub(super) async fn relay_tokens(
        &mut self,
        plan: &AttemptPlan,
        guard: &AttemptGuard,
        head: CompletionHead,
        mut stream: TokenStream,
    ) -> AttemptEnd {
        if let Err(error) = self.check_head(&head) {
            return AttemptEnd::Failed(error);
        }
        let first_token_timeout_us = self.first_token_timeout(plan.choice.estimate.first_token_us);
        let mut token_deadline = Instant::now() + Duration::from(first_token_timeout_us);
        loop {
            // Dropped tokens don't extend the deadline. Otherwise an endpoint that sends only
            // tokens of another request would keep the caller waiting forever.
            let next = tokio::select! {
                next = timeout_at(token_deadline, stream.next()) => next,
                () = self.events.closed() => return AttemptEnd::CallerGone,
            };
            let token = match next {
                Ok(Some(Ok(token))) => token,
                Ok(Some(Err(error))) => return AttemptEnd::Failed(error),
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
            if self.forward_token(guard, &head, token).await.is_err() {
                return AttemptEnd::CallerGone;
            }
            token_deadline = Instant::now() + Duration::from(TOKEN_STALL_TIMEOUT_US);
            if verdict == TokenVerdict::PassLast {
                return AttemptEnd::Complete;
            }
        }
    }

    async fn forward_token(
        &mut self,
        guard: &AttemptGuard,
        head: &CompletionHead,
        token: Token,
    ) -> Result<(), SendError<CompletionEvent>> {
        if !self.has_sent_head {
            self.has_sent_head = true;
            self.record_first_token(guard, head);
            self.events
                .send(CompletionEvent::Head(head.clone()))
                .await?;
        }
        self.events.send(CompletionEvent::Token(token)).await
    }

    /// Checks that the answer belongs to this attempt and comes from the planned weight version.
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

    /// Returns the timeout after which a missing first token makes the attempt fail.
    ///
    /// A frozen endpoint keeps its connections open and sends nothing. Waiting until the request's
    /// deadline would use up the time in which another endpoint could answer.
    pub(super) fn first_token_timeout(&self, expected_us: DurationUs) -> DurationUs {
        let timeout_us =
            DurationUs::new(expected_us.get().saturating_mul(FIRST_TOKEN_TIMEOUT_FACTOR));
        let timeout_us = timeout_us.max(MIN_FIRST_TOKEN_TIMEOUT_US);
        match self.has_sent_head {
            // The request's deadline applies to the first token only, which the caller already has.
            true => timeout_us,
            false => timeout_us.min(self.call.due_us().since(self.shared.clock.now())),
        }
    }

    fn record_first_token(&self, guard: &AttemptGuard, head: &CompletionHead) {
        guard.mark_first_token();
        let metrics = &self.shared.metrics;
        metrics.prompt_tokens.inc_by(self.call.prompt_tokens.get());
        metrics.cached_tokens.inc_by(head.cached_tokens.get());
        let elapsed_us = self.shared.clock.now().since(self.call.arrived_us);
        metrics.observe_first_token(elapsed_us);
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

fn failed(kind: EngineErrorKind, detail: &str) -> AttemptEnd {
    AttemptEnd::Failed(EngineError::new(kind, detail))
}
