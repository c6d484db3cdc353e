//! Times of prompts, tokens, calls and refusals.

use std::collections::BTreeMap;

use super::{FloorSection, PartSection, Quantiles};
use crate::run::{Outcome, Subject};

use super::run_view::{Answered, RunView, floor_us, prefill_us, ratio, share, transfer_us};

/// The slowest returns that are looked at: one in so many.
const SLOWEST_PART: usize = 20;

impl RunView<'_> {
    pub(super) fn first_visits(&self) -> BTreeMap<String, Quantiles> {
        let classes = self.result.sizes.classes.iter();
        let quantiles = classes.map(|class| {
            let rows = self.answered.iter();
            let rows = rows.filter(|row| row.ask.class == class.name && !row.ask.is_return);
            let spans = rows.map(|row| row.first_token_us);
            (class.adapter.to_owned(), Quantiles::of(spans))
        });
        quantiles.collect()
    }

    pub(super) fn token_gap(&self) -> Quantiles {
        let gaps = self
            .records
            .iter()
            .flat_map(|record| match &record.outcome {
                Outcome::Answered { gaps_us, .. } => gaps_us.as_slice(),
                _ => &[],
            });
        Quantiles::of(gaps.copied())
    }

    pub(super) fn plain_calls(&self) -> Quantiles {
        let spans =
            self.records
                .iter()
                .filter_map(|record| match (&record.subject, &record.outcome) {
                    (Subject::Plain, Outcome::Answered { first_token_us, .. }) => {
                        Some(*first_token_us)
                    }
                    _ => None,
                });
        Quantiles::of(spans)
    }

    pub(super) fn floor(&self, measured: &Quantiles) -> FloorSection {
        let sizes = &self.result.sizes;
        let returns = self.answered.iter().filter(|row| row.ask.is_return);
        let returns = Quantiles::of(returns.map(|row| floor_us(row.ask, sizes)));
        FloorSection {
            returns,
            p95_ratio: ratio(measured.p95_ms, returns.p95_ms),
        }
    }

    pub(super) fn slowest_returns(&self) -> PartSection {
        let sizes = &self.result.sizes;
        let mut rows: Vec<&Answered<'_>> = self
            .answered
            .iter()
            .filter(|row| row.ask.is_return)
            .collect();
        rows.sort_by_key(|row| std::cmp::Reverse(row.first_token_us));
        rows.truncate(rows.len().div_ceil(SLOWEST_PART));
        let mean_ms = |span_us: &dyn Fn(&Answered<'_>) -> u64| {
            let sum: u64 = rows.iter().map(|row| span_us(row)).sum();
            sum as f64 / rows.len().max(1) as f64 / 1_000.0
        };
        let prefill = |row: &Answered<'_>| {
            prefill_us(
                row.ask.prompt_tokens.saturating_sub(row.cached_tokens),
                sizes,
            )
        };
        let transfer = |row: &Answered<'_>| transfer_us(row.cached_tokens, sizes);
        let (first_token_ms, prefill_ms, transfer_ms) = (
            mean_ms(&|row| row.first_token_us),
            mean_ms(&prefill),
            mean_ms(&transfer),
        );
        let kept: u64 = rows.iter().map(|row| row.ask.reusable_tokens).sum();
        let again = rows
            .iter()
            .map(|row| row.ask.reusable_tokens.saturating_sub(row.cached_tokens));
        PartSection {
            count: rows.len() as u64,
            first_token_ms,
            prefill_ms,
            transfer_ms,
            wait_ms: first_token_ms - prefill_ms - transfer_ms,
            computed_again_share: share(again.sum(), kept),
        }
    }

    pub(super) fn refusal_after(&self) -> Quantiles {
        Quantiles::of(
            self.records
                .iter()
                .filter_map(|record| match record.outcome {
                    Outcome::Refused { after_us, .. } => Some(after_us),
                    _ => None,
                }),
        )
    }
}
