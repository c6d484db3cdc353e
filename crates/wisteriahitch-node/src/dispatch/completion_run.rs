//! Running a completion: attempts, restarts and resumption until the answer is whole.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_stream::StreamExt;
use wisteriahitch_core::route::{Choice, FlightFailure, PieceChain, RouteRequest};
use wisteriahitch_types::{
    AttemptNumber, Code, DurationUs, EndpointId, TokenCount, WeightVersion,
};
use wisteriahitch_wire::engine::{
    BlockRef, CompletionHead, CompletionRequest, EngineError, EngineErrorKind, Token, TokenStream,
};

use super::completion_call::{CompletionCall, Piece};
use super::import;
use crate::caller::Refusal;
use crate::shared::Shared;
use crate::state::Flight;

/// When a caller may come back after an endpoint failed.
const RETRY_AFTER_US: DurationUs = DurationUs::from_ms(500);

/// Most attempts at one request.
const MAX_ATTEMPTS: u64 = 4;

/// Longest pause between two tokens before the endpoint counts as frozen.
const TOKEN_STALL_US: DurationUs = DurationUs::from_ms(5_000);

/// Shortest wait for a first token before the endpoint counts as frozen.
const MIN_FIRST_TOKEN_WAIT_US: DurationUs = DurationUs::from_ms(2_000);

/// How many times as long as estimated a first token may take.
const FIRST_TOKEN_SLACK: u64 = 4;

/// Says how an attempt ended.
enum Ended {
    /// The answer is whole.
    Whole,
    /// The caller went away.
    CallerGone,
    /// The endpoint failed; the request can go on from the position that was reached.
    Failed(EngineError),
}

/// Follows one completion through its attempts.
struct Run<'a> {
    shared: &'a Arc<Shared>,
    call: &'a CompletionCall,
    pieces: &'a mpsc::Sender<Piece>,
    attempt: AttemptNumber,
    tried: Vec<EndpointId>,
    /// Next position that the caller is to get.
    position: u64,
    /// Endpoint and version of the tokens that the caller has, once it has any.
    bound: Option<Bound>,
}

/// Names where the tokens come from that have reached a caller.
#[derive(Clone)]
struct Bound {
    endpoint: EndpointId,
    weight_version: WeightVersion,
}

/// Holds where and how an attempt runs.
struct Plan {
    choice: Choice,
    chain: PieceChain,
    weight_version: WeightVersion,
}

/// Runs a completion to its end and sends what the caller is to get.
pub(crate) async fn run(
    shared: &Arc<Shared>,
    call: &CompletionCall,
    pieces: &mpsc::Sender<Piece>,
) {
    let mut run = Run {
        shared,
        call,
        pieces,
        attempt: AttemptNumber::new(0),
        tried: Vec::new(),
        position: call.first_position,
        bound: None,
    };
    if let Err(refusal) = run.until_whole().await {
        // The receiver may be gone, and then nobody waits for the refusal.
        let _ = pieces.send(Piece::Refused(refusal)).await;
    }
}

