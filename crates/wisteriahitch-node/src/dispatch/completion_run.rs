//! Running a completion: attempts, restarts and resumption until the answer is whole.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use wisteriahitch_core::stream::StreamCheck;
use wisteriahitch_types::{Code, EndpointId};
use wisteriahitch_wire::engine::EngineError;

use super::completion_call::{CompletionCall, Piece};
use super::completion_plan::{Plan, plan, resume};
use crate::caller::Refusal;
use crate::shared::Shared;

/// Says how an attempt ended.
pub(super) enum Ended {
    /// The answer is whole.
    Whole,
    /// The caller went away.
    CallerGone,
    /// The endpoint failed.
    Failed(EngineError),
}

/// Follows one completion through its attempts.
pub(super) struct Run<'a> {
    pub(super) shared: &'a Arc<Shared>,
    pub(super) call: &'a CompletionCall,
    pub(super) pieces: &'a mpsc::Sender<Piece>,
    pub(super) check: StreamCheck,
    /// Endpoints that this request isn't tried at again.
    pub(super) tried: Vec<EndpointId>,
    pub(super) has_sent_head: bool,
    /// Whether some attempt may have run, so that `not run` would no longer be true.
    pub(super) may_have_run: bool,
    /// Cancellations of earlier attempts that may still be on their way.
    pub(super) cancelling: Vec<(SocketAddr, JoinHandle<()>)>,
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
        call.due_us(),
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
            .with_start_position(resumption.position)
            .with_first_attempt(resumption.attempt);
    }
    let mut run = Run {
        shared,
        call,
        pieces,
        check,
        tried: Vec::new(),
        has_sent_head: false,
        may_have_run: false,
        cancelling: Vec::new(),
    };
    let result = run.follow_attempts(first).await;
    run.count_dropped();
    // Whatever ends the request now, an endpoint may have run it before.
    match run.may_have_run {
        true => result.map_err(Refusal::with_outcome_unknown),
        false => result,
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
