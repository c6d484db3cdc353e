//! Forwards a stream to the caller, event by event.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::Response;
use http_body_util::BodyExt;
use tokio::time::{Instant, timeout_at};
use wisteriahitch_types::Code;
use wisteriahitch_wire::http_client::HttpError;

use super::answer_body::{AnswerAborted, AnswerBody};
use super::answer_end::AnswerEnd;
use super::attempt::{Failure, FailureKind, OpenedAnswer, send_attempt};
use super::attempt_answer::return_connection;
use super::attempt_guard::AttemptGuard;
use super::crashes::record_progress;
use super::in_flight::AttemptOutcome;
use super::next_step::NextStep;
use super::routed::RoutedCall;
use super::shared::Shared;
use super::trace::CallTrace;
use crate::decide::answer_progress::WritingTime;
use crate::decide::caller_pause::CallerPauses;
use crate::decide::placement::Placement;
use crate::decide::stream_events::EventFramer;
use crate::decide::stream_size::StreamSize;
use crate::observe::Event;
use crate::site::{CallKind, PromptShape};

/// A stream that is ready to be forwarded to the caller.
pub(crate) struct StreamStart {
    pub(crate) routed: RoutedCall,
    pub(crate) opened: OpenedAnswer,
    pub(crate) first: Option<Bytes>,
}

struct StreamForwarder {
    shared: Arc<Shared>,
    routed: RoutedCall,
    placement: Placement,
    /// `None` once the stream has ended.
    opened: Option<OpenedAnswer>,
    /// First bytes, until they are forwarded.
    first: Option<Bytes>,
    /// Splits the stream into events; `None` for an answer without events.
    framer: Option<EventFramer>,
    trace: CallTrace,
    status: u16,
    /// When events were last forwarded.
    last_event: Instant,
    pauses: CallerPauses,
    /// Last event before the attempt that is being received, if it resumes the stream.
    resumed_after: Option<u64>,
    /// Whether that attempt has delivered no byte of a body yet.
    is_empty: bool,
    /// Bytes that the endpoints have sent.
    size: StreamSize,
    /// Time for which the endpoint of the placement has been writing events.
    writing: WritingTime,
}

/// Builds the answer that forwards a stream.
///
/// The stream is polled by the caller's connection itself. If the caller disconnects, everything is
/// dropped with it, and the connection to the endpoint closes at once.
pub(crate) fn stream_answer(
    shared: &Arc<Shared>,
    start: StreamStart,
    trace: CallTrace,
) -> Response<AnswerBody> {
    let mut response = Response::new(());
    *response.status_mut() = start.opened.parts.status;
    *response.headers_mut() = shared
        .borders
        .calls
        .caller_headers(&start.opened.parts.headers);
    let status = start.opened.parts.status.as_u16();
    let has_events = start.routed.route.kind == CallKind::Stream;
    let resume_after = start.routed.call.head.resume_after;
    let size = StreamSize::of(start.routed.call.head.prompt.as_ref());
    let forwarder = StreamForwarder {
        shared: Arc::clone(shared),
        routed: start.routed,
        placement: start.opened.placement.clone(),
        opened: Some(start.opened),
        first: start.first,
        framer: has_events.then(|| EventFramer::after(resume_after)),
        trace,
        status,
        last_event: Instant::now(),
        pauses: CallerPauses::default(),
        resumed_after: resume_after,
        is_empty: true,
        size,
        writing: WritingTime::default(),
    };
    let chunks = stream::unfold(forwarder, |mut forwarder| async move {
        let chunk = forwarder.next_chunk().await?;
        Some((chunk, forwarder))
    });
    response.map(|()| AnswerBody::Stream(Box::pin(chunks)))
}

impl StreamForwarder {
    /// Returns the next chunk, or aborts the answer if the process is about to exit.
    async fn next_chunk(&mut self) -> Option<Result<Bytes, AnswerAborted>> {
        self.opened.as_ref()?;
        let abort_signal = self.shared.drain.abort_signal.clone();
        tokio::select! {
            chunk = self.receive_chunk() => chunk,
            () = abort_signal.cancelled() => self.abort(Code::StreamIncomplete),
        }
    }

    async fn receive_chunk(&mut self) -> Option<Result<Bytes, AnswerAborted>> {
        let mut pause = self.last_event.elapsed();
        loop {
            self.opened.as_ref()?;
            let asked_at = Instant::now();
            let events = self.next_events().await;
            self.pauses.record(pause.into(), asked_at.elapsed().into());
            pause = Duration::ZERO;
            let failure = match events {
                Ok(Some(events)) => {
                    self.record_events();
                    return Some(Ok(events));
                }
                Ok(None) => match self.confirm_end().await {
                    Ok(()) => {
                        self.finish();
                        return None;
                    }
                    Err(failure) => failure,
                },
                Err(failure) => failure,
            };
            if let Err(code) = self.resume(failure).await {
                return self.abort(code);
            }
        }
    }

