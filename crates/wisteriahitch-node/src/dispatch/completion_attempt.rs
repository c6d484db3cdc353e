//! A single attempt at a completion, from dispatch to its end.

use std::net::SocketAddr;

use tokio::task::JoinHandle;
use wisteriahitch_core::route::{AttemptFailure, engine_priority};
use wisteriahitch_wire::engine::{BlockRef, CompletionRequest, EngineError, EngineErrorKind};

use super::completion_plan::AttemptPlan;
use super::completion_run::{AttemptEnd, CompletionRun};
use super::import;
use crate::state::AttemptGuard;

impl CompletionRun<'_> {
    pub(super) async fn attempt(&mut self, plan: &AttemptPlan) -> AttemptEnd {
        let choice = &plan.choice;
        let expected_us = choice.estimate.first_token_us;
        let recompute = choice.plan.recompute_tokens;
        let Some(guard) = self
            .shared
            .start_attempt(&choice.endpoint, recompute, expected_us)
        else {
            return AttemptEnd::Failed(EngineError::new(
                EngineErrorKind::NotSent,
                "endpoint is gone",
            ));
        };
        let imported = import::run(self.shared, self.call, choice, &plan.weight_version);
        tokio::select! {
            () = imported => {}
            () = self.events.closed() => return self.cancel_import(),
        }
        self.wait_for_cancellations(guard.address()).await;
        let request = self.completion_request(plan);
        let head_timeout_us = self.first_token_timeout(choice.estimate.first_token_us);
        let opening =
            self.shared
                .clients
                .engine
                .complete(guard.address(), request, head_timeout_us);
        let opened = tokio::select! {
            opened = opening => opened,
            () = self.events.closed() => return self.finish(guard, plan, AttemptEnd::CallerGone),
        };
        let ended = match opened {
            Ok((head, stream)) => self.relay_tokens(plan, &guard, head, stream).await,
            Err(error) => AttemptEnd::Failed(error),
        };
        self.finish(guard, plan, ended)
    }

    fn cancel_import(&self) -> AttemptEnd {
        self.shared.cancel_import(&self.call.request_id);
        AttemptEnd::CallerGone
    }

    /// Waits for the pending cancellations of earlier attempts at this endpoint.
    ///
    /// An engine cancels by the request's id alone, without the attempt number. A cancellation that
    /// arrives late would end the new attempt, visible as a retry that fails at once at a healthy
    /// endpoint.
    async fn wait_for_cancellations(&mut self, address: SocketAddr) {
        let pending_cancellations = std::mem::take(&mut self.pending_cancellations);
        let (same_endpoint, other_endpoints) = pending_cancellations
            .into_iter()
            .partition(|(to, _)| *to == address);
        self.pending_cancellations = other_endpoints;
        let same_endpoint: Vec<(SocketAddr, JoinHandle<()>)> = same_endpoint;
        for (_, cancellation) in same_endpoint {
            // A task that panicked has no cancellation in transit either, so its error is ignored.
            let _ = cancellation.await;
        }
    }

    fn completion_request(&self, plan: &AttemptPlan) -> CompletionRequest {
        let blocks = plan.chain.blocks.iter();
        CompletionRequest {
            request_id: self.call.request_id.clone(),
            attempt: self.check.attempt(),
            model: self.call.model.name.clone(),
            adapter: self.call.adapter.clone(),
            weight_version: plan.weight_version.clone(),
            prompt: self.call.prompt.clone(),
            max_tokens: self.call.max_tokens,
            priority: engine_priority(
                self.call.route.priority,
                plan.choice.plan.recompute_tokens,
                self.call.model.piece_tokens,
            ),
            position: self.check.next_position(),
            blocks: blocks
                .map(|b| BlockRef {
                    key: b.key,
                    tokens: b.tokens,
                })
                .collect(),
        }
    }

    /// Records how the attempt ended and cancels what may still run at the endpoint.
    fn finish(&mut self, guard: AttemptGuard, plan: &AttemptPlan, ended: AttemptEnd) -> AttemptEnd {
        let outcome = match &ended {
            AttemptEnd::Complete => "answered",
            AttemptEnd::CallerGone => "caller_gone",
            AttemptEnd::Failed(error) => outcome_label(error.kind()),
        };
        self.shared
            .metrics
            .attempts
            .with_label_values(&[outcome])
            .inc();
        let address = guard.address();
        match &ended {
            AttemptEnd::Complete => {
                guard.mark_succeeded();
                self.shared.record_completed_request(
                    self.call,
                    &plan.chain,
                    &plan.choice.endpoint,
                    &plan.weight_version,
                );
            }
            AttemptEnd::CallerGone => {
                guard.mark_failed(AttemptFailure::Cancelled);
                self.store_for_resumption(plan);
                // No later attempt follows that a late cancellation could end, so its completion
                // isn't awaited.
                drop(self.shared.cancel_at(address, &self.call.request_id));
            }
            AttemptEnd::Failed(error) => {
                guard.mark_failed(attempt_failure(error.kind()));
                let may_still_run = !error.is_not_run();
                if may_still_run && !self.has_sent_head {
                    let cancellation = self.shared.cancel_at(address, &self.call.request_id);
                    self.pending_cancellations.push((address, cancellation));
                }
            }
        }
        ended
    }

    /// Stores an interrupted stream for resumption if its caller has received the beginning.
    fn store_for_resumption(&self, plan: &AttemptPlan) {
        if !self.has_sent_head {
            return;
        }
        self.shared.store_for_resumption(
            self.call,
            &plan.choice.endpoint,
            &plan.weight_version,
            self.check.attempt(),
            self.check.next_position(),
        );
    }
}

fn outcome_label(kind: EngineErrorKind) -> &'static str {
    match kind {
        EngineErrorKind::NotSent => "not_sent",
        EngineErrorKind::NotRun => "not_run",
        EngineErrorKind::OtherVersion => "other_version",
        EngineErrorKind::Timeout => "timeout",
        EngineErrorKind::Nonsense => "nonsense",
        _ => "lost",
    }
}

fn attempt_failure(kind: EngineErrorKind) -> AttemptFailure {
    match kind {
        EngineErrorKind::NotRun | EngineErrorKind::OtherVersion | EngineErrorKind::Rejected => {
            AttemptFailure::Refused
        }
        _ => AttemptFailure::Broken,
    }
}
