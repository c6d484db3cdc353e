//! Works a report out of what a run recorded.

use std::collections::BTreeMap;

use serde_json::Value;
use wisteriahitch::types::{ByteCount, TokenCount};

use super::{
    DaemonSection, FaultSection, FloorSection, LinkSection, PartSection, PromiseSection, Quantiles,
    RecomputedSection, Report, RequestSection, Window,
};
use crate::load::PromptAsk;
use crate::run::{Outcome, Record, RunResult, Subject};
use crate::site::SiteSizes;

const US_PER_S: f64 = 1_000_000.0;
/// The slowest returns that are looked at: one in so many.
const SLOWEST_PART: usize = 20;

const WINDOW_US: u64 = 2_000_000;

/// Time after a fault's end by which everything is to be as before.
const RECOVERY_US: u64 = 10_000_000;

/// An answered prompt with its times.
#[derive(Clone, Copy)]
struct Answered<'a> {
    record: &'a Record,
    ask: &'a PromptAsk,
    first_token_us: u64,
    cached_tokens: u64,
}

impl Report {
    /// Works the report out.
    pub fn new(result: &RunResult) -> Self {
        let view = RunView::new(result);
        let options = &result.options;
        let returns = || view.answered.iter().filter(|row| row.ask.is_return);
        let first_token_returns = Quantiles::of(returns().map(|row| row.first_token_us));
        Self {
            site: result.site.site,
            policy: result.site.policy.clone(),
            fault: options.fault,
            seed: options.seed,
            duration_s: options.duration_s,
            warm_up_s: options.warm_up_s,
            load_share: options.load_share,
            capacity: options.capacity,
            machine_load: result.machine_load.clone(),
            tool_processor_s: result.own.processor_s,
            requests: view.requests(),
            first_token_all: Quantiles::of(view.answered.iter().map(|row| row.first_token_us)),
            first_token_returns,
            first_token_visits: view.first_visits(),
            token_gap: view.token_gap(),
            plain_calls: view.plain_calls(),
            recomputed: view.recomputed(),
            floor: view.floor(&first_token_returns),
            slowest_returns: view.slowest_returns(),
            prefill_used_share: view.prefill_used_share(),
            links: view.links(),
            refusals: view.refusals(),
            refusal_after: view.refusal_after(),
            refusals_without_return: view.refusals_without_return(),
            promises: view.promises(),
            platform_calls_per_s: view.platform_calls(),
            daemons: view.daemons(),
            tier_counts: view.tier_counts(),
            fault_effect: view.fault_effect(),
            windows: view.windows(),
        }
    }
}

/// Looks at the measured part of a run.
struct RunView<'a> {
    result: &'a RunResult,
    records: Vec<&'a Record>,
    answered: Vec<Answered<'a>>,
    measured_s: f64,
}

