//! The answer to one attempt, up to where it can be passed on.

use std::sync::Arc;

use http::Response;
use http_body_util::BodyExt;
use tokio::time::{Instant, timeout_at};

use super::answer_body::AnswerBody;
use super::attempt::{Failure, FailureKind, Opened};
use super::crashes::note_answer_end;
use super::in_flight::AttemptOutcome;
use super::routed::{Attempted, Routed};
use super::shared::Shared;
use crate::decide::placement::Placement;

/// Largest answer that is taken in whole before it is passed on. What is not yet passed on can
/// still be asked for again where it breaks.
pub(super) const WHOLE_ANSWER_BYTES: u64 = 256 * 1024;

impl Routed {
    pub(super) async fn whole_answer(
        &self,
        shared: &Arc<Shared>,
        placement: &Placement,
        opened: Opened,
        until: Instant,
    ) -> Result<Attempted, Failure> {
        let Opened {
            parts,
            body,
            connection,
            flight,
            ..
        } = opened;
        let limit = wisteriahitch_types::ByteCount::new(WHOLE_ANSWER_BYTES);
        let whole = wisteriahitch_wire::http_client::read_body(body, limit);
        let bytes = match timeout_at(until, whole).await {
            Ok(Ok(bytes)) => bytes,
            Ok(Err(error)) => {
                flight.finish(AttemptOutcome::Failed);
                return Err(Failure::of_exchange(&error));
            }
            Err(_) => {
                flight.finish(AttemptOutcome::Failed);
                return Err(Failure::new(FailureKind::Timeout, "the answer isn't whole"));
            }
        };
        if parts.status.is_success() {
            note_answer_end(shared, &self.call, placement, &parts.headers);
        }
        flight.finish(match parts.status.is_server_error() {
            true => AttemptOutcome::Failed,
            false => AttemptOutcome::Good,
        });
        shared
            .metrics
            .attempts
            .with_label_values(&["answered"])
            .inc();
        keep_connection(shared, placement, &parts, connection);
        let status = parts.status.as_u16();
        let mut response = Response::new(AnswerBody::whole(bytes));
        *response.status_mut() = parts.status;
        *response.headers_mut() = shared.borders.calls.passed_back(&parts.headers);
        Ok(Attempted::Whole(response, status))
    }

    /// Waits for the first bytes of a stream before its head is passed on: until then a failure
    /// can still be told by a status of its own, and where it may be, the call sent elsewhere.
    pub(super) async fn first_event(
        &self,
        shared: &Arc<Shared>,
        placement: &Placement,
        mut opened: Opened,
        until: Instant,
    ) -> Result<Attempted, Failure> {
        let frame = match timeout_at(until, opened.body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => {
                opened.flight.finish(AttemptOutcome::Failed);
                return Err(Failure::new(FailureKind::Lost, error.to_string()));
            }
            Ok(None) => {
                opened.flight.finish(AttemptOutcome::Failed);
                return Err(Failure::new(
                    FailureKind::Lost,
                    "the stream ended before an event",
                ));
            }
            Err(_) => {
                opened.flight.finish(AttemptOutcome::Failed);
                return Err(Failure::new(FailureKind::Timeout, "no first event"));
            }
        };
        opened
            .flight
            .has_read(placement, self.call.head.prompt.as_ref());
        shared
            .metrics
            .attempts
            .with_label_values(&["answered"])
            .inc();
        let first = frame.into_data().ok();
        Ok(Attempted::Stream(first, Box::new(opened)))
    }
}

/// Keeps a connection whose answer was read to its end, unless the endpoint closes it.
pub(crate) fn keep_connection(
    shared: &Shared,
    placement: &Placement,
    parts: &http::response::Parts,
    mut connection: wisteriahitch_wire::connection_pool::Connection,
) {
    let answer = shared.borders.calls.answer(parts);
    if answer.is_closing {
        return;
    }
    if let Some(keep) = answer.keep {
        connection.set_keep(keep);
    }
    shared.pool.put(&placement.endpoint, connection);
}
