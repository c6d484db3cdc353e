//! Running a completion: attempts, restarts and resumption until the answer is whole.

use std::sync::Arc;

use tokio::sync::mpsc;
use tokio::sync::mpsc::error::SendError;
use tokio::time::timeout;
use tokio_stream::StreamExt;
use wisteriahitch_core::route::{
    Choice, Estimate, FlightFailure, PieceChain, Plan as RoutePlan, RouteRequest, engine_priority,
};
use wisteriahitch_core::stream::{
    BreakDecision, HeadVerdict, StreamBreak, StreamCheck, StreamHead, StreamToken, TokenVerdict,
};
use wisteriahitch_types::{Code, DurationUs, EndpointId, WeightVersion};
use wisteriahitch_wire::engine::{
    BlockRef, CompletionHead, CompletionRequest, EngineError, EngineErrorKind, Token, TokenStream,
};

use super::completion_call::{CompletionCall, Piece, Resumption};
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
    /// The endpoint failed.
    Failed(EngineError),
}

/// Follows one completion through its attempts.
struct Run<'a> {
    shared: &'a Arc<Shared>,
    call: &'a CompletionCall,
    pieces: &'a mpsc::Sender<Piece>,
    check: StreamCheck,
    /// Endpoints that this request isn't tried at again.
    tried: Vec<EndpointId>,
    has_sent_head: bool,
    /// Whether some attempt may have run, so that `not run` would no longer be true.
    may_have_run: bool,
}

/// Holds where and how an attempt runs.
struct Plan {
    choice: Choice,
    chain: PieceChain,
    weight_version: WeightVersion,
}

/// Runs a completion to its end and sends what the caller is to get.
pub(crate) async fn run(shared: &Arc<Shared>, call: &CompletionCall, pieces: &mpsc::Sender<Piece>) {
    if let Err(refusal) = run_until_whole(shared, call, pieces).await {
        // The receiver may be gone, and then nobody waits for the refusal.
        let _ = pieces.send(Piece::Refused(refusal)).await;
    }
}

async fn run_until_whole(
    shared: &Arc<Shared>,
    call: &CompletionCall,
    pieces: &mpsc::Sender<Piece>,
) -> Result<(), Refusal> {
    let cost_tokens = call.prompt_tokens + call.max_tokens;
    let turn = shared.enter(
        &call.identity,
        &call.route,
        &call.request_id,
        call.prompt_tokens,
        cost_tokens,
    );
    let _permit = tokio::select! {
        turn = turn => turn?,
        () = pieces.closed() => return Ok(()),
    };
    let first = match &call.resumption {
        Some(resumption) => resume(call, resumption),
        None => plan(shared, call, &[])?,
    };
    let mut check = StreamCheck::new(
        call.request_id.clone(),
        first.choice.endpoint.clone(),
        first.weight_version.clone(),
    );
    if let Some(resumption) = &call.resumption {
        check = check
            .resumed_by_caller(resumption.position)
            .starting_with(resumption.attempt);
    }
    let mut run = Run {
        shared,
        call,
        pieces,
        check,
        tried: Vec::new(),
        has_sent_head: false,
        may_have_run: false,
    };
    let result = run.follow_attempts(first).await;
    run.count_dropped();
    // Whatever ends the request now, an endpoint may have run it before.
    match run.may_have_run {
        true => result.map_err(Refusal::with_outcome_unknown),
        false => result,
    }
}

/// Chooses endpoint and weight version; of two versions in use during a rollout the faster one.
fn plan(shared: &Shared, call: &CompletionCall, tried: &[EndpointId]) -> Result<Plan, Refusal> {
    let mut best: Option<Plan> = None;
    let mut refused = Refusal::new(Code::NoEndpoint).with_retry_after_us(RETRY_AFTER_US);
    for weight_version in shared.candidate_versions(&call.route.service, &call.model) {
        let chain = call.chain(&weight_version);
        let request = route_request(shared, call, &chain, &weight_version, tried);
        match shared.choose(&request) {
            Ok(choice) => {
                let is_better = best.as_ref().is_none_or(|best| {
                    choice.estimate.first_token_us < best.choice.estimate.first_token_us
                });
                if is_better {
                    best = Some(Plan {
                        choice,
                        chain,
                        weight_version,
                    });
                }
            }
            Err(refusal) => refused = refusal,
        }
    }
    best.ok_or(refused)
}

/// Plans to go on where an answer began: only there the same answer goes on.
fn resume(call: &CompletionCall, resumption: &Resumption) -> Plan {
    let choice = Choice {
        endpoint: resumption.endpoint.clone(),
        plan: RoutePlan::default(),
        estimate: Estimate::default(),
        weighed: Vec::new(),
    };
    let weight_version = resumption.weight_version.clone();
    Plan {
        choice,
        chain: call.chain(&weight_version),
        weight_version,
    }
}

