//! Section of a gossip message with the rates that the sender has learned.
//!
//! Load pattern: 77 daemons and 112 engines, where each daemon gets an answer of an engine a few
//! times a minute, and a daemon that has just started knows nothing.

use std::ops::RangeInclusive;

use serde::{Deserialize, Serialize};

use super::first_event_fit::FirstEventRates;
use super::message_sections::SectionContent;

/// Time of a first event without any reading, in microseconds.
const FIXED_US: RangeInclusive<u32> = 100..=5_000_000;
/// Time of reading a thousand tokens, in microseconds: a token to ten thousand a millisecond.
const READ_US: RangeInclusive<u32> = 100..=1_000_000;
/// Price of a running request, in nanoseconds.
const RUNNING_NS: RangeInclusive<u32> = 1_000..=50_000_000;
/// Time of a call to a plain service, in microseconds.
const PLAIN_CALL_US: RangeInclusive<u32> = 500..=20_000_000;

/// Rates of services.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct RatesSection {
    /// One update for each service of which the sender knows rates.
    pub services: Vec<RatesUpdate>,
}

impl SectionContent for RatesSection {
    const TAG: u8 = 1;
}

/// Rates of one service.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RatesUpdate {
    /// Short name of the service.
    pub service: u32,
    /// Number of recent answers behind `first_event`.
    pub answers: u16,
    /// Time of a first event, if the service has engines.
    pub first_event: Option<FirstEventUpdate>,
    /// Time of a call to a plain service, in microseconds.
    pub plain_call_us: Option<u32>,
}

impl RatesUpdate {
    /// Returns whether all figures are such as endpoints can have.
    pub fn is_valid(&self) -> bool {
        let is_event_valid = self.first_event.is_none_or(|update| {
            FIXED_US.contains(&update.fixed_us)
                && READ_US.contains(&update.read_us)
                && RUNNING_NS.contains(&update.running_ns)
        });
        is_event_valid
            && self
                .plain_call_us
                .is_none_or(|us| PLAIN_CALL_US.contains(&us))
    }
}

/// How the time of a first event depends on the work before it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct FirstEventUpdate {
    /// Time that any first event takes, in microseconds.
    pub fixed_us: u32,
    /// Time for each thousand prompt tokens, in microseconds.
    pub read_us: u32,
    /// Time for each running request, in nanoseconds.
    pub running_ns: u32,
}

impl From<FirstEventRates> for FirstEventUpdate {
    /// Returns the figures within the ranges that receivers take. A daemon whose figures are at a limit
    /// would otherwise be taken for one that sends nonsense.
    fn from(rates: FirstEventRates) -> Self {
        Self {
            fixed_us: figure_within(rates.fixed_ms * 1e3, &FIXED_US),
            read_us: figure_within(rates.ms_per_token * 1e6, &READ_US),
            running_ns: figure_within(rates.running_ms * 1e6, &RUNNING_NS),
        }
    }
}

/// Returns the time of a plain call in microseconds, within the range that receivers take.
pub(super) fn plain_call_us(ms: f64) -> u32 {
    figure_within(ms * 1e3, &PLAIN_CALL_US)
}

fn figure_within(figure: f64, range: &RangeInclusive<u32>) -> u32 {
    // A conversion to an integer ends at its limits.
    (figure.round() as u32).clamp(*range.start(), *range.end())
}

impl From<FirstEventUpdate> for FirstEventRates {
    fn from(update: FirstEventUpdate) -> Self {
        Self {
            fixed_ms: f64::from(update.fixed_us) / 1e3,
            ms_per_token: f64::from(update.read_us) / 1e6,
            running_ms: f64::from(update.running_ns) / 1e6,
        }
    }
}
