//! A daemon's part of the retries that all daemons together may save up.
//!
//! Load pattern: a thousand daemons send a call every three seconds each, some calls fail, and the
//! common slack is about one retry a daemon. A part that is a fraction of a retry can't be used, and
//! a daemon that starts with nothing saved refuses its first retries although the fleet has made
//! none. So the parts are whole, and a new daemon starts with its part.

use std::net::Ipv4Addr;

use wisteriahitch_core::fleet::Rendezvous;

/// Fraction of the slack that the parts take together. The rest covers the spread of whole parts,
/// and a number of daemons that isn't known exactly.
const DIVIDED_FRACTION: f64 = 0.9;

/// Returns how many retries a daemon may save up: its equal part of `slack`, rounded up for as many
/// daemons, chosen by the hash of their addresses, as the fraction says, and down for the others.
///
/// ```
/// use wisteriahitch_relay::saved_retries;
///
/// let ip = "10.0.0.1".parse().expect("an address");
/// assert!((6..=7).contains(&saved_retries(56.0, 8, ip)));
/// ```
pub fn saved_retries(slack: f64, daemons: usize, me: Ipv4Addr) -> u32 {
    let part = slack.max(0.0) * DIVIDED_FRACTION / daemons.max(1) as f64;
    let position = Rendezvous::new("retries", "").score(&me.octets()) as f64 / u64::MAX as f64;
    let is_rounded_up = position < part.fract();
    part as u32 + u32::from(is_rounded_up)
}
