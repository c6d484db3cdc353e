//! A small configured service for the tests of routing.

use std::collections::BTreeMap;

use wisteriahitch_config::{Configuration, Endpoint, Service, ServiceKind};
use wisteriahitch_core::route::{
    ChainScope, CostPolicy, EndpointLoad, LinkView, LoadedModel, PieceChain, Policy, RouteRequest,
    Router, piece_chain,
};
use wisteriahitch_types::{
    ByteCount, ByteRate, DurationUs, EndpointId, Share, StoreId, Tier, TimeUs, TokenCount,
    TokenRate,
};

pub(crate) const PIECE_TOKENS: u64 = 10;
pub(crate) const BYTES_PER_TOKEN: u64 = 1_000;
pub(crate) const PREFILL_TOKENS_PER_S: u64 = 1_000;
pub(crate) const START: TimeUs = TimeUs::new(1_000_000_000);

pub(crate) fn endpoint(number: usize) -> EndpointId {
    format!("runner-{number}").parse().unwrap()
}

pub(crate) fn store(name: &str) -> StoreId {
    name.parse().unwrap()
}

pub(crate) fn after_ms(ms: u64) -> TimeUs {
    START + DurationUs::from_ms(ms)
}

/// A configuration of one service whose endpoints alternate between two availability zones.
pub(crate) fn configuration(kind: ServiceKind, endpoints: usize) -> Configuration {
    let zones = ["colombo-a", "colombo-b"];
    let build = |number: usize| Endpoint {
        id: endpoint(number),
        address: format!("127.0.0.1:{}", 7_000 + number).parse().unwrap(),
        availability_zone: zones[number % zones.len()].parse().unwrap(),
        checks_fence: true,
    };
    let service = Service {
        name: "assistant".parse().unwrap(),
        kind,
        models: vec![],
        stores: vec![],
        repeatable: vec![],
        endpoints: (0..endpoints).map(build).collect(),
    };
    Configuration {
        services: BTreeMap::from([(service.name.clone(), service)]),
        ..Configuration::default()
    }
}

/// The report that an engine without requests makes at `at`.
pub(crate) fn idle_report(at: TimeUs) -> EndpointLoad {
    EndpointLoad {
        made_at_ms: at.get() / 1_000,
        life: Some("first".to_owned()),
        batch_slots: 8,
        prefill_tokens_per_s: TokenRate::new(PREFILL_TOKENS_PER_S),
        models: vec![LoadedModel {
            model: "hist-7b".parse().unwrap(),
            weight_version: "v1".parse().unwrap(),
            adapters: vec!["parts".parse().unwrap()],
            is_ready: true,
        }],
        ..EndpointLoad::default()
    }
}

/// A router whose engines have all reported that they are idle.
pub(crate) fn router(endpoints: usize) -> Router {
    router_with(Box::new(CostPolicy::default()), endpoints)
}

pub(crate) fn router_with(policy: Box<dyn Policy>, endpoints: usize) -> Router {
    let mut router = Router::new(policy, 11);
    let configuration = configuration(ServiceKind::Engine, endpoints);
    router
        .endpoints
        .apply_endpoint_configuration(&configuration, START);
    for number in 0..endpoints {
        router
            .endpoints
            .record_report(&endpoint(number), idle_report(START), START);
    }
    router
}

/// The pieces of `prompt` for a workspace, with the fixture's model and piece size.
pub(crate) fn chain(workspace: &str, prompt: &str) -> PieceChain {
    let scope = ChainScope {
        workspace: &workspace.parse().unwrap(),
        model: &"hist-7b".parse().unwrap(),
        adapter: None,
        weight_version: &"v1".parse().unwrap(),
        piece_tokens: TokenCount::new(PIECE_TOKENS),
    };
    piece_chain(&scope, prompt)
}

/// A prompt of `count` different words, each of which is one token.
pub(crate) fn words(count: u64) -> String {
    let words: Vec<String> = (0..count).map(|number| format!("w{number}")).collect();
    words.join(" ")
}

/// A request of the workspace "kandy" with a prompt of `prompt_tokens` tokens.
pub(crate) fn request(prompt_tokens: u64) -> RouteRequest {
    RouteRequest {
        service: "assistant".parse().unwrap(),
        model: Some("hist-7b".parse().unwrap()),
        adapter: None,
        weight_version: Some("v1".parse().unwrap()),
        chain: chain("kandy", &words(prompt_tokens)),
        max_tokens: TokenCount::new(16),
        first_token_weight: Share::ONE,
        priority: 5,
        deadline_us: DurationUs::from_ms(60_000),
        availability_zone: "colombo-a".parse().unwrap(),
        exclude: vec![],
        explain: true,
        bytes_per_token: ByteCount::new(BYTES_PER_TOKEN),
    }
}

/// Links with a fixed rate per tier and a fixed queueing time.
pub(crate) struct FixedLinks {
    pub(crate) memory_rate: ByteRate,
    pub(crate) disk_rate: ByteRate,
    pub(crate) queue_us: DurationUs,
}

impl LinkView for FixedLinks {
    fn transfer_time(&self, _: &StoreId, tier: Tier, bytes: ByteCount, _: TimeUs) -> DurationUs {
        let rate = match tier {
            Tier::Memory => self.memory_rate,
            Tier::Disk => self.disk_rate,
        };
        self.queue_us + rate.time_for(bytes)
    }
}
