//! Metrics; `docs/METRICS.md` explains each.

use prometheus::{
    Gauge, GaugeVec, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

use super::pace_metrics::PaceMetrics;
use super::{BoundedLabel, CallEnded, ProcessUsage};

/// Bounds of the latency buckets in seconds, from a call that is answered at once to the longest
/// route.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.15, 0.3, 0.4, 0.8, 1.6, 3.2, 8.0, 15.0,
];

/// Bounds of the buckets for the time between two events of a stream, in seconds.
const GAP_BUCKETS_S: [f64; 8] = [0.01, 0.025, 0.052, 0.1, 0.2, 0.4, 1.0, 2.0];

/// Maximum number of routes with series of their own. A site has about twenty, a large one some
/// hundred.
const MAX_ROUTES: usize = 64;

/// Maximum number of workspaces with series of their own.
const MAX_WORKSPACES: usize = 64;

/// All metrics of a daemon.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Calls by kind and outcome.
    pub(crate) calls: IntCounterVec,
    /// Time to the first event or to the answer, by kind.
    pub(crate) first_event_s: HistogramVec,
    /// Time between two events of a stream.
    pub(crate) event_gap_s: Histogram,
    /// Estimated wait for earlier calls at the endpoint when a call is placed, in seconds.
    pub(crate) queue_s: Histogram,
    route_calls: IntCounterVec,
    routes: BoundedLabel,
    workspace_calls: IntCounterVec,
    workspaces: BoundedLabel,
    resident_bytes: IntGauge,
    descriptors: IntGauge,
    tasks: IntGauge,
    /// Refusals by code.
    pub(crate) refusals: IntCounterVec,
    /// Attempts by outcome.
    pub(crate) attempts: IntCounterVec,
    /// Retries by whether the retry budget allowed them.
    pub(crate) retries: IntCounterVec,
    /// Loans of room at brittle endpoints, by outcome.
    pub(crate) room_lending: IntCounterVec,
    /// Retries that daemons lend to each other, by outcome.
    pub(crate) retry_lending: IntCounterVec,
    /// Streams that callers resume, by who knew where they had begun, or why they are refused.
    pub(crate) stream_resumes: IntCounterVec,
    /// Connections to endpoints, by whether they were opened, reused or failed.
    pub(crate) connections: IntCounterVec,
    /// Requests of other daemons to forward a connection, by outcome.
    pub(crate) forward_requests: IntCounterVec,
    /// Connections that this daemon forwards for others.
    pub(crate) forwarded_connections: IntGauge,
    /// Endpoints by state.
    pub(crate) endpoints: IntGaugeVec,
    /// Calls in flight.
    pub(crate) in_flight: IntGauge,
    /// Calls to the store by kind and result.
    pub(crate) store_calls: IntCounterVec,
    /// Objects that couldn't be decoded, by kind and reason.
    pub(crate) unreadable_objects: IntCounterVec,
    /// Crashes of endpoints with calls of this daemon in flight, by kind of evidence.
    pub(crate) endpoint_crashes: IntCounterVec,
    /// Blocked requests.
    pub(crate) blocked_requests: IntGauge,
    /// Availability zones that are evacuated.
    pub(crate) evacuated_zones: IntGauge,
    /// Services whose endpoints are brittle.
    pub(crate) brittle_services: IntGauge,
    /// Endpoints that are still cold and get only few calls.
    pub(crate) cold_endpoints: IntGauge,
    /// Endpoints that state a rate limit.
    pub(crate) limited_endpoints: IntGauge,
    /// Endpoints that stated in an answer that they are leaving.
    pub(crate) leaving_endpoints: IntGauge,
    /// Endpoints that want no calls from this daemon for a while.
    pub(crate) resting_endpoints: IntGauge,
    /// Statements of endpoints about themselves that can't be parsed, by statement.
    pub(crate) malformed_statements: IntCounterVec,
    /// What the endpoints of each service can do.
    pub(crate) pace: PaceMetrics,
    /// Figures in messages of other daemons that are out of range, by what they are of.
    pub(crate) invalid_peer_figures: IntCounterVec,
    /// Calls refused because their rank or workspace has had its share, by priority.
    pub(crate) share_refusals: IntCounterVec,
    /// Orders by outcome.
    pub(crate) orders: IntCounterVec,
    /// Time by which a rollout is expected to miss its bound, in seconds; 0 if it is on time.
    pub(crate) rollout_late_s: Gauge,
    /// Prompt tokens that were cached, fetched, or had to be read.
    pub(crate) prompt_tokens: IntCounterVec,
    /// Version of the configuration in force.
    pub(crate) config_version: IntGauge,
    pub(crate) store_epoch: IntGauge,
    /// Time since the store was last known to have nothing newer of a kind, in seconds.
    pub(crate) store_age_s: GaugeVec,
    /// Log lines that were dropped because of the budget or a slow reader.
    pub(crate) dropped_lines: IntCounter,
}

