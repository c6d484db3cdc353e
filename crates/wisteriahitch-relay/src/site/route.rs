//! Routes: which service serves a path, and what may be done with its calls.

use std::collections::HashMap;
use std::sync::Arc;

use wisteriahitch_types::{DurationUs, Region, RouteName, ServiceName};

/// Says what may be done with a call that failed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum CallKind {
    /// It may run more than once.
    Idempotent,
    /// It may run at most once.
    Once,
    /// Its answer is a stream of events; it may run at most once unless it can be resumed.
    Stream,
}

impl CallKind {
    /// Returns the word for logs and metrics.
    pub const fn label(self) -> &'static str {
        match self {
            CallKind::Idempotent => "idempotent",
            CallKind::Once => "once",
            CallKind::Stream => "stream",
        }
    }
}

/// One route of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: RouteName,
    /// Host that callers ask for.
    pub host: String,
    /// Start of the paths that it serves; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be done with its calls.
    pub kind: CallKind,
    /// Longest time that a call may take.
    pub timeout_us: DurationUs,
    /// Time within which the answer, or a stream's first event, should be there.
    pub latency_slo_us: DurationUs,
    /// Longest pause between two events of a stream that is still good.
    pub max_event_gap_us: DurationUs,
    /// Services with their weights; never empty.
    pub targets: Vec<(ServiceName, u32)>,
    /// Most endpoints to which one call may be sent.
    pub max_attempts: u32,
    /// Rank of its calls; 0 goes first.
    pub priority: u8,
    /// Whether callers need no key.
    pub is_public: bool,
    /// Whether a stream may go on at another endpoint after its last event.
    pub is_resumable: bool,
    /// Regions in which its calls may run; empty where all may.
    pub permitted_regions: Vec<Region>,
}

impl Route {
    /// Returns whether a call may be sent again after an endpoint may have run it.
    pub fn may_repeat(&self) -> bool {
        match self.kind {
            CallKind::Idempotent => true,
            CallKind::Once => false,
            CallKind::Stream => self.is_resumable,
        }
    }

    /// Returns the service whose share of the weights `draw` falls into.
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

/// Finds routes by host and path.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// Routes of each host, the longest prefix first.
    by_host: HashMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Builds the table.
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

    /// Returns the route with the longest prefix of `path` at `host`, whose port doesn't count.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.by_host.get(name)?;
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Lists all routes.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.by_host.values().flatten()
    }
}
