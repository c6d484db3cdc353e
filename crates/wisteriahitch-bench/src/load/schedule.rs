//! Generates all requests of a run.

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wisteriahitch::types::TokenCount;

use super::{Arrival, Capacity, LoadRequest, PlainKind, PromptRequest};
use crate::site::{Class, SiteSizes, Span};

/// Tokens of a piece of a prompt; only whole pieces are reusable.
const PIECE_TOKENS: u64 = 2_000;
const US_PER_S: f64 = 1_000_000.0;

/// Conversations that are sampled to estimate the mean tokens per conversation.
const SAMPLED_CONVERSATIONS: usize = 20_000;

/// Standard deviation of the logarithm of gaps; about two of three gaps are between 1/1.35 and
/// 1.35 times the median.
const GAP_SIGMA: f64 = 0.3;

/// Share of the calls that must run at most once which the caller sends twice nevertheless.
const DUPLICATED_SHARE: f64 = 0.2;

/// Seed of the estimate, which must not depend on the seed of the run, so that the size of the
/// load doesn't either.
const SAMPLE_SEED: u64 = 1;

/// Parameters of a load.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Seed of all random choices.
    pub seed: u64,
    /// Duration of the run in microseconds.
    pub duration_us: u64,
    /// Load as a share of the endpoints' capacity.
    pub load_share: f64,
    /// Prompt tokens that count for the load.
    pub capacity: Capacity,
    /// Number of engines that prefill prompts.
    pub engines: usize,
    /// Share of the load for each workspace, by index.
    pub workspaces: Vec<f64>,
    /// Tokens of every answer; `None` for the site's own distribution.
    pub answer_tokens: Option<u64>,
    /// Temporary increase of the load of one workspace.
    pub surge: Option<Surge>,
}

/// Temporary increase of the load of one workspace.
#[derive(Clone, Copy, Debug)]
pub struct Surge {
    /// Index of the workspace.
    pub workspace: usize,
    /// Factor by which the workspace's load is multiplied.
    pub factor: f64,
    /// Start in microseconds from the start of the run.
    pub from_us: u64,
    /// End in microseconds from the start of the run, exclusive.
    pub until_us: u64,
}

/// All requests of a run.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// Requests in order of time.
    pub arrivals: Vec<Arrival>,
    /// Mean number of conversations that start per second, without the surge.
    pub conversations_per_s: f64,
}

/// A visit of a conversation, relative to the visit before it.
struct Visit {
    delay_us: u64,
    prompt_tokens: u64,
    answer_tokens: u64,
}

impl Schedule {
    /// Generates the requests.
    ///
    /// Conversations also start before the run, so that returns are as frequent in its first second
    /// as later; visits before the run are omitted.
    pub fn generate(options: &LoadOptions, sizes: &SiteSizes) -> Self {
        let capacity_tokens_per_s = options.engines as f64 * sizes.prefill_tokens_per_s.as_f64();
        let target_tokens_per_s = options.load_share * capacity_tokens_per_s;
        let conversations_per_s =
            target_tokens_per_s / mean_tokens_per_conversation(options.capacity, sizes);
        let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
        let mut arrivals = Vec::new();
        generate_conversations(options, sizes, conversations_per_s, &mut rng, &mut arrivals);
        generate_plain_calls(options, sizes, &mut rng, &mut arrivals);
        arrivals.sort_by_key(|arrival| arrival.at_us);
        Self {
            arrivals,
            conversations_per_s,
        }
    }
}

/// Estimates the mean number of counted prompt tokens per conversation.
fn mean_tokens_per_conversation(capacity: Capacity, sizes: &SiteSizes) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(SAMPLE_SEED);
    let mut tokens = 0;
    for _ in 0..SAMPLED_CONVERSATIONS {
        let class = sample_class(sizes, &mut rng);
        let mut reusable = 0;
        for visit in sample_visits(class, sizes, &mut rng) {
            tokens += visit.prompt_tokens;
            if capacity == Capacity::Kept {
                tokens -= reusable;
                reusable = whole_piece_tokens(visit.prompt_tokens);
            }
        }
    }
    tokens as f64 / SAMPLED_CONVERSATIONS as f64
}

