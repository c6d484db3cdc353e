//! Limits and intervals of the endpoint table.

use wisteriahitch_types::{DurationUs, TokenRate};

/// Limits and intervals of the endpoint table.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointOptions {
    /// Age of the last report after which an endpoint becomes suspect.
    pub suspect_after_us: DurationUs,
    /// Assumed minimum age of a report when it arrives.
    ///
    /// The clocks of two processes can't be compared, so a constant lag can't be measured. If the
    /// value is too small, requests that were just sent are missed; if it is too large, some are
    /// counted twice.
    pub min_report_lag_us: DurationUs,
    /// Number of consecutive failures that ejects an endpoint.
    pub max_consecutive_failures: u32,
    /// Number of refusals without a success in between that ejects an endpoint.
    pub max_consecutive_refusals: u32,
    /// Factor on the service's median slowness above which an endpoint is ejected.
    pub slow_factor: f64,
    /// Margin that the lateness of first tokens must additionally exceed before the endpoint counts
    /// as slow.
    pub slow_margin_us: DurationUs,
    /// Number of first tokens that must be recorded before an endpoint can count as slow.
    pub min_first_token_samples: u32,
    /// Maximum fraction of a service's endpoints that may be ejected at once.
    ///
    /// One always may be, unless it is the last that can be chosen.
    pub max_ejected_fraction: f64,
    /// Duration of the first ejection; each consecutive one lasts twice as long.
    pub base_ejection_us: DurationUs,
    /// Maximum duration of an ejection.
    pub max_ejection_us: DurationUs,
    /// Interval between searches for slow endpoints.
    pub outlier_scan_interval_us: DurationUs,
    /// Prefill rate assumed for an engine that doesn't report one.
    pub default_prefill_tokens_per_s: TokenRate,
    /// Service time assumed for an endpoint at which no request has finished yet.
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
