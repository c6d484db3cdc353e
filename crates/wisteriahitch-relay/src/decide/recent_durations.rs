//! Estimates within which time the calls of a route end, for a daemon that is about to exit.
//!
//! Load pattern: the streams of a route last from half a second to several seconds, depending on the
//! size of their answers, which is unknown in advance, and longer while engines load new weights. A
//! daemon that exits cuts off what it has not finished; what it refuses goes to another daemon at
//! the cost of one attempt of its caller. So a new call is taken only if the longest recent one of
//! its route would end in the time that is left.

use std::collections::VecDeque;
use std::num::NonZeroUsize;

use lru::LruCache;
use wisteriahitch_types::{DurationUs, RouteName};

use crate::site::CallKind;

/// Time that a stream of any size is assumed to take, unless those of its route are short. The
/// longest streams of a route are so rare that the recent ones may not include any.
const ASSUMED_STREAM_US: DurationUs = DurationUs::from_ms(5_000);

/// Time within which nearly all other calls end.
const ASSUMED_CALL_US: DurationUs = DurationUs::from_ms(1_000);

/// Longest recent duration of a route whose streams count as short.
const MAX_SHORT_STREAM_US: DurationUs = DurationUs::from_ms(1_200);

/// Minimum estimate: engines may begin to load new weights, which takes about a second.
const MIN_ESTIMATE_US: DurationUs = DurationUs::from_ms(1_000);

/// Estimate in multiples of the longest recent duration.
const LONGEST_FACTOR: f64 = 1.25;

/// Number of recent calls of a route.
const MAX_RECENT: usize = 64;

/// Minimum number of recent calls for an estimate.
const MIN_RECENT: usize = 16;

/// Maximum number of routes; the least recently used ones are forgotten first.
const MAX_ROUTES: NonZeroUsize = match NonZeroUsize::new(256) {
    Some(max) => max,
    None => NonZeroUsize::MIN,
};

/// Durations of the recent successful calls of each route.
#[derive(Debug)]
pub struct RecentDurations {
    routes: LruCache<RouteName, VecDeque<DurationUs>>,
}

impl Default for RecentDurations {
    fn default() -> Self {
        Self {
            routes: LruCache::new(MAX_ROUTES),
        }
    }
}

impl RecentDurations {
    /// Records how long a successful call of a route took, from its arrival to its end.
    pub fn record(&mut self, route: &RouteName, duration_us: DurationUs) {
        let recent = self.routes.get_or_insert_mut(route.clone(), VecDeque::new);
        if recent.len() >= MAX_RECENT {
            recent.pop_front();
        }
        recent.push_back(duration_us);
    }

    /// Returns the mean duration of the recent calls of a route; zero if there were none.
    pub fn mean(&self, route: &RouteName) -> DurationUs {
        let recent = self.routes.peek(route).filter(|recent| !recent.is_empty());
        let mean_s = recent.map(|recent| {
            let total_s: f64 = recent.iter().map(|duration| duration.as_secs_f64()).sum();
            total_s / recent.len() as f64
        });
        DurationUs::from_secs_f64(mean_s.unwrap_or(0.0))
    }

    /// Returns the time within which nearly all calls of a route end.
    pub fn estimate(&self, route: &RouteName, kind: CallKind) -> DurationUs {
        let recent = self.routes.peek(route);
        let recent = recent.filter(|recent| recent.len() >= MIN_RECENT);
        let longest_us = recent.and_then(|recent| recent.iter().max());
        let is_stream = kind == CallKind::Stream;
        let Some(longest_us) = longest_us.copied() else {
            return match is_stream {
                true => ASSUMED_STREAM_US,
                false => ASSUMED_CALL_US,
            };
        };
        let may_be_longer = is_stream && longest_us > MAX_SHORT_STREAM_US;
        let min_us = match may_be_longer {
            true => ASSUMED_STREAM_US,
            false => MIN_ESTIMATE_US,
        };
        let scaled_us = DurationUs::from_secs_f64(longest_us.as_secs_f64() * LONGEST_FACTOR);
        scaled_us.max(min_us)
    }
}
