//! The policy of this system: the endpoint and the plan that cost least.

use wisteriahitch_types::{Code, DurationUs, TimeUs};

use super::candidates::candidate_rows;
use super::scorer::{Candidate, Scorer};
use super::sources::PieceSources;
use super::{Choice, Policy, RouteRefusal, RouteRequest, ScoredCandidate, View};
use crate::route::seeded_sampler::SeededSampler;

/// Shortest time after which a caller is told to come back.
const MIN_RETRY_AFTER_US: DurationUs = DurationUs::from_ms(100);
/// Longest time after which a caller is told to come back.
const MAX_RETRY_AFTER_US: DurationUs = DurationUs::from_ms(60_000);
/// Samples of candidates that are tried before a deadline counts as out of reach.
const MAX_SAMPLING_ROUNDS: usize = 2;

/// Holds what a microsecond of each kind costs.
#[derive(Clone, Debug, PartialEq)]
pub struct CostOptions {
    /// Added for an endpoint of another availability zone: the way there and back.
    pub other_zone_round_trip_us: DurationUs,
    /// Added for an endpoint with every slot taken, and in proportion for others.
    pub full_load_penalty_us: DurationUs,
    /// Candidates count as equal up to so many times the lowest cost.
    pub near_best_factor: f64,
    /// Candidates count as equal up to so much above the lowest cost.
    pub near_best_margin_us: DurationUs,
}

impl Default for CostOptions {
    fn default() -> Self {
        Self {
            other_zone_round_trip_us: DurationUs::from_ms(3),
            full_load_penalty_us: DurationUs::from_ms(20),
            near_best_factor: 1.05,
            near_best_margin_us: DurationUs::from_ms(2),
        }
    }
}

/// Chooses by the time to the first token and the prompt work recomputed, as the rule weighs them.
///
/// `docs/design/routing.md` derives the cost.
#[derive(Clone, Debug, Default)]
pub struct CostPolicy {
    options: CostOptions,
}

impl CostPolicy {
    /// Builds the policy.
    pub fn new(options: CostOptions) -> Self {
        Self { options }
    }

    /// Picks among the offers that are as good as equal.
    ///
    /// Daemons see the same lagging reports. If each took the lowest cost, all would send to one
    /// endpoint until its next report; one would notice by queues that wander. Two drawn at
    /// random and the better of them spread the work.
    fn pick<'a>(
        &self,
        candidates: &'a [Candidate],
        sampler: &mut SeededSampler,
    ) -> Option<&'a Candidate> {
        let lowest = candidates
            .iter()
            .map(|candidate| candidate.cost_us)
            .min_by(f64::total_cmp)?;
        let limit =
            lowest * self.options.near_best_factor + self.options.near_best_margin_us.as_f64();
        let is_near = |candidate: &&Candidate| candidate.cost_us <= limit;
        let near: Vec<&Candidate> = candidates.iter().filter(is_near).collect();
        let first = near.get(sampler.below(near.len()))?;
        let second = near.get(sampler.below(near.len()))?;
        match second.cost_us < first.cost_us {
            true => Some(second),
            false => Some(first),
        }
    }
}

impl Policy for CostPolicy {
    fn name(&self) -> &'static str {
        "cost"
    }

    fn choose(
        &self,
        request: &RouteRequest,
        view: &View<'_>,
        now: TimeUs,
    ) -> Result<Choice, RouteRefusal> {
        let holders = view.directory.chain_holders(&request.chain);
        let sources = PieceSources::find(request, &holders, view.links, now);
        let scorer = Scorer::new(request, view, &holders, &sources, &self.options, now);
        let mut sampler = SeededSampler::new(view.random_seed);
        let mut earliest_us = DurationUs::MAX;
        for _ in 0..MAX_SAMPLING_ROUNDS {
            let rows = candidate_rows(request, view, &holders, &mut sampler)?;
            let candidates = scorer.score_rows(&rows);
            let is_punctual =
                |candidate: &&Candidate| candidate.estimate.first_token_us <= request.deadline_us;
            let punctual: Vec<Candidate> = candidates.iter().filter(is_punctual).cloned().collect();
            if let Some(candidate) = self.pick(&punctual, &mut sampler) {
                return Ok(
                    scorer.choice(candidate, &explain_candidates(request, view, &candidates))
                );
            }
            let round_earliest_us = candidates
                .iter()
                .map(|candidate| candidate.estimate.first_token_us)
                .min();
            earliest_us = earliest_us.min(round_earliest_us.unwrap_or(DurationUs::MAX));
        }
        Err(deadline_unreachable_refusal(
            earliest_us,
            request.deadline_us,
        ))
    }
}

/// Tells when the queues will have drained so far that the deadline can be met again.
fn deadline_unreachable_refusal(earliest_us: DurationUs, deadline: DurationUs) -> RouteRefusal {
    let late_by_us = earliest_us.saturating_sub(deadline);
    RouteRefusal {
        code: Code::DeadlineUnreachable,
        retry_after_us: late_by_us.clamp(MIN_RETRY_AFTER_US, MAX_RETRY_AFTER_US),
    }
}

fn explain_candidates(
    request: &RouteRequest,
    view: &View<'_>,
    candidates: &[Candidate],
) -> Vec<ScoredCandidate> {
    if !request.explain {
        return Vec::new();
    }
    let mut scored: Vec<ScoredCandidate> = candidates
        .iter()
        .map(|candidate| ScoredCandidate {
            endpoint: view.endpoints.rows[candidate.row].id.clone(),
            estimate: candidate.estimate,
            cost_us: candidate.cost_us,
        })
        .collect();
    scored.sort_by(|a, b| a.cost_us.total_cmp(&b.cost_us));
    scored
}
