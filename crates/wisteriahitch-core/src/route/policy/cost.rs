//! The default policy: chooses the endpoint and the import plan with the lowest cost.

use wisteriahitch_types::{Code, DurationUs, TimeUs};

use super::candidates::candidate_rows;
use super::scorer::{Candidate, Scorer};
use super::sources::PieceSources;
use super::{Choice, Policy, RouteRefusal, RouteRequest, ScoredCandidate, View};
use crate::route::seeded_sampler::SeededSampler;

/// Minimum retry delay that is returned to a caller.
const MIN_RETRY_AFTER_US: DurationUs = DurationUs::from_ms(100);
/// Maximum retry delay that is returned to a caller.
const MAX_RETRY_AFTER_US: DurationUs = DurationUs::from_ms(60_000);
/// Number of candidate samples that are scored before a request is refused because of its deadline.
const MAX_SAMPLING_ROUNDS: usize = 2;

/// Penalties of the cost function and the margin within which candidates count as equal.
#[derive(Clone, Debug, PartialEq)]
pub struct CostOptions {
    /// Time added for an endpoint in another availability zone: the network round trip.
    pub other_zone_round_trip_us: DurationUs,
    /// Cost added for an endpoint at full utilisation; in proportion for other utilisations.
    pub full_load_penalty_us: DurationUs,
    /// Factor on the lowest cost up to which candidates count as equally good.
    pub near_best_factor: f64,
    /// Margin that is added to the scaled lowest cost, within which candidates count as equally
    /// good.
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

/// Minimises a weighted sum of the time to the first token and the prompt computation.
///
/// The weight is [`RouteRequest::first_token_weight`], which the routing rule sets.
/// `docs/design/routing.md` derives the cost.
#[derive(Clone, Debug, Default)]
pub struct CostPolicy {
    options: CostOptions,
}

impl CostPolicy {
    /// Creates the policy.
    pub fn new(options: CostOptions) -> Self {
        Self { options }
    }

    /// Picks one of the candidates whose cost is close to the lowest.
    ///
    /// Daemons decide on the same lagging reports. If each took the lowest cost, all of them would
    /// send to one endpoint until its next report, and the queues would move from endpoint to
    /// endpoint. Taking the better of two random candidates spreads the requests.
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

/// Refuses a request whose deadline no candidate meets.
///
/// The retry delay is the time by which the earliest candidate misses the deadline, within bounds.
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
