//! Metrics of what the endpoints of each service can do, as learned from their answers.

use prometheus::{GaugeVec, Opts, Registry};
use wisteriahitch_types::ServiceName;

use super::BoundedLabel;
use crate::decide::engine_rates::{PaceLesson, ServicePace};

/// Maximum number of services with series of their own. A site has a few.
const MAX_SERVICES: usize = 12;

/// Gauges of the learned rates by service.
#[derive(Debug)]
pub(crate) struct PaceMetrics {
    services: BoundedLabel,
    first_event_fixed_s: GaugeVec,
    read_tokens_per_s: GaugeVec,
    plain_call_s: GaugeVec,
}

impl PaceMetrics {
    /// Creates and registers the gauges.
    pub(super) fn register(registry: &Registry) -> prometheus::Result<Self> {
        let gauge = |name: &str, help: &str| {
            let gauges = GaugeVec::new(Opts::new(name, help), &["service"])?;
            registry.register(Box::new(gauges.clone()))?;
            Ok::<_, prometheus::Error>(gauges)
        };
        Ok(Self {
            services: BoundedLabel::new(MAX_SERVICES),
            first_event_fixed_s: gauge(
                "relay_first_event_fixed_seconds",
                "Learned time of a first event without reading or other requests.",
            )?,
            read_tokens_per_s: gauge(
                "relay_read_tokens_per_second",
                "Learned rate at which an engine reads prompt tokens.",
            )?,
            plain_call_s: gauge(
                "relay_plain_call_seconds",
                "Learned time of a call to a service without engines.",
            )?,
        })
    }

    /// Sets what the endpoints of a service can do, as far as a lesson tells it.
    pub(crate) fn record(&self, service: &ServiceName, lesson: PaceLesson, pace: &ServicePace) {
        let label = [self.services.value(service.as_str())];
        let set = |gauge: &GaugeVec, value| gauge.with_label_values(&label).set(value);
        match lesson {
            PaceLesson::Engine { .. } => {
                set(&self.first_event_fixed_s, pace.fixed_ms / 1_000.0);
                set(&self.read_tokens_per_s, pace.read_tokens_per_ms * 1_000.0);
            }
            PaceLesson::Plain { .. } => set(&self.plain_call_s, pace.plain_call_ms / 1_000.0),
        }
    }
}
