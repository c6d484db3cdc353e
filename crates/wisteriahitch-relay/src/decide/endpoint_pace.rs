//! How fast one endpoint works, compared to the others of its service.
//!
//! Load pattern: a third of the endpoints are four times slower than the others for ten seconds, or
//! share their machines with other work that changes many times a second. Without a factor of its
//! own a slow endpoint gets as many calls as a fast one, and those are late.

use std::num::NonZeroU32;

use wisteriahitch_types::{DurationUs, TimeUs};

/// Range of the factor of an endpoint that is slow or fast for long.
const LASTING_RANGE: (f64, f64) = (0.125, 8.0);
/// Share of the difference by which one answer changes the logarithm of the lasting factor.
const NEWEST_ANSWER_SHARE: f64 = 0.12;
/// Maximum change of the logarithm by one answer. A single answer says little.
const MAX_LOG_CHANGE: f64 = 0.15;
/// Time after which half of what was learned is forgotten, so that an endpoint that has become
/// faster gets calls again.
const HALF_LIFE_US: DurationUs = DurationUs::from_ms(15_000);
/// Time after which a reported factor has lost most of its effect.
const REPORT_LIFE_US: DurationUs = DurationUs::from_ms(150);
/// Range within which a reported factor is believed. An endpoint that says that it is far faster than
/// usual would draw all calls of a service.
const REPORTED_RANGE: (f64, f64) = (0.5, 8.0);
/// Percentages that an endpoint can sensibly report.
const VALID_PERCENT: std::ops::RangeInclusive<u32> = 5..=5_000;

/// How long work takes on the machine of an endpoint at this moment, in percent of the usual time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WorkPercent(NonZeroU32);

impl WorkPercent {
    /// Returns the percentage, or `None` if no machine can be that fast or slow.
    pub fn new(percent: u32) -> Option<Self> {
        let percent = NonZeroU32::new(percent)?;
        VALID_PERCENT
            .contains(&percent.get())
            .then_some(Self(percent))
    }

    /// Returns the percentage.
    pub fn get(self) -> u32 {
        self.0.get()
    }
}

/// Lasting factor of the time that an endpoint takes, learned from its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointPace {
    /// Logarithm of the factor at `learned_at`.
    log_factor: f64,
    learned_at: TimeUs,
}

impl EndpointPace {
    /// Records how long the endpoint took, in multiples of what is expected of its service.
    pub fn record(&mut self, ratio: f64, now: TimeUs) {
        if !ratio.is_finite() || ratio <= 0.0 {
            return;
        }
        let (min, max) = (LASTING_RANGE.0.ln(), LASTING_RANGE.1.ln());
        let before = self.aged_log(now);
        let difference = ratio.ln().clamp(min, max) - before;
        let change = (difference * NEWEST_ANSWER_SHARE).clamp(-MAX_LOG_CHANGE, MAX_LOG_CHANGE);
        self.log_factor = (before + change).clamp(min, max);
        self.learned_at = now;
    }

    /// Returns the factor of the time that the endpoint takes.
    pub fn lasting_factor(&self, now: TimeUs) -> f64 {
        match self.log_factor == 0.0 {
            true => 1.0,
            false => self.aged_log(now).exp(),
        }
    }

    fn aged_log(&self, now: TimeUs) -> f64 {
        let age = now.since(self.learned_at).as_secs_f64() / HALF_LIFE_US.as_secs_f64();
        self.log_factor * (-age).exp2()
    }
}

/// Returns the factor that an endpoint has reported, which returns to 1 as the report ages.
pub fn reported_factor(percent: WorkPercent, reported_at: TimeUs, now: TimeUs) -> f64 {
    let factor = f64::from(percent.get()) / 100.0;
    let factor = factor.clamp(REPORTED_RANGE.0, REPORTED_RANGE.1);
    let age = now.since(reported_at).as_secs_f64() / REPORT_LIFE_US.as_secs_f64();
    factor.powf((-age).exp())
}
