//! Prompts and their returns, generated from a seed.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wisteriahitch_types::BlockKey;

/// The distribution of a site's prompts. The figures are made up to fit the verbal description of
/// the sites.
#[derive(Clone, Debug)]
pub(crate) struct Workload {
    pub(crate) name: &'static str,
    /// Rate of new prompts that may return.
    pub(crate) new_per_s: f64,
    /// Rate of prompts that never return.
    pub(crate) single_per_s: f64,
    /// Minimum and maximum number of pieces of a prompt that may return.
    pub(crate) pieces: (u32, u32),
    /// Minimum and maximum number of pieces of a prompt that never returns.
    pub(crate) single_pieces: (u32, u32),
    /// Probability that a prompt returns once more.
    pub(crate) return_share: f64,
    /// Shortest and longest gap between returns; the logarithm is uniformly distributed.
    pub(crate) gap_s: (f64, f64),
    /// Fraction of the prompts whose gap is constant.
    pub(crate) regular_share: f64,
    /// Probability that a prompt has grown by one piece at its return.
    pub(crate) growth_share: f64,
}

impl Workload {
    pub(crate) fn all() -> [Workload; 2] {
        [
            Workload {
                name: "chainline",
                new_per_s: 0.12,
                single_per_s: 0.2,
                pieces: (4, 10),
                single_pieces: (1, 2),
                return_share: 0.6,
                gap_s: (300.0, 172_800.0),
                regular_share: 0.2,
                growth_share: 0.3,
            },
            Workload {
                name: "lanyu",
                new_per_s: 0.04,
                single_per_s: 0.3,
                pieces: (10, 25),
                single_pieces: (1, 1),
                return_share: 0.8,
                gap_s: (600.0, 86_400.0),
                regular_share: 0.2,
                growth_share: 0.1,
            },
        ]
    }
}

/// A prompt, with its state across all returns.
#[derive(Clone, Debug)]
pub(crate) struct Prompt {
    pub(crate) number: u64,
    pub(crate) workspace: usize,
    pub(crate) pieces: u32,
    pub(crate) is_single: bool,
    pub(crate) returns: u32,
    pub(crate) regular_gap_s: Option<f64>,
}

impl Prompt {
    pub(crate) fn key(&self, piece: u32) -> BlockKey {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&self.number.to_be_bytes());
        bytes[8..12].copy_from_slice(&piece.to_be_bytes());
        BlockKey::from_bytes(bytes)
    }
}

/// Generates prompts, gaps and arrivals.
#[derive(Debug)]
pub(crate) struct PromptSource {
    workload: Workload,
    rng: ChaCha8Rng,
    prompts: u64,
}

impl PromptSource {
    pub(crate) fn new(workload: Workload, seed: u64) -> Self {
        Self {
            workload,
            rng: ChaCha8Rng::seed_from_u64(seed),
            prompts: 0,
        }
    }

    /// Samples the time to the next new prompt; in a fifth of each hour the rate is four times as
    /// high.
    pub(crate) fn next_arrival_s(&mut self, now_s: f64, is_single: bool) -> f64 {
        let rate = match is_single {
            true => self.workload.single_per_s,
            false => self.workload.new_per_s,
        };
        let is_peak = now_s % 3_600.0 < 720.0;
        let factor = if is_peak { 2.5 } else { 0.625 };
        let uniform: f64 = self.rng.random();
        -(1.0 - uniform).ln() / (rate * factor)
    }

    pub(crate) fn new_prompt(&mut self, is_single: bool) -> Prompt {
        self.prompts += 1;
        let (low, high) = match is_single {
            true => self.workload.single_pieces,
            false => self.workload.pieces,
        };
        let is_regular = !is_single && self.rng.random_bool(self.workload.regular_share);
        // A few workspaces get most of the prompts: squaring favours the low indices.
        let uniform: f64 = self.rng.random();
        Prompt {
            number: self.prompts,
            workspace: (uniform * uniform * 10.0) as usize,
            pieces: self.rng.random_range(low..=high),
            is_single,
            returns: 0,
            regular_gap_s: is_regular.then(|| self.sample_gap_s()),
        }
    }

    /// Samples the time until a prompt returns, and lets it grow; `None` if it doesn't return.
    pub(crate) fn next_return_s(&mut self, prompt: &mut Prompt) -> Option<f64> {
        if prompt.is_single || !self.rng.random_bool(self.workload.return_share) {
            return None;
        }
        prompt.returns += 1;
        if self.rng.random_bool(self.workload.growth_share) {
            prompt.pieces += 1;
        }
        Some(prompt.regular_gap_s.unwrap_or_else(|| self.sample_gap_s()))
    }

    fn sample_gap_s(&mut self) -> f64 {
        let (low, high) = self.workload.gap_s;
        self.rng.random_range(low.ln()..high.ln()).exp()
    }
}
