//! Detects endpoints that this daemon can't connect to although they run.
//!
//! Load pattern: some daemons lose their links to all endpoints for seconds, or to a part of them,
//! while callers, the platform's store and the other daemons still reach these daemons. Each new
//! connection hangs or is refused, and each call fails at one endpoint after the other, for as long
//! as the partition lasts. Another daemon can open the connection instead.
//!
//! A connection that can't be opened has two possible causes, the endpoint and this daemon's own
//! link, and looks the same for both. What distinguishes them is a control connection to another
//! endpoint. `docs/design/partitions.md` gives the reasons of the limits.

use std::collections::{BTreeMap, HashMap};

use wisteriahitch_types::{DurationUs, ServiceName, TimeUs};

/// Number of endpoints of a service to which connections must have failed, with none opened in
/// between, before the daemon counts as partitioned from the service. If the service has fewer,
/// all of them.
const MIN_FAILED_ENDPOINTS: usize = 2;

/// Time after which a failed connection no longer counts.
const FAILURE_TTL_US: DurationUs = DurationUs::from_ms(3_000);

/// Time between two attempts at a direct connection while other daemons open the connections.
const PROBE_INTERVAL_US: DurationUs = DurationUs::from_ms(500);

/// Minimum time between two examinations of why connections to an endpoint fail.
const EXAMINATION_INTERVAL_US: DurationUs = DurationUs::from_ms(1_000);

/// Time for which an endpoint that only another daemon could connect to counts as such without
/// being used.
const FORWARDED_TTL_US: DurationUs = DurationUs::from_ms(10_000);

/// How a new connection to an endpoint is opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionPath {
    /// By this daemon itself.
    Direct,
    /// By another daemon, which forwards the bytes of the connection.
    Forwarded,
}

/// A change of what this daemon can connect to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkChange {
    /// Connections to the endpoints of a service no longer open.
    Partitioned,
    /// They open again.
    Restored,
}

/// Links to the endpoints of one service.
#[derive(Debug, Default)]
struct ServiceLinks {
    /// Endpoints to which connections have failed since the last one that was opened, by short
    /// name, each with the time of its last failure.
    failed: BTreeMap<u32, TimeUs>,
    /// When connections last opened.
    opened_at_us: Option<TimeUs>,
    partitioned_since_us: Option<TimeUs>,
    /// When an endpoint last answered on a connection that this daemon opened itself.
    answered_at_us: TimeUs,
    next_probe_us: TimeUs,
}

/// An endpoint that another daemon could connect to and this one couldn't.
#[derive(Debug)]
struct ForwardedEndpoint {
    service: ServiceName,
    used_at_us: TimeUs,
    next_probe_us: TimeUs,
}

/// What this daemon can connect to.
#[derive(Debug, Default)]
pub struct EndpointLinks {
    services: HashMap<ServiceName, ServiceLinks>,
    /// By short name.
    forwarded: HashMap<u32, ForwardedEndpoint>,
    /// When the cause of a failed connection was last examined, by short name.
    examined_at_us: HashMap<u32, TimeUs>,
}

impl EndpointLinks {
    /// Records that this daemon opened a connection to an endpoint itself. Returns a change if a
    /// partition has ended.
    pub fn record_open(
        &mut self,
        service: &ServiceName,
        endpoint: u32,
        now: TimeUs,
    ) -> Option<LinkChange> {
        self.forwarded.remove(&endpoint);
        let links = self.services.entry(service.clone()).or_default();
        links.failed.clear();
        links.opened_at_us = Some(now);
        links.partitioned_since_us.take()?;
        self.forwarded.retain(|_, row| row.service != *service);
        Some(LinkChange::Restored)
    }

    /// Records that this daemon couldn't open a connection to an endpoint of a service with
    /// `service_size` endpoints. Returns a change if a partition has begun.
    pub fn record_failure(
        &mut self,
        service: &ServiceName,
        endpoint: u32,
        service_size: usize,
        now: TimeUs,
    ) -> Option<LinkChange> {
        let links = self.services.entry(service.clone()).or_default();
        links.failed.retain(|_, at| now.since(*at) < FAILURE_TTL_US);
        links.failed.insert(endpoint, now);
        let min_failed = MIN_FAILED_ENDPOINTS.min(service_size.max(1));
        if links.failed.len() < min_failed || links.partitioned_since_us.is_some() {
            return None;
        }
        links.partitioned_since_us = Some(now);
        Some(LinkChange::Partitioned)
    }

    /// Returns whether connections to the endpoints of a service don't open.
    pub fn is_partitioned(&self, service: &ServiceName) -> bool {
        let links = self.services.get(service);
        links.is_some_and(|links| links.partitioned_since_us.is_some())
    }

