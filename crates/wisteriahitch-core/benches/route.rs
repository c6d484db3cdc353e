//! Benchmarks of a routing decision, the directory with 5 million entries, piece chains and
//! admission.
//!
//! The results are in `docs/design/routing.md` and `docs/design/admission.md`.

#![allow(
    clippy::unwrap_used,
    missing_docs,
    reason = "a bench fails by panicking, and criterion's macros bring an undocumented item"
)]

use std::collections::BTreeMap;
use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wisteriahitch_config::{Configuration, Endpoint, Service, ServiceKind, Workspace};
use wisteriahitch_core::route::{
    Admission, AdmissionCommand, AdmissionRequest, ChainScope, CostPolicy, Directory, EndpointLoad,
    LinkView, LoadedModel, Piece, PieceChain, RouteRequest, Router, piece_chain,
};
use wisteriahitch_types::{
    BlockKey, ByteCount, ByteRate, DurationUs, EndpointId, Share, StoreId, Tier, TimeUs,
    TokenCount, TokenRate,
};

const NOW: TimeUs = TimeUs::new(1_000_000_000);
const ENDPOINTS: [usize; 4] = [12, 120, 1_200, 12_000];

/// Returns the numbers of endpoints to run with; only `cargo bench` includes the largest.
///
/// A test runs each benchmark once, unoptimized, where building the largest fleet takes most of a
/// minute.
fn sizes() -> &'static [usize] {
    let is_bench = std::env::args().any(|argument| argument == "--bench");
    match is_bench {
        true => &ENDPOINTS,
        false => &ENDPOINTS[..ENDPOINTS.len() - 1],
    }
}
const PIECE_TOKENS: u64 = 2_000;
const PIECES: usize = 50;
const ENTRIES: usize = 5_000_000;
const PAGE_BYTES: usize = 4_096;

struct Links;

impl LinkView for Links {
    fn transfer_time(&self, _: &StoreId, tier: Tier, bytes: ByteCount, _: TimeUs) -> DurationUs {
        let rate = match tier {
            Tier::Memory => 2_000_000_000,
            Tier::Disk => 500_000_000,
        };
        ByteRate::new(rate).time_for(bytes)
    }
}

fn endpoint(number: usize) -> EndpointId {
    format!("runner-{number}").parse().unwrap()
}

fn store() -> StoreId {
    "hub-cache".parse().unwrap()
}

fn random_key(generator: &mut ChaCha8Rng) -> BlockKey {
    BlockKey::from_bytes(generator.random())
}

fn random_chain(generator: &mut ChaCha8Rng, pieces: usize) -> PieceChain {
    let piece = |_| Piece {
        key: random_key(generator),
        tokens: TokenCount::new(PIECE_TOKENS),
    };
    PieceChain {
        blocks: (0..pieces).map(piece).collect(),
        prompt_tokens: TokenCount::new(PIECE_TOKENS * pieces as u64 + 100),
    }
}

fn load(generator: &mut ChaCha8Rng) -> EndpointLoad {
    EndpointLoad {
        made_at_ms: 1_000,
        running: generator.random_range(0..8),
        batch_slots: 8,
        queued_tokens: TokenCount::new(generator.random_range(0..20_000)),
        prefill_tokens_per_s: TokenRate::new(8_000),
        models: vec![LoadedModel {
            model: "hist-7b".parse().unwrap(),
            weight_version: "v1".parse().unwrap(),
            adapters: vec![],
            is_ready: true,
        }],
        ..EndpointLoad::default()
    }
}

