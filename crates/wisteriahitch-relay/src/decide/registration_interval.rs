//! How often a daemon lists the registrations of all daemons.
//!
//! Load pattern: daemons find each other by gossip, and the list only repairs what gossip missed.
//! If each daemon of a large fleet listed all registrations every few seconds, the answers would
//! grow with the square of the fleet: at a thousand daemons, a thousand calls and more than 20 MB a
//! second. Hubs list them often, because they hear the daemons whose registrations have to be
//! removed. The others share one rate, whatever their number.

use wisteriahitch_types::DurationUs;

/// Time between two lists of a daemon of a small fleet, or of a hub.
const LIST_INTERVAL_US: DurationUs = DurationUs::from_ms(5_000);

/// Time between two lists of all daemons together that aren't hubs.
const SHARED_INTERVAL_US: DurationUs = DurationUs::from_ms(500);

/// What the time between two lists depends on.
#[derive(Clone, Copy, Debug)]
pub struct RegistrationLister {
    /// Whether the daemon is a hub; in a small fleet all are.
    pub is_hub: bool,
    /// Number of daemons, this one included.
    pub daemons: usize,
}

impl RegistrationLister {
    /// Returns the time between two lists. A daemon that hears no other one lists often, since the
    /// list is all that it has.
    ///
    /// ```
    /// use wisteriahitch_relay::RegistrationLister;
    ///
    /// let lister = RegistrationLister { is_hub: false, daemons: 1_000 };
    /// assert_eq!(lister.interval().as_ms(), 500_000);
    /// ```
    pub fn interval(self) -> DurationUs {
        if self.is_hub || self.daemons <= 1 {
            return LIST_INTERVAL_US;
        }
        let daemons = u64::try_from(self.daemons).unwrap_or(u64::MAX);
        let shared_us = SHARED_INTERVAL_US.get().saturating_mul(daemons);
        DurationUs::new(shared_us).max(LIST_INTERVAL_US)
    }
}
