//! Bounds and intervals of the endpoint table.

use wisteriahitch_types::{DurationUs, TokenRate};

/// Holds the bounds by which endpoints are judged.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointOptions {
    /// Reports missing for so long make an endpoint suspect.
    pub suspect_after_us: DurationUs,
    /// Age that a report has at the least when it arrives.
    ///
    /// The clocks of two processes can't be compared, so that a constant lag can't be seen. Too
    /// small a value loses requests that were just sent; too large a one counts some twice.
    pub min_report_lag_us: DurationUs,
    /// So many failures in a row eject an endpoint.
    pub max_consecutive_failures: u32,
    /// So many refusals in a row, with no good answer between, eject an endpoint.
    pub max_consecutive_refusals: u32,
    /// First tokens so many times as slow as the service's median eject an endpoint.
    pub slow_factor: f64,
    /// First tokens must be late by so much more than the median's before that counts.
    pub slow_margin_us: DurationUs,
    /// First tokens that must have been seen before an endpoint may count as slow.
    pub min_first_token_samples: u32,
    /// Largest part of a service's endpoints that may be ejected at once; one always may, unless
    /// it is the last that takes work.
    pub max_ejected_fraction: f64,
    /// Length of the first ejection; each further one in a row doubles it.
    pub base_ejection_us: DurationUs,
    /// Length that no ejection exceeds.
    pub max_ejection_us: DurationUs,
    /// How often slow endpoints are looked for.
    pub outlier_scan_interval_us: DurationUs,
    /// Speed of reading prompts of an engine that doesn't report one.
    pub default_prefill_tokens_per_s: TokenRate,
    /// Time that a request takes at an endpoint of which none has finished yet.
    pub default_service_time_us: DurationUs,
}

impl Default for EndpointOptions {
    fn default() -> Self {
        Self {
            suspect_after_us: DurationUs::from_ms(5_000),
            min_report_lag_us: DurationUs::from_ms(100),
            max_consecutive_failures: 5,
            max_consecutive_refusals: 20,
            slow_factor: 3.0,
            slow_margin_us: DurationUs::from_ms(50),
            min_first_token_samples: 10,
            max_ejected_fraction: 0.3,
            base_ejection_us: DurationUs::from_ms(10_000),
            max_ejection_us: DurationUs::from_ms(300_000),
            outlier_scan_interval_us: DurationUs::from_ms(1_000),
            default_prefill_tokens_per_s: TokenRate::new(4_000),
            default_service_time_us: DurationUs::from_ms(50),
        }
    }
}
