//! Explains which rule and endpoint would be chosen for a described request, and why.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use http::Response;
use serde::Deserialize;
use serde_json::{Value, json};
use wisteriahitch_config::{Action, Model, RequestFacts, Route};
use wisteriahitch_core::route::{
    ChainScope, PieceChain, RouteRequest, ScoredCandidate, piece_chain,
};
use wisteriahitch_types::{
    AdapterName, ByteCount, Code, ModelName, TokenCount, WeightVersion, WorkspaceId,
};

use super::question::parse;
use crate::caller::body::ResponseBody;
use crate::caller::{Refusal, json_response};
use crate::shared::{InForce, Shared};

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Question {
    workspace: WorkspaceId,
    #[serde(default)]
    method: Option<String>,
    #[serde(default)]
    path: Option<String>,
    #[serde(default)]
    model: Option<ModelName>,
    #[serde(default)]
    adapter: Option<AdapterName>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    prompt: Option<String>,
    #[serde(default)]
    labels: BTreeMap<String, String>,
}

impl Question {
    fn find_model<'a>(&self, in_force: &'a InForce) -> Option<&'a Model> {
        in_force.configuration.models.get(self.model.as_ref()?)
    }
}

const COMPLETIONS_PATH: &str = "/v1/completions";

/// Answers `POST /v1/explain`. Nothing is sent to an endpoint.
pub(crate) fn explain(
    shared: &Arc<Shared>,
    body: &Bytes,
) -> Result<Response<ResponseBody>, Refusal> {
    let (question, in_force) = read_question(shared, body)?;
    let facts = request_facts(shared, &question);
    let traces = in_force.configuration.explain(&facts);
    let rule = in_force.configuration.decide(&facts);
    let tried: Vec<Value> = traces
        .iter()
        .map(|trace| json!({ "rule": trace.rule, "outcome": trace.to_string() }))
        .collect();
    let mut answer = json!({ "rule": rule.name, "tried": tried, "action": rule.then });
    if let Action::Route(route) = &rule.then {
        explain_choice(shared, &in_force, &question, route, &mut answer);
    }
    Ok(json_response(&answer))
}

fn read_question(shared: &Shared, body: &Bytes) -> Result<(Question, Arc<InForce>), Refusal> {
    let question = parse(body)?;
    let in_force = shared
        .in_force
        .load_full()
        .ok_or_else(|| Refusal::new(Code::NotReady))?;
    Ok((question, in_force))
}

fn request_facts(shared: &Shared, question: &Question) -> RequestFacts {
    let prompt_tokens = question
        .prompt
        .as_ref()
        .map(|prompt| TokenCount::new(prompt.split_whitespace().count() as u64));
    RequestFacts {
        workspace: Some(question.workspace.clone()),
        method: question.method.clone().unwrap_or_else(|| "POST".to_owned()),
        path: question
            .path
            .clone()
            .unwrap_or_else(|| COMPLETIONS_PATH.to_owned()),
        model: question.model.clone(),
        adapter: question.adapter.clone(),
        stream: question.stream,
        prompt_tokens,
        labels: question.labels.clone(),
        availability_zone: Some(shared.settings.availability_zone.clone()),
    }
}

fn explain_choice(
    shared: &Arc<Shared>,
    in_force: &InForce,
    question: &Question,
    route: &Route,
    answer: &mut Value,
) {
    let request = route_request(shared, question.find_model(in_force), question, route);
    match shared.choose(&request) {
        Ok(choice) => {
            answer["endpoint"] = json!(choice.endpoint);
            answer["plan"] = json!(choice.plan);
            answer["weighed"] = choice.weighed.iter().map(candidate_json).collect();
        }
        Err(refusal) => answer["refusal"] = json!(refusal.code()),
    }
}

fn route_request(
    shared: &Shared,
    model: Option<&Model>,
    question: &Question,
    route: &Route,
) -> RouteRequest {
    let version = model.and_then(|model| {
        let mut versions = shared.candidate_versions(&route.service, model);
        versions.pop()
    });
    let adapter = route.adapter.clone().or(question.adapter.clone());
    let chain = match (model, &version) {
        (Some(model), Some(version)) => prompt_chain(question, adapter.as_ref(), model, version),
        _ => PieceChain::default(),
    };
    RouteRequest {
        service: route.service.clone(),
        model: model.map(|model| model.name.clone()),
        adapter,
        weight_version: version,
        chain,
        max_tokens: TokenCount::new(1),
        first_token_weight: route.first_token_weight,
        priority: route.priority,
        deadline_us: route.deadline_us,
        availability_zone: shared.settings.availability_zone.clone(),
        exclude: Vec::new(),
        explain: true,
        bytes_per_token: model.map_or(ByteCount::ZERO, |model| model.bytes_per_token),
    }
}

fn candidate_json(candidate: &ScoredCandidate) -> Value {
    json!({
        "endpoint": candidate.endpoint,
        "cost": candidate.cost_us,
        "first_token_us": candidate.estimate.first_token_us,
        "queue_us": candidate.estimate.queue_us,
        "transfer_us": candidate.estimate.transfer_us,
        "prefill_us": candidate.estimate.prefill_us,
    })
}

fn prompt_chain(
    question: &Question,
    adapter: Option<&AdapterName>,
    model: &Model,
    weight_version: &WeightVersion,
) -> PieceChain {
    let scope = ChainScope {
        workspace: &question.workspace,
        model: &model.name,
        adapter,
        weight_version,
        piece_tokens: model.piece_tokens,
    };
    piece_chain(&scope, question.prompt.as_deref().unwrap_or_default())
}

/// Answers `POST /v1/locate` with the endpoints and stores that have each block of a prompt.
pub(crate) fn locate(
    shared: &Arc<Shared>,
    body: &Bytes,
) -> Result<Response<ResponseBody>, Refusal> {
    let (question, in_force) = read_question(shared, body)?;
    let model = question
        .find_model(&in_force)
        .ok_or_else(|| Refusal::new(Code::UnknownModel))?;
    let adapter = question.adapter.as_ref();
    let chain = prompt_chain(&question, adapter, model, &model.weight_version);
    let router = shared.router.lock();
    let tiers = router.directory.tier_locations(&chain);
    let mut start = TokenCount::ZERO;
    let mut blocks = Vec::new();
    for (index, piece) in chain.blocks.iter().enumerate() {
        start += piece.tokens;
        let services = in_force.configuration.services.values();
        let holders = services
            .flat_map(|service| &service.endpoints)
            .filter(|endpoint| {
                router
                    .directory
                    .resident_prefix_tokens(&endpoint.id, &chain)
                    >= start
            });
        let endpoints: Vec<_> = holders.map(|endpoint| &endpoint.id).collect();
        let stores: Vec<_> = tiers.get(index).into_iter().flatten().collect();
        blocks.push(json!({
            "key": piece.key,
            "tokens": piece.tokens,
            "endpoints": endpoints,
            "stores": stores,
        }));
    }
    Ok(json_response(&json!({ "blocks": blocks })))
}
