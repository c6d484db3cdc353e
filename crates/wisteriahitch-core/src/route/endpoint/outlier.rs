//! Counters that detect an endpoint that fails, refuses or is slower than its service.

use serde::Serialize;
use wisteriahitch_types::{DurationUs, TimeUs};

use super::{EndpointOptions, Slowness};

/// Maximum number of times that the ejection time is doubled.
const MAX_EJECTION_DOUBLINGS: u32 = 16;

/// The outlier counters of one endpoint.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct OutlierCounters {
    /// Consecutive failures since the last success.
    pub(crate) failures_in_row: u32,
    /// Consecutive refusals since the last success.
    pub(crate) refusals_in_row: u32,
    /// Moving means of how late first tokens are.
    pub(crate) slowness: Slowness,
    /// Number of first tokens recorded since the last ejection.
    pub(crate) samples: u32,
    /// Consecutive ejections without a successful probe in between.
    pub(crate) ejections_in_row: u32,
    /// End of the current ejection; `None` while not ejected.
    pub(crate) ejected_until_us: Option<TimeUs>,
    /// Whether the endpoint gets one request at a time, after an ejection, until one succeeds.
    pub(crate) is_probing: bool,
}

impl OutlierCounters {
    /// Records a first token that took `actual`, where `expected` had been estimated.
    pub(crate) fn record_first_token(&mut self, actual: DurationUs, expected: DurationUs) {
        let sample = Slowness::from_sample(actual, expected);
        self.slowness = match self.samples {
            0 => sample,
            _ => self.slowness.updated_with(sample),
        };
        self.samples = self.samples.saturating_add(1);
    }

    /// Records a successful attempt, which also ends the probing.
    pub(crate) fn record_success(&mut self) {
        self.failures_in_row = 0;
        self.refusals_in_row = 0;
        if self.is_probing {
            self.is_probing = false;
            self.ejections_in_row = 0;
        }
    }

    /// Records a failure and returns whether the endpoint should be ejected.
    ///
    /// A single failure is enough while the endpoint is probed.
    pub(crate) fn record_failure(&mut self, options: &EndpointOptions) -> bool {
        self.failures_in_row = self.failures_in_row.saturating_add(1);
        self.is_probing || self.failures_in_row >= options.max_consecutive_failures
    }

    /// Records a refusal and returns whether the endpoint should be ejected.
    pub(crate) fn record_refusal(&mut self, options: &EndpointOptions) -> bool {
        self.refusals_in_row = self.refusals_in_row.saturating_add(1);
        self.refusals_in_row >= options.max_consecutive_refusals
    }

    /// Returns whether the endpoint is slow compared with the `median` of its service.
    pub(crate) fn is_slow(&self, median: Slowness, options: &EndpointOptions) -> bool {
        self.samples >= options.min_first_token_samples
            && self.slowness.is_far_above(median, options)
    }

    /// Starts an ejection at `now`; each consecutive one lasts twice as long, up to a maximum.
    pub(crate) fn eject(&mut self, options: &EndpointOptions, now: TimeUs) {
        let doublings = self.ejections_in_row.min(MAX_EJECTION_DOUBLINGS);
        let duration_us = options
            .base_ejection_us
            .get()
            .saturating_mul(1 << doublings);
        let duration = DurationUs::new(duration_us).min(options.max_ejection_us);
        self.ejected_until_us = Some(now + duration);
        self.ejections_in_row = self.ejections_in_row.saturating_add(1);
        self.samples = 0;
        self.is_probing = false;
    }

    /// Ends an ejection: from now on the endpoint gets one request at a time until one succeeds.
    pub(crate) fn begin_probing(&mut self) {
        self.ejected_until_us = None;
        self.failures_in_row = 0;
        self.refusals_in_row = 0;
        self.is_probing = true;
    }
}
