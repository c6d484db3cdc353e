//! Simple policies to measure [`CostPolicy`](super::CostPolicy) against.

use std::sync::atomic::{AtomicUsize, Ordering};

use wisteriahitch_types::TimeUs;

use super::candidates::{all_candidates, no_endpoint};
use super::sources::Sources;
use super::weigh::Weigher;
use super::{Choice, CostOptions, NoLinks, Policy, RouteRefusal, RouteRequest, View};
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

impl Policy for RoundRobin {
    fn name(&self) -> &'static str {
        "round_robin"
    }

    fn choose(
        &self,
        request: &RouteRequest,
        view: &View<'_>,
        now: TimeUs,
    ) -> Result<Choice, RouteRefusal> {
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        choose_by(request, view, now, |rows, _| rows[turn % rows.len()])
    }
}

impl Policy for LeastLoaded {
    fn name(&self) -> &'static str {
        "least_loaded"
    }

    fn choose(
        &self,
        request: &RouteRequest,
        view: &View<'_>,
        now: TimeUs,
    ) -> Result<Choice, RouteRefusal> {
        let reported = |row: usize| {
            let report = view.endpoints.rows[row].report.as_ref();
            report.map_or(0, |held| held.load.running + held.load.queued)
        };
        choose_by(request, view, now, |rows, draw| {
            let least = rows.iter().map(|row| reported(*row)).min();
            let equal: Vec<usize> = rows
                .iter()
                .copied()
                .filter(|row| Some(reported(*row)) == least)
                .collect();
            equal[draw.below(equal.len())]
        })
    }
}

impl Policy for Affinity {
    fn name(&self) -> &'static str {
        "affinity"
    }

    fn choose(
        &self,
        request: &RouteRequest,
        view: &View<'_>,
        now: TimeUs,
    ) -> Result<Choice, RouteRefusal> {
        let head = request.chain.blocks.first();
        choose_by(request, view, now, |rows, draw| {
            let Some(head) = head else {
                return rows[draw.below(rows.len())];
            };
            let score =
                |record: &EndpointRecord| rendezvous_score(head.key.as_bytes(), record.id.as_str());
            let strongest = rows
                .iter()
                .max_by_key(|row| score(&view.endpoints.rows[**row]));
            *strongest.unwrap_or(&rows[0])
        })
    }
}

/// Lets `pick` choose a row and estimates it without imports.
fn choose_by(
    request: &RouteRequest,
    view: &View<'_>,
    now: TimeUs,
    pick: impl FnOnce(&[usize], &mut Draw) -> usize,
) -> Result<Choice, RouteRefusal> {
    let holders = view.directory.chain_holders(&request.chain);
    let mut draw = Draw::new(view.draw);
    let rows = all_candidates(request, view)?;
    let row = pick(&rows, &mut draw);
    let sources = Sources::find(request, &holders, &NoLinks, now);
    let options = CostOptions::default();
    let weigher = Weigher::new(request, view, &holders, &sources, &options, now);
    let offers = weigher.offers(&[row]);
    let offer = offers.first().ok_or_else(no_endpoint)?;
    Ok(weigher.choice(offer, &[]))
}
