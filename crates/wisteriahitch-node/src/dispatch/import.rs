//! Imports blocks from a store VM into an endpoint before a request runs there.

use std::sync::Arc;

use wisteriahitch_core::route::Choice;
use wisteriahitch_core::tier::{ImportPlan, ImportStep, Reader};
use wisteriahitch_types::{ByteCount, DurationUs, TokenCount, WeightVersion};

use super::completion_call::CompletionCall;
use crate::shared::Shared;

/// Waits for the imports of a request. The endpoint computes whatever fails to import.
pub(crate) async fn run(
    shared: &Arc<Shared>,
    call: &CompletionCall,
    choice: &Choice,
    weight_version: &WeightVersion,
) {
    if choice.plan.import.is_empty() {
        return;
    }
    let plan = ImportPlan {
        request: call.request_id.clone(),
        reader: Reader {
            workspace: call.identity.workspace.clone(),
            weight_version: weight_version.clone(),
        },
        endpoint: choice.endpoint.clone(),
        steps: steps(call, choice),
        limit_us: recompute_time(shared, call, choice),
    };
    shared.import(plan).await;
}

fn steps(call: &CompletionCall, choice: &Choice) -> Vec<ImportStep> {
    let bytes_per_token = call.model.bytes_per_token.get();
    let steps = choice.plan.import.iter();
    steps
        .map(|step| ImportStep {
            store: step.store.clone(),
            key: step.key,
            tokens: step.tokens,
            bytes: ByteCount::new(step.tokens.get() * bytes_per_token),
        })
        .collect()
}

/// Returns the time limit of an import: the time to compute the imported pieces instead, but no
/// more than is left until the deadline.
fn recompute_time(shared: &Shared, call: &CompletionCall, choice: &Choice) -> DurationUs {
    let tokens: TokenCount = choice.plan.import.iter().map(|step| step.tokens).sum();
    let rate = shared.prefill_rate(&choice.endpoint);
    let left_us = call.due_us().since(shared.clock.now());
    rate.time_for(tokens).min(left_us)
}
