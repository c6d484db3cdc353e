//! The whole report of a run.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{
    DaemonSection, FaultSection, FloorSection, LinkSection, PartSection, PromiseSection, Quantiles,
    RecomputedSection, RequestSection, Window,
};
use crate::load::Capacity;
use crate::run::FaultName;
use crate::site::SiteName;

/// Holds what a run showed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// Site.
    pub site: SiteName,
    /// Policy of its daemons.
    pub policy: String,
    /// Fault.
    pub fault: FaultName,
    /// Seed.
    pub seed: u64,
    /// Length, the part before measuring included.
    pub duration_s: u64,
    /// Part that was not measured.
    pub warm_up_s: u64,
    /// Part of the endpoints' capacity that was asked for.
    pub load_share: f64,
    /// What that capacity counts.
    pub capacity: Capacity,
    /// Load averages of the machine at the start and at the end.
    pub machine_load: [String; 2],
    /// Processor time of the tool itself, over the whole run.
    pub tool_processor_s: f64,
    /// Requests.
    pub requests: RequestSection,
    /// First token of all prompts, from the intended time of sending.
    pub first_token_all: Quantiles,
    /// First token of returns.
    pub first_token_returns: Quantiles,
    /// First token of first visits, by kind.
    pub first_token_visits: BTreeMap<String, Quantiles>,
    /// Time between two tokens.
    pub token_gap: Quantiles,
    /// Plain calls, from the intended time of sending to the whole answer.
    pub plain_calls: Quantiles,
    /// Prompt work.
    pub recomputed: RecomputedSection,
    /// What the same returns would take without queues.
    pub floor: FloorSection,
    /// What the slowest twentieth of the returns spent their time on.
    pub slowest_returns: PartSection,
    /// Part of the endpoints' prefill capacity that was used.
    pub prefill_used_share: f64,
    /// Links.
    pub links: BTreeMap<String, LinkSection>,
    /// Refusals by code.
    pub refusals: BTreeMap<String, u64>,
    /// From the intended time of sending to a refusal.
    pub refusal_after: Quantiles,
    /// Refusals that don't say when to return.
    pub refusals_without_return: u64,
    /// Broken promises.
    pub promises: PromiseSection,
    /// Platform calls a second by kind.
    pub platform_calls_per_s: BTreeMap<String, f64>,
    /// Daemons.
    pub daemons: BTreeMap<String, DaemonSection>,
    /// How imports, saves and prefetch ended, summed over the daemons.
    pub tier_counts: BTreeMap<String, u64>,
    /// How the fault showed.
    pub fault_effect: Option<FaultSection>,
    /// The run in short parts.
    pub windows: Vec<Window>,
}