    fn abort(&mut self, code: Code) -> Option<Result<Bytes, AnswerAborted>> {
        self.trace.record_abort(code);
        self.opened = None;
        Some(Err(AnswerAborted))
    }

    fn record_events(&mut self) {
        let now = Instant::now();
        let gap = now - std::mem::replace(&mut self.last_event, now);
        self.shared.metrics.event_gap_s.observe(gap.as_secs_f64());
        if let Some(progress) = self.writing.record_event(self.shared.now()) {
            record_progress(&self.shared, &self.routed.call.attributes, progress);
        }
    }

    /// Returns the next complete events, or `None` at the end of the stream.
    async fn next_events(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            let Some(bytes) = self.next_bytes().await? else {
                let is_truncated = self.framer.as_ref().is_some_and(|f| !f.is_between_events());
                return match is_truncated {
                    true => Err(Failure::new(
                        FailureKind::Lost,
                        "the stream ended within an event",
                    )),
                    false => Ok(None),
                };
            };
            let Some(framer) = &mut self.framer else {
                return Ok(Some(bytes));
            };
            let counted = self.size.record(bytes.len());
            counted.map_err(|error| Failure::new(FailureKind::InvalidAnswer, error.to_string()))?;
            let framed = framer.push(bytes);
            match framed
                .map_err(|error| Failure::new(FailureKind::InvalidAnswer, error.to_string()))?
            {
                Some(framed) => return Ok(Some(framed.events)),
                None => continue,
            }
        }
    }

    async fn next_bytes(&mut self) -> Result<Option<Bytes>, Failure> {
        if let Some(first) = self.first.take() {
            self.is_empty = false;
            return Ok(Some(first));
        }
        let deadline = self.routed.call.deadline;
        let Some(opened) = &mut self.opened else {
            return Ok(None);
        };
        loop {
            let frame = tokio::select! {
                frame = timeout_at(deadline, opened.body.frame()) => frame,
                () = self.shared.wait_for_instance_end(&self.placement.endpoint) => {
                    let detail = "the endpoint has started again";
                    return Err(Failure::new(FailureKind::Lost, detail));
                }
            };
            match frame {
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(bytes) => {
                        self.is_empty = false;
                        return Ok(Some(bytes));
                    }
                    Err(_) => continue,
                },
                Ok(Some(Err(error))) => {
                    return Err(Failure::from_http_error(&HttpError::from_body_error(
                        &error,
                    )));
                }
                Ok(None) => return Ok(None),
                Err(_) => return Err(Failure::new(FailureKind::Timeout, "the stream isn't whole")),
            }
        }
    }

    /// Waits for evidence that the stream is complete. Its events were passed on already; only its end
    /// waits.
    async fn confirm_end(&mut self) -> Result<(), Failure> {
        let Some(opened) = &self.opened else {
            return Ok(());
        };
        let call = &self.routed.call;
        let end = AnswerEnd::of(call, opened, self.resumed_after, self.is_empty);
        self.trace.log_entry().framing = Some(end.framing.label());
        let progress = self.writing.progress();
        end.confirm(&self.shared, progress, call.deadline).await
    }

    fn finish(&mut self) {
        let Some(opened) = self.opened.take() else {
            return;
        };
        opened.in_flight.finish(AttemptOutcome::Succeeded);
        let call_duration = self.trace.started_at().elapsed();
        let prompt = self.routed.call.head.prompt.as_ref();
        let tokens = prompt.map_or(0, PromptShape::memory_tokens);
        let durations = &self.shared.durations;
        durations.record(&self.routed.service, call_duration, tokens);
        self.record_length(prompt);
        return_connection(
            &self.shared,
            &self.placement,
            &opened.parts,
            opened.connection,
        );
        self.trace.record_answered(self.status);
    }

    /// Records how long the answer is, by which the lengths that callers hint are judged. One that
    /// the caller resumes isn't whole.
    fn record_length(&self, prompt: Option<&PromptShape>) {
        let hinted = prompt.and_then(|prompt| prompt.hinted_output_tokens);
        let engine = self.routed.call.engine.as_ref();
        let tokens_per_event = engine.and_then(|engine| engine.tokens_per_event);
        let is_whole = self.routed.call.head.resume_after.is_none();
        if let (Some(hinted), Some(tokens), Some(framer), true) =
            (hinted, tokens_per_event, &self.framer, is_whole)
        {
            let actual = framer.event_count() * u64::from(tokens);
            let mut endpoints = self.shared.endpoints.lock();
            let service = &self.routed.service;
            endpoints.rates.record_hint(service, actual, hinted.get());
        }
    }

    /// Resumes the stream after the last complete event at another endpoint, or at several in turn,
    /// if the route allows it.
    ///
    /// The rest must come from the same weights and the same software: an answer joined from two
    /// versions would belong to neither.
    async fn resume(&mut self, failure: Failure) -> Result<(), Code> {
        let opened = self.opened.take().ok_or(Code::StreamIncomplete)?;
        // A pause explains one break, not those of the endpoints that follow.
        let mut is_explained = failure.kind == FailureKind::Lost && self.pauses.explain_break();
        self.pauses = CallerPauses::default();
        if !is_explained {
            opened.in_flight.finish(AttemptOutcome::Failed);
        }
        drop(opened);
        let weights = self.placement.weights;
        self.routed.required_software = Some(self.placement.software.clone());
        let (mut failure, mut failed_attempts) = (failure, 0);
        loop {
            if !is_explained {
                self.record_broken_connection(&failure);
            }
            is_explained = false;
            self.exclude_failed_endpoint(&failure, failed_attempts)
                .await?;
            let placed = self.routed.place(&self.shared, weights);
            self.placement = placed.map_err(|refusal| refusal.code)?;
            match self.resume_at_placement().await {
                Ok(()) => return Ok(()),
                Err(resume_failure) => failure = resume_failure,
            }
            failed_attempts += 1;
        }
    }

    fn record_broken_connection(&self, failure: &Failure) {
        let (shared, placement) = (&self.shared, &self.placement);
        let progress = self.writing.progress();
        self.routed
            .record_broken_connection(shared, placement, failure.kind, progress);
    }

    /// Records that the last attempt failed, and decides whether the stream may be resumed at
    /// another endpoint.
    async fn exclude_failed_endpoint(
        &mut self,
        failure: &Failure,
        failed_attempts: u32,
    ) -> Result<(), Code> {
        let (shared, placement) = (&self.shared, &self.placement);
        let next = match self.routed.route.is_resumable && self.framer.is_some() {
            true => {
                let routed = &self.routed;
                let next = routed.next_step(shared, placement, failure.kind, failed_attempts);
                next.await
            }
            false => NextStep::MayHaveRun,
        };
        self.routed.log_failure(shared, placement, failure, next);
        if next != NextStep::Retry {
            return Err(Code::StreamIncomplete);
        }
        if let Some(attribute) = self.routed.blocked_attribute(shared) {
            return Err(FailureKind::of_blocked(attribute).code());
        }
        let endpoint = self.placement.endpoint.clone();
        self.routed.tried_endpoints.push(endpoint);
        Ok(())
    }

    /// Resumes the stream at the endpoint of the placement.
    async fn resume_at_placement(&mut self) -> Result<(), Failure> {
        self.writing = WritingTime::default();
        let last_id = self.framer.as_ref().and_then(EventFramer::last_id);
        let guard = AttemptGuard::new(&self.routed, &self.placement);
        let opened = tokio::select! {
            opened = self.open_rest(last_id) => opened,
            failure = guard.wait_until_cancelled(&self.shared) => Err(failure),
        };
        let is_unsent = opened
            .as_ref()
            .is_err_and(|failure| failure.kind.is_unsent());
        self.routed.sent_attempts += u32::from(!is_unsent);
        let (first, opened) = opened?;
        self.shared.log.write(&Event::StreamResumed {
            request: self.routed.call.head.request_id.to_string(),
            endpoint: self.placement.endpoint.to_string(),
            after_event: last_id,
        });
        self.framer = Some(EventFramer::after(last_id));
        (self.resumed_after, self.is_empty) = (last_id, true);
        self.first = first;
        self.opened = Some(opened);
        Ok(())
    }

    /// Sends the call to the endpoint of the placement for the events after `last_id`, and waits
    /// for the first bytes of them.
    async fn open_rest(
        &self,
        last_id: Option<u64>,
    ) -> Result<(Option<Bytes>, OpenedAnswer), Failure> {
        let (shared, routed, placement) = (&self.shared, &self.routed, &self.placement);
        let deadline = routed.call.deadline;
        let is_last = false;
        let opened = send_attempt(shared, &routed.call, placement, last_id, is_last, deadline);
        let opened = opened.await?;
        if !opened.parts.status.is_success() {
            opened.in_flight.finish(AttemptOutcome::Failed);
            let detail = format!("the endpoint answered {} in a stream", opened.parts.status);
            return Err(Failure::new(FailureKind::InvalidAnswer, detail));
        }
        routed
            .await_first_bytes(placement, opened, last_id, deadline)
            .await
    }
}
