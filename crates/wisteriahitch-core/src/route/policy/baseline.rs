//! Simple policies to measure [`CostPolicy`](super::CostPolicy) against.

use std::fmt;
use std::sync::atomic::{AtomicUsize, Ordering};

use wisteriahitch_types::TimeUs;

use super::candidates::{all_candidates, no_endpoint};
use super::sources::Sources;
use super::weigh::Weigher;
use super::{Choice, CostOptions, NoLinks, Policy, RouteRefusal, RouteRequest, View};
use crate::route::EndpointTable;
use crate::route::directory::rendezvous_score;
use crate::route::draw::Draw;
use crate::route::endpoint::EndpointRecord;

/// Takes the endpoints in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: AtomicUsize,
}

/// Takes the endpoint whose last report, late as it is, shows the fewest requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastLoaded;

/// Keeps prompts of a workspace that begin alike at one endpoint and uses no tier.
#[derive(Clone, Copy, Debug, Default)]
pub struct Affinity;

/// Picks one of the candidates; everything else in a decision is the same for all baselines.
pub(crate) trait Pick: fmt::Debug + Send + Sync {
    /// Returns the name that operators choose the policy by.
    fn name(&self) -> &'static str;

    /// Returns one of `rows`, which are the candidates' rows in the table and never empty.
    fn pick(
        &self,
        request: &RouteRequest,
        endpoints: &EndpointTable,
        rows: &[usize],
        draw: &mut Draw,
    ) -> usize;
}

impl Pick for RoundRobin {
    fn name(&self) -> &'static str {
        "round_robin"
    }

    fn pick(&self, _: &RouteRequest, _: &EndpointTable, rows: &[usize], _: &mut Draw) -> usize {
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        rows[turn % rows.len()]
    }
}

impl Pick for LeastLoaded {
    fn name(&self) -> &'static str {
        "least_loaded"
    }

    fn pick(
        &self,
        _: &RouteRequest,
        endpoints: &EndpointTable,
        rows: &[usize],
        draw: &mut Draw,
    ) -> usize {
        let reported = |row: usize| {
            let report = endpoints.rows[row].report.as_ref();
            report.map_or(0, |held| held.load.running + held.load.queued)
        };
        let least = rows.iter().map(|row| reported(*row)).min();
        let equal: Vec<usize> = rows
            .iter()
            .copied()
            .filter(|row| Some(reported(*row)) == least)
            .collect();
        equal[draw.below(equal.len())]
    }
}

impl Pick for Affinity {
    fn name(&self) -> &'static str {
        "affinity"
    }

    fn pick(
        &self,
        request: &RouteRequest,
        endpoints: &EndpointTable,
        rows: &[usize],
        draw: &mut Draw,
    ) -> usize {
        let Some(head) = request.chain.blocks.first() else {
            return rows[draw.below(rows.len())];
        };
        let score =
            |record: &EndpointRecord| rendezvous_score(head.key.as_bytes(), record.id.as_str());
        let strongest = rows.iter().max_by_key(|row| score(&endpoints.rows[**row]));
        *strongest.unwrap_or(&rows[0])
    }
}

impl<P: Pick> Policy for P {
    fn name(&self) -> &'static str {
        Pick::name(self)
    }

    /// Estimates the picked row without imports.
    fn choose(
        &self,
        request: &RouteRequest,
        view: &View<'_>,
        now: TimeUs,
    ) -> Result<Choice, RouteRefusal> {
        let holders = view.directory.chain_holders(&request.chain);
        let mut draw = Draw::new(view.draw);
        let rows = all_candidates(request, view)?;
        let row = self.pick(request, view.endpoints, &rows, &mut draw);
        let sources = Sources::find(request, &holders, &NoLinks, now);
        let options = CostOptions::default();
        let weigher = Weigher::new(request, view, &holders, &sources, &options, now);
        let offers = weigher.offers(&[row]);
        let offer = offers.first().ok_or_else(no_endpoint)?;
        Ok(weigher.choice(offer, &[]))
    }
}
