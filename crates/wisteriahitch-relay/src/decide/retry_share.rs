//! A daemon's share of the retries that all daemons together may save up.
//!
//! Load pattern: a thousand daemons receive a call every few seconds each, and some calls fail. The
//! slack amounts to about one retry per daemon, and a fraction of a retry can't be used. Therefore
//! shares are whole numbers.

use std::net::Ipv4Addr;

use wisteriahitch_core::fleet::Rendezvous;

/// Fraction of the slack that is divided into shares. The rest covers the deviation of rounded shares
/// from their expected sum, and an inexact count of daemons.
const SHARED_FRACTION: f64 = 0.9;

/// Returns how many retries a daemon may save up: its equal share of `slack` as a whole number.
///
/// The share is rounded up on some daemons, chosen by a hash of their addresses, and down on the
/// others, so that the expected sum of all shares is the divided slack.
///
/// ```
/// use wisteriahitch_relay::max_saved_retries;
///
/// let ip = "10.0.0.1".parse().expect("an address");
/// assert!((6..=7).contains(&max_saved_retries(56.0, 8, ip)));
/// ```
pub fn max_saved_retries(slack: f64, daemons: usize, me: Ipv4Addr) -> u32 {
    let share = slack.max(0.0) * SHARED_FRACTION / daemons.max(1) as f64;
    let position = Rendezvous::new("retries", "").score(&me.octets()) as f64 / u64::MAX as f64;
    share as u32 + u32::from(position < share.fract())
}
