//! Entry point of the load and experiment tool.

mod flags;

use std::process::ExitCode;

use anyhow::{Context, bail, ensure};
use flags::{Layout, Membership, Run, Simulate, WisteriahitchBench, WisteriahitchBenchCmd};
use wisteriahitch_bench::fleet::{Plan, Policy, simulate};
use wisteriahitch_bench::load::Capacity;
use wisteriahitch_bench::membership::{ModelOptions, assess};
use wisteriahitch_bench::report::{Report, compare, plot_run, print_table, sweep, write_records};
use wisteriahitch_bench::run::{FaultName, RunOptions};
use wisteriahitch_bench::site::{LayoutOptions, SiteAddresses, write_layout};
use wisteriahitch_bench::{demo, run};

const DEFAULT_FIRST_PORT: u16 = 28_000;
const DEFAULT_SEED: u64 = 1;
const DEFAULT_ZONES: usize = 5;
const DEFAULT_DURATION_S: u64 = 60;
const DEFAULT_WARM_UP_S: u64 = 15;
const DEFAULT_LOAD_SHARE: f64 = 0.7;

#[tokio::main]
async fn main() -> ExitCode {
    let flags = WisteriahitchBench::from_env_or_exit();
    let result = match flags.subcommand {
        WisteriahitchBenchCmd::Demo(flags) => {
            let site = demo::Site {
                entries: flags.entry,
                operators: flags.operators,
                service: flags.service,
            };
            demo::run(&site).await
        }
        WisteriahitchBenchCmd::Layout(flags) => write_layout(&layout_options(flags)),
        WisteriahitchBenchCmd::Run(flags) => run_and_report(flags).await,
        WisteriahitchBenchCmd::Simulate(flags) => simulate_and_print(&flags),
        WisteriahitchBenchCmd::Membership(flags) => model_membership(&flags),
        WisteriahitchBenchCmd::Compare(flags) => compare(&flags.first, &flags.second),
        WisteriahitchBenchCmd::Sweep(flags) => sweep(&flags.report, flags.plot.as_deref()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn layout_options(flags: Layout) -> LayoutOptions {
    LayoutOptions {
        site: flags.site,
        policy: flags.policy,
        first_port: flags.first_port.unwrap_or(DEFAULT_FIRST_PORT),
        daemons: flags.daemons,
        engines: flags.engines,
        directory: flags.directory,
    }
}

async fn run_and_report(flags: Run) -> anyhow::Result<()> {
    check_expected(&flags)?;
    let options = RunOptions {
        directory: flags.directory,
        fault: flags.faults.unwrap_or(FaultName::None),
        seed: flags.seed.unwrap_or(DEFAULT_SEED),
        duration_s: flags.duration_s.unwrap_or(DEFAULT_DURATION_S),
        warm_up_s: flags.warm_up_s.unwrap_or(DEFAULT_WARM_UP_S),
        load_share: flags.load.unwrap_or(DEFAULT_LOAD_SHARE),
        capacity: flags.capacity.unwrap_or(Capacity::Computed),
        answer_tokens: flags.answer_tokens,
        is_idle: flags.idle,
    };
    ensure!(
        options.warm_up_s < options.duration_s,
        "--warm-up-s must be less than --duration-s, else nothing is measured"
    );
    let result = run::run(options).await?;
    let report = Report::new(&result);
    print_table(&report);
    if let Some(path) = &flags.report {
        let text = serde_json::to_string_pretty(&report)?;
        std::fs::write(path, text).context("the report can't be written")?;
    }
    if let Some(path) = &flags.records {
        write_records(&result, path)?;
    }
    match &flags.plot {
        Some(path) => plot_run(&report, path),
        None => Ok(()),
    }
}

fn simulate_and_print(flags: &Simulate) -> anyhow::Result<()> {
    let plan = Plan::load(&flags.load)?;
    let policy = policy_without(&flags.without)?;
    let first = flags.seed.unwrap_or(DEFAULT_SEED);
    for seed in first..first + flags.runs.unwrap_or(1) {
        println!("seed {seed}\n{}", simulate(&plan, policy, seed)?);
    }
    Ok(())
}

fn policy_without(names: &[String]) -> anyhow::Result<Policy> {
    let mut policy = Policy::default();
    for name in names {
        match name.as_str() {
            "urgent-news" => policy.has_urgent_update = false,
            "refusals" => policy.has_refusals = false,
            _ => bail!("--without {name}: expected urgent-news or refusals"),
        }
    }
    Ok(policy)
}

/// Fails if the layout has another site or policy than the flags name, since the report would then
/// carry a wrong name.
fn check_expected(flags: &Run) -> anyhow::Result<()> {
    let found = SiteAddresses::read(&flags.directory)?;
    if let Some(site) = flags.site {
        ensure!(
            site == found.site,
            "--site {site}: the layout has the site {}",
            found.site
        );
    }
    if let Some(policy) = flags.policy {
        let policy = policy.to_string();
        ensure!(
            policy == found.policy,
            "--policy {policy}: the layout has the policy {}",
            found.policy
        );
    }
    Ok(())
}

/// Prints a table for each size.
fn model_membership(flags: &Membership) -> anyhow::Result<()> {
    let loss = flags.loss.unwrap_or(0.0);
    ensure!(!flags.daemons.is_empty(), "--daemons is absent");
    ensure!(
        (0.0..=1.0).contains(&loss),
        "--loss is {loss}, expected 0 to 1"
    );
    for daemons in &flags.daemons {
        let assessment = assess(ModelOptions {
            daemons: *daemons,
            zones: flags.zones.unwrap_or(DEFAULT_ZONES),
            loss,
            seed: flags.seed.unwrap_or(DEFAULT_SEED),
        })?;
        println!("{assessment}\n");
    }
    Ok(())
}