impl Metrics {
    /// Creates and registers all metrics.
    pub(crate) fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let counters =
            |name: &str, help: &str, labels: &[&str]| counters(&registry, name, help, labels);
        let gauge = |name: &str, help: &str| gauge(&registry, name, help);
        let histogram =
            |name: &str, help: &str, buckets: &[f64]| histogram(&registry, name, help, buckets);
        let dropped_lines = IntCounter::new(
            "relay_log_dropped_lines_total",
            "Log lines that were left out.",
        )?;
        registry.register(Box::new(dropped_lines.clone()))?;
        Ok(Self {
            calls: counters(
                "relay_calls_total",
                "Calls that ended.",
                &["kind", "outcome"],
            )?,
            event_gap_s: histogram(
                "relay_event_gap_seconds",
                "Pauses between two events of a stream.",
                &GAP_BUCKETS_S,
            )?,
            queue_s: histogram(
                "relay_queue_seconds",
                "Estimated wait for the work of others.",
                &LATENCY_BUCKETS_S,
            )?,
            route_calls: counters(
                "relay_route_calls_total",
                "Calls that ended, by route.",
                &["route", "outcome"],
            )?,
            routes: BoundedLabel::new(MAX_ROUTES),
            workspace_calls: counters(
                "relay_workspace_calls_total",
                "Calls that ended, by workspace.",
                &["workspace", "outcome"],
            )?,
            workspaces: BoundedLabel::new(MAX_WORKSPACES),
            resident_bytes: gauge("relay_resident_bytes", "Memory of the process.")?,
            descriptors: gauge("relay_descriptors", "Open descriptors.")?,
            tasks: gauge("relay_tasks", "Tasks of the runtime.")?,
            refusals: counters("relay_refusals_total", "Refusals.", &["code"])?,
            attempts: counters("relay_attempts_total", "Attempts.", &["outcome"])?,
            retries: counters("relay_retries_total", "Retries asked for.", &["granted"])?,
            room_lending: room_lending(&registry)?,
            retry_lending: retry_lending(&registry)?,
            stream_resumes: stream_resumes(&registry)?,
            connections: counters("relay_connections_total", "Connections.", &["how"])?,
            forward_requests: forward_requests(&registry)?,
            forwarded_connections: forwarded_connections(&registry)?,
            in_flight: gauge("relay_calls_in_flight", "Calls under way.")?,
            store_calls: store_calls(&registry)?,
            unreadable_objects: unreadable_objects(&registry)?,
            endpoint_crashes: endpoint_crashes(&registry)?,
            blocked_requests: gauge("relay_blocked_requests", "Blocked requests and parts.")?,
            brittle_services: gauge("relay_brittle_services", "Services with brittle endpoints.")?,
            cold_endpoints: gauge("relay_cold_endpoints", "Cold endpoints.")?,
            limited_endpoints: limited_endpoints(&registry)?,
            leaving_endpoints: leaving_endpoints(&registry)?,
            resting_endpoints: resting_endpoints(&registry)?,
            malformed_statements: malformed_statements(&registry)?,
            pace: PaceMetrics::register(&registry)?,
            invalid_peer_figures: invalid_peer_figures(&registry)?,
            share_refusals: share_refusals(&registry)?,
            evacuated_zones: gauge("relay_evacuated_zones", "Evacuated zones.")?,
            orders: counters("relay_orders_total", "Orders.", &["outcome"])?,
            prompt_tokens: counters("relay_prompt_tokens_total", "Prompt tokens.", &["how"])?,
            config_version: gauge("relay_config_version", "Configuration in force.")?,
            store_epoch: gauge("relay_store_epoch", "Epoch of the platform's store.")?,
            first_event_s: first_event_s(&registry)?,
            endpoints: endpoints(&registry)?,
            store_age_s: store_age_s(&registry)?,
            rollout_late_s: rollout_late_s(&registry)?,
            dropped_lines,
            registry,
        })
    }

    /// Counts a call that has ended.
    pub(crate) fn record_call(&self, ended: &CallEnded) {
        let outcome = ended.outcome;
        self.calls.with_label_values(&[ended.kind, outcome]).inc();
        let route = self.routes.value(&ended.route);
        self.route_calls.with_label_values(&[route, outcome]).inc();
        let workspace = self.workspaces.value(&ended.workspace);
        let labels = [workspace, outcome];
        self.workspace_calls.with_label_values(&labels).inc();
    }

    /// Encodes all metrics in the text format.
    pub(crate) fn text(&self) -> String {
        let usage = ProcessUsage::read();
        self.resident_bytes.set(usage.resident_bytes);
        self.descriptors.set(usage.descriptors);
        let tasks = tokio::runtime::Handle::current()
            .metrics()
            .num_alive_tasks();
        self.tasks.set(i64::try_from(tasks).unwrap_or(i64::MAX));
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_else(|error| format!("# {error}\n"))
    }
}

