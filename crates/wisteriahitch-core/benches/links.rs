//! Compares transfer orders, save policies and prefetch on synthetic workloads.
//!
//! `cargo bench -p wisteriahitch-core --bench links` prints the tables that `docs/design/links.md`
//! uses. Without `--bench`, as in a test run, a short run of one seed checks that the simulation
//! works. Every run is a function of its seed.

#[path = "links/shared_link.rs"]
mod shared_link;
#[path = "links/simulation.rs"]
mod simulation;
#[path = "links/statistics.rs"]
mod statistics;
#[path = "links/workload.rs"]
mod workload;

use wisteriahitch_config::SavePolicy;
use wisteriahitch_core::tier::{BackfillOrder, FifoOrder, LinkOrder, PriorityOrder};

use simulation::{Setup, Simulation};
use workload::Workload;

const SEEDS: [u64; 3] = [1, 2, 3];
const LINK_RATE_FACTORS: [f64; 2] = [1.0, 0.5];
const FULL_SPAN_S: u64 = 36 * 3_600;
const SHORT_SPAN_S: u64 = 900;

/// One of the compared configurations.
#[derive(Clone, Copy)]
struct Variant {
    compared: &'static str,
    order: fn() -> Box<dyn LinkOrder>,
    policy: SavePolicy,
    has_prefetch: bool,
}

fn variants() -> Vec<Variant> {
    let plain: fn() -> Box<dyn LinkOrder> = || Box::new(FifoOrder);
    let priority: fn() -> Box<dyn LinkOrder> = || Box::new(PriorityOrder);
    let backfill: fn() -> Box<dyn LinkOrder> = || Box::new(BackfillOrder);
    let variant = |compared, order, policy| Variant {
        compared,
        order,
        policy,
        has_prefetch: false,
    };
    vec![
        variant("order", plain, SavePolicy::Learned),
        variant("order", priority, SavePolicy::Learned),
        variant("order", backfill, SavePolicy::Learned),
        variant("policy", priority, SavePolicy::Always),
        variant("policy", priority, SavePolicy::SecondUse),
        variant("policy", priority, SavePolicy::Never),
        Variant {
            has_prefetch: true,
            ..variant("prefetch", priority, SavePolicy::Learned)
        },
    ]
}

fn main() {
    let is_full = std::env::args().any(|argument| argument == "--bench");
    let span_s = if is_full { FULL_SPAN_S } else { SHORT_SPAN_S };
    let seeds = if is_full { &SEEDS[..] } else { &SEEDS[..1] };
    println!("{}", statistics::HEADER);
    for workload in Workload::all() {
        for link_rate_factor in LINK_RATE_FACTORS {
            for variant in variants() {
                run_seeds(&workload, link_rate_factor, variant, seeds, span_s);
            }
        }
    }
}

/// Runs the seeds in parallel, since they are independent.
fn run_seeds(
    workload: &Workload,
    link_rate_factor: f64,
    variant: Variant,
    seeds: &[u64],
    span_s: u64,
) {
    let lines: Vec<String> = std::thread::scope(|scope| {
        let threads: Vec<_> = seeds
            .iter()
            .map(|seed| {
                scope.spawn(move || run(workload, link_rate_factor, variant, *seed, span_s))
            })
            .collect();
        let joined = threads.into_iter().map(|thread| thread.join());
        joined.map(|line| line.expect("the run ends")).collect()
    });
    lines.iter().for_each(|line| println!("{line}"));
}

fn run(
    workload: &Workload,
    link_rate_factor: f64,
    variant: Variant,
    seed: u64,
    span_s: u64,
) -> String {
    let setup = Setup {
        workload: workload.clone(),
        policy: variant.policy,
        has_prefetch: variant.has_prefetch,
        link_rate_factor,
        seed,
        span_s,
    };
    let order = (variant.order)();
    let label = format!(
        "{:<9} {link_rate_factor:>4} {seed:>4} {:<8} {:<8} {:<10}",
        workload.name,
        variant.compared,
        order.name(),
        format!("{:?}", variant.policy),
    );
    let statistics = Simulation::new(setup, order).run();
    format!("{label} {statistics}")
}
