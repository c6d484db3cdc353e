//! What comes after an attempt that failed.

use wisteriahitch_core::route::{Choice, Plan as RoutePlan};
use wisteriahitch_core::stream::{BreakDecision, StreamBreak};
use wisteriahitch_types::Code;
use wisteriahitch_wire::engine::{EngineError, EngineErrorKind};

use super::completion_plan::{AttemptPlan, plan_attempt};
use super::completion_run::CompletionRun;
use super::retry_after::RETRY_AFTER_US;
use crate::caller::Refusal;

/// Most attempts at one request.
const MAX_ATTEMPTS: u64 = 4;

impl CompletionRun<'_> {
    /// Decides after a failed attempt how the next one runs, or that there is none.
    pub(super) fn plan_next(
        &mut self,
        last: AttemptPlan,
        error: &EngineError,
    ) -> Result<AttemptPlan, Refusal> {
        let endpoint = last.choice.endpoint.clone();
        // The engine's own words may quote the prompt, so they are told to no shared log.
        log::info!(
            "request {} attempt {} at {endpoint}: {}",
            self.call.request_id,
            self.check.attempt(),
            error.code(),
        );
        log::debug!("attempt at {endpoint}: {error}");
        self.may_have_run |= !error.is_not_run();
        // A request that is wrong is so everywhere. Trying it at one endpoint after the other would
        // use up the retries of everybody, and could take the endpoints out one by one.
        let is_rejected = error.kind() == EngineErrorKind::Rejected;
        let has_attempts = !is_rejected && self.check.attempt().get() < MAX_ATTEMPTS;
        // Where nothing has reached the caller, another endpoint may well do better than the one
        // that just failed; only an answer that has begun depends on its own endpoint.
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
                    .moved_to(next.choice.endpoint.clone(), next.weight_version.clone());
                Ok(next)
            }
            Some(BreakDecision::Incomplete(code)) => {
                Err(Refusal::new(code).with_retry_after_us(RETRY_AFTER_US))
            }
            None => Err(Refusal::new(Code::Internal)),
        }
    }

    /// Plans at an endpoint that wasn't tried yet or, where there is none, at any.
    fn plan_elsewhere(&self) -> Result<AttemptPlan, Refusal> {
        let elsewhere = plan_attempt(self.shared, self.call, &self.tried);
        elsewhere.or_else(|_| plan_attempt(self.shared, self.call, &[]))
    }
}
