//! Load shedding: how long a queue may be before calls are refused.
//!
//! Callers may ask for more than the endpoints can serve, for example when some endpoints are lost
//! or new weights have emptied their caches. Without a bound, calls queue up until all of them are
//! late, and the endpoints are busy with answers that nobody waits for any more. With a bound, some
//! calls are refused at once with the time to retry after, and the others are on time.
//! `docs/design/overload.md` has the figures.

use std::collections::HashMap;

use rand::{Rng, RngExt};
use wisteriahitch_types::{DurationUs, ServiceName};

use crate::site::Route;

/// Maximum queue that the most urgent calls join, in multiples of their target. Behind a longer one
/// they would certainly be late, and so would the calls that they displace.
const MOST_URGENT_QUEUE_TARGETS: f64 = 1.0;

/// Maximum queue that the least urgent calls join, in multiples of their target. They are refused
/// earlier, because less urgent prompts are the long ones, and one of them occupies an endpoint for
/// as long as several urgent ones.
const LEAST_URGENT_QUEUE_TARGETS: f64 = 0.9;

/// Maximum queue that the least urgent calls join where load is managed, in multiples of their target.
/// Shares keep the queue short; where they lag behind, more urgent calls need the rest of the time.
const LEAST_URGENT_MANAGED_TARGETS: f64 = 0.5;

/// Part of the shortest target that endpoints should need for what they have been sent, where load is
/// managed. The most urgent calls go first at an endpoint, so that they are in time behind as much, and the
/// endpoints have work until daemons receive new reports.
const WANTED_BACKLOG_TARGETS: f64 = 1.0;

/// Minimum time after which a refused caller is told to retry.
const MIN_RETRY_AFTER_US: DurationUs = DurationUs::from_ms(150);

/// Range of the random delay added to the retry times of refused callers, so that they don't return
/// all at once.
const RETRY_JITTER_US: DurationUs = DurationUs::from_ms(800);

/// One priority among the routes of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UrgencyLevel {
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Shortest target of the routes of this priority and of more urgent ones.
    pub target_us: DurationUs,
}

/// The priorities of each service's routes, the most urgent first.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UrgencyLevels(HashMap<ServiceName, Vec<UrgencyLevel>>);

impl UrgencyLevels {
    /// Collects the priorities of all routes.
    pub fn from_routes<'a>(routes: impl Iterator<Item = &'a Route>) -> Self {
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

    /// Returns the maximum queue that a call joins.
    ///
    /// The bound of a call never exceeds that of a more urgent one. With a bound derived from its
    /// own target alone, a long prompt with a generous target would be accepted where a short
    /// urgent one is refused.
    pub fn max_queue(
        &self,
        service: &ServiceName,
        priority: u8,
        target_us: DurationUs,
    ) -> DurationUs {
        self.queue_bound(service, priority, target_us, LEAST_URGENT_QUEUE_TARGETS)
    }

    /// Returns the maximum queue that a call joins where load is managed: the less urgent the call,
    /// the shorter.
    pub fn max_managed_queue(
        &self,
        service: &ServiceName,
        priority: u8,
        target_us: DurationUs,
    ) -> DurationUs {
        self.queue_bound(service, priority, target_us, LEAST_URGENT_MANAGED_TARGETS)
    }

    /// Returns the time that the endpoints of a service should need for what they have been sent.
    pub fn wanted_backlog(&self, service: &ServiceName) -> DurationUs {
        let levels = self.0.get(service).map_or(&[][..], Vec::as_slice);
        let shortest = levels.iter().map(|level| level.target_us).min();
        let target_s = shortest.unwrap_or_default().as_secs_f64();
        DurationUs::from_secs_f64(target_s * WANTED_BACKLOG_TARGETS)
    }

    fn queue_bound(
        &self,
        service: &ServiceName,
        priority: u8,
        target_us: DurationUs,
        least_urgent_targets: f64,
    ) -> DurationUs {
        let levels = self.0.get(service).map_or(&[][..], Vec::as_slice);
        let more_urgent = levels.iter().filter(|level| level.priority < priority);
        let position = more_urgent.clone().count();
        let shortest = more_urgent.map(|level| level.target_us).min();
        let target_us = shortest.map_or(target_us, |shortest| shortest.min(target_us));
        let steps = levels.len().saturating_sub(1).max(1);
        let rank = (position as f64 / steps as f64).min(1.0);
        let targets =
            MOST_URGENT_QUEUE_TARGETS + (least_urgent_targets - MOST_URGENT_QUEUE_TARGETS) * rank;
        DurationUs::from_secs_f64(target_us.as_secs_f64() * targets)
    }
}

/// Returns when a caller whose call would have waited `excess_us` too long may retry.
///
/// By then the queue has shrunk to its bound if calls arrive no faster than they finish. A random
/// delay spreads the retries of callers that were refused at the same time.
pub(crate) fn retry_after(excess_us: DurationUs, rng: &mut impl Rng) -> DurationUs {
    let jitter = RETRY_JITTER_US.get();
    excess_us.max(MIN_RETRY_AFTER_US) + DurationUs::new(rng.random_range(0..jitter))
}
