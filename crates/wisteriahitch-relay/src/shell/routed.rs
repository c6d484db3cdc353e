//! The attempts at one call.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use hyper::body::Body;
use tokio::time::Instant;
use wisteriahitch_types::{
    Code, DurationUs, EndpointInstance, ModelName, ServiceName, WeightNumber,
};

use super::answer_body::AnswerBody;
use super::attempt::{Call, Failure, FailureKind, Opened, open};
use super::attempt_answer::WHOLE_ANSWER_BYTES;
use super::crashes::note_broken;
use super::next_step::NextStep;
use super::request_body::HeldBody;
use super::shared::Shared;
use super::trace::CallTrace;
use crate::border::Refusal;
use crate::decide::endpoint_table::life_name;
use crate::decide::overload::retry_after;
use crate::decide::placement::{Placement, place};
use crate::decide::placement_request::PlacementRequest;
use crate::observe::Event;
use crate::site::{CallKind, Route, Workspace};

/// Endpoints that one call tries to connect to; an attempt that sends nothing costs an endpoint
/// nothing, but the caller waits.
const MAX_CONNECTS: u32 = 4;

/// Time that the first attempt at a repeatable call gets, in multiples of its target, while another
/// attempt is left.
const FIRST_ATTEMPT_TARGETS: f64 = 2.5;

/// Least part of the time left that an attempt gets.
const MIN_ATTEMPT_SHARE: f64 = 0.35;

/// When a caller may come back after endpoints refused its call.
const REFUSED_RETRY_US: DurationUs = DurationUs::from_ms(250);

/// Gap after which callers give a stream up: the longest of two seconds, four times the target
/// and eight times the longest good pause.
fn patience(route: &Route) -> DurationUs {
    let targets = route.latency_slo_us.get().saturating_mul(4);
    let gaps = route.max_event_gap_us.get().saturating_mul(8);
    DurationUs::new(targets.max(gaps)).max(DurationUs::from_ms(2_000))
}

/// A call with what was decided about it before its first attempt.
pub(crate) struct Routed {
    pub(crate) call: Call,
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceName,
    pub(crate) workspace: Option<Arc<Workspace>>,
    /// Longest queue that the call joins.
    pub(super) longest_queue_us: DurationUs,
    /// Endpoints that were tried.
    pub(crate) tried: Vec<EndpointInstance>,
    /// Attempts that an endpoint got to see.
    pub(crate) sent: u32,
    /// The body that `call` sends; counted as held for as long as it may be sent again.
    pub(super) _body: HeldBody,
}

/// An answer to pass on.
pub(super) enum Attempted {
    /// All of it, and its status.
    Whole(Response<AnswerBody>, u16),
    /// A stream, with its first bytes where they have come.
    Stream(Option<Bytes>, Box<Opened>),
}

impl Routed {
    /// Makes attempts until one brings an answer to pass on, or there is nothing left to try.
    pub(super) async fn run(
        &mut self,
        shared: &Arc<Shared>,
        trace: &mut CallTrace,
    ) -> Result<Attempted, Refusal> {
        let mut connects = 0;
        let mut last: Option<FailureKind> = None;
        loop {
            if shared.suspects.lock().is_blocked(self.call.fingerprint) {
                let refusal = Refusal::new(Code::RequestBlocked);
                return Err(self.final_refusal(refusal, last));
            }
            let placement = match self.place(shared, None) {
                Ok(placement) => placement,
                Err(refusal) => return Err(self.final_refusal(refusal, last)),
            };
            trace.placed(&placement);
            let failure = match self.attempt(shared, &placement, trace).await {
                Ok(attempted) => return Ok(attempted),
                Err(failure) => failure,
            };
            self.tried.push(placement.endpoint.clone());
            self.note_broken(shared, &placement, failure.kind);
            connects += 1;
            let next = self.next(shared, &placement, failure.kind, connects);
            self.log_failure(shared, &placement, &failure, next);
            last = Some(worse(last, failure.kind));
            if next != NextStep::Again {
                let refusal = Refusal::new(failure.kind.code());
                let refusal = refusal.retry_after(self.time_to_return(shared));
                return Err(self.final_refusal(refusal, last));
            }
        }
    }

    /// Returns when a caller may come back whose call has no attempt left: once an endpoint takes calls again.
    fn time_to_return(&self, shared: &Shared) -> DurationUs {
        let now = shared.now();
        let takes_at = {
            let endpoints = shared.endpoints.lock();
            endpoints.takes_calls_at(&self.service, now)
        };
        match takes_at {
            Some(takes_at) if takes_at > now => retry_after(takes_at.since(now), &mut rand::rng()),
            _ => REFUSED_RETRY_US,
        }
    }