fn counters(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> prometheus::Result<IntCounterVec> {
    let vec = IntCounterVec::new(Opts::new(name, help), labels)?;
    registry.register(Box::new(vec.clone()))?;
    Ok(vec)
}

fn endpoint_crashes(registry: &Registry) -> prometheus::Result<IntCounterVec> {
    let help = "Crashes of endpoints with calls on board.";
    counters(registry, "relay_endpoint_crashes_total", help, &["proof"])
}

fn room_lending(registry: &Registry) -> prometheus::Result<IntCounterVec> {
    let help = "Loans of room at brittle endpoints.";
    counters(registry, "relay_room_lending_total", help, &["outcome"])
}

fn retry_lending(registry: &Registry) -> prometheus::Result<IntCounterVec> {
    let help = "Retries that daemons lend to each other.";
    counters(registry, "relay_retry_lending_total", help, &["outcome"])
}

fn stream_resumes(registry: &Registry) -> prometheus::Result<IntCounterVec> {
    let help = "Streams that callers resume.";
    counters(registry, "relay_stream_resumes_total", help, &["outcome"])
}

fn forward_requests(registry: &Registry) -> prometheus::Result<IntCounterVec> {
    let help = "Requests of other daemons to forward a connection.";
    let name = "relay_forward_requests_total";
    counters(registry, name, help, &["outcome"])
}

fn forwarded_connections(registry: &Registry) -> prometheus::Result<IntGauge> {
    let help = "Connections forwarded for other daemons.";
    gauge(registry, "relay_forwarded_connections", help)
}

fn malformed_statements(registry: &Registry) -> prometheus::Result<IntCounterVec> {
    let help = "Statements of endpoints about themselves that can't be read.";
    let name = "relay_malformed_statements_total";
    counters(registry, name, help, &["statement"])
}

fn invalid_peer_figures(registry: &Registry) -> prometheus::Result<IntCounterVec> {
    let help = "Figures from other daemons that are out of range.";
    let name = "relay_invalid_peer_figures_total";
    counters(registry, name, help, &["section"])
}

fn share_refusals(registry: &Registry) -> prometheus::Result<IntCounterVec> {
    let help = "Calls refused because their rank or workspace has had its share.";
    counters(registry, "relay_share_refusals_total", help, &["priority"])
}

fn unreadable_objects(registry: &Registry) -> prometheus::Result<IntCounterVec> {
    let help = "Objects that couldn't be read.";
    let name = "relay_unreadable_objects_total";
    counters(registry, name, help, &["kind", "reason"])
}

fn leaving_endpoints(registry: &Registry) -> prometheus::Result<IntGauge> {
    let help = "Endpoints that have said in an answer that they leave.";
    gauge(registry, "relay_leaving_endpoints", help)
}

fn resting_endpoints(registry: &Registry) -> prometheus::Result<IntGauge> {
    let help = "Endpoints that want nothing from this daemon for a while.";
    gauge(registry, "relay_resting_endpoints", help)
}

fn limited_endpoints(registry: &Registry) -> prometheus::Result<IntGauge> {
    let help = "Endpoints that name a limit.";
    gauge(registry, "relay_limited_endpoints", help)
}

fn store_calls(registry: &Registry) -> prometheus::Result<IntCounterVec> {
    let labels = ["kind", "result"];
    counters(registry, "relay_store_calls_total", "Store calls.", &labels)
}

fn first_event_s(registry: &Registry) -> prometheus::Result<HistogramVec> {
    let options = HistogramOpts::new(
        "relay_first_event_seconds",
        "Time to the first event or answer.",
    );
    let options = options.buckets(LATENCY_BUCKETS_S.to_vec());
    let histograms = HistogramVec::new(options, &["kind"])?;
    registry.register(Box::new(histograms.clone()))?;
    Ok(histograms)
}

fn endpoints(registry: &Registry) -> prometheus::Result<IntGaugeVec> {
    let options = Opts::new("relay_endpoints", "Endpoints by life.");
    let gauges = IntGaugeVec::new(options, &["life"])?;
    registry.register(Box::new(gauges.clone()))?;
    Ok(gauges)
}

fn rollout_late_s(registry: &Registry) -> prometheus::Result<Gauge> {
    let help = "Time by which a rollout is expected to miss its bound.";
    seconds_gauge(registry, "relay_rollout_late_seconds", help)
}

fn store_age_s(registry: &Registry) -> prometheus::Result<GaugeVec> {
    let help = "Time since the store was known to hold nothing newer.";
    let options = Opts::new("relay_store_age_seconds", help);
    let gauges = GaugeVec::new(options, &["kind"])?;
    registry.register(Box::new(gauges.clone()))?;
    Ok(gauges)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> prometheus::Result<IntGauge> {
    let gauge = IntGauge::new(name, help)?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}

fn seconds_gauge(registry: &Registry, name: &str, help: &str) -> prometheus::Result<Gauge> {
    let gauge = Gauge::new(name, help)?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}

fn histogram(
    registry: &Registry,
    name: &str,
    help: &str,
    buckets: &[f64],
) -> prometheus::Result<Histogram> {
    let options = HistogramOpts::new(name, help).buckets(buckets.to_vec());
    let histogram = Histogram::with_opts(options)?;
    registry.register(Box::new(histogram.clone()))?;
    Ok(histogram)
}