    /// Returns whether a connection from this daemon to an endpoint has failed lately, and none to its
    /// service has opened since.
    pub fn has_failed_lately(&self, service: &ServiceName, endpoint: u32, now: TimeUs) -> bool {
        let links = self.services.get(service);
        let failed_at_us = links.and_then(|links| links.failed.get(&endpoint));
        failed_at_us.is_some_and(|at| now.since(*at) < FAILURE_TTL_US)
    }

    /// Lists the services whose endpoints this daemon can't connect to.
    pub fn partitioned_services(&self) -> impl Iterator<Item = &ServiceName> {
        let services = self.services.iter();
        let partitioned = services.filter(|(_, links)| links.partitioned_since_us.is_some());
        partitioned.map(|(service, _)| service)
    }

    /// Returns when this daemon last opened a connection to an endpoint of a service, which proves
    /// that its own link worked.
    pub fn opened_at(&self, service: &ServiceName) -> Option<TimeUs> {
        self.services.get(service)?.opened_at_us
    }

    /// Forgets a service that has no endpoints any more.
    pub fn forget_service(&mut self, service: &ServiceName) {
        self.services.remove(service);
        self.forwarded.retain(|_, row| row.service != *service);
    }

    /// Returns how a new connection to an endpoint is opened.
    pub fn path(&mut self, service: &ServiceName, endpoint: u32, now: TimeUs) -> ConnectionPath {
        if self.is_partitioned(service) {
            return ConnectionPath::Forwarded;
        }
        self.forwarded
            .retain(|_, row| now.since(row.used_at_us) < FORWARDED_TTL_US);
        match self.forwarded.contains_key(&endpoint) {
            true => ConnectionPath::Forwarded,
            false => ConnectionPath::Direct,
        }
    }

    /// Records that another daemon has opened a connection to an endpoint for this one.
    pub fn record_forwarded(&mut self, service: &ServiceName, endpoint: u32, now: TimeUs) {
        let row = self.forwarded.entry(endpoint);
        let row = row.or_insert_with(|| ForwardedEndpoint {
            service: service.clone(),
            used_at_us: now,
            next_probe_us: now + PROBE_INTERVAL_US,
        });
        row.used_at_us = now;
    }

    /// Returns whether a direct connection to some endpoint of a service is due to be tried, and
    /// schedules the next attempt, so that there is one at a time.
    pub fn take_service_probe(&mut self, service: &ServiceName, now: TimeUs) -> bool {
        let links = self.services.entry(service.clone()).or_default();
        take_due(&mut links.next_probe_us, now)
    }

    /// Returns whether a direct connection to an endpoint is due to be tried that only another
    /// daemon could connect to, and schedules the next attempt.
    pub fn take_endpoint_probe(&mut self, endpoint: u32, now: TimeUs) -> bool {
        let row = self.forwarded.get_mut(&endpoint);
        row.is_some_and(|row| take_due(&mut row.next_probe_us, now))
    }

    /// Returns whether the cause of a failed connection to an endpoint is due to be examined, and
    /// counts it as examined.
    pub fn take_examination(&mut self, endpoint: u32, now: TimeUs) -> bool {
        let is_recent = |at: &TimeUs| now.since(*at) < EXAMINATION_INTERVAL_US;
        self.examined_at_us.retain(|_, at| is_recent(at));
        let is_due = !self.examined_at_us.contains_key(&endpoint);
        if is_due {
            self.examined_at_us.insert(endpoint, now);
        }
        is_due
    }

    /// Records that an endpoint has answered on a connection that this daemon opened itself.
    pub fn record_answer(&mut self, service: &ServiceName, now: TimeUs) {
        let links = self.services.get_mut(service);
        if let Some(links) = links.filter(|links| links.partitioned_since_us.is_some()) {
            links.answered_at_us = now;
        }
    }

    /// Returns whether calls may be sent on connections to a service that this daemon opened
    /// before. In a partition it may only if one of them has carried an answer since: a call that
    /// is sent on a silent one may have run, and can't be sent again.
    pub fn may_use_open_connections(&self, service: &ServiceName) -> bool {
        let Some(links) = self.services.get(service) else {
            return true;
        };
        let since = links.partitioned_since_us;
        since.is_none_or(|since| links.answered_at_us > since)
    }
}

/// Returns whether a probe is due, and schedules the next one.
fn take_due(next_probe_us: &mut TimeUs, now: TimeUs) -> bool {
    let is_due = *next_probe_us <= now;
    if is_due {
        *next_probe_us = now + PROBE_INTERVAL_US;
    }
    is_due
}