fn route_request(
    shared: &Shared,
    call: &CompletionCall,
    chain: &PieceChain,
    weight_version: &WeightVersion,
    tried: &[EndpointId],
) -> RouteRequest {
    let waited_us = shared.clock.now().since(call.arrived_us);
    RouteRequest {
        service: call.route.service.clone(),
        model: Some(call.model.name.clone()),
        adapter: call.adapter.clone(),
        weight_version: Some(weight_version.clone()),
        chain: chain.clone(),
        max_tokens: call.max_tokens,
        first_token_weight: call.route.first_token_weight,
        priority: call.route.priority,
        deadline_us: call.route.deadline_us - waited_us,
        availability_zone: shared.settings.availability_zone.clone(),
        exclude: tried.to_vec(),
        explain: false,
        bytes_per_token: call.model.bytes_per_token,
    }
}

impl Run<'_> {
    async fn follow_attempts(&mut self, first: Plan) -> Result<(), Refusal> {
        let mut plan = first;
        loop {
            match self.attempt(&plan).await {
                Ended::Whole => return Ok(()),
                Ended::CallerGone => {
                    self.shared.metrics.count_refusal(Code::CallerGone);
                    return Ok(());
                }
                Ended::Failed(error) => plan = self.plan_next(plan, &error)?,
            }
        }
    }

    async fn attempt(&mut self, plan: &Plan) -> Ended {
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

    /// Passes tokens on as long as each is the next one of this very attempt.
    async fn follow(
        &mut self,
        plan: &Plan,
        flight: &Flight,
        head: CompletionHead,
        mut stream: TokenStream,
    ) -> Ended {
        if let Err(error) = self.check_head(&head) {
            return Ended::Failed(error);
        }
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
            let verdict = self.check.on_token(&stream_token(&token));
            match verdict {
                TokenVerdict::Pass | TokenVerdict::PassLast => {}
                TokenVerdict::Drop(_) => continue,
                TokenVerdict::Missing => {
                    return failed(EngineErrorKind::Nonsense, "a token is missing");
                }
            }
            wait_us = TOKEN_STALL_US;
            if self.pass_on(flight, &head, token).await.is_err() {
                return Ended::CallerGone;
            }
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
    fn first_token_wait(&self, expected_us: DurationUs) -> DurationUs {
        let patient_us = DurationUs::new(expected_us.get().saturating_mul(FIRST_TOKEN_SLACK));
        patient_us
            .max(MIN_FIRST_TOKEN_WAIT_US)
            .min(self.call.route.deadline_us)
    }

    fn note_first_token(&self, flight: &Flight, head: &CompletionHead) {
        flight.first_token();
        let metrics = &self.shared.metrics;
        metrics.prompt_tokens.inc_by(self.call.prompt_tokens.get());
        metrics.cached_tokens.inc_by(head.cached_tokens.get());
        let taken_us = self.shared.clock.now().since(self.call.arrived_us);
        metrics.observe_first_token(taken_us);
    }

    /// Ends the flight as the attempt ended, and lets go of what it still holds at the endpoint.
    fn land(&self, flight: Flight, plan: &Plan, ended: Ended) -> Ended {
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
                flight.failed(FlightFailure::Cancelled);
                self.keep_for_resumption(plan);
                self.shared.cancel_at(address, &self.call.request_id);
            }
            Ended::Failed(error) => {
                flight.failed(failure(error.kind()));
                let may_still_run = !error.is_not_run();
                if may_still_run && !self.has_sent_head {
                    self.shared.cancel_at(address, &self.call.request_id);
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

    /// Decides after a failed attempt how the next one runs, or that there is none.
    fn plan_next(&mut self, last: Plan, error: &EngineError) -> Result<Plan, Refusal> {
        let endpoint = last.choice.endpoint.clone();
        log::info!(
            "request {} attempt {} at {endpoint}: {error}",
            self.call.request_id,
            self.check.attempt(),
        );
        self.may_have_run |= !error.is_not_run();
        let has_attempts = self.check.attempt().get() < MAX_ATTEMPTS;
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
            Some(BreakDecision::Resume { .. }) => Ok(Plan {
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
    fn plan_elsewhere(&self) -> Result<Plan, Refusal> {
        let elsewhere = plan(self.shared, self.call, &self.tried);
        elsewhere.or_else(|_| plan(self.shared, self.call, &[]))
    }

    fn count_dropped(&self) {
        for (reason, count) in self.check.dropped().iter() {
            let label = reason.to_string();
            self.shared
                .metrics
                .dropped_tokens
                .with_label_values(&[&label])
                .inc_by(count);
        }
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
