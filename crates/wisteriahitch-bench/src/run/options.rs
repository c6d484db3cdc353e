//! What is run.

use std::path::PathBuf;

use super::FaultName;
use crate::load::Capacity;

/// Says what is run against which site.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Directory of the site's layout.
    pub directory: PathBuf,
    /// Fault that is brought about.
    pub fault: FaultName,
    /// Seed of the load.
    pub seed: u64,
    /// Length, the part before measuring included.
    pub duration_s: u64,
    /// Part at the beginning that is not measured.
    pub warm_up_s: u64,
    /// Part of the endpoints' capacity that is asked for.
    pub load_share: f64,
    /// What that capacity counts.
    pub capacity: Capacity,
    /// Tokens of every answer, or nothing for what the site has.
    pub answer_tokens: Option<u64>,
    /// Whether nothing at all is sent.
    pub is_idle: bool,
}
