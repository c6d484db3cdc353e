//! Draws all requests of a run.

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wisteriahitch::types::TokenCount;

use super::{Arrival, Capacity, LoadRequest, PlainKind, PromptRequest};
use crate::site::{Class, SiteSizes, Span};

const PIECE_TOKENS: u64 = 2_000;
const US_PER_S: f64 = 1_000_000.0;

/// Conversations that are drawn to learn what one brings.
const SAMPLED_CONVERSATIONS: usize = 20_000;

/// Spread of the gaps: about two in three lie between 1/1.35 and 1.35 of the middle.
const GAP_SIGMA: f64 = 0.3;

/// Part of the calls that may not be repeated whose caller sends them twice nevertheless.
const DUPLICATED_SHARE: f64 = 0.2;

/// Seed of the sample; the load's size must not depend on the run's seed.
const SAMPLE_SEED: u64 = 1;

/// Says what load is drawn.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Seed.
    pub seed: u64,
    /// Length.
    pub duration_us: u64,
    /// Part of the endpoints' capacity that is asked for.
    pub load_share: f64,
    /// What that capacity counts.
    pub capacity: Capacity,
    /// Endpoints that read prompts.
    pub engines: usize,
    /// Workspaces' parts of the load.
    pub workspaces: Vec<f64>,
    /// Tokens of every answer, or nothing for what the site has.
    pub answer_tokens: Option<u64>,
    /// A workspace that asks for more for a while.
    pub surge: Option<Surge>,
}

/// Says which workspace asks for how many times as much, and when.
#[derive(Clone, Copy, Debug)]
pub struct Surge {
    /// Workspace, by its number.
    pub workspace: usize,
    /// How many times as much.
    pub factor: f64,
    /// From when on.
    pub from_us: u64,
    /// Until when.
    pub until_us: u64,
}

/// Holds all requests of a run, in the order of their times.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// Requests.
    pub arrivals: Vec<Arrival>,
    /// Conversations that begin in a second.
    pub conversations_per_s: f64,
}

/// Holds one visit before its time is known.
struct Visit {
    delay_us: u64,
    prompt_tokens: u64,
    answer_tokens: u64,
}

impl Schedule {
    /// Draws the requests.
    ///
    /// Conversations also begin before the run, so that returns come from its first second on as
    /// they do later; the visits before the run are left out.
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

/// Returns the mean of the tokens that one conversation brings.
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
        // The surge is drawn from the same stream all the time, and taken only while it lasts.
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

/// Draws the pause between two events that come independently of each other.
fn sample_pause_us(per_s: f64, rng: &mut ChaCha8Rng) -> f64 {
    let uniform: f64 = rng.random();
    -(1.0 - uniform).ln() / per_s * US_PER_S
}

/// Draws a gap whose logarithm is normal, by the method of Box and Muller.
fn sample_gap_us(sizes: &SiteSizes, rng: &mut impl Rng) -> u64 {
    let (one, other): (f64, f64) = (rng.random(), rng.random());
    let normal = (-2.0 * (1.0 - one).ln()).sqrt() * (std::f64::consts::TAU * other).cos();
    (sizes.gap_us.as_f64() * (GAP_SIGMA * normal).exp()) as u64
}

fn whole_piece_tokens(tokens: u64) -> u64 {
    tokens / PIECE_TOKENS * PIECE_TOKENS
}