impl<'a> RunView<'a> {
    fn new(result: &'a RunResult) -> Self {
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

    fn requests(&self) -> RequestSection {
        let mut section = RequestSection {
            unended: self.result.unended,
            ..RequestSection::default()
        };
        for record in &self.records {
            let is_return = match &record.subject {
                Subject::Prompt(ask) => {
                    section.prompts += 1;
                    section.returns += u64::from(ask.is_return);
                    ask.is_return
                }
                Subject::Plain => {
                    section.plain_calls += 1;
                    false
                }
            };
            section.broken_tries += record.broken_tries;
            match record.outcome {
                Outcome::Answered { .. } => section.answered += 1,
                Outcome::Refused { .. } => {
                    section.refused += 1;
                    section.refused_returns += u64::from(is_return);
                }
                Outcome::CutOff | Outcome::Lost(_) => section.lost += 1,
            }
        }
        let in_time = self.answered.iter().filter(|row| self.is_in_time(row));
        let tokens: u64 = in_time.clone().map(|row| row.ask.prompt_tokens).sum();
        section.in_time_share = share(in_time.count() as u64, section.prompts);
        section.in_time_tokens_per_s = tokens as f64 / self.measured_s;
        section
    }

    fn is_in_time(&self, row: &Answered<'_>) -> bool {
        let mut classes = self.result.sizes.classes.iter();
        let class = classes.find(|class| class.name == row.ask.class);
        class.is_some_and(|class| row.first_token_us <= class.deadline_us.get())
    }

    fn first_visits(&self) -> BTreeMap<String, Quantiles> {
        let classes = self.result.sizes.classes.iter();
        let quantiles = classes.map(|class| {
            let rows = self.answered.iter();
            let rows = rows.filter(|row| row.ask.class == class.name && !row.ask.is_return);
            let spans = rows.map(|row| row.first_token_us);
            (class.adapter.to_owned(), Quantiles::of(spans))
        });
        quantiles.collect()
    }

    fn token_gap(&self) -> Quantiles {
        let gaps = self
            .records
            .iter()
            .flat_map(|record| match &record.outcome {
                Outcome::Answered { gaps_us, .. } => gaps_us.as_slice(),
                _ => &[],
            });
        Quantiles::of(gaps.copied())
    }

    fn plain_calls(&self) -> Quantiles {
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

    fn recomputed(&self) -> RecomputedSection {
        let returns: Vec<&Answered<'_>> = self
            .answered
            .iter()
            .filter(|row| row.ask.is_return)
            .collect();
        let computed = |row: &Answered<'_>| row.ask.prompt_tokens.saturating_sub(row.cached_tokens);
        let prompt = |row: &Answered<'_>| row.ask.prompt_tokens;
        let least = |row: &Answered<'_>| row.ask.prompt_tokens - row.ask.kept_tokens;
        let again = |row: &Answered<'_>| row.ask.kept_tokens.saturating_sub(row.cached_tokens);
        let kept = |row: &Answered<'_>| row.ask.kept_tokens;
        let of_returns = |count: &dyn Fn(&Answered<'_>) -> u64| -> u64 {
            returns.iter().map(|row| count(row)).sum()
        };
        let of_all =
            |count: &dyn Fn(&Answered<'_>) -> u64| -> u64 { self.answered.iter().map(count).sum() };
        RecomputedSection {
            returns_share: share(of_returns(&computed), of_returns(&prompt)),
            returns_least_share: share(of_returns(&least), of_returns(&prompt)),
            returns_kept_pieces_share: share(of_returns(&again), of_returns(&kept)),
            all_share: share(of_all(&computed), of_all(&prompt)),
        }
    }

    fn floor(&self, measured: &Quantiles) -> FloorSection {
        let sizes = &self.result.sizes;
        let returns = self.answered.iter().filter(|row| row.ask.is_return);
        let returns = Quantiles::of(returns.map(|row| floor_us(row.ask, sizes)));
        FloorSection {
            returns,
            p95_ratio: ratio(measured.p95_ms, returns.p95_ms),
        }
    }

    fn slowest_returns(&self) -> PartSection {
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
        let kept: u64 = rows.iter().map(|row| row.ask.kept_tokens).sum();
        let again = rows
            .iter()
            .map(|row| row.ask.kept_tokens.saturating_sub(row.cached_tokens));
        PartSection {
            count: rows.len() as u64,
            first_token_ms,
            prefill_ms,
            transfer_ms,
            wait_ms: first_token_ms - prefill_ms - transfer_ms,
            computed_again_share: share(again.sum(), kept),
        }
    }

    fn prefill_used_share(&self) -> f64 {
        let tokens = |value: &Value| value["prefilled_tokens"].as_f64().unwrap_or(0.0);
        let sum = |rows: &BTreeMap<String, Value>| rows.values().map(tokens).sum::<f64>();
        let computed = sum(&self.result.after.engines) - sum(&self.result.before.engines);
        let engines = self.result.site.engines.len() as f64;
        let rate = self.result.sizes.prefill_tokens_per_s.as_f64();
        computed / (engines * rate * self.counted_s())
    }

    fn counted_s(&self) -> f64 {
        let span = self.result.after.taken_at - self.result.before.taken_at;
        span.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    fn links(&self) -> BTreeMap<String, LinkSection> {
        let stores = self.result.site.stores.iter();
        let sections = stores.map(|store| {
            let null = Value::Null;
            let before = self.result.before.stores.get(&store.name).unwrap_or(&null);
            let after = self.result.after.stores.get(&store.name).unwrap_or(&null);
            let number = |value: &Value, key: &str| value[key].as_f64().unwrap_or(0.0);
            // A store that was started again counts from zero.
            let grown = |key| (number(after, key) - number(before, key)).max(0.0);
            let (saved, read) = (grown("saved_bytes"), grown("read_bytes"));
            let later = number(after, "blocks_later_read") / number(after, "saved_blocks").max(1.0);
            let capacity = store.link_bytes_per_s.as_f64() * self.counted_s();
            let section = LinkSection {
                used_share: (saved + read) / capacity,
                saved_bytes_per_s: saved / self.counted_s(),
                read_bytes_per_s: read / self.counted_s(),
                later_read_share: later,
                useful_share: (saved * later + read) / (saved + read).max(1.0),
                refused_full: grown("refused_full") as u64,
            };
            (store.name.clone(), section)
        });
        sections.collect()
    }

    fn refusals(&self) -> BTreeMap<String, u64> {
        let mut refusals = BTreeMap::new();
        for record in &self.records {
            if let Outcome::Refused { code, .. } = &record.outcome {
                *refusals.entry(code.to_string()).or_default() += 1;
            }
        }
        refusals
    }

    fn refusal_after(&self) -> Quantiles {
        Quantiles::of(
            self.records
                .iter()
                .filter_map(|record| match record.outcome {
                    Outcome::Refused { after_us, .. } => Some(after_us),
                    _ => None,
                }),
        )
    }

    fn refusals_without_return(&self) -> u64 {
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
    fn promises(&self) -> PromiseSection {
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

    fn platform_calls(&self) -> BTreeMap<String, f64> {
        let counts = |value: &Value| {
            let mut counts: BTreeMap<String, f64> = BTreeMap::new();
            for (method, kinds) in value["calls"].as_object().into_iter().flatten() {
                for (kind, count) in kinds.as_object().into_iter().flatten() {
                    counts.insert(format!("{method} {kind}"), count.as_f64().unwrap_or(0.0));
                }
            }
            counts
        };
        let before = counts(&self.result.before.platform);
        let after = counts(&self.result.after.platform).into_iter();
        let rates = after.map(|(name, count)| {
            let grown = count - before.get(&name).copied().unwrap_or(0.0);
            (name, grown / self.counted_s())
        });
        rates.collect()
    }

    fn daemons(&self) -> BTreeMap<String, DaemonSection> {
        let (before, after) = (&self.result.before, &self.result.after);
        let daemons = self.result.site.daemons.iter();
        let sections = daemons.map(|daemon| {
            let name = &daemon.name;
            let start = before.processes.get(name).copied().unwrap_or_default();
            let end = after.processes.get(name).copied().unwrap_or_default();
            let bytes = |counters: &crate::run::Counters| {
                counters.control_bytes.get(name).copied().unwrap_or(0)
            };
            let control = bytes(after).saturating_sub(bytes(before));
            let section = DaemonSection {
                processor_share: (end.processor_s - start.processor_s).max(0.0) / self.counted_s(),
                memory_bytes: end.memory_bytes,
                control_bytes_per_s: control as f64 / self.counted_s(),
            };
            (name.clone(), section)
        });
        sections.collect()
    }

    fn tier_counts(&self) -> BTreeMap<String, u64> {
        let mut counts = BTreeMap::new();
        for dump in self.result.dumps.values() {
            for part in ["imports", "saves", "rooms", "prefetch"] {
                for (name, count) in dump["tiers"][part].as_object().into_iter().flatten() {
                    let sum: &mut u64 = counts.entry(format!("{part} {name}")).or_default();
                    *sum += count.as_u64().unwrap_or(0);
                }
            }
        }
        counts
    }

    fn fault_effect(&self) -> Option<FaultSection> {
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

    fn windows(&self) -> Vec<Window> {
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

fn answered(record: &Record) -> Option<Answered<'_>> {
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
fn floor_us(ask: &PromptAsk, sizes: &SiteSizes) -> u64 {
    let import_us = transfer_us(ask.kept_tokens, sizes);
    let rest_us = prefill_us(ask.prompt_tokens - ask.kept_tokens, sizes);
    prefill_us(ask.prompt_tokens, sizes).min(import_us + rest_us)
}

fn prefill_us(tokens: u64, sizes: &SiteSizes) -> u64 {
    let rate = sizes.prefill_tokens_per_s;
    rate.time_for(TokenCount::new(tokens)).get()
}

fn transfer_us(tokens: u64, sizes: &SiteSizes) -> u64 {
    let bytes = ByteCount::new(tokens * sizes.bytes_per_token.get());
    sizes.link_bytes_per_s[0].time_for(bytes).get()
}

fn share(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

fn ratio(value: f64, base: f64) -> f64 {
    match base > 0.0 {
        true => value / base,
        false => 0.0,
    }
}
