//! A report as a table for people.

use super::{Quantiles, Report};

const MB: f64 = 1_000_000.0;

/// Prints a report.
pub fn print_table(report: &Report) {
    println!(
        "{} policy {} fault {} seed {}: {} of {} capacity, {} s of which {} not measured",
        report.site,
        report.policy,
        report.fault,
        report.seed,
        percent(report.load_share),
        report.capacity,
        report.duration_s,
        report.warm_up_s
    );
    println!(
        "machine load {} -> {}, tool {:.1} s of processor time",
        report.machine_load[0], report.machine_load[1], report.tool_processor_s
    );
    print_requests(report);
    print_times(report);
    print_tiers(report);
    print_promises(report);
    print_processes(report);
    print_fault(report);
}

fn print_requests(report: &Report) {
    let requests = &report.requests;
    println!(
        "requests        {} prompts ({} returns), {} plain; {} answered, {} refused ({} returns), {} lost, {} unended, {} connections replaced",
        requests.prompts,
        requests.returns,
        requests.plain_calls,
        requests.answered,
        requests.refused,
        requests.refused_returns,
        requests.lost,
        requests.unended,
        requests.broken_tries
    );
    println!(
        "in time         {} of prompts, {:.0} prompt tokens/s; prefill used {}",
        percent(requests.in_time_share),
        requests.in_time_tokens_per_s,
        percent(report.prefill_used_share)
    );
}

fn print_times(report: &Report) {
    println!("                       count      p50      p95      p99     mean ms");
    print_row("first token, returns", &report.first_token_returns);
    print_row("  floor of the same", &report.floor.returns);
    print_row("first token, all", &report.first_token_all);
    for (name, quantiles) in &report.first_token_visits {
        print_row(&format!("  first, {name}"), quantiles);
    }
    print_row("between tokens", &report.token_gap);
    print_row("plain calls", &report.plain_calls);
    print_row("refusals after", &report.refusal_after);
    let slowest = &report.slowest_returns;
    println!(
        "slowest returns {}: {:.0} ms = prefill {:.0} + transfer {:.0} + wait {:.0}; {} of kept pieces computed again",
        slowest.count,
        slowest.first_token_ms,
        slowest.prefill_ms,
        slowest.transfer_ms,
        slowest.wait_ms,
        percent(slowest.computed_again_share)
    );
    println!("p95 of returns over floor  {:.2}", report.floor.p95_ratio);
}

fn print_row(name: &str, row: &Quantiles) {
    println!(
        "{name:<21} {:>6} {:>8.1} {:>8.1} {:>8.1} {:>8.1}",
        row.count, row.p50_ms, row.p95_ms, row.p99_ms, row.mean_ms
    );
}

fn print_tiers(report: &Report) {
    let recomputed = &report.recomputed;
    println!(
        "recomputed      returns {} (least possible {}, of kept pieces {}), all {}",
        percent(recomputed.returns_share),
        percent(recomputed.returns_least_share),
        percent(recomputed.returns_kept_pieces_share),
        percent(recomputed.all_share)
    );
    for (name, link) in &report.links {
        println!(
            "link {name:<15} used {}, saves {:.2} MB/s, reads {:.2} MB/s, saved blocks later read {}, useful {}, full {}",
            percent(link.used_share),
            link.saved_bytes_per_s / MB,
            link.read_bytes_per_s / MB,
            percent(link.later_read_share),
            percent(link.useful_share),
            link.refused_full
        );
    }
    let counts = report.tier_counts.iter().filter(|(_, count)| **count > 0);
    let counts: Vec<String> = counts
        .map(|(name, count)| format!("{name} {count}"))
        .collect();
    println!("tiers           {}", counts.join(", "));
}

fn print_promises(report: &Report) {
    let refusals: Vec<String> = report
        .refusals
        .iter()
        .map(|(code, count)| format!("{code} {count}"))
        .collect();
    println!(
        "refusals        {}; without a time to return {}",
        refusals.join(", "),
        report.refusals_without_return
    );
    let promises = &report.promises;
    println!(
        "promises        wrong {}, cut off {}, doubled {}, falsely refused {}, invented {} ({} keys checked, {} services not asked)",
        promises.wrong,
        promises.cut_off,
        promises.doubled,
        promises.falsely_refused,
        promises.invented,
        promises.checked_keys,
        promises.unasked_services
    );
}

fn print_processes(report: &Report) {
    let calls = report.platform_calls_per_s.iter();
    let calls: Vec<String> = calls
        .map(|(name, rate)| format!("{name} {rate:.2}"))
        .collect();
    println!("platform /s     {}", calls.join(", "));
    for (name, daemon) in &report.daemons {
        println!(
            "{name:<15} {} of a core, {:.1} MB, control {:.0} bytes/s",
            percent(daemon.processor_share),
            daemon.memory_bytes as f64 / MB,
            daemon.control_bytes_per_s
        );
    }
}

fn print_fault(report: &Report) {
    let Some(effect) = &report.fault_effect else {
        return;
    };
    println!(
        "fault           from {:.1} s to {:.1} s",
        effect.from_s, effect.until_s
    );
    print_row("  before", &effect.before);
    print_row("  during, +10 s", &effect.during);
    print_row("  after", &effect.after);
    println!(
        "p95 after over before  {:.2}; of other workspaces during over before {:.2}",
        effect.p95_ratio, effect.others_p95_ratio_during
    );
}

fn percent(share: f64) -> String {
    format!("{:.1}%", share * 100.0)
}
