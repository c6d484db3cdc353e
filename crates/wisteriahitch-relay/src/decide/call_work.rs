//! How much work a call causes, before an endpoint is chosen for it.
//!
//! Load pattern: under overload a call is admitted or refused by what it costs the others. Of a long
//! prompt most is usually cached, and a short one may have a long answer that occupies a slot for
//! seconds, so its size alone says little about its work.

use std::collections::HashMap;

use wisteriahitch_types::{DurationUs, ServiceName};

use super::work_rate::MAX_CALL_WORK_MS;
use crate::site::PromptShape;

/// Weight of the newest call in the moving average of the shared tokens that are read.
const READ_SHARE_WEIGHT: f64 = 0.05;

/// Share of the shared tokens that is assumed to be read before any call was placed.
const INITIAL_READ_SHARE: f64 = 0.1;

/// What an engine does in a millisecond.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkRates {
    /// Prompt tokens that it reads.
    pub read_tokens_per_ms: f64,
    /// Time by which each token that it writes for one request delays all others, in milliseconds.
    pub written_token_ms: f64,
}

impl Default for WorkRates {
    /// Returns the rates that are assumed of engines that nothing is known about.
    fn default() -> Self {
        Self {
            read_tokens_per_ms: super::placement_request::READ_TOKENS_PER_MS,
            written_token_ms: 0.4,
        }
    }
}

/// Estimates the work of calls from how much of the shared parts of prompts is read.
#[derive(Debug, Default)]
pub struct CallWork {
    /// Moving average, by service, of the share of the shared tokens that engines read.
    read_shares: HashMap<ServiceName, f64>,
}

impl CallWork {
    /// Returns the work of a call with a prompt, in milliseconds of an engine.
    ///
    /// A call occupies a slot for `duration_us`. Of an engine with many slots this is a small part,
    /// and the work is what the call costs in reading and writing; otherwise the slots are used up
    /// first.
    pub fn of_prompt(
        &self,
        service: &ServiceName,
        prompt: &PromptShape,
        rates: &WorkRates,
        duration_us: DurationUs,
        slots: u32,
    ) -> f64 {
        let (shared, own) = shared_and_own_tokens(prompt);
        let read_share = self.read_shares.get(service);
        let read = own + shared * read_share.copied().unwrap_or(INITIAL_READ_SHARE);
        let work_ms = read / rates.read_tokens_per_ms.max(f64::MIN_POSITIVE)
            + prompt.output_tokens.as_f64() * rates.written_token_ms;
        let slot_ms = duration_us.as_secs_f64() * 1_000.0 / f64::from(slots.max(1));
        bounded_work(work_ms.max(slot_ms))
    }

    /// Returns the work of a call without a prompt, in milliseconds of a slot.
    pub fn of_plain_call(duration_us: DurationUs) -> f64 {
        bounded_work(duration_us.as_secs_f64() * 1_000.0)
    }

    /// Records how many tokens of a prompt the chosen engine has to read.
    pub fn record_placement(
        &mut self,
        service: &ServiceName,
        prompt: &PromptShape,
        unread_tokens: u64,
    ) {
        let (shared, own) = shared_and_own_tokens(prompt);
        if shared < 1.0 {
            return;
        }
        let read = ((unread_tokens as f64 - own) / shared).clamp(0.0, 1.0);
        // The services are those of the configuration, so the map stays small.
        let mean = self.read_shares.entry(service.clone());
        let mean = mean.or_insert(INITIAL_READ_SHARE);
        *mean += (read - *mean) * READ_SHARE_WEIGHT;
    }
}

fn shared_and_own_tokens(prompt: &PromptShape) -> (f64, f64) {
    let shared = prompt.shared_parts().iter();
    let shared: f64 = shared.map(|part| part.tokens.as_f64()).sum();
    (shared, (prompt.prompt_tokens.as_f64() - shared).max(0.0))
}

/// Callers state the sizes of their prompts themselves, so the work is kept within what can be.
pub(super) fn bounded_work(work_ms: f64) -> f64 {
    match work_ms.is_finite() {
        true => work_ms.clamp(0.1, MAX_CALL_WORK_MS),
        false => MAX_CALL_WORK_MS,
    }
}