fn generate_conversations(
    options: &LoadOptions,
    sizes: &SiteSizes,
    per_s: f64,
    rng: &mut ChaCha8Rng,
    arrivals: &mut Vec<Arrival>,
) {
    let max_returns = sizes
        .classes
        .iter()
        .map(|class| class.returns.greatest)
        .max();
    let lead_in_us = sizes.gap_us.as_f64() * 1.5 * max_returns.unwrap_or(0) as f64;
    let mut at_us = -lead_in_us;
    let mut number = 0;
    let base = options.seed << 32;
    let surge_per_s = options.surge.map_or(0.0, |surge| {
        per_s * options.workspaces[surge.workspace] * (surge.factor - 1.0)
    });
    loop {
        at_us += sample_pause_us(per_s + surge_per_s, rng);
        if at_us >= options.duration_us as f64 {
            return;
        }
        let class = sample_class(sizes, rng);
        let visits = sample_visits(class, sizes, rng);
        let workspace = sample_workspace(&options.workspaces, rng);
        // Conversations of the surge are sampled from the same stream during the whole run, and
        // dropped while it is not active.
        let is_surge = rng.random_bool(surge_per_s / (per_s + surge_per_s));
        let workspace = match (is_surge, options.surge) {
            (true, Some(surge)) if !surge.is_active_at(at_us) => continue,
            (true, Some(surge)) => surge.workspace,
            _ => workspace,
        };
        number += 1;
        let mut visit_us = at_us;
        let mut reusable_tokens = 0;
        for visit in visits {
            visit_us += visit.delay_us as f64;
            if visit_us < 0.0 || visit_us >= options.duration_us as f64 {
                continue;
            }
            arrivals.push(Arrival {
                at_us: visit_us as u64,
                workspace,
                request: LoadRequest::Prompt(PromptRequest {
                    class: class.name,
                    conversation: base + number,
                    prompt_tokens: visit.prompt_tokens,
                    reusable_tokens,
                    is_return: reusable_tokens > 0,
                    answer_tokens: TokenCount::new(
                        options.answer_tokens.unwrap_or(visit.answer_tokens),
                    ),
                }),
            });
            reusable_tokens = whole_piece_tokens(visit.prompt_tokens);
        }
    }
}

impl Surge {
    fn is_active_at(&self, at_us: f64) -> bool {
        (self.from_us as f64..self.until_us as f64).contains(&at_us)
    }
}

fn generate_plain_calls(
    options: &LoadOptions,
    sizes: &SiteSizes,
    rng: &mut ChaCha8Rng,
    arrivals: &mut Vec<Arrival>,
) {
    let per_s = sizes.lookups_per_s + sizes.orders_per_s;
    let mut at_us = 0.0;
    loop {
        at_us += sample_pause_us(per_s, rng);
        if at_us >= options.duration_us as f64 {
            return;
        }
        let is_order = rng.random_bool(sizes.orders_per_s / per_s);
        let kind = match (is_order, rng.random_bool(0.5)) {
            (false, _) => PlainKind::Lookup,
            (true, true) => PlainKind::Ticket,
            (true, false) => PlainKind::OwnKey,
        };
        let is_duplicated = is_order && rng.random_bool(DUPLICATED_SHARE);
        arrivals.push(Arrival {
            at_us: at_us as u64,
            workspace: sample_workspace(&options.workspaces, rng),
            request: LoadRequest::Plain {
                kind,
                is_duplicated,
                path: rng.random_range(0..sizes.order_paths.len()),
            },
        });
    }
}

fn sample_visits(class: &Class, sizes: &SiteSizes, rng: &mut ChaCha8Rng) -> Vec<Visit> {
    let is_single_visit = rng.random_bool(class.one_visit_share);
    let returns = match is_single_visit {
        true => 0,
        false => sample_span(class.returns, rng),
    };
    let mut prompt_tokens = sample_span(class.prompt_tokens, rng);
    let mut visits = vec![Visit {
        delay_us: 0,
        prompt_tokens,
        answer_tokens: sample_span(class.answer_tokens, rng),
    }];
    for _ in 0..returns {
        prompt_tokens += sample_span(class.added_tokens, rng);
        visits.push(Visit {
            delay_us: sample_gap_us(sizes, rng),
            prompt_tokens,
            answer_tokens: sample_span(class.answer_tokens, rng),
        });
    }
    visits
}

fn sample_class<'a>(sizes: &'a SiteSizes, rng: &mut ChaCha8Rng) -> &'a Class {
    let mut remaining: f64 = rng.random();
    for class in &sizes.classes {
        remaining -= class.share;
        if remaining < 0.0 {
            return class;
        }
    }
    &sizes.classes[0]
}

fn sample_workspace(shares: &[f64], rng: &mut ChaCha8Rng) -> usize {
    let mut remaining: f64 = rng.random();
    for (number, share) in shares.iter().enumerate() {
        remaining -= share;
        if remaining < 0.0 {
            return number;
        }
    }
    0
}

fn sample_span(span: Span, rng: &mut ChaCha8Rng) -> u64 {
    rng.random_range(span.least..=span.greatest)
}

/// Samples the time between two events of a Poisson process.
fn sample_pause_us(per_s: f64, rng: &mut ChaCha8Rng) -> f64 {
    let uniform: f64 = rng.random();
    -(1.0 - uniform).ln() / per_s * US_PER_S
}

/// Samples a log-normal gap by the Box-Muller transform.
fn sample_gap_us(sizes: &SiteSizes, rng: &mut impl Rng) -> u64 {
    let (one, other): (f64, f64) = (rng.random(), rng.random());
    let normal = (-2.0 * (1.0 - one).ln()).sqrt() * (std::f64::consts::TAU * other).cos();
    (sizes.gap_us.as_f64() * (GAP_SIGMA * normal).exp()) as u64
}

fn whole_piece_tokens(tokens: u64) -> u64 {
    tokens / PIECE_TOKENS * PIECE_TOKENS
}
