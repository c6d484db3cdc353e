//! Load files.

use std::path::Path;

use anyhow::{Context, ensure};
use serde::Deserialize;

/// A simulated load and the fleet that serves it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Simulated duration in seconds.
    #[serde(rename = "length_s")]
    pub duration_s: f64,
    /// Number of daemons.
    pub daemons: usize,
    /// Delay of a gossip message between two daemons, in milliseconds.
    #[serde(rename = "news_delay_ms")]
    pub gossip_delay_ms: f64,
    /// Share of the gossip messages that are lost, 0 to 1.
    #[serde(default)]
    #[serde(rename = "news_lost_share")]
    pub gossip_loss_share: f64,
    /// Engines, which are all alike.
    pub engines: EnginePlan,
    /// Stores of prompt parts.
    #[serde(default)]
    pub stores: Vec<StorePlan>,
    /// Kinds of calls.
    pub kinds: Vec<KindPlan>,
    /// Faults and load changes.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// Number and properties of the engines.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EnginePlan {
    /// Number of engines.
    pub count: usize,
    /// Maximum number of calls that an engine runs at once.
    pub slots: u32,
    /// Memory of an engine in tokens, shared by running calls and the cache.
    pub memory_tokens: u64,
    /// Size of a token in memory, in bytes.
    pub token_bytes: u64,
    /// Throughput of the links between engines, in megabits per second.
    pub link_mbps: f64,
    /// Prompt tokens that an engine prefills per millisecond.
    pub read_tokens_per_ms: f64,
    /// Maximum number of prompt tokens that are prefilled in one step.
    pub chunk_tokens: u64,
    /// Fixed part of the duration of a step, in milliseconds.
    pub step_ms: f64,
    /// Duration that each running call adds to a step, in milliseconds.
    pub step_ms_per_running: f64,
    /// Delay that is added to the latency of each first event, in milliseconds.
    pub first_event_ms: f64,
}

/// Number and properties of stores of one kind.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StorePlan {
    /// Number of such stores.
    pub count: usize,
    /// Capacity of each store in tokens.
    #[serde(rename = "room_tokens")]
    pub capacity_tokens: u64,
    /// Throughput of the link of each store, in megabits per second.
    pub link_mbps: f64,
    /// Delay before the first byte of each transfer, in milliseconds.
    #[serde(rename = "first_ms")]
    pub transfer_delay_ms: f64,
}

/// Load of one kind of calls.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindPlan {
    /// Name of the kind; also the name of its route.
    pub name: String,
    /// Mean arrival rate in calls per second.
    #[serde(rename = "per_s")]
    pub calls_per_s: f64,
    /// Target latency of the first event, in milliseconds.
    pub target_ms: u64,
    /// Deadline of a call, in milliseconds after its arrival.
    pub deadline_ms: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Mean tokens of a shared prompt part.
    pub shared_tokens: u64,
    /// Number of different shared parts.
    pub shared_parts: u64,
    /// Mean tokens of the part of a prompt that is not shared.
    pub own_tokens: u64,
    /// Mean tokens of an answer.
    pub output_tokens: u64,
}

/// A fault or a change of the load.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Fault {
    /// The arrival rate of all kinds is multiplied.
    Burst {
        /// Start in seconds from the start of the simulation.
        at_s: f64,
        /// Duration in seconds.
        for_s: f64,
        /// Factor of the arrival rate.
        factor: f64,
    },
    /// A share of the engines stops, and starts again with an empty cache.
    Lost {
        /// Start in seconds from the start of the simulation.
        at_s: f64,
        /// Duration in seconds.
        for_s: f64,
        /// Share of the engines, 0 to 1.
        share: f64,
    },
    /// The caches of all engines are cleared.
    Cold {
        /// Time in seconds from the start of the simulation.
        at_s: f64,
    },
}

/// Mechanisms that can be switched off to measure their effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Policy {
    /// Whether the dispatch of a long prompt triggers an urgent gossip message.
    pub has_urgent_update: bool,
    /// Whether calls are refused if the queue is too long for their target latency.
    pub has_refusals: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            has_urgent_update: true,
            has_refusals: true,
        }
    }
}

impl Plan {
    /// Reads and checks a load file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or is invalid; the error names the file and the invalid line
    /// or value.
    pub fn load(path: &Path) -> anyhow::Result<Self> {
        let file = path.display();
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("the load file {file} can't be read"))?;
        Self::parse(&text).with_context(|| format!("the load file {file} is invalid"))
    }

    /// Parses and checks the text of a load file.
    ///
    /// # Errors
    ///
    /// Fails if the text is invalid; the error names the invalid line or value.
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        let plan: Self = toml::from_str(text)?;
        let engines = &plan.engines;
        ensure!(plan.duration_s > 0.0, "length_s must be more than 0");
        ensure!(plan.daemons > 0, "daemons must be more than 0");
        ensure!(engines.count > 0, "engines.count must be more than 0");
        ensure!(
            engines.chunk_tokens > 0,
            "engines.chunk_tokens must be more than 0"
        );
        ensure!(
            engines.read_tokens_per_ms > 0.0,
            "engines.read_tokens_per_ms must be more than 0"
        );
        for kind in &plan.kinds {
            let name = &kind.name;
            ensure!(
                kind.calls_per_s > 0.0,
                "per_s of {name} must be more than 0"
            );
            ensure!(
                kind.shared_parts > 0,
                "shared_parts of {name} must be more than 0"
            );
        }
        Ok(plan)
    }
}
