//! The policy of this system: the endpoint and the plan that cost least.

use wisteriahitch_types::{Code, DurationUs, TimeUs};

use super::candidates::candidates;
use super::sources::Sources;
use super::weigh::{Offer, Weigher};
use super::{Choice, Policy, RouteRefusal, RouteRequest, View, Weighed};
use crate::route::draw::Draw;

/// Shortest time after which a caller is told to come back.
const MIN_RETRY_AFTER_US: DurationUs = DurationUs::from_ms(100);
/// Longest time after which a caller is told to come back.
const MAX_RETRY_AFTER_US: DurationUs = DurationUs::from_ms(60_000);
/// Samples of candidates that are tried before a deadline counts as out of reach.
const MAX_SAMPLES: usize = 2;

/// Holds what a microsecond of each kind costs.
#[derive(Clone, Debug, PartialEq)]
pub struct CostOptions {
    /// Added for an endpoint of another availability zone: the way there and back.
    pub other_zone_us: DurationUs,
    /// Added for an endpoint with every slot taken, and in proportion for others.
    pub full_load_us: DurationUs,
    /// Candidates count as equal up to so many times the lowest cost.
    pub near_factor: f64,
    /// Candidates count as equal up to so much above the lowest cost.
    pub near_us: DurationUs,
}

impl Default for CostOptions {
    fn default() -> Self {
        Self {
            other_zone_us: DurationUs::from_ms(3),
            full_load_us: DurationUs::from_ms(20),
            near_factor: 1.05,
            near_us: DurationUs::from_ms(2),
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
    fn pick<'a>(&self, offers: &'a [Offer], draw: &mut Draw) -> Option<&'a Offer> {
        let lowest = offers
            .iter()
            .map(|offer| offer.cost_us)
            .min_by(f64::total_cmp)?;
        let limit = lowest * self.options.near_factor + self.options.near_us.as_f64();
        let is_near = |offer: &&Offer| offer.cost_us <= limit;
        let near: Vec<&Offer> = offers.iter().filter(is_near).collect();
        let first = near.get(draw.below(near.len()))?;
        let second = near.get(draw.below(near.len()))?;
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
        let sources = Sources::find(request, &holders, view.links, now);
        let weigher = Weigher::new(request, view, &holders, &sources, &self.options, now);
        let mut draw = Draw::new(view.draw);
        let mut soonest = DurationUs::MAX;
        for _ in 0..MAX_SAMPLES {
            let rows = candidates(request, view, &holders, &mut draw)?;
            let offers = weigher.offers(&rows);
            let is_in_time = |offer: &&Offer| offer.estimate.first_token_us <= request.deadline_us;
            let in_time: Vec<Offer> = offers.iter().filter(is_in_time).cloned().collect();
            if let Some(offer) = self.pick(&in_time, &mut draw) {
                return Ok(weigher.choice(offer, &explained(request, view, &offers)));
            }
            let fastest = offers
                .iter()
                .map(|offer| offer.estimate.first_token_us)
                .min();
            soonest = soonest.min(fastest.unwrap_or(DurationUs::MAX));
        }
        Err(unreachable_deadline(soonest, request.deadline_us))
    }
}

/// Tells when the queues will have drained so far that the deadline can be met again.
fn unreachable_deadline(soonest: DurationUs, deadline: DurationUs) -> RouteRefusal {
    let late_by = soonest.saturating_sub(deadline);
    RouteRefusal {
        code: Code::DeadlineUnreachable,
        retry_after_us: late_by.clamp(MIN_RETRY_AFTER_US, MAX_RETRY_AFTER_US),
    }
}

fn explained(request: &RouteRequest, view: &View<'_>, offers: &[Offer]) -> Vec<Weighed> {
    if !request.explain {
        return Vec::new();
    }
    let mut weighed: Vec<Weighed> = offers
        .iter()
        .map(|offer| Weighed {
            endpoint: view.endpoints.rows[offer.row].id.clone(),
            estimate: offer.estimate,
            cost_us: offer.cost_us,
        })
        .collect();
    weighed.sort_by(|a, b| a.cost_us.total_cmp(&b.cost_us));
    weighed
}
