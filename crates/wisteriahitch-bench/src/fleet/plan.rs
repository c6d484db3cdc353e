//! What a load file says.

use std::path::Path;

use anyhow::{Context, ensure};
use serde::Deserialize;

/// A load, and the fleet that it meets.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Length in seconds.
    #[serde(rename = "length_s")]
    pub duration_s: f64,
    /// Daemons.
    pub daemons: usize,
    /// Way of a message between two daemons, in milliseconds.
    #[serde(rename = "news_delay_ms")]
    pub gossip_delay_ms: f64,
    /// Share of the messages that are lost.
    #[serde(default)]
    #[serde(rename = "news_lost_share")]
    pub gossip_loss_share: f64,
    /// Engines.
    pub engines: EnginePlan,
    /// Stores of prompt parts.
    #[serde(default)]
    pub stores: Vec<StorePlan>,
    /// Kinds of calls.
    pub kinds: Vec<KindPlan>,
    /// What fails, and when.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// What all engines are.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EnginePlan {
    /// How many there are.
    pub count: usize,
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that the memory holds.
    pub memory_tokens: u64,
    /// Size of a token in memory, in bytes.
    pub token_bytes: u64,
    /// Rate of the links between engines, in bits a microsecond.
    pub link_mbps: f64,
    /// Prompt tokens that are read in a millisecond.
    pub read_tokens_per_ms: f64,
    /// Prompt tokens that are read between two steps.
    pub chunk_tokens: u64,
    /// A step with nothing else running, in milliseconds.
    pub step_ms: f64,
    /// What each running request adds to a step, in milliseconds.
    pub step_ms_per_running: f64,
    /// What is added to each first event, in milliseconds.
    pub first_event_ms: f64,
}

/// A store of prompt parts.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StorePlan {
    /// How many such stores there are.
    pub count: usize,
    /// Tokens that it has room for.
    #[serde(rename = "room_tokens")]
    pub capacity_tokens: u64,
    /// Rate of its link, in bits a microsecond.
    pub link_mbps: f64,
    /// Wait before each transfer, in milliseconds.
    #[serde(rename = "first_ms")]
    pub transfer_delay_ms: f64,
}

/// One kind of calls.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindPlan {
    /// Name.
    pub name: String,
    /// Calls a second.
    #[serde(rename = "per_s")]
    pub calls_per_s: f64,
    /// Time within which the first event is in time.
    pub target_ms: u64,
    /// Time after which nobody waits any more.
    pub deadline_ms: u64,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Tokens of the part that calls share, at the mean.
    pub shared_tokens: u64,
    /// Different parts of that kind.
    pub shared_parts: u64,
    /// Tokens that are a call's own, at the mean.
    pub own_tokens: u64,
    /// Tokens of the answer, at the mean.
    pub output_tokens: u64,
}

/// Something that happens.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Fault {
    /// So many times the calls.
    Burst {
        /// From, in seconds.
        at_s: f64,
        /// For how long, in seconds.
        for_s: f64,
        /// How many times.
        factor: f64,
    },
    /// A share of the engines is gone, and comes back with an empty memory.
    Lost {
        /// From, in seconds.
        at_s: f64,
        /// For how long, in seconds.
        for_s: f64,
        /// Which share.
        share: f64,
    },
    /// All engines' memories are emptied at once.
    Cold {
        /// When, in seconds.
        at_s: f64,
    },
}

/// Decisions that can be switched off, to see what they are worth.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Policy {
    /// Whether long reads are told at once.
    pub has_urgent_update: bool,
    /// Whether long queues are refused.
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
    /// Reads a load file.
    ///
    /// # Errors
    ///
    /// Names the file and the line or the value that is faulty.
    pub fn load(path: &Path) -> anyhow::Result<Self> {
        let file = path.display();
        let text = std::fs::read_to_string(path).with_context(|| format!("{file}"))?;
        Self::parse(&text).with_context(|| format!("{file}"))
    }

    /// Reads a load.
    ///
    /// # Errors
    ///
    /// Names the line or the value that is faulty.
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
