//! When a daemon asks the platform's store again that didn't answer.
//!
//! Load pattern: the store is away for seconds, and every daemon of a large fleet asks it again and again.
//! Each call is paid for, also a refused one, and when the store is back all of them come at once. In an
//! outage only the daemons that follow the store for others need to ask often: once one of them is
//! answered, the rest hear of it. The rest ask too, since the store may turn away just those that follow
//! it, but so seldom that together they ask at a bounded rate.

use wisteriahitch_types::DurationUs;

/// Pauses after a call failed, from the first one on.
const BACKOFFS_US: [DurationUs; 4] = [
    DurationUs::from_ms(100),
    DurationUs::from_ms(200),
    DurationUs::from_ms(400),
    DurationUs::from_ms(800),
];

/// Time between two calls of all daemons together that only hear of the store, for each kind of object:
/// twenty a second, about as many as a dozen daemons that follow it ask.
const INDIRECT_CALL_INTERVAL_US: DurationUs = DurationUs::from_ms(50);

/// Longest pause, so that a daemon that nobody tells anything isn't left alone for good.
const MAX_BACKOFF_US: DurationUs = DurationUs::from_ms(10_000);

/// Returns the pause after a call failed for the `failures`-th time in a row, counted from 0.
///
/// `hears` says whether the daemon hears of the store from others in ordinary times, and has heard all it
/// needs to serve; `daemons` counts the fleet.
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
