//! Selection of the endpoints that a routing decision compares.

use std::collections::HashSet;

use wisteriahitch_types::{Code, DurationUs, EndpointId};

use super::{RouteRefusal, RouteRequest, View};
use crate::route::EndpointTable;
use crate::route::ServingRequirement;
use crate::route::directory::ChainHolders;
use crate::route::endpoint::{Pool, PoolKey, PoolMembershipState};
use crate::route::seeded_sampler::SeededSampler;

/// Maximum size of a pool of which every eligible endpoint is compared.
const MAX_FULL_SCAN: usize = 32;
/// Maximum number of holders of the prompt's blocks that are compared in a larger pool.
const MAX_SAMPLED_HOLDERS: usize = 8;
/// Number of random endpoints that are compared in a larger pool, on top of log2 of its size.
const MIN_RANDOM_SAMPLES: usize = 4;
/// Maximum number of random draws per wanted endpoint; after that the pool is searched in order.
const MAX_DRAWS_PER_SAMPLE: usize = 8;
/// Pool states that can be chosen, in order of preference.
const STATES_BY_PREFERENCE: [PoolMembershipState; 2] =
    [PoolMembershipState::Ready, PoolMembershipState::LastResort];
/// Retry delay that is returned to a caller when no endpoint is eligible.
const NO_ENDPOINT_RETRY_AFTER_US: DurationUs = DurationUs::from_ms(1_000);

/// Returns the rows that a decision compares; the list is never empty.
///
/// All eligible rows of a small pool are compared. Of a larger pool, only holders of the prompt's
/// last pieces and a random sample are, so that the cost of a decision grows with the logarithm of
/// the pool size.
pub(crate) fn candidate_rows(
    request: &RouteRequest,
    view: &View<'_>,
    holders: &ChainHolders<'_>,
    sampler: &mut SeededSampler,
) -> Result<Vec<usize>, RouteRefusal> {
    let eligible = EligiblePool::for_request(request, view)?;
    for state in STATES_BY_PREFERENCE {
        let rows = eligible.pool.rows(state);
        let found = match rows.len() {
            0..=MAX_FULL_SCAN => eligible.eligible_rows(state),
            len => {
                let known = holders.endpoints(MAX_SAMPLED_HOLDERS, sampler.below(len));
                let mut found: Vec<usize> = view.endpoints.rows_of(&known).collect();
                found.retain(|row| eligible.is_eligible_member(*row, state));
                eligible.add_random_rows(rows, sampler, &mut found);
                found
            }
        };
        if !found.is_empty() {
            return Ok(found);
        }
    }
    Err(no_endpoint_refusal())
}

/// Returns all eligible rows in ascending order; the list is never empty.
pub(crate) fn all_candidate_rows(
    request: &RouteRequest,
    view: &View<'_>,
) -> Result<Vec<usize>, RouteRefusal> {
    let eligible = EligiblePool::for_request(request, view)?;
    for state in STATES_BY_PREFERENCE {
        let mut found = eligible.eligible_rows(state);
        if !found.is_empty() {
            found.sort_unstable();
            return Ok(found);
        }
    }
    Err(no_endpoint_refusal())
}

/// The pool that can serve a request, with the conditions that exclude single rows of it.
struct EligiblePool<'a> {
    requirement: ServingRequirement,
    key: PoolKey,
    pool: &'a Pool,
    excluded: HashSet<&'a EndpointId>,
    endpoints: &'a EndpointTable,
}

impl<'a> EligiblePool<'a> {
    fn for_request(request: &'a RouteRequest, view: &View<'a>) -> Result<Self, RouteRefusal> {
        let requirement = request.serving_requirement();
        let key = requirement.pool_key();
        let Some(pool) = view.endpoints.pool(&key) else {
            return Err(no_pool_refusal(request, view));
        };
        Ok(Self {
            requirement,
            key,
            pool,
            excluded: request.exclude.iter().collect(),
            endpoints: view.endpoints,
        })
    }

    fn is_eligible_row(&self, row: usize) -> bool {
        let id = &self.endpoints.rows[row].id;
        let is_excluded = !self.excluded.is_empty() && self.excluded.contains(id);
        !is_excluded && self.endpoints.is_eligible(row, &self.requirement)
    }

    fn is_eligible_member(&self, row: usize, state: PoolMembershipState) -> bool {
        let membership = &self.endpoints.rows[row].membership;
        membership.is_member(&self.key, state) && self.is_eligible_row(row)
    }

    fn eligible_rows(&self, state: PoolMembershipState) -> Vec<usize> {
        let rows = self.pool.rows(state).iter().copied();
        rows.filter(|row| self.is_eligible_row(*row)).collect()
    }

    /// Adds random eligible rows to `found`.
    ///
    /// If the random draws find none and `found` is empty, the pool is searched in order.
    fn add_random_rows(&self, rows: &[usize], sampler: &mut SeededSampler, found: &mut Vec<usize>) {
        let target_len = found.len() + MIN_RANDOM_SAMPLES + rows.len().ilog2() as usize;
        for _ in 0..target_len * MAX_DRAWS_PER_SAMPLE {
            if found.len() >= target_len {
                return;
            }
            let row = rows[sampler.below(rows.len())];
            if self.is_eligible_row(row) && !found.contains(&row) {
                found.push(row);
            }
        }
        if found.is_empty() {
            let allowed = rows
                .iter()
                .copied()
                .filter(|row| self.is_eligible_row(*row));
            found.extend(allowed.take(target_len));
        }
    }
}

/// Returns the refusal for a request that no endpoint can take now.
pub(crate) fn no_endpoint_refusal() -> RouteRefusal {
    RouteRefusal {
        code: Code::NoEndpoint,
        retry_after_us: NO_ENDPOINT_RETRY_AFTER_US,
    }
}

fn no_pool_refusal(request: &RouteRequest, view: &View<'_>) -> RouteRefusal {
    let is_served = match &request.model {
        Some(model) => view.endpoints.may_serve(&request.service, model),
        None => true,
    };
    let code = match is_served {
        true => Code::NoEndpoint,
        false => Code::UnknownModel,
    };
    RouteRefusal {
        code,
        retry_after_us: NO_ENDPOINT_RETRY_AFTER_US,
    }
}
