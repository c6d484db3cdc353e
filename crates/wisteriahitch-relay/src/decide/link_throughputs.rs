//! How fast parts come over the links of engines and stores.
//!
//! Load pattern: the link of one store turns slow, or its queue grows, while those of the others are
//! well. Nothing tells so but the calls that fetch over it: their first events come late. Without
//! this, all prompts with parts at that store would go on waiting for it, although an engine reads
//! them sooner; one would notice by late first events of calls whose parts were all found.

use std::collections::HashMap;
use std::net::SocketAddr;

use wisteriahitch_types::{DurationUs, TimeUs};

/// Weight of the newest fetch in the moving mean of its link.
const NEWEST_FETCH_WEIGHT: f64 = 0.35;

/// Factor by which each fetch moves the usual ratio towards its own. Steps that don't depend on the
/// distance lead to the median: it stays where it is when one of a few links is slow, and follows
/// within seconds where all are late, as under overload.
const MEDIAN_STEP: f64 = 1.03;

/// Largest ratio that counts, so that one fetch that waited for something else doesn't keep a link
/// out of use for long.
const MAX_RATIO: f64 = 16.0;

/// Time after which half of what is known of a link's pace is forgotten. A link that isn't used for
/// being slow is tried again by a real call.
const HALF_LIFE_US: DurationUs = DurationUs::from_ms(3_000);

/// Shortest usual time of a fetch that says something about its link.
const MIN_NOMINAL_US: DurationUs = DurationUs::from_ms(4);

/// Times that fetches took, over the times that they usually take.
#[derive(Debug)]
pub struct LinkThroughputs {
    links: HashMap<SocketAddr, (f64, TimeUs)>,
    /// Median of all links.
    median_ratio: f64,
}

impl Default for LinkThroughputs {
    fn default() -> Self {
        Self {
            links: HashMap::new(),
            median_ratio: 1.0,
        }
    }
}

impl LinkThroughputs {
    /// Notes that a fetch from `source` to `reader`, which usually takes `usual_us`, took `took_us`.
    ///
    /// Both ends share the blame: the end that is well soon proves so by its other fetches.
    pub fn record_fetch(
        &mut self,
        source: SocketAddr,
        reader: SocketAddr,
        nominal_us: DurationUs,
        took_us: DurationUs,
        now: TimeUs,
    ) {
        if nominal_us < MIN_NOMINAL_US {
            return;
        }
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

    /// Returns by what factor a fetch takes longer than over other links; never less than one.
    pub fn slowdown(&self, source: SocketAddr, reader: SocketAddr, now: TimeUs) -> f64 {
        let slower_end = self.ratio(source, now).max(self.ratio(reader, now));
        (slower_end / self.median_ratio.max(1.0)).max(1.0)
    }

    /// Forgets a link whose end has been replaced by another process.
    pub fn remove(&mut self, link: SocketAddr) {
        self.links.remove(&link);
    }

    /// Forgets links that nothing was fetched over for long.
    pub fn prune(&mut self, now: TimeUs) {
        self.links
            .retain(|_, (_, at)| now.since(*at).get() < HALF_LIFE_US.get() * 8);
    }

    /// Returns what is known of a link; it drifts to the usual.
    fn ratio(&self, link: SocketAddr, now: TimeUs) -> f64 {
        let Some((ratio, at)) = self.links.get(&link) else {
            return self.median_ratio;
        };
        let half_lives = now.since(*at).as_secs_f64() / HALF_LIFE_US.as_secs_f64();
        self.median_ratio + (ratio - self.median_ratio) * 0.5_f64.powf(half_lives)
    }
}
