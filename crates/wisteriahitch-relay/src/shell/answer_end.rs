//! Ends of answers: an answer is passed on as complete only on evidence that it is.
//!
//! An answer with neither a length nor chunks ends with its connection, and so does one whose process
//! is killed (`docs/design/answer-ends.md`).

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use tokio::time::{Instant, timeout_at};
use wisteriahitch_types::{DurationUs, TimeUs};
use wisteriahitch_wire::answer_framing::AnswerFraming;
use wisteriahitch_wire::connection_pool::Connection;

use super::attempt::{Call, Failure, FailureKind, OpenedAnswer};
use super::crashes::{record_progress, record_unframed_end};
use super::liveness_query::LivenessQuery;
use super::shared::Shared;
use crate::decide::answer_progress::AnswerProgress;
use crate::decide::crash_evidence::Liveness;
use crate::decide::endpoint_table::instance_short_name;
use crate::decide::placement::Placement;
use crate::observe::Event;

/// Maximum wait for evidence that an endpoint still runs after an answer ended with its connection.
/// Within this time, the system also gives up a connection whose peer acknowledges nothing.
const EVIDENCE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// An answer whose body has ended without an error.
pub(super) struct AnswerEnd<'a> {
    call: &'a Call,
    placement: &'a Placement,
    /// How the end was recognised.
    pub(super) framing: AnswerFraming,
    status: StatusCode,
    connection: &'a Connection,
    forwarder: Option<SocketAddr>,
    /// Last event before the attempt that returned the answer, if it resumed a stream.
    resumed_after: Option<u64>,
    /// Whether the answer has no body.
    is_empty: bool,
}

impl<'a> AnswerEnd<'a> {
    /// Describes the end of `opened`.
    pub(super) fn of(
        call: &'a Call,
        opened: &'a OpenedAnswer,
        resumed_after: Option<u64>,
        is_empty: bool,
    ) -> Self {
        Self {
            call,
            placement: &opened.placement,
            framing: opened.framing(call),
            status: opened.parts.status,
            connection: &opened.connection,
            forwarder: opened.connection.forwarder(),
            resumed_after,
            is_empty,
        }
    }

    /// Waits for evidence that the answer is complete, until `deadline` at the latest. `progress` is how
    /// far its endpoint got.
    ///
    /// # Errors
    ///
    /// [`FailureKind::Lost`] if the endpoint has ended with its answer, or if nothing shows that it
    /// hasn't; also if it has ended the connection before the whole call was delivered.
    pub(super) async fn confirm(
        &self,
        shared: &Arc<Shared>,
        progress: AnswerProgress,
        deadline: Instant,
    ) -> Result<(), Failure> {
        let is_success = self.status.is_success();
        if self.framing != AnswerFraming::Close {
            if is_success {
                record_progress(shared, &self.call.attributes, AnswerProgress::WHOLE);
            }
            self.log(shared, None, DurationUs::ZERO);
            return Ok(());
        }
        let ended_at = shared.now();
        if is_success {
            record_unframed_end(shared, self.call, self.placement, progress);
        }
        let limit = deadline.min(Instant::now() + EVIDENCE_TIMEOUT);
        let waited = timeout_at(limit, self.wait_for_evidence(shared, ended_at)).await;
        let evidence = waited.unwrap_or(Liveness::Unknown);
        self.log(shared, Some(evidence), shared.now().since(ended_at));
        let detail = match evidence {
            // The endpoint's response to the query came after all that it sent before, a reset too.
            Liveness::Alive if self.connection.is_request_delivered() => return Ok(()),
            Liveness::Alive => {
                "the answer ended with its connection, before the call was sent in full"
            }
            Liveness::Crashed => "the endpoint ended with its answer",
            Liveness::Unknown => {
                "the answer ended with its connection, and nothing shows that the endpoint still runs"
            }
        };
        Err(Failure::new(FailureKind::Lost, detail))
    }

    /// Waits until the endpoint is known to have been running after `ended_at`, or to have crashed.
    /// Sends liveness queries until then, one at a time for all answers of the endpoint.
    async fn wait_for_evidence(&self, shared: &Arc<Shared>, ended_at: TimeUs) -> Liveness {
        let instance_name = instance_short_name(&self.placement.endpoint);
        let mut has_queried = false;
        loop {
            let changed = shared.crash_evidence_changed.notified();
            tokio::pin!(changed);
            // Evidence that arrives between the check and the wait must not be missed.
            changed.as_mut().enable();
            let is_query_due = {
                let mut evidence = shared.crash_evidence.lock();
                let is_querying = evidence.is_querying(instance_name);
                match evidence.liveness_after(instance_name, ended_at) {
                    Liveness::Alive => return Liveness::Alive,
                    // A broken link looks like a crash and may work again, so one query is sent first.
                    Liveness::Crashed if has_queried && !is_querying => return Liveness::Crashed,
                    Liveness::Crashed | Liveness::Unknown => {}
                }
                if !is_querying {
                    evidence.begin_query(instance_name, shared.now());
                }
                !is_querying
            };
            if is_query_due {
                has_queried = true;
                let query = LivenessQuery::new(shared, self.placement, self.forwarder);
                tokio::spawn(query.run(Arc::clone(shared)));
            }
            changed.await;
        }
    }

    /// Logs an end that a broken answer may have as well.
    fn log(&self, shared: &Shared, evidence: Option<Liveness>, waited_us: DurationUs) {
        let is_empty_rest = self.is_empty && self.resumed_after.is_some();
        if evidence.is_none() && !is_empty_rest {
            return;
        }
        let placement = self.placement;
        shared.log.write(&Event::AnswerEnded {
            request: self.call.head.request_id.to_string(),
            endpoint: placement.endpoint.to_string(),
            software: placement.software.to_string(),
            weights: placement.weights.map(|weights| weights.get()),
            status: self.status.as_u16(),
            framing: self.framing.label(),
            resumed_after: self.resumed_after,
            is_empty: self.is_empty,
            forwarder: self.forwarder.map(|forwarder| forwarder.ip()),
            evidence: evidence.map(Liveness::label),
            waited_ms: waited_us.as_ms(),
        });
    }
}
