//! One attempt at a completion, from its sending to its end.

use std::net::SocketAddr;

use tokio::task::JoinHandle;
use wisteriahitch_core::route::{AttemptFailure, engine_priority};
use wisteriahitch_wire::engine::{BlockRef, CompletionRequest, EngineError, EngineErrorKind};

use super::completion_plan::Plan;
use super::completion_run::{Ended, Run};
use super::import;
use crate::state::Flight;

impl Run<'_> {
    pub(super) async fn attempt(&mut self, plan: &Plan) -> Ended {
        let choice = &plan.choice;
        let expected_us = choice.estimate.first_token_us;
        let recompute = choice.plan.recompute_tokens;
        let Some(flight) = self
            .shared
            .take_off(&choice.endpoint, recompute, expected_us)
        else {
            return Ended::Failed(EngineError::new(
                EngineErrorKind::NotSent,
                "endpoint is gone",
            ));
        };
        let imported = import::run(self.shared, self.call, choice, &plan.weight_version);
        tokio::select! {
            () = imported => {}
            () = self.pieces.closed() => return self.cancel_import(),
        }
        self.wait_for_cancellations(flight.address()).await;
        let request = self.completion_request(plan);
        let head_timeout_us = self.first_token_wait(choice.estimate.first_token_us);
        let opening =
            self.shared
                .outside
                .engine
                .complete(flight.address(), request, head_timeout_us);
        let opened = tokio::select! {
            opened = opening => opened,
            () = self.pieces.closed() => return self.land(flight, plan, Ended::CallerGone),
        };
        let ended = match opened {
            Ok((head, stream)) => self.follow(plan, &flight, head, stream).await,
            Err(error) => Ended::Failed(error),
        };
        self.land(flight, plan, ended)
    }

    fn cancel_import(&self) -> Ended {
        self.shared.cancel_import(&self.call.request_id);
        Ended::CallerGone
    }

    /// Waits until no cancellation of an earlier attempt is on its way to this endpoint.
    ///
    /// An engine cancels by the request's id alone. A cancellation that arrives late would end the
    /// new attempt, seen as a retry that breaks at once at an endpoint that is well.
    async fn wait_for_cancellations(&mut self, address: SocketAddr) {
        let cancelling = std::mem::take(&mut self.cancelling);
        let (here, elsewhere) = cancelling.into_iter().partition(|(to, _)| *to == address);
        self.cancelling = elsewhere;
        let here: Vec<(SocketAddr, JoinHandle<()>)> = here;
        for (_, cancellation) in here {
            // A task that panicked has nothing on its way either.
            let _ = cancellation.await;
        }
    }

    fn completion_request(&self, plan: &Plan) -> CompletionRequest {
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

    /// Ends the flight as the attempt ended, and lets go of what it still holds at the endpoint.
    fn land(&mut self, flight: Flight, plan: &Plan, ended: Ended) -> Ended {
        let outcome = match &ended {
            Ended::Whole => "answered",
            Ended::CallerGone => "caller_gone",
            Ended::Failed(error) => outcome(error.kind()),
        };
        self.shared
            .metrics
            .attempts
            .with_label_values(&[outcome])
            .inc();
        let address = flight.address();
        match &ended {
            Ended::Whole => {
                flight.finished();
                self.shared.used(
                    self.call,
                    &plan.chain,
                    &plan.choice.endpoint,
                    &plan.weight_version,
                );
            }
            Ended::CallerGone => {
                flight.failed(AttemptFailure::Cancelled);
                self.keep_for_resumption(plan);
                // There is no further attempt that this could end.
                drop(self.shared.cancel_at(address, &self.call.request_id));
            }
            Ended::Failed(error) => {
                flight.failed(failure(error.kind()));
                let may_still_run = !error.is_not_run();
                if may_still_run && !self.has_sent_head {
                    let cancellation = self.shared.cancel_at(address, &self.call.request_id);
                    self.cancelling.push((address, cancellation));
                }
            }
        }
        ended
    }

    /// Keeps a stream whose caller has its beginning, since it may come back for the rest.
    fn keep_for_resumption(&self, plan: &Plan) {
        if !self.has_sent_head {
            return;
        }
        self.shared.keep_for_resumption(
            self.call,
            &plan.choice.endpoint,
            &plan.weight_version,
            self.check.attempt(),
            self.check.next_position(),
        );
    }
}

fn outcome(kind: EngineErrorKind) -> &'static str {
    match kind {
        EngineErrorKind::NotSent => "not_sent",
        EngineErrorKind::NotRun => "not_run",
        EngineErrorKind::OtherVersion => "other_version",
        EngineErrorKind::Timeout => "timeout",
        EngineErrorKind::Nonsense => "nonsense",
        _ => "lost",
    }
}

fn failure(kind: EngineErrorKind) -> AttemptFailure {
    match kind {
        EngineErrorKind::NotRun | EngineErrorKind::OtherVersion | EngineErrorKind::Rejected => {
            AttemptFailure::Refused
        }
        _ => AttemptFailure::Broken,
    }
}
