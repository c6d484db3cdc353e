//! When a daemon retries a failed call to the platform's store.
//!
//! Load pattern: the store is unavailable for seconds, and every daemon of a large fleet calls it
//! again and again. Each call is charged, even a refused one, and when the store is back all
//! daemons call at once. During an outage only the daemons that follow the store for others need to
//! retry often: once one of them gets an answer, the others receive its updates. The others retry
//! too, since the store may reject just the daemons that follow it, but so rarely that their total
//! rate is bounded.

use std::ops::Range;

use wisteriahitch_types::DurationUs;

/// Backoff by number of consecutive failures; the last one applies to all further failures.
const BACKOFFS_US: [DurationUs; 4] = [
    DurationUs::from_ms(100),
    DurationUs::from_ms(200),
    DurationUs::from_ms(400),
    DurationUs::from_ms(800),
];

/// Random factor of a backoff, so that daemons that failed together don't call together.
pub const BACKOFF_JITTER: Range<f64> = 0.8..1.2;

/// Interval between two calls of all daemons together that only receive updates about the store,
/// for each kind of object: 20 calls per second, about as many as a dozen following daemons make.
const INDIRECT_CALL_INTERVAL_US: DurationUs = DurationUs::from_ms(50);

/// Maximum backoff, so that a daemon that receives no updates does not stay without the store for
/// good.
const MAX_BACKOFF_US: DurationUs = DurationUs::from_ms(10_000);

/// Returns the backoff after the `failures`-th consecutive failure, counted from 0.
///
/// `receives_updates` is whether the daemon currently receives updates about the store from a hub and
/// has everything that it needs to serve; `daemons` is the size of the fleet. Without such a hub,
/// the daemon's own calls are its only source of changes, so they must be frequent.
pub fn store_retry_backoff(failures: usize, receives_updates: bool, daemons: usize) -> DurationUs {
    let direct_backoff_us = BACKOFFS_US[failures.min(BACKOFFS_US.len() - 1)];
    if !receives_updates {
        return direct_backoff_us;
    }
    let daemons = u64::try_from(daemons).unwrap_or(u64::MAX);
    let indirect_backoff_us =
        DurationUs::new(INDIRECT_CALL_INTERVAL_US.get().saturating_mul(daemons));
    direct_backoff_us
        .max(indirect_backoff_us)
        .min(MAX_BACKOFF_US)
}
