//! Refusals, promises and the effect of a fault.

use std::collections::BTreeMap;

use super::{FaultSection, PromiseSection, Quantiles, Window};
use crate::run::{Outcome, Record};

use super::run_view::{Answered, RunView, US_PER_S, answered, ratio};

/// Length of one part of a run whose times are told apart.
const WINDOW_US: u64 = 2_000_000;

/// Time after a fault's end by which everything is to be as before.
const RECOVERY_US: u64 = 10_000_000;

impl RunView<'_> {
    pub(super) fn refusals(&self) -> BTreeMap<String, u64> {
        let mut refusals = BTreeMap::new();
        for record in &self.records {
            if let Outcome::Refused { code, .. } = &record.outcome {
                *refusals.entry(code.to_string()).or_default() += 1;
            }
        }
        refusals
    }

    pub(super) fn refusals_without_return(&self) -> u64 {
        let is_silent = |record: &&&Record| {
            matches!(
                record.outcome,
                Outcome::Refused {
                    retry_after_us: None,
                    ..
                }
            )
        };
        self.records.iter().filter(is_silent).count() as u64
    }

    /// Counts over the whole run: no promise may be broken before measuring begins either.
    pub(super) fn promises(&self) -> PromiseSection {
        let plain = &self.result.plain;
        let count = |is_wanted: fn(&Outcome) -> bool| {
            let records = self.result.records.iter();
            records.filter(|record| is_wanted(&record.outcome)).count() as u64
        };
        PromiseSection {
            wrong: count(|outcome| {
                matches!(
                    outcome,
                    Outcome::Answered {
                        is_right: false,
                        ..
                    }
                )
            }),
            cut_off: count(|outcome| matches!(outcome, Outcome::CutOff)),
            doubled: plain.doubled,
            falsely_refused: plain.falsely_refused + self.result.falsely_refused_prompts,
            invented: plain.invented,
            checked_keys: plain.keyed,
            unasked_services: plain.unasked,
        }
    }

    pub(super) fn fault_effect(&self) -> Option<FaultSection> {
        let span = self.result.fault_span?;
        let spans = |from_us: u64, until_us: u64, is_wanted: &dyn Fn(&Answered<'_>) -> bool| {
            let rows = self
                .answered
                .iter()
                .filter(|row| (from_us..until_us).contains(&row.record.at_us) && is_wanted(row));
            Quantiles::of(rows.map(|row| row.first_token_us))
        };
        let all = |_: &Answered<'_>| true;
        let recovered_us = span.until_us + RECOVERY_US;
        let before = spans(0, span.from_us, &all);
        let after = spans(recovered_us, u64::MAX, &all);
        let others = |row: &Answered<'_>| row.record.workspace != crate::run::SURGE_WORKSPACE;
        let others_before = spans(0, span.from_us, &others);
        let others_during = spans(span.from_us, span.until_us, &others);
        Some(FaultSection {
            from_s: span.from_us as f64 / US_PER_S,
            until_s: span.until_us as f64 / US_PER_S,
            before,
            during: spans(span.from_us, recovered_us, &all),
            after,
            p95_ratio: ratio(after.p95_ms, before.p95_ms),
            others_p95_ratio_during: ratio(others_during.p95_ms, others_before.p95_ms),
        })
    }

    pub(super) fn windows(&self) -> Vec<Window> {
        let end_us = self.result.options.duration_s * 1_000_000;
        let starts = (0..end_us).step_by(WINDOW_US as usize);
        let windows = starts.map(|from_us| {
            let within = from_us..from_us + WINDOW_US;
            let records = self.result.records.iter();
            let records: Vec<&Record> = records
                .filter(|record| within.contains(&record.at_us))
                .collect();
            let rows: Vec<Answered<'_>> = records
                .iter()
                .filter_map(|record| answered(record))
                .collect();
            let returns = rows.iter().filter(|row| row.ask.is_return);
            let is_refused = |record: &&&Record| matches!(record.outcome, Outcome::Refused { .. });
            Window {
                from_s: from_us as f64 / US_PER_S,
                returns_p95_ms: Quantiles::of(returns.map(|row| row.first_token_us)).p95_ms,
                all_p95_ms: Quantiles::of(rows.iter().map(|row| row.first_token_us)).p95_ms,
                refused: records.iter().filter(is_refused).count() as u64,
            }
        });
        windows.collect()
    }
}
