//! How often a daemon lists the registrations of all daemons.
//!
//! Load pattern: daemons discover each other by gossip, and the listing only repairs what gossip
//! missed. If each daemon of a large fleet listed all registrations every few seconds, the traffic
//! would grow with the square of the fleet size: at a thousand daemons, to a thousand calls and more
//! than 20 MB a second. Hubs list often, because they notice daemons that have failed and remove
//! their registrations. All other daemons together list at a fixed rate.

use wisteriahitch_types::DurationUs;

/// Time between two listings of one daemon in a small fleet, or of a hub.
const LISTING_INTERVAL_US: DurationUs = DurationUs::from_ms(5_000);

/// Time between two listings of all daemons together that aren't hubs.
const FLEET_LISTING_INTERVAL_US: DurationUs = DurationUs::from_ms(500);

/// Returns the time between two listings of one daemon, in a fleet of `daemons` with this one
/// included. In a small fleet every daemon is a hub.
///
/// A daemon that knows no other one lists often, since nothing else connects it to the fleet.
///
/// ```
/// use wisteriahitch_relay::registration_listing_interval;
///
/// assert_eq!(registration_listing_interval(true, 1_000).as_ms(), 5_000);
/// assert_eq!(registration_listing_interval(false, 1_000).as_ms(), 500_000);
/// ```
pub fn registration_listing_interval(is_hub: bool, daemons: usize) -> DurationUs {
    if is_hub || daemons <= 1 {
        return LISTING_INTERVAL_US;
    }
    let daemons = u64::try_from(daemons).unwrap_or(u64::MAX);
    let interval_us = FLEET_LISTING_INTERVAL_US.get().saturating_mul(daemons);
    DurationUs::new(interval_us).max(LISTING_INTERVAL_US)
}