impl Run<'_> {
    async fn until_whole(&mut self) -> Result<(), Refusal> {
        let _permit =
            self.shared.enter(&self.call.identity, &self.call.route, self.call.prompt_tokens).await?;
        loop {
            self.attempt = self.attempt.next();
            let plan = self.plan()?;
            let ended = self.attempt(&plan).await;
            match ended {
                Ended::Whole => return Ok(()),
                Ended::CallerGone => {
                    self.shared.metrics.count_refusal(Code::CallerGone);
                    return Ok(());
                }
                Ended::Failed(error) => self.check_may_go_on(&plan, &error)?,
            }
        }
    }

    /// Chooses endpoint and version; a stream that the caller has tokens of stays with its own.
    fn plan(&self) -> Result<Plan, Refusal> {
        if let Some(bound) = &self.bound {
            return Ok(self.plan_resumption(bound));
        }
        let versions = match self.call.pinned_version.clone() {
            Some(version) => vec![version],
            None => self.shared.candidate_versions(&self.call.route.service, &self.call.model),
        };
        let mut best: Option<Plan> = None;
        let mut refused = Refusal::new(Code::NoEndpoint).with_retry_after_us(RETRY_AFTER_US);
        for weight_version in versions {
            let chain = self.call.chain(&weight_version);
            match self.shared.choose(&self.route_request(&chain, &weight_version)) {
                Ok(choice) => {
                    let is_better = best.as_ref().is_none_or(|best| {
                        choice.estimate.first_token_us < best.choice.estimate.first_token_us
                    });
                    if is_better {
                        best = Some(Plan { choice, chain, weight_version });
                    }
                }
                Err(refusal) => refused = refusal,
            }
        }
        best.ok_or(refused)
    }

    /// Plans to go on where the caller's tokens come from: only there the same answer goes on.
    fn plan_resumption(&self, bound: &Bound) -> Plan {
        let choice = Choice {
            endpoint: bound.endpoint.clone(),
            plan: RoutePlan::default(),
            estimate: Estimate::default(),
            weighed: Vec::new(),
        };
        let chain = self.call.chain(&bound.weight_version);
        Plan { choice, chain, weight_version: bound.weight_version.clone() }
    }

    fn route_request(&self, chain: &PieceChain, weight_version: &WeightVersion) -> RouteRequest {
        let waited_us = self.shared.clock.now().since(self.call.arrived_us);
        RouteRequest {
            service: self.call.route.service.clone(),
            model: Some(self.call.model_name().clone()),
            adapter: self.call.adapter.clone(),
            weight_version: Some(weight_version.clone()),
            chain: chain.clone(),
            max_tokens: self.call.max_tokens,
            first_token_weight: self.call.route.first_token_weight,
            priority: self.call.route.priority,
            deadline_us: self.call.route.deadline_us - waited_us,
            availability_zone: self.shared.settings.availability_zone.clone(),
            exclude: self.tried.clone(),
            explain: false,
            bytes_per_token: self.call.model.bytes_per_token,
        }
    }

    async fn attempt(&mut self, plan: &Plan) -> Ended {
        let choice = &plan.choice;
        let expected_us = choice.estimate.first_token_us;
        let recompute = choice.plan.recompute_tokens;
        let Some(flight) = self.shared.take_off(&choice.endpoint, recompute, expected_us) else {
            return Ended::Failed(EngineError::new(EngineErrorKind::NotSent, "endpoint is gone"));
        };
        let imported = import::run(self.shared, self.call, plan_import(plan));
        tokio::select! {
            () = imported => {}
            () = self.pieces.closed() => return self.cancel_import(),
        }
        let request = self.completion_request(plan);
        let head_timeout_us = self.first_token_wait(choice.estimate.first_token_us);
        let opening =
            self.shared.outside.engine.complete(flight.address(), request, head_timeout_us);
        let opened = tokio::select! {
            opened = opening => opened,
            () = self.pieces.closed() => {
                self.cancel(flight).await;
                return Ended::CallerGone;
            }
        };
        let ended = match opened {
            Ok((head, stream)) => self.follow(plan, &flight, head, stream).await,
            Err(error) => Ended::Failed(error),
        };
        self.land(flight, plan, ended).await
    }

    fn cancel_import(&self) -> Ended {
        self.shared.cancel_import(&self.call.request_id);
        Ended::CallerGone
    }

    fn completion_request(&self, plan: &Plan) -> CompletionRequest {
        let blocks = plan.chain.blocks.iter();
        CompletionRequest {
            request_id: self.call.request_id.clone(),
            attempt: self.attempt,
            model: self.call.model_name().clone(),
            adapter: self.call.adapter.clone(),
            weight_version: plan.weight_version.clone(),
            prompt: self.call.prompt.clone(),
            max_tokens: self.call.max_tokens,
            priority: self.call.route.priority,
            position: self.position,
            blocks: blocks.map(|b| BlockRef { key: b.key, tokens: b.tokens }).collect(),
        }
    }

    /// Passes tokens on as long as each is the next one of this very attempt.
    async fn follow(
        &mut self,
        plan: &Plan,
        flight: &Flight,
        head: CompletionHead,
        mut stream: TokenStream,
    ) -> Ended {
        if let Err(error) = self.check_head(plan, &head) {
            return Ended::Failed(error);
        }
        let mut first_head = Some(head);
        let mut wait_us = self.first_token_wait(plan.choice.estimate.first_token_us);
        loop {
            let next = tokio::select! {
                next = timeout(wait_us.into(), stream.next()) => next,
                () = self.pieces.closed() => return Ended::CallerGone,
            };
            let token = match next {
                Ok(Some(Ok(token))) => token,
                Ok(Some(Err(error))) => return Ended::Failed(error),
                Ok(None) => return failed(EngineErrorKind::Lost, "the stream ended early"),
                Err(_) => return failed(EngineErrorKind::Timeout, "no token in time"),
            };
            match self.stream_check.accept(&token) {
                Passage::Pass => {}
                Passage::Drop => continue,
                Passage::Skipped => {
                    return failed(EngineErrorKind::Nonsense, "a position was skipped");
                }
            }
            wait_us = TOKEN_STALL_US;
            if let Some(head) = first_head.take() {
                self.note_first_token(plan, flight, &head);
                if self.send_head(head).await.is_err() {
                    return Ended::CallerGone;
                }
            }
            let is_last = token.finish_reason.is_some();
            if self.pieces.send(Piece::Token(token)).await.is_err() {
                return Ended::CallerGone;
            }
            if is_last {
                return Ended::Whole;
            }
        }
    }

    /// Checks that the answer is this attempt's and comes from the version that was decided for.
    ///
    /// The weights may have been swapped between the decision and the run. Without this check the
    /// caller would get an answer of weights that nobody chose for it, and blocks of the old
    /// version might have been used with the new one.
    fn check_head(&self, plan: &Plan, head: &CompletionHead) -> Result<(), EngineError> {
        if head.request_id != self.call.request_id || head.attempt != self.attempt {
            let detail = "the answer is another request's";
            return Err(EngineError::new(EngineErrorKind::Nonsense, detail));
        }
        if head.weight_version != plan.weight_version {
            let detail = "the answer comes from another weight version";
            return Err(EngineError::new(EngineErrorKind::Nonsense, detail));
        }
        Ok(())
    }

    /// Returns how long the first token may take before another endpoint is tried.
    ///
    /// A frozen endpoint keeps its connections open and says nothing. Waiting for the deadline
    /// would use up the time in which another one could answer.
    fn first_token_wait(&self, expected_us: DurationUs) -> DurationUs {
        let patient_us = DurationUs::new(expected_us.get().saturating_mul(FIRST_TOKEN_SLACK));
        patient_us.max(MIN_FIRST_TOKEN_WAIT_US).min(self.call.route.deadline_us)
    }

    fn note_first_token(&mut self, plan: &Plan, flight: &Flight, head: &CompletionHead) {
        flight.first_token();
        if self.bound.is_some() {
            return;
        }
        self.bound = Some(Bound {
            endpoint: plan.choice.endpoint.clone(),
            weight_version: head.weight_version.clone(),
        });
        let metrics = &self.shared.metrics;
        metrics.prompt_tokens.inc_by(self.call.prompt_tokens.get());
        metrics.cached_tokens.inc_by(head.cached_tokens.get());
        let taken_us = self.shared.clock.now().since(self.call.arrived_us);
        metrics.observe_first_token(taken_us);
    }

    async fn send_head(&mut self, head: CompletionHead) -> Result<(), ()> {
        if self.has_sent_head {
            return Ok(());
        }
        self.has_sent_head = true;
        self.pieces.send(Piece::Head(head)).await.map_err(|_| ())
    }

    /// Ends the flight as the attempt ended, and lets go of what it still holds at the endpoint.
    fn land(&self, flight: Flight, plan: &Plan, ended: Ended) -> Ended {
        let outcome = match &ended {
            Ended::Whole => "answered",
            Ended::CallerGone => "caller_gone",
            Ended::Failed(error) => outcome(error.kind()),
        };
        self.shared.metrics.attempts.with_label_values(&[outcome]).inc();
        let address = flight.address();
        match &ended {
            Ended::Whole => {
                flight.finished();
                self.shared.used(self.call, &plan.chain, &plan.choice.endpoint);
            }
            Ended::CallerGone => {
                flight.failed(FlightFailure::Cancelled);
                self.shared.cancel_at(address, &self.call.request_id);
            }
            Ended::Failed(error) => {
                flight.failed(failure(error.kind()));
                let may_still_run = !error.is_not_run();
                if may_still_run && self.bound.is_none() {
                    self.shared.cancel_at(address, &self.call.request_id);
                }
            }
        }
        ended
    }

    /// Decides after a failed attempt whether another one follows.
    fn check_may_go_on(&mut self, plan: &Plan, error: &EngineError) -> Result<(), Refusal> {
        log::info!(
            "request {} attempt {} at {}: {error}",
            self.call.request_id,
            self.attempt,
            plan.choice.endpoint
        );
        let has_caller_tokens = self.bound.is_some();
        if !has_caller_tokens {
            self.tried.push(plan.choice.endpoint.clone());
        }
        if self.attempt.get() < MAX_ATTEMPTS && self.shared.try_retry() {
            return Ok(());
        }
        let code = match has_caller_tokens {
            true => Code::StreamIncomplete,
            false => error.code(),
        };
        Err(Refusal::new(code).with_retry_after_us(RETRY_AFTER_US))
    }
}

fn failed(kind: EngineErrorKind, detail: &str) -> Ended {
    Ended::Failed(EngineError::new(kind, detail))
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

fn failure(kind: EngineErrorKind) -> FlightFailure {
    match kind {
        EngineErrorKind::NotRun | EngineErrorKind::OtherVersion => FlightFailure::Refused,
        _ => FlightFailure::Broken,
    }
}