    /// Chooses an endpoint for the next attempt.
    pub(crate) fn place(
        &self,
        shared: &Shared,
        required_weights: Option<WeightNumber>,
    ) -> Result<Placement, Refusal> {
        let now = shared.now();
        let left = self.call.due.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(Refusal::new(Code::DeadlineUnreachable));
        }
        let prompt = self.call.head.prompt.as_ref();
        let is_stream = self.route.kind == CallKind::Stream;
        let patience_us = match is_stream {
            true => DurationUs::from(left).min(patience(&self.route)),
            false => DurationUs::from(left),
        };
        let wall = self
            .workspace
            .as_ref()
            .filter(|workspace| workspace.is_isolated);
        let (duration_us, memory_duration_us) = shared.durations.of(&self.service);
        let wanted = prompt.and_then(|prompt| shared.site.wanted_versions(&prompt.model));
        let request = PlacementRequest {
            service: &self.service,
            engine: self.call.engine.as_ref(),
            prompt,
            wall: wall.map(|workspace| &workspace.id),
            zone: &shared.settings.zone,
            daemons: shared.peers.daemon_count(),
            duration_us,
            memory_duration_us,
            patience_us,
            longest_queue_us: self.longest_queue_us,
            allowed_zones: &self.call.allowed_zones,
            excluded: &self.tried,
            is_isolated: shared.suspects.lock().is_isolated(self.call.fingerprint),
            required_weights,
            wanted_weights: wanted.as_ref(),
        };
        let mut endpoints = shared.endpoints.lock();
        let stores = shared.part_stores.lock();
        let placement = place(&endpoints, &stores, &request, now, &mut rand::rng())?;
        endpoints.use_permits(&placement.endpoint, placement.permits, now);
        Ok(placement)
    }

    /// Makes one attempt, and takes it back where the endpoint's weights go out of use before it
    /// has begun.
    async fn attempt(
        &mut self,
        shared: &Arc<Shared>,
        placement: &Placement,
        trace: &mut CallTrace,
    ) -> Result<Attempted, Failure> {
        let prompt = self.call.head.prompt.as_ref();
        let prompt = prompt.filter(|_| self.route.kind == CallKind::Stream);
        let model = prompt.map(|prompt| prompt.model.clone());
        let sent_before = self.sent;
        let fingerprint = self.call.fingerprint;
        let failure = tokio::select! {
            result = self.exchange(shared, placement, trace) => return result,
            () = Self::weights_over(shared, model.as_ref(), placement.weights) => {
                let metrics = &shared.metrics.attempts;
                metrics.with_label_values(&["weights_over"]).inc();
                Failure::new(FailureKind::Timeout, "its weights went out of use")
            }
            () = shared.life_over(&placement.endpoint) => {
                let metrics = &shared.metrics.attempts;
                metrics.with_label_values(&["life_over"]).inc();
                Failure::new(FailureKind::Lost, "the endpoint has started again")
            }
            () = shared.request_blocked(fingerprint) => {
                let metrics = &shared.metrics.attempts;
                metrics.with_label_values(&["blocked"]).inc();
                Failure::new(FailureKind::Blocked, "endpoints crash under it")
            }
        };
        self.sent = sent_before + 1;
        trace.story().attempts = self.sent;
        Err(failure)
    }

    async fn exchange(
        &mut self,
        shared: &Arc<Shared>,
        placement: &Placement,
        trace: &mut CallTrace,
    ) -> Result<Attempted, Failure> {
        let until = self.attempt_end(shared, placement);
        let resume_after = self.call.head.resume_after;
        let is_last = !self.may_go_on(shared);
        let opened = open(shared, &self.call, placement, resume_after, is_last, until).await;
        if !opened
            .as_ref()
            .is_err_and(|failure| failure.kind.is_unsent())
        {
            self.sent += 1;
            trace.story().attempts = self.sent;
        }
        let opened = opened?;
        if self.route.kind == CallKind::Stream && opened.parts.status.is_success() {
            return self.first_event(shared, placement, opened, until).await;
        }
        let size = opened.body.size_hint().exact();
        if size.is_some_and(|size| size > WHOLE_ANSWER_BYTES) {
            return Ok(Attempted::Stream(None, Box::new(opened)));
        }
        self.whole_answer(shared, placement, opened, until).await
    }

    /// Returns when an attempt is given up.
    ///
    /// A repeatable call doesn't wait its whole time for an endpoint that doesn't answer, as long
    /// as it could still be sent to another one.
    fn attempt_end(&self, shared: &Shared, placement: &Placement) -> Instant {
        let due = self.call.due;
        if !self.may_go_on(shared) {
            return due;
        }
        let now = Instant::now();
        let left = due.saturating_duration_since(now);
        let target = Duration::from(self.route.latency_slo_us).mul_f64(FIRST_ATTEMPT_TARGETS);
        let wait = Duration::from(placement.expected_us) + target;
        due.min(now + wait.max(left.mul_f64(MIN_ATTEMPT_SHARE)))
    }

    /// Waits until a stream must have begun at its endpoint, if the weights there are or get replaced.
    ///
    /// Calls that are less urgent may wait there for seconds longer than was expected. Without this
    /// one would begin on weights that are out of use by then; taken back, it begins at another
    /// endpoint, or where it may not be sent again its caller is told so at once.
    async fn weights_over(
        shared: &Shared,
        model: Option<&ModelName>,
        weights: Option<WeightNumber>,
    ) {
        let (Some(model), Some(weights)) = (model, weights) else {
            return std::future::pending().await;
        };
        loop {
            let changed = shared.site.wanted_changed();
            let wanted = shared.site.wanted_versions(model);
            let by = wanted.and_then(|wanted| wanted.must_begin_by(weights));
            match by {
                Some(by) => {
                    return tokio::time::sleep(by.since(shared.now()).into()).await;
                }
                None => changed.await,
            }
        }
    }

    /// Returns whether the call could be sent to another endpoint after the next attempt.
    fn may_go_on(&self, shared: &Shared) -> bool {
        self.call.may_repeat
            && self.sent + 1 < self.route.max_attempts
            && shared.budgets.left(&self.service) >= 1.0
    }

    /// Notes a connection that broke, which may tell of a crash.
    pub(crate) fn note_broken(
        &self,
        shared: &Arc<Shared>,
        placement: &Placement,
        kind: FailureKind,
    ) {
        if kind == FailureKind::Lost {
            note_broken(shared, &self.call, placement);
        }
    }

    /// Returns whether another attempt might cost another endpoint.
    ///
    /// One crash is no reason: all that were on board have seen it, and most of them end well elsewhere. Of one under
    /// which endpoints have crashed before, a further attempt of the same call would end one more before anybody knows.
    pub(crate) fn is_suspect(
        &self,
        shared: &Shared,
        placement: &Placement,
        kind: FailureKind,
    ) -> bool {
        match kind {
            FailureKind::Blocked => true,
            FailureKind::Lost => {
                let life = life_name(&placement.endpoint);
                let suspects = shared.suspects.lock();
                suspects.crashes_elsewhere(self.call.fingerprint, life) > 0
            }
            _ => false,
        }
    }

    /// Decides what follows a failed attempt.
    fn next(
        &self,
        shared: &Shared,
        placement: &Placement,
        kind: FailureKind,
        connects: u32,
    ) -> NextStep {
        if self.call.due <= Instant::now() {
            return NextStep::NoTimeLeft;
        }
        if self.is_suspect(shared, placement, kind) {
            return NextStep::Suspect;
        }
        if kind.is_unsent() {
            return match connects < MAX_CONNECTS {
                true => NextStep::Again,
                false => NextStep::TooManyConnects,
            };
        }
        if !kind.is_not_run() && !self.call.may_repeat {
            return NextStep::MayHaveRun;
        }
        if self.sent >= self.route.max_attempts {
            return NextStep::AttemptsUsedUp;
        }
        if !shared.budgets.try_take(&self.service) {
            shared.metrics.retries.with_label_values(&["no"]).inc();
            return NextStep::BudgetUsedUp;
        }
        shared.metrics.retries.with_label_values(&["yes"]).inc();
        NextStep::Again
    }

    /// Makes a refusal true: where an attempt may have run, it can't say "not run".
    fn final_refusal(&self, refusal: Refusal, worst: Option<FailureKind>) -> Refusal {
        match worst {
            Some(kind) if !kind.is_not_run() => Refusal::new(kind.code()),
            _ => refusal,
        }
    }

    pub(crate) fn log_failure(
        &self,
        shared: &Shared,
        placement: &Placement,
        failure: &Failure,
        next: NextStep,
    ) {
        shared.log.write(&Event::AttemptFailed {
            request: self.call.head.request_id.to_string(),
            fingerprint: self.call.fingerprint.to_string(),
            endpoint: placement.endpoint.to_string(),
            attempt: self.sent,
            reason: failure.kind.label(),
            detail: failure.detail.clone(),
            may_have_run: !failure.kind.is_not_run(),
            next: next.label(),
            budget_left: shared.budgets.left(&self.service),
        });
    }
}

/// Returns which of two failures says less about what hasn't run.
fn worse(known: Option<FailureKind>, new: FailureKind) -> FailureKind {
    match known {
        Some(known) if !known.is_not_run() => known,
        _ => new,
    }
}
