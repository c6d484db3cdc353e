//! Work of engines, links, daemons and the platform.

use std::collections::BTreeMap;

use serde_json::Value;

use super::{DaemonSection, LinkSection, RecomputedSection, RequestSection};
use crate::run::{Outcome, Subject};

use super::run_view::{Answered, RunView, share};

impl RunView<'_> {
    pub(super) fn requests(&self) -> RequestSection {
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

    pub(super) fn recomputed(&self) -> RecomputedSection {
        let returns: Vec<&Answered<'_>> = self
            .answered
            .iter()
            .filter(|row| row.ask.is_return)
            .collect();
        let computed = |row: &Answered<'_>| row.ask.prompt_tokens.saturating_sub(row.cached_tokens);
        let prompt = |row: &Answered<'_>| row.ask.prompt_tokens;
        let least = |row: &Answered<'_>| row.ask.prompt_tokens - row.ask.reusable_tokens;
        let again = |row: &Answered<'_>| row.ask.reusable_tokens.saturating_sub(row.cached_tokens);
        let kept = |row: &Answered<'_>| row.ask.reusable_tokens;
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

    pub(super) fn prefill_used_share(&self) -> f64 {
        let tokens = |value: &Value| value["prefilled_tokens"].as_f64().unwrap_or(0.0);
        let sum = |rows: &BTreeMap<String, Value>| rows.values().map(tokens).sum::<f64>();
        let computed = sum(&self.result.after.engines) - sum(&self.result.before.engines);
        let engines = self.result.site.engines.len() as f64;
        let rate = self.result.sizes.prefill_tokens_per_s.as_f64();
        computed / (engines * rate * self.counted_s())
    }

    pub(super) fn links(&self) -> BTreeMap<String, LinkSection> {
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

    pub(super) fn platform_calls(&self) -> BTreeMap<String, f64> {
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

    pub(super) fn daemons(&self) -> BTreeMap<String, DaemonSection> {
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

    pub(super) fn tier_counts(&self) -> BTreeMap<String, u64> {
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
}
