//! The measured part of a run.

use wisteriahitch::types::{ByteCount, TokenCount};

use crate::load::PromptRequest;
use crate::run::{Outcome, Record, RunResult, Subject};
use crate::site::SiteSizes;

/// Microseconds in a second.
pub(super) const US_PER_S: f64 = 1_000_000.0;

/// An answered prompt with its times.
#[derive(Clone, Copy)]
pub(super) struct Answered<'a> {
    pub(super) record: &'a Record,
    pub(super) ask: &'a PromptRequest,
    pub(super) first_token_us: u64,
    pub(super) cached_tokens: u64,
}

/// Looks at the measured part of a run.
pub(super) struct RunView<'a> {
    pub(super) result: &'a RunResult,
    pub(super) records: Vec<&'a Record>,
    pub(super) answered: Vec<Answered<'a>>,
    pub(super) measured_s: f64,
}

impl<'a> RunView<'a> {
    pub(super) fn new(result: &'a RunResult) -> Self {
        let from_us = result.options.warm_up_s * 1_000_000;
        let records = result
            .records
            .iter()
            .filter(|record| record.at_us >= from_us);
        let records: Vec<&Record> = records.collect();
        let answered = records
            .iter()
            .filter_map(|record| answered(record))
            .collect();
        let measured_s = result.options.duration_s - result.options.warm_up_s;
        Self {
            result,
            records,
            answered,
            measured_s: measured_s as f64,
        }
    }

    pub(super) fn is_in_time(&self, row: &Answered<'_>) -> bool {
        let mut classes = self.result.sizes.classes.iter();
        let class = classes.find(|class| class.name == row.ask.class);
        class.is_some_and(|class| row.first_token_us <= class.deadline_us.get())
    }

    pub(super) fn counted_s(&self) -> f64 {
        let span = self.result.after.taken_at - self.result.before.taken_at;
        span.as_secs_f64().max(f64::MIN_POSITIVE)
    }
}

pub(super) fn answered(record: &Record) -> Option<Answered<'_>> {
    match (&record.subject, &record.outcome) {
        (
            Subject::Prompt(ask),
            Outcome::Answered {
                first_token_us,
                cached_tokens,
                ..
            },
        ) => Some(Answered {
            record,
            ask,
            first_token_us: *first_token_us,
            cached_tokens: *cached_tokens,
        }),
        _ => None,
    }
}

/// Returns the time of the best single option for a return, if it were alone at the site.
pub(super) fn floor_us(ask: &PromptRequest, sizes: &SiteSizes) -> u64 {
    let import_us = transfer_us(ask.reusable_tokens, sizes);
    let rest_us = prefill_us(ask.prompt_tokens - ask.reusable_tokens, sizes);
    prefill_us(ask.prompt_tokens, sizes).min(import_us + rest_us)
}

pub(super) fn prefill_us(tokens: u64, sizes: &SiteSizes) -> u64 {
    let rate = sizes.prefill_tokens_per_s;
    rate.time_for(TokenCount::new(tokens)).get()
}

pub(super) fn transfer_us(tokens: u64, sizes: &SiteSizes) -> u64 {
    let bytes = ByteCount::new(tokens * sizes.bytes_per_token.get());
    sizes.link_bytes_per_s[0].time_for(bytes).get()
}

pub(super) fn share(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

pub(super) fn ratio(value: f64, base: f64) -> f64 {
    match base > 0.0 {
        true => value / base,
        false => 0.0,
    }
}