fn router(endpoints: usize, generator: &mut ChaCha8Rng) -> Router {
    let build = |number: usize| Endpoint {
        id: endpoint(number),
        address: "127.0.0.1:7000".parse().unwrap(),
        availability_zone: format!("zone-{}", number % 3).parse().unwrap(),
        checks_fence: true,
    };
    let service = Service {
        name: "assistant".parse().unwrap(),
        kind: ServiceKind::Engine,
        models: vec![],
        stores: vec![],
        repeatable: vec![],
        endpoints: (0..endpoints).map(build).collect(),
    };
    let configuration = Configuration {
        services: BTreeMap::from([(service.name.clone(), service)]),
        ..Configuration::default()
    };
    let mut router = Router::new(Box::new(CostPolicy::default()), 7);
    router
        .endpoints
        .apply_endpoint_configuration(&configuration, NOW);
    for number in 0..endpoints {
        router
            .endpoints
            .record_report(&endpoint(number), load(generator), NOW);
    }
    router
}

fn request(chain: PieceChain) -> RouteRequest {
    RouteRequest {
        service: "assistant".parse().unwrap(),
        model: Some("hist-7b".parse().unwrap()),
        adapter: None,
        weight_version: Some("v1".parse().unwrap()),
        chain,
        max_tokens: TokenCount::new(256),
        first_token_weight: Share::ONE,
        priority: 5,
        deadline_us: DurationUs::from_ms(60_000),
        availability_zone: "zone-0".parse().unwrap(),
        exclude: vec![],
        explain: false,
        bytes_per_token: ByteCount::new(100_000),
    }
}

/// Measures a decision for a prompt whose first half a few or all endpoints hold and which a store
/// VM holds whole.
fn decision(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decision_50_pieces");
    for (name, holder_fraction) in [("few_holders", 0.0), ("all_hold", 1.0)] {
        for &endpoints in sizes() {
            let mut generator = ChaCha8Rng::seed_from_u64(1);
            let mut router = router(endpoints, &mut generator);
            let request = request(random_chain(&mut generator, PIECES));
            let keys: Vec<BlockKey> = request.chain.blocks.iter().map(|piece| piece.key).collect();
            let holders = 3.max((endpoints as f64 * holder_fraction) as usize);
            for number in 0..holders {
                router
                    .directory
                    .replace_endpoint_listing(&endpoint(number), &keys[..PIECES / 2]);
            }
            let in_memory: Vec<(BlockKey, Tier)> =
                keys.iter().map(|key| (*key, Tier::Memory)).collect();
            router.directory.replace_store_listing(&store(), &in_memory);
            group.bench_with_input(
                BenchmarkId::new(name, endpoints),
                &request,
                |bencher, request| {
                    bencher.iter(|| router.choose(black_box(request), &Links, NOW).unwrap());
                },
            );
        }
    }
    group.finish();
}

fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap();
    let pages: usize = statm.split(' ').nth(1).unwrap().parse().unwrap();
    pages * PAGE_BYTES
}

/// Fills a directory with chains that one endpoint and one tier hold each.
fn fill_directory(generator: &mut ChaCha8Rng) -> (Directory, Vec<PieceChain>) {
    let mut directory = Directory::default();
    let mut sampled_chains = Vec::new();
    for number in 0..ENTRIES / PIECES {
        let chain = random_chain(generator, PIECES);
        let holder = endpoint(generator.random_range(0..1_200));
        for piece in &chain.blocks {
            directory.record_stored(&holder, &piece.key);
            directory.record_tier_stored(&store(), Tier::Disk, &piece.key);
        }
        if number % 100 == 0 {
            sampled_chains.push(chain);
        }
    }
    (directory, sampled_chains)
}

