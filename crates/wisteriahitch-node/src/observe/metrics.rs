//! Metrics in the Prometheus text format.
//!
//! No label contains a workspace, so that one customer's traffic can't be read from a shared page.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};
use wisteriahitch_types::{Code, DurationUs};
use wisteriahitch_wire::platform::CallCounts;

const FIRST_TOKEN_BUCKETS_S: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.6, 3.0, 6.0, 12.0,
];

/// All metrics of a daemon.
pub(crate) struct Metrics {
    registry: Registry,
    /// Requests by kind of path.
    pub(crate) requests: IntCounterVec,
    /// Refusals by code.
    pub(crate) refusals: IntCounterVec,
    /// Attempts at endpoints by outcome.
    pub(crate) attempts: IntCounterVec,
    /// Tokens received from endpoints but not relayed, by reason.
    pub(crate) dropped_tokens: IntCounterVec,
    /// Prompt tokens of requests whose first token has arrived.
    pub(crate) prompt_tokens: IntCounter,
    /// Prompt tokens that the endpoint served from its cache.
    pub(crate) cached_tokens: IntCounter,
    /// Block transfers by outcome.
    pub(crate) transfers: IntCounterVec,
    /// Platform calls by kind, as counted by the platform client.
    platform_calls: IntGaugeVec,
    /// Completions that are running.
    pub(crate) streams: IntGauge,
    /// Version of the active configuration.
    pub(crate) config_version: IntGauge,
    /// Time from a request's arrival to its first token, in seconds.
    pub(crate) first_token_s: Histogram,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    ///
    /// Fails if two metrics have the same name.
    pub(crate) fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let metrics = Self {
            requests: counters(&registry, "requests_total", "Requests by path.", "path")?,
            refusals: counters(&registry, "refusals_total", "Refusals by code.", "code")?,
            attempts: counters(
                &registry,
                "attempts_total",
                "Attempts by outcome.",
                "outcome",
            )?,
            dropped_tokens: counters(
                &registry,
                "dropped_tokens_total",
                "Tokens that were not passed on, by reason.",
                "reason",
            )?,
            prompt_tokens: counter(&registry, "prompt_tokens_total", "Prompt tokens asked for.")?,
            cached_tokens: counter(
                &registry,
                "cached_tokens_total",
                "Prompt tokens that were not computed again.",
            )?,
            transfers: counters(
                &registry,
                "transfers_total",
                "Block transfers by outcome.",
                "outcome",
            )?,
            platform_calls: gauges(&registry, "platform_calls", "Platform calls.", "kind")?,
            streams: gauge(&registry, "streams", "Answers that run now.")?,
            config_version: gauge(&registry, "config_version", "Configuration in force.")?,
            first_token_s: first_token_histogram(&registry)?,
            registry,
        };
        Ok(metrics)
    }

    /// Counts a refusal.
    pub(crate) fn count_refusal(&self, code: Code) {
        self.refusals.with_label_values(&[&code.to_string()]).inc();
    }

    /// Records the time to the first token of a completion.
    pub(crate) fn observe_first_token(&self, span_us: DurationUs) {
        self.first_token_s.observe(span_us.as_secs_f64());
    }

    /// Sets the platform call metrics to the platform client's counts.
    pub(crate) fn set_platform_calls(&self, counts: &CallCounts) {
        let kinds = [
            ("read", counts.reads),
            ("write", counts.writes),
            ("watch", counts.watches),
            ("over_budget", counts.over_budget),
        ];
        for (kind, count) in kinds {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.platform_calls.with_label_values(&[kind]).set(count);
        }
    }

    /// Renders the metrics page.
    pub(crate) fn render(&self) -> Vec<u8> {
        let mut page = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut page) {
            log::warn!("the metrics can't be rendered: {error}");
        }
        page
    }
}

fn full_name(name: &str) -> String {
    format!("wisteriahitch_{name}")
}

fn counter(registry: &Registry, name: &str, help: &str) -> prometheus::Result<IntCounter> {
    let counter = IntCounter::new(full_name(name), help)?;
    registry.register(Box::new(counter.clone()))?;
    Ok(counter)
}

fn counters(
    registry: &Registry,
    name: &str,
    help: &str,
    label: &str,
) -> prometheus::Result<IntCounterVec> {
    let counters = IntCounterVec::new(Opts::new(full_name(name), help), &[label])?;
    registry.register(Box::new(counters.clone()))?;
    Ok(counters)
}

fn gauges(
    registry: &Registry,
    name: &str,
    help: &str,
    label: &str,
) -> prometheus::Result<IntGaugeVec> {
    let gauges = IntGaugeVec::new(Opts::new(full_name(name), help), &[label])?;
    registry.register(Box::new(gauges.clone()))?;
    Ok(gauges)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> prometheus::Result<IntGauge> {
    let gauge = IntGauge::new(full_name(name), help)?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}

fn first_token_histogram(registry: &Registry) -> prometheus::Result<Histogram> {
    let options = HistogramOpts::new(full_name("first_token_seconds"), "Time to the first token.")
        .buckets(FIRST_TOKEN_BUCKETS_S.to_vec());
    let histogram = Histogram::with_opts(options)?;
    registry.register(Box::new(histogram.clone()))?;
    Ok(histogram)
}
