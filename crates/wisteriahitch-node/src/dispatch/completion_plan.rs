//! Chooses the endpoint and weight version of an attempt at a completion.

use wisteriahitch_core::route::{Choice, Estimate, PieceChain, Plan as RoutePlan, RouteRequest};
use wisteriahitch_types::{Code, EndpointId, WeightVersion};

use super::completion_call::{CompletionCall, Resumption};
use super::retry_after::RETRY_AFTER_US;
use crate::caller::Refusal;
use crate::shared::Shared;

/// Endpoint, prompt chain and weight version of one attempt.
pub(super) struct AttemptPlan {
    pub(super) choice: Choice,
    pub(super) chain: PieceChain,
    pub(super) weight_version: WeightVersion,
}

/// Chooses endpoint and weight version. During a rollout two versions are in use; the one with the
/// earlier estimated first token is chosen.
pub(super) fn plan_attempt(
    shared: &Shared,
    call: &CompletionCall,
    tried: &[EndpointId],
) -> Result<AttemptPlan, Refusal> {
    let mut best: Option<AttemptPlan> = None;
    let mut refused = Refusal::new(Code::NoEndpoint).with_retry_after_us(RETRY_AFTER_US);
    for weight_version in shared.candidate_versions(&call.route.service, &call.model) {
        let chain = call.chain(&weight_version);
        let request = route_request(shared, call, chain, &weight_version, tried);
        match shared.choose(&request) {
            Ok(choice) => {
                let is_better = best.as_ref().is_none_or(|best| {
                    choice.estimate.first_token_us < best.choice.estimate.first_token_us
                });
                if is_better {
                    best = Some(AttemptPlan {
                        choice,
                        chain: request.chain,
                        weight_version,
                    });
                }
            }
            Err(refusal) => refused = refusal,
        }
    }
    best.ok_or(refused)
}

/// Plans a resumption at the endpoint where the answer began, the only one that can continue it.
pub(super) fn plan_resumption(call: &CompletionCall, resumption: &Resumption) -> AttemptPlan {
    let choice = Choice {
        endpoint: resumption.endpoint.clone(),
        plan: RoutePlan::default(),
        estimate: Estimate::default(),
        weighed: Vec::new(),
    };
    let weight_version = resumption.weight_version.clone();
    AttemptPlan {
        choice,
        chain: call.chain(&weight_version),
        weight_version,
    }
}

fn route_request(
    shared: &Shared,
    call: &CompletionCall,
    chain: PieceChain,
    weight_version: &WeightVersion,
    tried: &[EndpointId],
) -> RouteRequest {
    RouteRequest {
        service: call.route.service.clone(),
        model: Some(call.model.name.clone()),
        adapter: call.adapter.clone(),
        weight_version: Some(weight_version.clone()),
        chain,
        max_tokens: call.max_tokens,
        first_token_weight: call.route.first_token_weight,
        priority: call.route.priority,
        deadline_us: call.due_us().since(shared.clock.now()),
        availability_zone: shared.settings.availability_zone.clone(),
        exclude: tried.to_vec(),
        explain: false,
        bytes_per_token: call.model.bytes_per_token,
    }
}
