//! Runs a completion through attempts, retries and resumption until the answer is complete.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use wisteriahitch_core::stream::StreamCheck;
use wisteriahitch_types::{Code, EndpointId};
use wisteriahitch_wire::engine::EngineError;

use super::completion_call::{CompletionCall, CompletionEvent};
use super::completion_plan::{AttemptPlan, plan_attempt, plan_resumption};
use crate::caller::Refusal;
use crate::shared::Shared;

/// How an attempt ended.
pub(super) enum AttemptEnd {
    /// The answer is complete.
    Complete,
    /// The caller disconnected.
    CallerGone,
    /// The endpoint failed.
    Failed(EngineError),
}

/// State of one completion across its attempts.
pub(super) struct CompletionRun<'a> {
    pub(super) shared: &'a Arc<Shared>,
    pub(super) call: &'a CompletionCall,
    /// Channel to the task that writes the response; closed when the caller disconnects.
    pub(super) events: &'a mpsc::Sender<CompletionEvent>,
    /// Validates tokens against the current attempt and tracks its number and the next position.
    pub(super) check: StreamCheck,
    /// Endpoints that already failed for this request. Retries avoid them while there is another.
    pub(super) tried: Vec<EndpointId>,
    /// Whether the head has been sent to the caller, which happens right before the first token.
    pub(super) has_sent_head: bool,
    /// Whether an attempt may have run, so that a refusal can no longer say `not run`.
    pub(super) may_have_run: bool,
    /// Cancellations of earlier attempts that may not have reached their endpoint yet.
    pub(super) pending_cancellations: Vec<(SocketAddr, JoinHandle<()>)>,
}

/// Runs a completion to its end and sends its events to the caller's task.
pub(crate) async fn run(
    shared: &Arc<Shared>,
    call: &CompletionCall,
    events: &mpsc::Sender<CompletionEvent>,
) {
    if let Err(refusal) = run_to_completion(shared, call, events).await {
        // Sending fails when the caller has disconnected, and then nobody waits for the refusal.
        let _ = events.send(CompletionEvent::Refused(refusal)).await;
    }
}

async fn run_to_completion(
    shared: &Arc<Shared>,
    call: &CompletionCall,
    events: &mpsc::Sender<CompletionEvent>,
) -> Result<(), Refusal> {
    let cost_tokens = call.prompt_tokens + call.max_tokens;
    let permit = shared.acquire_permit(
        &call.identity,
        &call.route,
        call.due_us(),
        call.prompt_tokens,
        cost_tokens,
    );
    let _permit = tokio::select! {
        permit = permit => permit?,
        () = events.closed() => return Ok(()),
    };
    let first = match &call.resumption {
        Some(resumption) => plan_resumption(call, resumption),
        None => plan_attempt(shared, call, &[])?,
    };
    let mut check = StreamCheck::new(
        call.request_id.clone(),
        first.choice.endpoint.clone(),
        first.weight_version.clone(),
    );
    if let Some(resumption) = &call.resumption {
        check = check
            .with_start_position(resumption.position)
            .with_first_attempt(resumption.attempt);
    }
    let mut run = CompletionRun {
        shared,
        call,
        events,
        check,
        tried: Vec::new(),
        has_sent_head: false,
        may_have_run: false,
        pending_cancellations: Vec::new(),
    };
    let result = run.run_attempts(first).await;
    run.count_dropped();
    // Whichever error ends the request, an earlier attempt may have run it.
    match run.may_have_run {
        true => result.map_err(Refusal::with_outcome_unknown),
        false => result,
    }
}

impl CompletionRun<'_> {
    async fn run_attempts(&mut self, first: AttemptPlan) -> Result<(), Refusal> {
        let mut plan = first;
        loop {
            match self.attempt(&plan).await {
                AttemptEnd::Complete => return Ok(()),
                AttemptEnd::CallerGone => {
                    self.shared.metrics.count_refusal(Code::CallerGone);
                    return Ok(());
                }
                AttemptEnd::Failed(error) => plan = self.plan_next(plan, &error)?,
            }
        }
    }

    fn count_dropped(&self) {
        for (reason, count) in self.check.drop_counts().iter() {
            let label = reason.to_string();
            self.shared
                .metrics
                .dropped_tokens
                .with_label_values(&[&label])
                .inc_by(count);
        }
    }
}
