//! Receives the answer to one attempt until it can be passed on to the caller.

use std::sync::Arc;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use tokio::time::{Instant, timeout_at};
use wisteriahitch_wire::http_client::HttpError;

use super::answer_body::AnswerBody;
use super::answer_end::AnswerEnd;
use super::attempt::{Failure, FailureKind, OpenedAnswer};
use super::in_flight::AttemptOutcome;
use super::routed::{AttemptAnswer, RoutedCall};
use super::shared::Shared;
use crate::decide::answer_progress::AnswerProgress;
use crate::decide::placement::Placement;
use crate::decide::room_lending::LoanEnd;

/// Maximum size of an answer that is buffered completely before it is passed on. If the connection
/// breaks before anything was passed on, the call can still be sent again.
pub(super) const MAX_BUFFERED_ANSWER_BYTES: u64 = 256 * 1024;

impl RoutedCall {
    pub(super) async fn buffer_answer(
        &self,
        shared: &Arc<Shared>,
        placement: &Placement,
        mut opened: OpenedAnswer,
        deadline: Instant,
    ) -> Result<AttemptAnswer, Failure> {
        let limit = wisteriahitch_types::ByteCount::new(MAX_BUFFERED_ANSWER_BYTES);
        let read = wisteriahitch_wire::http_client::read_body(&mut opened.body, limit);
        let bytes = match timeout_at(deadline, read).await {
            Ok(Ok(bytes)) => bytes,
            Ok(Err(error)) => {
                opened.in_flight.finish(AttemptOutcome::Failed);
                return Err(Failure::from_http_error(&error));
            }
            Err(_) => {
                opened.in_flight.finish(AttemptOutcome::Failed);
                return Err(Failure::new(
                    FailureKind::Timeout,
                    "the answer was incomplete at the deadline",
                ));
            }
        };
        let resumed_after = self.call.head.resume_after;
        let end = AnswerEnd::of(&self.call, &opened, resumed_after, bytes.is_empty());
        let confirmed = end.confirm(shared, AnswerProgress::NONE, deadline).await;
        if let Err(failure) = confirmed {
            opened.in_flight.finish(AttemptOutcome::Failed);
            return Err(failure);
        }
        let OpenedAnswer {
            parts,
            connection,
            mut in_flight,
            ..
        } = opened;
        if parts.status.is_success() {
            in_flight.record_success();
        }
        in_flight.set_room_end(LoanEnd::Finished);
        in_flight.finish(match parts.status.is_server_error() {
            true => AttemptOutcome::Failed,
            false => AttemptOutcome::Succeeded,
        });
        shared
            .metrics
            .attempts
            .with_label_values(&["answered"])
            .inc();
        return_connection(shared, placement, &parts, connection);
        let status = parts.status.as_u16();
        let mut response = Response::new(AnswerBody::full(bytes));
        *response.status_mut() = parts.status;
        *response.headers_mut() = shared.borders.calls.caller_headers(&parts.headers);
        Ok(AttemptAnswer::Whole(response, status))
    }

    /// Waits for the first bytes of a stream before its head is passed on. Until then a failure can
    /// still be reported by a status of its own, or the call be sent to another endpoint if it may
    /// be repeated.
    ///
    /// A stream that is resumed may end without any: everything was received before it broke off.
    pub(super) async fn await_first_bytes(
        &self,
        placement: &Placement,
        mut opened: OpenedAnswer,
        resume_after: Option<u64>,
        deadline: Instant,
    ) -> Result<(Option<Bytes>, OpenedAnswer), Failure> {
        let fail = |opened: &OpenedAnswer, kind, detail: String| {
            opened.in_flight.finish(AttemptOutcome::Failed);
            Err(Failure::new(kind, detail))
        };
        let first = match timeout_at(deadline, opened.body.frame()).await {
            Ok(Some(Ok(frame))) => frame.into_data().ok(),
            Ok(None) if resume_after.is_some() => None,
            Ok(Some(Err(error))) => {
                opened.in_flight.finish(AttemptOutcome::Failed);
                let error = HttpError::from_body_error(&error);
                return Err(Failure::from_http_error(&error));
            }
            Ok(None) => {
                let detail = "the stream ended before its first event";
                return fail(&opened, FailureKind::Lost, detail.to_owned());
            }
            Err(_) => {
                let detail = "no first event before the deadline";
                return fail(&opened, FailureKind::Timeout, detail.to_owned());
            }
        };
        opened
            .in_flight
            .record_prompt_read(placement, self.call.head.prompt.as_ref());
        Ok((first, opened))
    }
}

/// Returns a connection whose answer was read completely to the pool, unless the endpoint closes
/// it.
pub(crate) fn return_connection(
    shared: &Shared,
    placement: &Placement,
    parts: &http::response::Parts,
    mut connection: wisteriahitch_wire::connection_pool::Connection,
) {
    let answer = shared.borders.calls.decode_answer(parts);
    if answer.is_closing {
        return;
    }
    if let Some(keep_alive) = answer.keep_alive {
        connection.set_idle_timeout(keep_alive);
    }
    shared.return_connection(&placement.endpoint, connection);
}
