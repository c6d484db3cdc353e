//! Estimates what a request costs at one endpoint.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use wisteriahitch_types::{DurationUs, TimeUs, TokenCount};

use super::sources::{Cut, Sources};
use super::{Choice, CostOptions, Estimate, ImportStep, Plan, RouteRequest, View, Weighed};
use crate::route::directory::ChainHolders;
use crate::route::endpoint::EndpointRecord;

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
    /// Tokens of the first pieces, by their number.
    prefix_tokens: Vec<TokenCount>,
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
            prefix_tokens: prefix_tokens(request),
        }
    }

    /// Returns for each row its cheapest plan; one that meets the deadline goes first.
    ///
    /// Rows that hold equally much share the estimates of the imports.
    pub(crate) fn offers(&self, rows: &[usize]) -> Vec<Offer> {
        let mut cuts_by_start: BTreeMap<usize, Vec<Cut>> = BTreeMap::new();
        let mut offer_from = |row: usize, start: usize| {
            let cuts = cuts_by_start.entry(start).or_insert_with(|| {
                self.sources
                    .cuts(start, self.request, self.view.links, self.now)
            });
            self.offer(row, start, cuts)
        };
        let offer = |row: &usize| {
            let resident = self.resident_pieces(*row);
            if !self.is_being_evicted(resident) {
                return offer_from(*row, resident);
            }
            let without_import = self.offer(*row, resident, &[Cut::none(resident)]);
            let anew = offer_from(*row, 0);
            let both = without_import.into_iter().chain(anew);
            both.min_by(|a, b| self.compare(a, b))
        };
        rows.iter().filter_map(offer).collect()
    }

    /// Returns whether an endpoint that holds so many pieces is about to lose them.
    ///
    /// Engines evict a chain from its end. Where an endpoint holds only the beginning of what a
    /// store holds, its eviction is under way, and importing the end there would evict the
    /// beginning, which is the oldest: the endpoint would then compute the whole prompt again. One
    /// would notice returns without any cached token although all their pieces were saved. So
    /// such a beginning is used as it is, or everything is imported, at whichever endpoint.
    fn is_being_evicted(&self, resident: usize) -> bool {
        let is_rest_saved = self.sources.run_end(resident) > resident;
        resident > 0 && is_rest_saved && self.sources.run_end(0) > resident
    }

    fn resident_pieces(&self, row: usize) -> usize {
        let id = &self.view.endpoints.rows[row].id;
        let place = self.view.directory.place_of(id);
        place.map_or(0, |place| self.holders.resident_pieces(place))
    }

    fn offer(&self, row: usize, resident_pieces: usize, cuts: &[Cut]) -> Option<Offer> {
        let record = &self.view.endpoints.rows[row];
        let queue_us = record.queue_time(&self.view.endpoints.options);
        let load_us = record.utilisation() * self.options.full_load_us.as_f64();
        cuts.iter()
            .map(|cut| {
                let estimate = self.estimate(record, queue_us, *cut);
                Offer {
                    row,
                    resident_pieces,
                    import_end: cut.end,
                    estimate,
                    cost_us: self.cost_us(&estimate) + load_us,
                }
            })
            .min_by(|a, b| self.compare(a, b))
    }

    fn compare(&self, a: &Offer, b: &Offer) -> Ordering {
        let is_late = |offer: &Offer| offer.estimate.first_token_us > self.request.deadline_us;
        let by_deadline = is_late(a).cmp(&is_late(b));
        by_deadline.then(a.cost_us.total_cmp(&b.cost_us))
    }

    fn estimate(&self, record: &EndpointRecord, queue_us: DurationUs, cut: Cut) -> Estimate {
        let options = &self.view.endpoints.options;
        let prefill_us = record.prefill_time(self.recompute_tokens(cut.end), options);
        let is_near = record.availability_zone == self.request.availability_zone;
        let way_us = match is_near {
            true => DurationUs::ZERO,
            false => self.options.other_zone_us,
        };
        Estimate {
            queue_us,
            transfer_us: cut.transfer_us,
            prefill_us,
            first_token_us: queue_us.max(cut.transfer_us) + prefill_us + way_us,
        }
    }

    fn cost_us(&self, estimate: &Estimate) -> f64 {
        let weight = self.request.first_token_weight.get();
        weight * estimate.first_token_us.as_f64() + (1.0 - weight) * estimate.prefill_us.as_f64()
    }

    fn recompute_tokens(&self, pieces_kept: usize) -> TokenCount {
        let kept = self.prefix_tokens[pieces_kept];
        self.request.chain.prompt_tokens.saturating_sub(kept)
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

fn prefix_tokens(request: &RouteRequest) -> Vec<TokenCount> {
    let mut sums = vec![TokenCount::ZERO];
    for piece in &request.chain.blocks {
        let before = sums.last().copied().unwrap_or_default();
        sums.push(before + piece.tokens);
    }
    sums
}
