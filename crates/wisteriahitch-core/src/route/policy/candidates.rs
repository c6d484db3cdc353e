//! Which endpoints a decision looks at.

use std::collections::HashSet;

use wisteriahitch_types::{Code, DurationUs, EndpointId};

use super::{RouteRefusal, RouteRequest, View};
use crate::route::EndpointTable;
use crate::route::Served;
use crate::route::directory::ChainHolders;
use crate::route::draw::Draw;
use crate::route::endpoint::{Pool, PoolKey, Standing};

/// Pools up to this size are looked at whole.
const FULL_SCAN: usize = 32;
/// Most holders of the prompt's blocks that are looked at in a larger pool.
const MAX_HOLDERS: usize = 8;
/// Endpoints that are drawn at random in a larger pool, besides one for each doubling of its size.
const MIN_SAMPLED: usize = 4;
/// Draws for each endpoint wanted, after which the pool is searched in order instead.
const DRAWS_PER_SAMPLE: usize = 8;
/// Standings in the order in which they are tried.
const STANDINGS: [Standing; 2] = [Standing::Ready, Standing::LastResort];
/// When a caller may come back where no endpoint is to be had.
const RETRY_NO_ENDPOINT_US: DurationUs = DurationUs::from_ms(1_000);

/// Returns the rows that a decision compares; never an empty list.
///
/// A small pool is looked at whole. Of a larger one, holders of the prompt's late pieces and some
/// others at random are, so that the cost of a decision grows with the logarithm of the pool.
pub(crate) fn candidates(
    request: &RouteRequest,
    view: &View<'_>,
    holders: &ChainHolders<'_>,
    draw: &mut Draw,
) -> Result<Vec<usize>, RouteRefusal> {
    let choosable = Choosable::find(request, view)?;
    for standing in STANDINGS {
        let rows = choosable.pool.rows(standing);
        let found = match rows.len() {
            0..=FULL_SCAN => choosable.all(standing),
            len => {
                let known = holders.endpoints(MAX_HOLDERS, draw.below(len));
                let mut found: Vec<usize> = view.endpoints.rows_of(&known).collect();
                found.retain(|row| choosable.is_member(*row, standing));
                choosable.sample(rows, draw, &mut found);
                found
            }
        };
        if !found.is_empty() {
            return Ok(found);
        }
    }
    Err(no_endpoint())
}

/// Returns every row that may take the request, in order; never an empty list.
pub(crate) fn all_candidates(
    request: &RouteRequest,
    view: &View<'_>,
) -> Result<Vec<usize>, RouteRefusal> {
    let choosable = Choosable::find(request, view)?;
    for standing in STANDINGS {
        let mut found = choosable.all(standing);
        if !found.is_empty() {
            found.sort_unstable();
            return Ok(found);
        }
    }
    Err(no_endpoint())
}

/// Holds the pool of a request and what rules a row of it out.
struct Choosable<'a> {
    served: Served,
    key: PoolKey,
    pool: &'a Pool,
    excluded: HashSet<&'a EndpointId>,
    endpoints: &'a EndpointTable,
}

impl<'a> Choosable<'a> {
    fn find(request: &'a RouteRequest, view: &View<'a>) -> Result<Self, RouteRefusal> {
        let served = request.served();
        let key = served.pool_key();
        let Some(pool) = view.endpoints.pool(&key) else {
            return Err(no_pool(request, view));
        };
        Ok(Self {
            served,
            key,
            pool,
            excluded: request.exclude.iter().collect(),
            endpoints: view.endpoints,
        })
    }

    fn may_take(&self, row: usize) -> bool {
        let id = &self.endpoints.rows[row].id;
        let is_excluded = !self.excluded.is_empty() && self.excluded.contains(id);
        !is_excluded && self.endpoints.is_eligible(row, &self.served)
    }

    fn is_member(&self, row: usize, standing: Standing) -> bool {
        let membership = &self.endpoints.rows[row].membership;
        membership.is_in(&self.key, standing) && self.may_take(row)
    }

    fn all(&self, standing: Standing) -> Vec<usize> {
        let rows = self.pool.rows(standing).iter().copied();
        rows.filter(|row| self.may_take(*row)).collect()
    }

    /// Adds rows at random to `found`, and searches the pool in order where hardly any may be
    /// taken.
    fn sample(&self, rows: &[usize], draw: &mut Draw, found: &mut Vec<usize>) {
        let wanted = found.len() + MIN_SAMPLED + rows.len().ilog2() as usize;
        for _ in 0..wanted * DRAWS_PER_SAMPLE {
            if found.len() >= wanted {
                return;
            }
            let row = rows[draw.below(rows.len())];
            if self.may_take(row) && !found.contains(&row) {
                found.push(row);
            }
        }
        if found.is_empty() {
            let allowed = rows.iter().copied().filter(|row| self.may_take(*row));
            found.extend(allowed.take(wanted));
        }
    }
}

/// Refuses for want of an endpoint that takes work.
pub(crate) fn no_endpoint() -> RouteRefusal {
    RouteRefusal {
        code: Code::NoEndpoint,
        retry_after_us: RETRY_NO_ENDPOINT_US,
    }
}

fn no_pool(request: &RouteRequest, view: &View<'_>) -> RouteRefusal {
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
        retry_after_us: RETRY_NO_ENDPOINT_US,
    }
}
