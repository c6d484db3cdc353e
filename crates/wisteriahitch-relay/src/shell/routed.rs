//! Runs the attempts of one call.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use hyper::body::Body;
use tokio::time::Instant;
use wisteriahitch_types::{
    Code, DurationUs, EndpointInstance, ServiceName, SoftwareVersion, WeightNumber,
};

use super::answer_body::AnswerBody;
use super::attempt::{Call, Failure, FailureKind, OpenedAnswer, send_attempt};
use super::attempt_answer::MAX_BUFFERED_ANSWER_BYTES;
use super::attempt_guard::AttemptGuard;
use super::crashes::record_broken_connection;
use super::next_step::NextStep;
use super::pipeline::check_drain;
use super::request_body::BufferedBody;
use super::retry_lending::{borrow_retry, may_borrow};
use super::shared::Shared;
use super::trace::CallTrace;
use crate::border::Refusal;
use crate::decide::answer_progress::AnswerProgress;
use crate::decide::endpoint_table::instance_short_name;
use crate::decide::overload::retry_after;
use crate::decide::placement::{Placement, place};
use crate::decide::placement_request::PlacementRequest;
use crate::observe::Event;
use crate::site::{CallAttribute, CallKind, Route, Workspace};

/// Maximum number of endpoints that one call tries to connect to. A failed connection attempt sends
/// nothing and costs an endpoint nothing, but the caller waits.
const MAX_CONNECTS: u32 = 4;

/// Time that an attempt at a repeatable call gets beyond its expected time while another attempt is
/// left, in multiples of the route's target.
const FIRST_ATTEMPT_TARGET_FACTOR: f64 = 2.5;

/// Minimum part of the remaining time that an attempt gets.
const MIN_ATTEMPT_SHARE: f64 = 0.35;

/// Retry delay for callers whose call was refused by endpoints.
const REFUSED_RETRY_US: DurationUs = DurationUs::from_ms(250);

/// Returns the gap between events after which callers give up a stream: the longest of two seconds,
/// four times the target and eight times the longest acceptable gap.
fn stream_patience(route: &Route) -> DurationUs {
    let targets = route.latency_slo_us.get().saturating_mul(4);
    let gaps = route.max_event_gap_us.get().saturating_mul(8);
    DurationUs::new(targets.max(gaps)).max(DurationUs::from_ms(2_000))
}

/// A call with the decisions that were made about it before its first attempt.
pub(crate) struct RoutedCall {
    pub(crate) call: Call,
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceName,
    pub(crate) workspace: Option<Arc<Workspace>>,
    /// Maximum estimated queue of an endpoint that the call is placed at.
    pub(super) longest_queue_us: DurationUs,
    /// The same for a stream that is resumed, which has begun and isn't refused for calls that haven't.
    pub(super) resumed_queue_us: DurationUs,
    /// Endpoints that were already tried; they are excluded from the next placement.
    pub(crate) tried_endpoints: Vec<EndpointInstance>,
    /// Software version at which the call must run; `None` for a stream that hasn't begun.
    pub(crate) required_software: Option<SoftwareVersion>,
    /// Number of attempts that may have reached an endpoint.
    pub(crate) sent_attempts: u32,
    /// Whether the call is sent although a part of its prompt is blocked, to try whether it still
    /// crashes an endpoint.
    pub(super) is_trial: bool,
    /// The body that `call` sends. It stays counted as buffered for as long as it may be sent
    /// again.
    pub(super) _body: BufferedBody,
}

/// An answer that can be passed on.
pub(super) enum AttemptAnswer {
    /// A complete answer and its status.
    Whole(Response<AnswerBody>, u16),
    /// A stream, with its first bytes if they have been received.
    Stream(Option<Bytes>, Box<OpenedAnswer>),
}

