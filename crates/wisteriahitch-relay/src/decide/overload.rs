//! How long a queue may be before a call is refused.
//!
//! Load pattern: callers ask for more than the endpoints can do, as when a part of them is lost or
//! their caches were emptied by new weights. Let in without a bound, calls wait behind each other
//! until all of them are late, and the endpoints are busy with answers that nobody waits for any
//! more. With a bound some are refused at once and told when to come back, and the others are in
//! time. `docs/design/overload.md` has the figures.

use std::collections::HashMap;

use rand::{Rng, RngExt};
use wisteriahitch_types::{DurationUs, ServiceName};

use crate::site::Route;

/// Longest queue that the most urgent calls join, in multiples of their target. Above it they would
/// certainly be late, and what they displace would be too.
const MOST_URGENT_TARGETS: f64 = 1.0;

/// The same for the least urgent calls. They are refused earlier: prompts that are less urgent are
/// the long ones, and one of them occupies an endpoint for as long as several urgent ones.
const LEAST_URGENT_TARGETS: f64 = 0.9;

/// Shortest wait that a refused caller is told.
const MIN_RETRY_US: DurationUs = DurationUs::from_ms(150);

/// Over this time the returns of refused callers are spread, so that they don't meet again.
const RETRY_SPREAD_US: DurationUs = DurationUs::from_ms(800);

/// One rank among the routes of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UrgencyLevel {
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Shortest target of the routes of this rank and of more urgent ones.
    pub target_us: DurationUs,
}

/// The ranks of each service's routes, the most urgent first.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UrgencyLevels(HashMap<ServiceName, Vec<UrgencyLevel>>);

impl UrgencyLevels {
    /// Gathers the ranks of all routes.
    pub fn of_routes<'a>(routes: impl Iterator<Item = &'a Route>) -> Self {
        let mut by_service: HashMap<ServiceName, Vec<UrgencyLevel>> = HashMap::new();
        for route in routes {
            for (service, _) in &route.targets {
                let levels = by_service.entry(service.clone()).or_default();
                levels.push(UrgencyLevel {
                    priority: route.priority,
                    target_us: route.latency_slo_us,
                });
            }
        }
        for levels in by_service.values_mut() {
            levels.sort_by_key(|level| (level.priority, level.target_us));
            levels.dedup_by_key(|level| level.priority);
            let mut shortest = DurationUs::MAX;
            for level in levels {
                shortest = shortest.min(level.target_us);
                level.target_us = shortest;
            }
        }
        Self(by_service)
    }

    /// Returns the longest queue that a call joins.
    ///
    /// The bound of a call is never above that of a more urgent one. Counted by its own target
    /// alone, a long prompt with a generous target would still be let in where a short urgent one
    /// is refused.
    pub fn longest_queue(
        &self,
        service: &ServiceName,
        priority: u8,
        target_us: DurationUs,
    ) -> DurationUs {
        let levels = self.0.get(service).map_or(&[][..], Vec::as_slice);
        let more_urgent = levels.iter().filter(|level| level.priority < priority);
        let position = more_urgent.clone().count();
        let shortest = more_urgent.map(|level| level.target_us).min();
        let target_us = shortest.map_or(target_us, |shortest| shortest.min(target_us));
        let steps = levels.len().saturating_sub(1).max(1);
        let rank = (position as f64 / steps as f64).min(1.0);
        let targets = MOST_URGENT_TARGETS + (LEAST_URGENT_TARGETS - MOST_URGENT_TARGETS) * rank;
        DurationUs::from_secs_f64(target_us.as_secs_f64() * targets)
    }
}

/// Returns when a caller may come back whose call would have waited `excess_us` too long.
///
/// By then the queue has shrunk to its bound, if no more comes than goes. The returns of those who
/// were refused together are spread.
pub(crate) fn retry_after(excess_us: DurationUs, rng: &mut impl Rng) -> DurationUs {
    let spread = RETRY_SPREAD_US.get();
    excess_us.max(MIN_RETRY_US) + DurationUs::new(rng.random_range(0..spread))
}
