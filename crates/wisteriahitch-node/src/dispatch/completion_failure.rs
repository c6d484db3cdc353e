//! Decides how a completion continues after a failed attempt.

use wisteriahitch_core::route::{Choice, Plan as RoutePlan};
use wisteriahitch_core::stream::{BreakDecision, StreamBreak};
use wisteriahitch_types::Code;
use wisteriahitch_wire::engine::{EngineError, EngineErrorKind};

use super::completion_plan::{AttemptPlan, plan_attempt};
use super::completion_run::CompletionRun;
use super::retry_after::RETRY_AFTER_US;
use crate::caller::Refusal;

/// Maximum number of attempts for one request.
const MAX_ATTEMPTS: u64 = 4;

impl CompletionRun<'_> {
    /// Plans the next attempt after a failed one, or returns why there is none.
    pub(super) fn plan_next(
        &mut self,
        last: AttemptPlan,
        error: &EngineError,
    ) -> Result<AttemptPlan, Refusal> {
        let endpoint = last.choice.endpoint.clone();
        // The engine's error text may quote the prompt, so it is logged only at debug level.
        log::info!(
            "request {} attempt {} at {endpoint}: {}",
            self.call.request_id,
            self.check.attempt(),
            error.code(),
        );
        log::debug!("attempt at {endpoint}: {error}");
        self.may_have_run |= !error.is_not_run();
        // A request that an engine rejects as invalid is invalid at every endpoint. Retrying it
        // would use up the retry budget that all requests share, and could eject the endpoints one
        // by one.
        let is_rejected = error.kind() == EngineErrorKind::Rejected;
        let has_attempts = !is_rejected && self.check.attempt().get() < MAX_ATTEMPTS;
        // Before the caller has received anything, any endpoint may serve the request, and another
        // one is more likely to succeed. Only an answer that has begun is tied to its endpoint.
        let endpoint_version = match self.has_sent_head {
            true => self.shared.ready_version(&endpoint, &self.call.model.name),
            false => None,
        };
        let decision = self.check.on_break(&StreamBreak {
            code: error.code(),
            endpoint_version,
            may_restart: true,
            may_retry: has_attempts && self.shared.try_retry(),
        });
        match decision {
            Some(BreakDecision::Resume { .. }) => Ok(AttemptPlan {
                choice: Choice {
                    plan: RoutePlan::default(),
                    ..last.choice
                },
                ..last
            }),
            Some(BreakDecision::RestartInvisible { .. }) => {
                self.tried.push(endpoint);
                let next = self.plan_elsewhere()?;
                self.check
                    .set_target(next.choice.endpoint.clone(), next.weight_version.clone());
                Ok(next)
            }
            Some(BreakDecision::Incomplete(code)) => {
                Err(Refusal::new(code).with_retry_after_us(RETRY_AFTER_US))
            }
            None => Err(Refusal::new(Code::Internal)),
        }
    }

    /// Plans an attempt at an endpoint that hasn't been tried yet or, if there is none, at any.
    fn plan_elsewhere(&self) -> Result<AttemptPlan, Refusal> {
        let elsewhere = plan_attempt(self.shared, self.call, &self.tried);
        elsewhere.or_else(|_| plan_attempt(self.shared, self.call, &[]))
    }
}