impl RoutedCall {
    /// Makes attempts until one brings an answer that can be passed on, or no retry is allowed.
    pub(super) async fn run_attempts(
        &mut self,
        shared: &Arc<Shared>,
        trace: &mut CallTrace,
    ) -> Result<AttemptAnswer, Refusal> {
        let mut failed_attempts = 0;
        let mut worst_failure: Option<FailureKind> = None;
        loop {
            if let Some(attribute) = self.blocked_attribute(shared) {
                let refusal = Refusal::new(FailureKind::of_blocked(attribute).code());
                return Err(self.final_refusal(refusal, worst_failure));
            }
            let placement = match self.place(shared, None) {
                Ok(placement) => placement,
                Err(refusal) => return Err(self.final_refusal(refusal, worst_failure)),
            };
            trace.record_placement(&placement);
            let prompt = self.call.head.prompt.as_ref();
            let work = &shared.work;
            work.record_placement(&self.service, prompt, placement.unread_tokens);
            let failure = match self.attempt(shared, &placement, trace).await {
                Ok(attempted) => return Ok(attempted),
                Err(failure) => failure,
            };
            self.tried_endpoints.push(placement.endpoint.clone());
            self.record_broken_connection(shared, &placement, failure.kind, AnswerProgress::NONE);
            failed_attempts += 1;
            let next = self.next_step(shared, &placement, failure.kind, failed_attempts);
            let next = next.await;
            self.log_failure(shared, &placement, &failure, next);
            worst_failure = Some(less_certain(worst_failure, failure.kind));
            if next != NextStep::Retry {
                let refusal = Refusal::new(failure.kind.code());
                let refusal = refusal.retry_after(self.retry_delay(shared));
                return Err(self.final_refusal(refusal, worst_failure));
            }
        }
    }

    /// Returns the retry delay for a call that has no attempt left: about the time until
    /// an endpoint accepts calls again, or [`REFUSED_RETRY_US`] if one accepts them now or none
    /// ever will.
    fn retry_delay(&self, shared: &Shared) -> DurationUs {
        let now = shared.now();
        let accepts_at_us = {
            let endpoints = shared.endpoints.lock();
            endpoints.next_admission_at(&self.service, now)
        };
        match accepts_at_us {
            Some(accepts_at_us) if accepts_at_us > now => {
                retry_after(accepts_at_us.since(now), &mut rand::rng())
            }
            _ => REFUSED_RETRY_US,
        }
    }

