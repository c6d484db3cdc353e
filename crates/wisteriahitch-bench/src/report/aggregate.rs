//! Works a report out of what a run recorded.

use super::{Quantiles, Report};
use crate::run::RunResult;

use super::run_view::RunView;

impl Report {
    /// Works the report out.
    pub fn new(result: &RunResult) -> Self {
        let view = RunView::new(result);
        let options = &result.options;
        let returns = || view.answered.iter().filter(|row| row.ask.is_return);
        let first_token_returns = Quantiles::of(returns().map(|row| row.first_token_us));
        Self {
            site: result.site.site,
            policy: result.site.policy.clone(),
            fault: options.fault,
            seed: options.seed,
            duration_s: options.duration_s,
            warm_up_s: options.warm_up_s,
            load_share: options.load_share,
            capacity: options.capacity,
            machine_load: result.machine_load.clone(),
            tool_processor_s: result.own.processor_s,
            requests: view.requests(),
            first_token_all: Quantiles::of(view.answered.iter().map(|row| row.first_token_us)),
            first_token_returns,
            first_token_visits: view.first_visits(),
            token_gap: view.token_gap(),
            plain_calls: view.plain_calls(),
            recomputed: view.recomputed(),
            floor: view.floor(&first_token_returns),
            slowest_returns: view.slowest_returns(),
            prefill_used_share: view.prefill_used_share(),
            links: view.links(),
            refusals: view.refusals(),
            refusal_after: view.refusal_after(),
            refusals_without_return: view.refusals_without_return(),
            promises: view.promises(),
            platform_calls_per_s: view.platform_calls(),
            daemons: view.daemons(),
            tier_counts: view.tier_counts(),
            fault_effect: view.fault_effect(),
            windows: view.windows(),
        }
    }
}
