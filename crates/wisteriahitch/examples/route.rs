//! Routes a request through the core: a busy endpoint, an idle one, and one that leaves.
//!
//! Run it with `cargo run -p wisteriahitch --example route`; `docs/design/routing.md` says how the
//! costs are made. The core does no I/O: reports and times go in, choices come out.

use anyhow::ensure;
use wisteriahitch::config::Configuration;
use wisteriahitch::core::route::{
    Choice, CostPolicy, EndpointLoad, LeavingSource, NoLinks, PieceChain, RouteRequest, Router,
};
use wisteriahitch::types::{ByteCount, DurationUs, EndpointId, Share, TimeUs, TokenCount};

const CONFIGURATION: &str = r#"
availability_zones = ["colombo-a"]

[[services]]
name = "till"
kind = "plain"
endpoints = [
    { id = "till-1", address = "127.0.0.1:7001", availability_zone = "colombo-a", checks_fence = false },
    { id = "till-2", address = "127.0.0.1:7002", availability_zone = "colombo-a", checks_fence = false },
]

[[workspaces]]
id = "kandy-central"
key_hashes = ["be16f3f41cddf07a36e8295882866f0d"]
weight = 1
max_queued = 200
store_bytes = 0

[[rules]]
name = "default"
then.route = { service = "till" }
"#;

const NOW: TimeUs = TimeUs::new(1_000_000);
const SEED: u64 = 7;

fn load(running: u64) -> EndpointLoad {
    EndpointLoad {
        made_at_ms: 1,
        running,
        batch_slots: 4,
        ..EndpointLoad::default()
    }
}

fn choose(router: &mut Router, configuration: &Configuration) -> anyhow::Result<Choice> {
    let zone = &configuration.availability_zones[0];
    let request = RouteRequest {
        service: "till".parse()?,
        model: None,
        adapter: None,
        weight_version: None,
        chain: PieceChain::default(),
        max_tokens: TokenCount::ZERO,
        first_token_weight: Share::ONE,
        priority: 5,
        deadline_us: DurationUs::from_ms(2_000),
        availability_zone: zone.clone(),
        exclude: vec![],
        explain: true,
        bytes_per_token: ByteCount::ZERO,
    };
    let choice = router
        .choose(&request, &NoLinks, NOW)
        .map_err(|refusal| anyhow::anyhow!("refused with {}", refusal.code))?;
    for weighed in &choice.weighed {
        println!("  {} costs {}", weighed.endpoint, weighed.cost_us);
    }
    println!("chosen: {}", choice.endpoint);
    Ok(choice)
}

fn main() -> anyhow::Result<()> {
    let configuration =
        Configuration::check(CONFIGURATION).map_err(|report| anyhow::anyhow!("{report}"))?;
    let (busy, idle): (EndpointId, EndpointId) = ("till-1".parse()?, "till-2".parse()?);
    let mut router = Router::new(Box::new(CostPolicy::default()), SEED);
    router
        .endpoints
        .apply_endpoint_configuration(&configuration, NOW);
    router.endpoints.record_report(&busy, load(4), NOW);
    router.endpoints.record_report(&idle, load(0), NOW);

    println!("one endpoint is busy, one idle:");
    let first = choose(&mut router, &configuration)?;
    ensure!(first.endpoint == idle, "the idle endpoint comes first");

    println!("the idle one says that it leaves:");
    let source = LeavingSource::OwnReport;
    router.endpoints.mark_leaving(&idle, &source, NOW);
    let second = choose(&mut router, &configuration)?;
    ensure!(
        second.endpoint == busy,
        "a leaving endpoint gets no new work"
    );
    Ok(())
}