fn directory(criterion: &mut Criterion) {
    let mut generator = ChaCha8Rng::seed_from_u64(2);
    let before = resident_bytes();
    let (mut directory, chains) = fill_directory(&mut generator);
    let resident = resident_bytes() - before;
    let snapshot = directory.snapshot();
    eprintln!(
        "directory: {} blocks with 2 holders each, {} B of tables ({:.1} B a block), \
         {} B resident in all ({:.1} B a block)",
        snapshot.blocks,
        snapshot.table_bytes,
        snapshot.table_bytes as f64 / snapshot.blocks as f64,
        resident,
        resident as f64 / snapshot.blocks as f64,
    );
    let mut group = criterion.benchmark_group("directory_5_million");
    let mut next = 0;
    group.bench_function("tier_prefix_50_pieces", |bencher| {
        bencher.iter(|| {
            next = (next + 1) % chains.len();
            directory.tier_locations(black_box(&chains[next]))
        });
    });
    let holder = endpoint(17);
    group.bench_function("resident_prefix_50_pieces", |bencher| {
        bencher.iter(|| {
            next = (next + 1) % chains.len();
            directory.resident_prefix_tokens(&holder, black_box(&chains[next]))
        });
    });
    group.bench_function("store_and_evict_one", |bencher| {
        bencher.iter(|| {
            let key = random_key(&mut generator);
            directory.record_stored(&holder, black_box(&key));
            directory.record_evicted(&holder, black_box(&key));
        });
    });
    group.bench_function("sweep_one_of_256_after_a_listing", |bencher| {
        bencher.iter(|| {
            directory.replace_endpoint_listing(&holder, &[]);
            directory.sweep(1);
        });
    });
    group.finish();
}

fn pieces(criterion: &mut Criterion) {
    let words: Vec<String> = (0..100_000).map(|number| format!("word{number}")).collect();
    let prompt = words.join(" ");
    let scope = ChainScope {
        workspace: &"kandy".parse().unwrap(),
        model: &"hist-7b".parse().unwrap(),
        adapter: None,
        weight_version: &"v1".parse().unwrap(),
        piece_tokens: TokenCount::new(PIECE_TOKENS),
    };
    let mut group = criterion.benchmark_group("piece_chain");
    group.throughput(Throughput::Bytes(prompt.len() as u64));
    group.bench_function("100_000_tokens", |bencher| {
        bencher.iter(|| piece_chain(&scope, black_box(&prompt)));
    });
    group.finish();
}

/// Measures starting and ending one request while every workspace has one waiting.
fn admission(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admission_step");
    for count in [10, 320, 3_200, 32_000] {
        let workspaces = (0..count).map(|number| workspace(&format!("w{number}")));
        let configuration = Configuration {
            workspaces: workspaces.map(|it| (it.id.clone(), it)).collect(),
            ..Configuration::default()
        };
        let mut admission = Admission::default();
        admission.apply_quota_configuration(&configuration, 1, NOW);
        admission.set_capacity(&"assistant".parse().unwrap(), 1, NOW);
        let mut running = "first".parse().unwrap();
        admission.submit_request(request_of("first".to_owned(), 0), NOW);
        for number in 0..count {
            admission.submit_request(request_of(format!("wait-{number}"), number), NOW);
        }
        let mut next = 0;
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| {
                next += 1;
                admission.submit_request(request_of(format!("r{next}"), next % count), NOW);
                for command in admission.finish_request(&running, NOW) {
                    if let AdmissionCommand::Start(id) = command {
                        running = id;
                    }
                }
            });
        });
    }
    group.finish();
}

fn workspace(name: &str) -> Workspace {
    Workspace {
        id: name.parse().unwrap(),
        key_hashes: vec![],
        weight: 1,
        requests_per_s: None,
        prompt_tokens_per_s: None,
        max_queued: u32::MAX,
        store_bytes: ByteCount::ZERO,
    }
}

fn request_of(id: String, workspace: usize) -> AdmissionRequest {
    AdmissionRequest {
        request: id.parse().unwrap(),
        workspace: format!("w{workspace}").parse().unwrap(),
        service: "assistant".parse().unwrap(),
        priority: 5,
        prompt_tokens: TokenCount::new(1_000),
        cost_tokens: TokenCount::new(1_000),
        deadline_us: TimeUs::MAX,
    }
}

criterion_group!(benches, decision, directory, pieces, admission);
criterion_main!(benches);
