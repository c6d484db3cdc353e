//! Estimates what a request costs at one endpoint.

use wisteriahitch_types::{DurationUs, TimeUs, TokenCount};

use super::sources::Sources;
use super::{Choice, CostOptions, Estimate, ImportStep, Plan, RouteRequest, View, Weighed};
use crate::route::directory::ChainHolders;

/// Most lengths of the imported part that are compared for one endpoint.
const MAX_CUTS: usize = 8;

/// Holds the best plan for one endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Offer {
    pub(crate) row: usize,
    /// Pieces that the endpoint holds.
    resident_pieces: usize,
    /// Piece before which the import ends.
    import_end: usize,
    pub(crate) estimate: Estimate,
    pub(crate) cost_us: f64,
}

/// Weighs the endpoints for one request.
pub(crate) struct Weigher<'a> {
    request: &'a RouteRequest,
    view: &'a View<'a>,
    holders: &'a ChainHolders<'a>,
    sources: &'a Sources<'a>,
    options: &'a CostOptions,
    now: TimeUs,
}

impl<'a> Weigher<'a> {
    /// Combines what the estimates need.
    pub(crate) fn new(
        request: &'a RouteRequest,
        view: &'a View<'a>,
        holders: &'a ChainHolders<'a>,
        sources: &'a Sources<'a>,
        options: &'a CostOptions,
        now: TimeUs,
    ) -> Self {
        Self {
            request,
            view,
            holders,
            sources,
            options,
            now,
        }
    }

    /// Returns the cheapest plan for a row; one that meets the deadline goes first.
    pub(crate) fn offer(&self, row: usize) -> Offer {
        let record = &self.view.endpoints.rows[row];
        let place = self.view.directory.place_of(&record.id);
        let resident = place.map_or(0, |place| self.holders.resident_pieces(place));
        let run_end = self.sources.run_end(resident);
        let mut best = self.plan(row, resident, resident);
        for cut in cuts(resident, run_end) {
            let other = self.plan(row, resident, cut);
            if self.rank(&other) < self.rank(&best) {
                best = other;
            }
        }
        best
    }

    fn rank(&self, offer: &Offer) -> (bool, f64) {
        let is_late = offer.estimate.first_token_us > self.request.deadline_us;
        (is_late, offer.cost_us)
    }

    /// Weighs one plan: import up to `import_end`, compute the rest.
    fn plan(&self, row: usize, resident_pieces: usize, import_end: usize) -> Offer {
        let record = &self.view.endpoints.rows[row];
        let recompute = self.recompute_tokens(import_end);
        let queue_us = record.queue_time(&self.view.endpoints.options);
        let transfer_us = self.sources.transfer_time(
            resident_pieces..import_end,
            self.request,
            self.view.links,
            self.now,
        );
        let prefill_us = record.prefill_time(recompute);
        let is_near = record.availability_zone == self.request.availability_zone;
        let way_us = match is_near {
            true => DurationUs::ZERO,
            false => self.options.other_zone_us,
        };
        let estimate = Estimate {
            queue_us,
            transfer_us,
            prefill_us,
            first_token_us: queue_us.max(transfer_us) + prefill_us + way_us,
        };
        let load_us = record.utilisation() * self.options.full_load_us.as_f64();
        let weight = self.request.first_token_weight.get();
        let cost_us = weight * estimate.first_token_us.as_f64()
            + (1.0 - weight) * prefill_us.as_f64()
            + load_us;
        Offer {
            row,
            resident_pieces,
            import_end,
            estimate,
            cost_us,
        }
    }

    fn recompute_tokens(&self, pieces_kept: usize) -> TokenCount {
        let chain = &self.request.chain;
        chain
            .prompt_tokens
            .saturating_sub(chain.prefix_tokens(pieces_kept))
    }

    /// Turns an offer into the choice that the caller gets.
    pub(crate) fn choice(&self, offer: &Offer, weighed: &[Weighed]) -> Choice {
        let chain = &self.request.chain;
        let import = (offer.resident_pieces..offer.import_end)
            .filter_map(|piece| {
                let source = self.sources.get(piece)?;
                Some(ImportStep {
                    key: chain.blocks[piece].key,
                    store: source.store.clone(),
                    tier: source.tier,
                    tokens: chain.blocks[piece].tokens,
                })
            })
            .collect();
        let plan = Plan {
            resident_tokens: chain.prefix_tokens(offer.resident_pieces),
            import,
            recompute_tokens: self.recompute_tokens(offer.import_end),
        };
        Choice {
            endpoint: self.view.endpoints.rows[offer.row].id.clone(),
            plan,
            estimate: offer.estimate,
            weighed: weighed.to_vec(),
        }
    }
}

/// Returns ends of the imported part to compare, evenly spread from `start` up to `end`.
fn cuts(start: usize, end: usize) -> impl Iterator<Item = usize> {
    let len = end.saturating_sub(start);
    let count = len.min(MAX_CUTS);
    (1..=count).map(move |step| start + len * step / count)
}
