//! Settings of leases.

use serde::Serialize;
use wisteriahitch_types::DurationUs;

/// Times of leases.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LeaseSettings {
    /// Duration of a lease, counted from when its write was sent.
    pub term_us: DurationUs,
    /// Remaining term at or below which the lease is renewed.
    pub renew_before_us: DurationUs,
    /// Maximum timeout of an order.
    pub order_timeout_us: DurationUs,
    /// Unused part at the end of the term, which covers the transfer to the endpoint and clock
    /// drift.
    pub margin_us: DurationUs,
    /// Minimum time between two reads of a lease's object.
    #[serde(rename = "read_us")]
    pub read_interval_us: DurationUs,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            term_us: DurationUs::from_ms(15_000),
            renew_before_us: DurationUs::from_ms(10_000),
            order_timeout_us: DurationUs::from_ms(3_000),
            margin_us: DurationUs::from_ms(500),
            read_interval_us: DurationUs::from_ms(5_000),
        }
    }
}
