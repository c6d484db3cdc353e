//! Outlier detection: ejects endpoints that fail more often than the others of their service.

use wisteriahitch_types::{DurationUs, TimeUs};

/// Options of outlier ejection.
#[derive(Clone, Copy, Debug)]
pub struct OutlierOptions {
    /// Weight of the newest outcome in the moving failure rate.
    pub sample_weight: f64,
    /// Failure rate above which an endpoint is ejected. Two failures in a row exceed it.
    pub max_failure_rate: f64,
    /// Duration of the first ejection; each further one in a row lasts twice as long.
    pub first_ejection_us: DurationUs,
    /// Maximum duration of an ejection.
    pub max_ejection_us: DurationUs,
}

impl Default for OutlierOptions {
    fn default() -> Self {
        Self {
            sample_weight: 0.2,
            max_failure_rate: 0.35,
            first_ejection_us: DurationUs::from_ms(1_000),
            max_ejection_us: DurationUs::from_ms(4_000),
        }
    }
}

/// Moving failure rate and ejection of one endpoint.
///
/// Only outcomes of requests count, not the endpoint's own health reports: an endpoint that fails
/// half of its requests may report itself as healthy, and callers would go on losing every second
/// request.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutlierDetector {
    failure_rate: f64,
    ejections_in_row: u32,
    ejected_until_us: Option<TimeUs>,
    probe_since_us: Option<TimeUs>,
}

/// Time without an outcome of a probe after which another request may probe an ejected endpoint.
const PROBE_TIMEOUT_US: DurationUs = DurationUs::from_ms(1_000);

impl OutlierDetector {
    /// Records a successful request, and returns whether it ended an ejection.
    pub fn record_success(&mut self, options: &OutlierOptions) -> bool {
        self.failure_rate *= 1.0 - options.sample_weight;
        let was_ejected = self.ejected_until_us.take().is_some();
        self.probe_since_us = None;
        if was_ejected {
            self.failure_rate = 0.0;
        } else if self.failure_rate < options.sample_weight / 2.0 {
            self.ejections_in_row = 0;
        }
        was_ejected
    }

    /// Records a failed request, and returns whether it ejected the endpoint.
    pub fn record_failure(&mut self, options: &OutlierOptions, now: TimeUs) -> bool {
        let retained_weight = 1.0 - options.sample_weight;
        self.failure_rate = self.failure_rate * retained_weight + options.sample_weight;
        self.probe_since_us = None;
        let is_ejected = self.ejected_until_us.is_some();
        if !is_ejected && self.failure_rate <= options.max_failure_rate {
            return false;
        }
        self.eject(options, now);
        !is_ejected
    }

    /// Ejects the endpoint regardless of its failure rate, for example after a refused connection.
    pub fn eject(&mut self, options: &OutlierOptions, now: TimeUs) {
        let doublings = self.ejections_in_row.min(8);
        let ejection_us = options.first_ejection_us.get() << doublings;
        let ejection_us = DurationUs::new(ejection_us).min(options.max_ejection_us);
        self.ejected_until_us = Some(now + ejection_us);
        self.ejections_in_row += 1;
    }

    /// Returns whether the endpoint should get no requests now. After an ejection only one request
    /// at a time probes the endpoint, until a success ends the ejection.
    pub fn is_ejected(&self, now: TimeUs) -> bool {
        let Some(until) = self.ejected_until_us else {
            return false;
        };
        let is_probed = |since: TimeUs| now.since(since) < PROBE_TIMEOUT_US;
        until > now || self.probe_since_us.is_some_and(is_probed)
    }

    /// Records that a request was sent. After an ejection this request is the probe.
    pub fn record_sent(&mut self, now: TimeUs) {
        if self.ejected_until_us.is_some() {
            self.probe_since_us = Some(now);
        }
    }

    /// Returns the moving failure rate, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}
