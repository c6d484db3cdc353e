//! Measured transfer times over the links of engines and stores, relative to their nominal times.
//!
//! Load pattern: the link of one store becomes slow, or its queue grows, while the other links are
//! fine. The only indication is the calls that fetch over it: their first events are late. Without
//! this measurement all prompts with parts at that store would go on waiting for it, although an
//! engine would read them sooner. The symptom is late first events of calls whose parts were all
//! found.

use std::collections::HashMap;
use std::net::SocketAddr;

use wisteriahitch_types::{DurationUs, TimeUs};

/// Weight of the newest fetch in the moving average of its link.
const NEWEST_FETCH_WEIGHT: f64 = 0.35;

/// Factor by which each fetch moves the estimated median ratio towards its own ratio. Steps that do
/// not depend on the distance converge to the median: it does not move when one of a few links is
/// slow, and it follows within seconds when all links are slow, as under overload.
const MEDIAN_STEP: f64 = 1.03;

/// Upper bound on the ratio of one fetch, so that a single fetch that waited for something else
/// does not exclude a link for long.
const MAX_RATIO: f64 = 16.0;

/// Half-life of a link's deviation from the median. A link that is avoided because it is slow is
/// thereby tried again by a real call.
const HALF_LIFE_US: DurationUs = DurationUs::from_ms(3_000);

/// Minimum nominal time of a fetch to be counted; shorter fetches say nothing about the link.
const MIN_NOMINAL_US: DurationUs = DurationUs::from_ms(4);

/// Uncertainty of a measured time where short fetches count: about the time of a first event, which
/// is part of it.
const FETCH_UNCERTAINTY_US: DurationUs = DurationUs::from_ms(50);

/// Ratio to the median from which on a link delays short fetches as much as long ones: they wait
/// for what is being transferred.
const SLOW_RATIO: f64 = 4.0;

/// Ratios of measured to nominal fetch times, by address of the link's end.
#[derive(Debug)]
pub struct LinkSlowdowns {
    links: HashMap<SocketAddr, (f64, TimeUs)>,
    /// Estimated median ratio over all links.
    median_ratio: f64,
    /// Uncertainty of each measured time. Fetches that nominally take less count as if they took
    /// this; zero leaves short fetches out.
    uncertainty_us: DurationUs,
}

impl Default for LinkSlowdowns {
    fn default() -> Self {
        Self {
            links: HashMap::new(),
            median_ratio: 1.0,
            uncertainty_us: DurationUs::ZERO,
        }
    }
}

impl LinkSlowdowns {
    /// Sets whether short fetches count too, as under managed load.
    ///
    /// Load pattern: links so fast that nearly all fetches are short, and a few engines whose links
    /// become slow. The symptom is calls that are late by seconds although all they fetch is the
    /// start of a prompt.
    pub(super) fn count_short_fetches(&mut self, is_counted: bool) {
        self.uncertainty_us = match is_counted {
            true => FETCH_UNCERTAINTY_US,
            false => DurationUs::ZERO,
        };
    }

    /// Records a fetch from `source` to `reader` that nominally takes `nominal_us` and took
    /// `took_us`.
    ///
    /// The ratio counts for both ends: the end that is not slow is soon corrected by its other
    /// fetches.
    pub fn record_fetch(
        &mut self,
        source: SocketAddr,
        reader: SocketAddr,
        nominal_us: DurationUs,
        took_us: DurationUs,
        now: TimeUs,
    ) {
        if nominal_us < MIN_NOMINAL_US && self.uncertainty_us == DurationUs::ZERO {
            return;
        }
        let nominal_us = nominal_us.max(self.uncertainty_us);
        let ratio = took_us.as_secs_f64() / nominal_us.as_secs_f64();
        let ratio = ratio.clamp(0.0, MAX_RATIO);
        match ratio > self.median_ratio {
            true => self.median_ratio *= MEDIAN_STEP,
            false => self.median_ratio /= MEDIAN_STEP,
        }
        for link in [source, reader] {
            let previous = self.ratio(link, now);
            let updated = previous + (ratio - previous) * NEWEST_FETCH_WEIGHT;
            self.links.insert(link, (updated, now));
        }
    }

    /// Returns the factor by which a fetch takes longer than over a typical link; at least 1.
    pub fn slowdown(&self, source: SocketAddr, reader: SocketAddr, now: TimeUs) -> f64 {
        let slower_end = self.ratio(source, now).max(self.ratio(reader, now));
        (slower_end / self.median_ratio.max(1.0)).max(1.0)
    }

    /// Returns the time, in milliseconds, that a fetch is expected to take which nominally takes
    /// `nominal_ms`.
    pub(super) fn expected_ms(
        &self,
        source: SocketAddr,
        reader: SocketAddr,
        nominal_ms: f64,
        now: TimeUs,
    ) -> f64 {
        let slowdown = self.slowdown(source, reader, now);
        let uncertainty_ms = self.uncertainty_us.as_secs_f64() * 1_000.0;
        match slowdown < SLOW_RATIO || nominal_ms >= uncertainty_ms {
            true => nominal_ms * slowdown,
            false => nominal_ms + (slowdown - 1.0) * uncertainty_ms,
        }
    }

    /// Removes the record of a link whose end has been replaced by another process.
    pub fn remove(&mut self, link: SocketAddr) {
        self.links.remove(&link);
    }

    /// Removes links over which nothing was fetched for eight half-lives.
    pub fn prune(&mut self, now: TimeUs) {
        self.links
            .retain(|_, (_, at)| now.since(*at).get() < HALF_LIFE_US.get() * 8);
    }

    /// Returns the ratio of a link, decayed towards the median since its last fetch.
    fn ratio(&self, link: SocketAddr, now: TimeUs) -> f64 {
        let Some((ratio, at)) = self.links.get(&link) else {
            return self.median_ratio;
        };
        let half_lives = now.since(*at).as_secs_f64() / HALF_LIFE_US.as_secs_f64();
        self.median_ratio + (ratio - self.median_ratio) * 0.5_f64.powf(half_lives)
    }
}
