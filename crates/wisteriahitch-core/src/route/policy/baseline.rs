//! Simple routing policies that serve as baselines for [`CostPolicy`](super::CostPolicy).

use std::fmt;
use std::sync::atomic::{AtomicUsize, Ordering};

use wisteriahitch_types::TimeUs;

use super::candidates::{all_candidate_rows, no_endpoint_refusal};
use super::scorer::Scorer;
use super::sources::PieceSources;
use super::{Choice, CostOptions, NoLinks, Policy, RouteRefusal, RouteRequest, View};
use crate::route::EndpointTable;
use crate::route::directory::rendezvous_score;
use crate::route::endpoint::EndpointRecord;
use crate::route::seeded_sampler::SeededSampler;

/// Chooses the eligible endpoints in round-robin order.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: AtomicUsize,
}

/// Chooses the endpoint with the fewest requests in its last report.
///
/// Requests that this daemon sent since that report are not counted.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastLoaded;

/// Sends prompts of one workspace that share their first piece to the same endpoint.
///
/// It never imports blocks from store VMs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Affinity;

/// Selects one of the eligible rows; the rest of a decision is the same for all baselines.
pub(crate) trait BaselinePolicy: fmt::Debug + Send + Sync {
    /// Returns the name of the policy in settings and reports.
    fn name(&self) -> &'static str;

    /// Returns one of `rows`, the indexes of the eligible endpoints in the table.
    ///
    /// `rows` is never empty.
    fn pick_row(
        &self,
        request: &RouteRequest,
        endpoints: &EndpointTable,
        rows: &[usize],
        sampler: &mut SeededSampler,
    ) -> usize;
}

impl BaselinePolicy for RoundRobin {
    fn name(&self) -> &'static str {
        "round_robin"
    }

    fn pick_row(
        &self,
        _: &RouteRequest,
        _: &EndpointTable,
        rows: &[usize],
        _: &mut SeededSampler,
    ) -> usize {
        let call_number = self.next.fetch_add(1, Ordering::Relaxed);
        rows[call_number % rows.len()]
    }
}

impl BaselinePolicy for LeastLoaded {
    fn name(&self) -> &'static str {
        "least_loaded"
    }

    fn pick_row(
        &self,
        _: &RouteRequest,
        endpoints: &EndpointTable,
        rows: &[usize],
        sampler: &mut SeededSampler,
    ) -> usize {
        let reported_requests = |row: usize| {
            let report = endpoints.rows[row].report.as_ref();
            report.map_or(0, |held| held.load.running + held.load.queued)
        };
        let fewest = rows.iter().map(|row| reported_requests(*row)).min();
        let tied: Vec<usize> = rows
            .iter()
            .copied()
            .filter(|row| Some(reported_requests(*row)) == fewest)
            .collect();
        tied[sampler.below(tied.len())]
    }
}

impl BaselinePolicy for Affinity {
    fn name(&self) -> &'static str {
        "affinity"
    }

    fn pick_row(
        &self,
        request: &RouteRequest,
        endpoints: &EndpointTable,
        rows: &[usize],
        sampler: &mut SeededSampler,
    ) -> usize {
        let Some(head) = request.chain.blocks.first() else {
            return rows[sampler.below(rows.len())];
        };
        let score =
            |record: &EndpointRecord| rendezvous_score(head.key.as_bytes(), record.id.as_str());
        let highest = rows.iter().max_by_key(|row| score(&endpoints.rows[**row]));
        *highest.unwrap_or(&rows[0])
    }
}

impl<P: BaselinePolicy> Policy for P {
    fn name(&self) -> &'static str {
        BaselinePolicy::name(self)
    }

    /// Selects a row and estimates it without imports.
    fn choose(
        &self,
        request: &RouteRequest,
        view: &View<'_>,
        now: TimeUs,
    ) -> Result<Choice, RouteRefusal> {
        let holders = view.directory.chain_holders(&request.chain);
        let mut sampler = SeededSampler::new(view.random_seed);
        let rows = all_candidate_rows(request, view)?;
        let row = self.pick_row(request, view.endpoints, &rows, &mut sampler);
        let sources = PieceSources::find(request, &holders, &NoLinks, now);
        let options = CostOptions::default();
        let scorer = Scorer::new(request, view, &holders, &sources, &options, now);
        let candidates = scorer.score_rows(&[row]);
        let candidate = candidates.first().ok_or_else(no_endpoint_refusal)?;
        Ok(scorer.choice(candidate, &[]))
    }
}