    /// Chooses an endpoint for the next attempt and reserves its permits.
    pub(crate) fn place(
        &self,
        shared: &Shared,
        required_weights: Option<WeightNumber>,
    ) -> Result<Placement, Refusal> {
        let now = shared.now();
        let left = self.call.deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(Refusal::new(Code::DeadlineUnreachable));
        }
        let prompt = self.call.head.prompt.as_ref();
        let is_stream = self.route.kind == CallKind::Stream;
        let max_first_event_us = match is_stream {
            true => DurationUs::from(left).min(stream_patience(&self.route)),
            false => DurationUs::from(left),
        };
        let isolated_workspace = self
            .workspace
            .as_ref()
            .filter(|workspace| workspace.is_isolated);
        let (duration_us, memory_duration_us) = shared.durations.estimate(&self.service);
        let wanted_freshness = shared.wanted_freshness();
        let wanted = prompt.and_then(|prompt| shared.site.wanted_versions(&prompt.model));
        let request = PlacementRequest {
            service: &self.service,
            engine: self.call.engine.as_ref(),
            prompt,
            isolated_workspace: isolated_workspace.map(|workspace| &workspace.id),
            zone: &shared.settings.zone,
            daemons: shared.peers.daemon_count(),
            duration_us,
            memory_duration_us,
            max_first_event_us,
            max_queue_us: match self.required_software {
                Some(_) => self.resumed_queue_us,
                None => self.longest_queue_us,
            },
            uses_learned_rates: shared.manages_load(),
            allowed_zones: &self.call.allowed_zones,
            excluded: &self.tried_endpoints,
            needs_isolation: self.is_trial
                || shared
                    .suspects
                    .lock()
                    .needs_isolation(&self.call.attributes),
            required_weights,
            required_software: self.required_software.as_ref(),
            wanted_weights: wanted.as_ref(),
            wanted_freshness,
        };
        let mut endpoints = shared.endpoints.lock();
        let stores = shared.part_stores.lock();
        let placement = place(&endpoints, &stores, &request, now, &mut rand::rng())?;
        if self.sent_attempts == 0 {
            check_drain(shared, &self.route, left.into(), placement.queue_us)?;
        }
        endpoints.mark_permits_used(&placement.endpoint, placement.permits, now);
        Ok(placement)
    }

    /// Makes one attempt.
    async fn attempt(
        &mut self,
        shared: &Arc<Shared>,
        placement: &Placement,
        trace: &mut CallTrace,
    ) -> Result<AttemptAnswer, Failure> {
        let sent_attempts_before = self.sent_attempts;
        let guard = AttemptGuard::new(self, placement);
        let failure = tokio::select! {
            // It knows whether the call has been sent.
            biased;
            result = self.exchange(shared, placement, trace) => return result,
            failure = guard.wait_until_cancelled(shared) => failure,
        };
        self.sent_attempts = sent_attempts_before + 1;
        trace.log_entry().attempts = self.sent_attempts;
        Err(failure)
    }

    async fn exchange(
        &mut self,
        shared: &Arc<Shared>,
        placement: &Placement,
        trace: &mut CallTrace,
    ) -> Result<AttemptAnswer, Failure> {
        let deadline = self.attempt_deadline(shared, placement);
        let resume_after = self.call.head.resume_after;
        let is_last = !self.may_retry(shared) && !self.may_borrow_retry(shared);
        let opened = send_attempt(
            shared,
            &self.call,
            placement,
            resume_after,
            is_last,
            deadline,
        )
        .await;
        if !opened
            .as_ref()
            .is_err_and(|failure| failure.kind.is_unsent())
        {
            self.sent_attempts += 1;
            trace.log_entry().attempts = self.sent_attempts;
        }
        let opened = opened?;
        let forwarder = opened.connection.forwarder();
        trace.log_entry().forwarder = forwarder.map(|forwarder| forwarder.ip());
        trace.log_entry().framing = Some(opened.framing(&self.call).label());
        if self.route.kind == CallKind::Stream && opened.parts.status.is_success() {
            let first = self.await_first_bytes(placement, opened, resume_after, deadline);
            let (first, opened) = first.await?;
            let metrics = &shared.metrics.attempts;
            metrics.with_label_values(&["answered"]).inc();
            return Ok(AttemptAnswer::Stream(first, Box::new(opened)));
        }
        let size = opened.body.size_hint().exact();
        if size.is_some_and(|size| size > MAX_BUFFERED_ANSWER_BYTES) {
            return Ok(AttemptAnswer::Stream(None, Box::new(opened)));
        }
        self.buffer_answer(shared, placement, opened, deadline)
            .await
    }

    /// Returns the deadline of an attempt.
    ///
    /// While a repeatable call could still be sent to another endpoint, it doesn't spend all of its
    /// time waiting for one that doesn't answer.
    fn attempt_deadline(&self, shared: &Shared, placement: &Placement) -> Instant {
        let call_deadline = self.call.deadline;
        if !self.may_retry(shared) {
            return call_deadline;
        }
        let now = Instant::now();
        let left = call_deadline.saturating_duration_since(now);
        let target = Duration::from(self.route.latency_slo_us).mul_f64(FIRST_ATTEMPT_TARGET_FACTOR);
        let wait = Duration::from(placement.expected_us) + target;
        call_deadline.min(now + wait.max(left.mul_f64(MIN_ATTEMPT_SHARE)))
    }

    /// Returns whether the call could be sent to another endpoint if the next attempt fails.
    fn may_retry(&self, shared: &Shared) -> bool {
        self.has_attempt_left() && shared.budgets.has_retry(&self.service, shared.now())
    }

    /// Returns whether another daemon could be asked for a retry if the next attempt fails.
    fn may_borrow_retry(&self, shared: &Shared) -> bool {
        self.has_attempt_left() && may_borrow(shared, &self.service)
    }

    fn has_attempt_left(&self) -> bool {
        self.call.may_repeat && self.sent_attempts + 1 < self.route.max_attempts
    }

    /// Records a broken connection, which may be the sign of a crash.
    pub(crate) fn record_broken_connection(
        &self,
        shared: &Arc<Shared>,
        placement: &Placement,
        kind: FailureKind,
        progress: AnswerProgress,
    ) {
        if kind == FailureKind::Lost {
            record_broken_connection(shared, &self.call, placement, progress);
        }
    }

    /// Returns the attribute because of which the call may not be sent to any endpoint.
    pub(crate) fn blocked_attribute(&self, shared: &Shared) -> Option<CallAttribute> {
        if self.is_trial {
            return None;
        }
        let suspects = shared.suspects.lock();
        suspects.blocked_attribute(&self.call.attributes)
    }

    /// Returns whether another attempt might crash another endpoint.
    ///
    /// A single crash is no reason to stop: it affects all calls that were in flight there, and
    /// most of them succeed elsewhere. If endpoints have crashed under this request before, another
    /// attempt of the same call would crash one more before any daemon has noticed.
    fn is_suspect(&self, shared: &Shared, placement: &Placement, kind: FailureKind) -> bool {
        match kind {
            FailureKind::RequestBlocked | FailureKind::PartBlocked => true,
            FailureKind::Lost => {
                let instance_name = instance_short_name(&placement.endpoint);
                let suspects = shared.suspects.lock();
                self.is_trial
                    || suspects.has_crashed_elsewhere(&self.call.attributes, instance_name)
            }
            _ => false,
        }
    }

    /// Decides what follows a failed attempt. A retry is borrowed from another daemon if this one has
    /// none left.
    pub(super) async fn next_step(
        &self,
        shared: &Shared,
        placement: &Placement,
        kind: FailureKind,
        failed_attempts: u32,
    ) -> NextStep {
        let next = self.own_next_step(shared, placement, kind, failed_attempts);
        if next != NextStep::BudgetUsedUp {
            return next;
        }
        let borrowed = async {
            self.has_untried_endpoint(shared, placement)
                && borrow_retry(shared, &self.service, self.call.deadline).await
        };
        let is_borrowed = shared.drain.until_exit(borrowed).await.unwrap_or(false);
        let (granted, next) = match is_borrowed {
            true => ("borrowed", NextStep::Retry),
            false => ("no", NextStep::BudgetUsedUp),
        };
        shared.metrics.retries.with_label_values(&[granted]).inc();
        next
    }

    /// Returns whether an endpoint is left that the call was not sent to.
    fn has_untried_endpoint(&self, shared: &Shared, placement: &Placement) -> bool {
        let endpoints = shared.endpoints.lock();
        let mut rows = endpoints
            .iter()
            .filter(|row| row.endpoint.service == self.service && row.accepts_requests());
        rows.any(|row| {
            let instance = row.instance();
            *instance != placement.endpoint && !self.tried_endpoints.contains(instance)
        })
    }

    /// Decides what follows a failed attempt, with this daemon's own retries.
    fn own_next_step(
        &self,
        shared: &Shared,
        placement: &Placement,
        kind: FailureKind,
        failed_attempts: u32,
    ) -> NextStep {
        if shared.drain.is_exiting() {
            return NextStep::Exiting;
        }
        if self.call.deadline <= Instant::now() {
            return NextStep::NoTimeLeft;
        }
        if self.is_suspect(shared, placement, kind) {
            return NextStep::Suspect;
        }
        if kind.is_unsent() {
            return match failed_attempts < MAX_CONNECTS {
                true => NextStep::Retry,
                false => NextStep::TooManyConnects,
            };
        }
        if !kind.is_not_run() && !self.call.may_repeat {
            return NextStep::MayHaveRun;
        }
        if self.sent_attempts >= self.route.max_attempts {
            return NextStep::AttemptsUsedUp;
        }
        if !shared.budgets.try_take(&self.service, shared.now()) {
            return NextStep::BudgetUsedUp;
        }
        shared.metrics.retries.with_label_values(&["yes"]).inc();
        NextStep::Retry
    }

    /// Keeps refusals accurate: if an attempt may have run, the caller isn't told "not run".
    fn final_refusal(&self, refusal: Refusal, worst_failure: Option<FailureKind>) -> Refusal {
        match worst_failure {
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
        let attributes = &self.call.attributes;
        let parts = attributes
            .iter()
            .filter(|attribute| matches!(attribute, CallAttribute::PromptPart(_)));
        let own_running = {
            let endpoints = shared.endpoints.lock();
            let row = endpoints.get(&placement.endpoint);
            row.map_or(0, |row| row.own_load.running)
        };
        shared.log.write(&Event::AttemptFailed {
            request: self.call.head.request_id.to_string(),
            fingerprint: attributes.request().to_string(),
            parts: parts.map(|part| part.to_string()).collect(),
            endpoint: placement.endpoint.to_string(),
            attempt: self.sent_attempts,
            reason: failure.kind.label(),
            detail: failure.detail.clone(),
            may_have_run: !failure.kind.is_not_run(),
            known_brittle: placement.is_brittle,
            own_running,
            next: next.label(),
            budget_left: shared.budgets.remaining(&self.service, shared.now()),
        });
    }
}

/// Returns whichever of two failures leaves it less certain that the call hasn't run.
fn less_certain(previous: Option<FailureKind>, new: FailureKind) -> FailureKind {
    match previous {
        Some(previous) if !previous.is_not_run() => previous,
        _ => new,
    }
}
