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
const NEWEST_WEIGHT: f64 = 0.35;

/// Factor by which each fetch moves the usual ratio towards its own. Steps that don't depend on the
/// distance lead to the median: it stays where it is when one of a few links is slow, and follows
/// within seconds where all are late, as under overload.
const USUAL_STEP: f64 = 1.03;

/// Largest ratio that counts, so that one fetch that waited for something else doesn't keep a link
/// out of use for long.
const MAX_RATIO: f64 = 16.0;

/// Time after which half of what is known of a link's pace is forgotten. A link that isn't used for
/// being slow is tried again by a real call.
const HALF_LIFE_US: DurationUs = DurationUs::from_ms(3_000);

/// Shortest usual time of a fetch that says something about its link.
const MIN_USUAL_US: DurationUs = DurationUs::from_ms(4);

/// Times that fetches took, over the times that they usually take.
#[derive(Debug)]
pub struct LinkPaces {
    links: HashMap<SocketAddr, (f64, TimeUs)>,
    /// Median of all links.
    usual: f64,
}

impl Default for LinkPaces {
    fn default() -> Self {
        Self {
            links: HashMap::new(),
            usual: 1.0,
        }
    }
}

impl LinkPaces {
    /// Notes that a fetch from `source` to `reader`, which usually takes `usual_us`, took `took_us`.
    ///
    /// Both ends share the blame: the end that is well soon proves so by its other fetches.
    pub fn fetched(
        &mut self,
        source: SocketAddr,
        reader: SocketAddr,
        usual_us: DurationUs,
        took_us: DurationUs,
        now: TimeUs,
    ) {
        if usual_us < MIN_USUAL_US {
            return;
        }
        let ratio = took_us.as_secs_f64() / usual_us.as_secs_f64();
        let ratio = ratio.clamp(0.0, MAX_RATIO);
        match ratio > self.usual {
            true => self.usual *= USUAL_STEP,
            false => self.usual /= USUAL_STEP,
        }
        for link in [source, reader] {
            let known = self.ratio(link, now);
            let newer = known + (ratio - known) * NEWEST_WEIGHT;
            self.links.insert(link, (newer, now));
        }
    }

    /// Returns by what factor a fetch takes longer than over other links; never less than one.
    pub fn slowness(&self, source: SocketAddr, reader: SocketAddr, now: TimeUs) -> f64 {
        let slower = self.ratio(source, now).max(self.ratio(reader, now));
        (slower / self.usual.max(1.0)).max(1.0)
    }

    /// Forgets a link whose end has been replaced by another process.
    pub fn forget(&mut self, link: SocketAddr) {
        self.links.remove(&link);
    }

    /// Forgets links that nothing was fetched over for long.
    pub fn tick(&mut self, now: TimeUs) {
        self.links
            .retain(|_, (_, at)| now.since(*at).get() < HALF_LIFE_US.get() * 8);
    }

    /// Returns what is known of a link; it drifts to the usual.
    fn ratio(&self, link: SocketAddr, now: TimeUs) -> f64 {
        let Some((ratio, at)) = self.links.get(&link) else {
            return self.usual;
        };
        let half_lives = now.since(*at).as_secs_f64() / HALF_LIFE_US.as_secs_f64();
        self.usual + (ratio - self.usual) * 0.5_f64.powf(half_lives)
    }
}
