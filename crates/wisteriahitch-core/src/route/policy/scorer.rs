//! Cost estimation of a request at the candidate endpoints.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use wisteriahitch_types::{DurationUs, TimeUs, TokenCount};

use super::sources::{ImportOption, PieceSources};
use super::{Choice, CostOptions, Estimate, ImportStep, Plan, RouteRequest, ScoredCandidate, View};
use crate::route::directory::ChainHolders;
use crate::route::endpoint::EndpointRecord;

/// The cheapest plan for a request at one endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    /// Row of the endpoint in the table.
    pub(crate) row: usize,
    /// Number of leading pieces that the endpoint holds and the plan uses.
    resident_pieces: usize,
    /// Exclusive end of the pieces that are imported after the resident ones.
    import_end: usize,
    pub(crate) estimate: Estimate,
    /// Cost in weighted microseconds; lower is better.
    pub(crate) cost_us: f64,
}

/// Estimates the cost of one request at the candidate endpoints.
pub(crate) struct Scorer<'a> {
    request: &'a RouteRequest,
    view: &'a View<'a>,
    holders: &'a ChainHolders<'a>,
    sources: &'a PieceSources<'a>,
    options: &'a CostOptions,
    now: TimeUs,
    /// Number of tokens in the first `n` pieces, by `n`.
    prefix_tokens: Vec<TokenCount>,
}

impl<'a> Scorer<'a> {
    /// Creates a scorer for one decision.
    pub(crate) fn new(
        request: &'a RouteRequest,
        view: &'a View<'a>,
        holders: &'a ChainHolders<'a>,
        sources: &'a PieceSources<'a>,
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

    /// Returns the best plan of each row: the cheapest that meets the deadline, else the cheapest.
    ///
    /// Rows with the same resident prefix share the transfer estimates.
    pub(crate) fn score_rows(&self, rows: &[usize]) -> Vec<Candidate> {
        let mut options_by_start: BTreeMap<usize, Vec<ImportOption>> = BTreeMap::new();
        let mut score_with_import = |row: usize, start: usize| {
            let import_options = options_by_start.entry(start).or_insert_with(|| {
                self.sources
                    .import_options(start, self.request, self.view.links, self.now)
            });
            self.score_row(row, start, import_options)
        };
        let best_candidate = |row: &usize| {
            let resident = self.resident_pieces(*row);
            if !self.is_being_evicted(resident) {
                return score_with_import(*row, resident);
            }
            let without_import =
                self.score_row(*row, resident, &[ImportOption::no_import(resident)]);
            let from_start = score_with_import(*row, 0);
            let both = without_import.into_iter().chain(from_start);
            both.min_by(|a, b| self.compare(a, b))
        };
        rows.iter().filter_map(best_candidate).collect()
    }

    /// Returns whether an endpoint with `resident` leading pieces is evicting the prompt's chain.
    ///
    /// Engines evict a chain from its end. If an endpoint holds only the beginning of what a store
    /// holds of a chain, its eviction is under way. Importing the end there would evict the
    /// beginning, which is the oldest, and the endpoint would then compute the whole prompt again:
    /// returning prompts would find no cached tokens although all their pieces are stored. The plan
    /// therefore either uses the resident beginning without an import or imports the chain from its
    /// start, at any endpoint.
    fn is_being_evicted(&self, resident: usize) -> bool {
        let is_rest_saved = self.sources.importable_run_end(resident) > resident;
        resident > 0 && is_rest_saved && self.sources.importable_run_end(0) > resident
    }

    fn resident_pieces(&self, row: usize) -> usize {
        let id = &self.view.endpoints.rows[row].id;
        let place = self.view.directory.place_of(id);
        place.map_or(0, |place| self.holders.resident_pieces(place))
    }

    fn score_row(
        &self,
        row: usize,
        resident_pieces: usize,
        import_options: &[ImportOption],
    ) -> Option<Candidate> {
        let record = &self.view.endpoints.rows[row];
        let queue_us = record.queue_time(&self.view.endpoints.options);
        let load_us = record.utilisation() * self.options.full_load_penalty_us.as_f64();
        import_options
            .iter()
            .map(|import_option| {
                let estimate = self.estimate(record, queue_us, *import_option);
                Candidate {
                    row,
                    resident_pieces,
                    import_end: import_option.end_piece,
                    estimate,
                    cost_us: self.cost_us(&estimate) + load_us,
                }
            })
            .min_by(|a, b| self.compare(a, b))
    }

    /// Orders candidates that meet the deadline before late ones, then by cost.
    fn compare(&self, a: &Candidate, b: &Candidate) -> Ordering {
        let is_late =
            |candidate: &Candidate| candidate.estimate.first_token_us > self.request.deadline_us;
        let by_deadline = is_late(a).cmp(&is_late(b));
        by_deadline.then(a.cost_us.total_cmp(&b.cost_us))
    }

    fn estimate(
        &self,
        record: &EndpointRecord,
        queue_us: DurationUs,
        import_option: ImportOption,
    ) -> Estimate {
        let options = &self.view.endpoints.options;
        let prefill_us =
            record.prefill_time(self.recompute_tokens(import_option.end_piece), options);
        let is_near = record.availability_zone == self.request.availability_zone;
        let zone_penalty_us = match is_near {
            true => DurationUs::ZERO,
            false => self.options.other_zone_round_trip_us,
        };
        Estimate {
            queue_us,
            transfer_us: import_option.transfer_us,
            prefill_us,
            first_token_us: queue_us.max(import_option.transfer_us) + prefill_us + zone_penalty_us,
        }
    }

    fn cost_us(&self, estimate: &Estimate) -> f64 {
        let weight = self.request.first_token_weight.get();
        weight * estimate.first_token_us.as_f64() + (1.0 - weight) * estimate.prefill_us.as_f64()
    }

    fn recompute_tokens(&self, available_pieces: usize) -> TokenCount {
        let available = self.prefix_tokens[available_pieces];
        self.request.chain.prompt_tokens.saturating_sub(available)
    }

    /// Converts a candidate into the choice that is returned to the caller.
    pub(crate) fn choice(&self, candidate: &Candidate, scored: &[ScoredCandidate]) -> Choice {
        let chain = &self.request.chain;
        let import = (candidate.resident_pieces..candidate.import_end)
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
            resident_tokens: chain.prefix_tokens(candidate.resident_pieces),
            import,
            recompute_tokens: self.recompute_tokens(candidate.import_end),
        };
        Choice {
            endpoint: self.view.endpoints.rows[candidate.row].id.clone(),
            plan,
            estimate: candidate.estimate,
            weighed: scored.to_vec(),
        }
    }
}

/// Returns the number of tokens in the first `n` pieces, for each `n` from 0 to all pieces.
fn prefix_tokens(request: &RouteRequest) -> Vec<TokenCount> {
    let mut sums = vec![TokenCount::ZERO];
    for piece in &request.chain.blocks {
        let before = sums.last().copied().unwrap_or_default();
        sums.push(before + piece.tokens);
    }
    sums
}
