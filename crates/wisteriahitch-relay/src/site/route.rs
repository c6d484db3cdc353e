//! Routes: which service handles a path, and whether its calls may be repeated.

use std::collections::HashMap;
use std::sync::Arc;

use wisteriahitch_types::{DurationUs, Region, RouteName, ServiceName};

/// How often a call may run, which decides what can be retried after a failure.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum CallKind {
    /// The call may run any number of times.
    Idempotent,
    /// The call may run at most once.
    Once,
    /// The answer is a stream of events. The call may run at most once unless the stream can be
    /// resumed.
    Stream,
}

impl CallKind {
    /// Returns the name used in logs and metrics.
    pub const fn label(self) -> &'static str {
        match self {
            CallKind::Idempotent => "idempotent",
            CallKind::Once => "once",
            CallKind::Stream => "stream",
        }
    }
}

/// A route of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: RouteName,
    /// Host that callers request, without a port.
    pub host: String,
    /// Prefix of the paths that the route handles; begins and ends with a slash.
    pub path_prefix: String,
    /// How often its calls may run.
    pub kind: CallKind,
    /// Maximum duration of a call.
    pub timeout_us: DurationUs,
    /// Target latency until the answer, or the first event of a stream.
    pub latency_slo_us: DurationUs,
    /// Longest acceptable gap between two events of a stream.
    pub max_event_gap_us: DurationUs,
    /// Services with their relative weights; never empty.
    pub targets: Vec<(ServiceName, u32)>,
    /// Maximum number of endpoints that one call may be sent to.
    pub max_attempts: u32,
    /// Priority of its calls; 0 is the most urgent.
    pub priority: u8,
    /// Whether callers need no API key.
    pub is_public: bool,
    /// Whether a broken stream may resume at another endpoint after the last event that was
    /// received.
    pub is_resumable: bool,
    /// Regions in which its calls may run; empty if all are allowed.
    pub permitted_regions: Vec<Region>,
}

impl Route {
    /// Returns whether a call may be sent again although an endpoint may already have run it.
    pub fn may_repeat(&self) -> bool {
        match self.kind {
            CallKind::Idempotent => true,
            CallKind::Once => false,
            CallKind::Stream => self.is_resumable,
        }
    }

    /// Picks a service in proportion to the weights, given a uniformly random number.
    pub fn pick_service(&self, random: u64) -> Option<&ServiceName> {
        let total: u64 = self
            .targets
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        let Some(mut left) = random.checked_rem(total) else {
            return self.targets.first().map(|(service, _)| service);
        };
        for (service, weight) in &self.targets {
            let weight = u64::from(*weight);
            if left < weight {
                return Some(service);
            }
            left -= weight;
        }
        None
    }
}

/// Looks up routes by host and path.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// Routes of each host, longest prefix first.
    by_host: HashMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Builds the table from the routes of a configuration.
    pub fn new(routes: impl IntoIterator<Item = Route>) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let host = by_host.entry(route.host.clone()).or_default();
            host.push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self { by_host }
    }

    /// Returns the route of `host` with the longest prefix of `path`. The port of `host` is
    /// ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.by_host.get(name)?;
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Iterates over all routes in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.by_host.values().flatten()
    }
}
