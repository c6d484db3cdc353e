//! State that all tasks of a daemon share.

use std::collections::HashSet;
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::Notify;
use wisteriahitch_core::fleet::LeaseTable;
use wisteriahitch_types::{EndpointInstance, Incarnation, TimeUs};
use wisteriahitch_wire::connection_pool::{Connection, ConnectionPool};
use wisteriahitch_wire::object_store::{ObjectRole, ObjectStore};

use super::blocked_requests::BlockedRequests;
use super::budgets::RetryBudgets;
use super::crashes::{EvidenceKind, on_crash};
use super::drain::Drain;
use super::durations::CallDurations;
use super::object_answers::ObjectAnswers;
use super::peer_state::PeerState;
use super::site_state::SiteState;
use super::watch_state::WatchStates;
use super::work_shares::WorkState;
use crate::border::{CallCodec, EngineControl, PartStoreControl, SiteCodec};
use crate::clock::BootClock;
use crate::decide::crash_evidence::CrashEvidence;
use crate::decide::endpoint_links::{ConnectionPath, EndpointLinks};
use crate::decide::endpoint_table::{EndpointChange, EndpointTable};
use crate::decide::forwarders::Forwarders;
use crate::decide::gossip_message::MemberPhase;
use crate::decide::part_stores::PartStores;
use crate::decide::permit_shares::PermitShares;
use crate::decide::recent_durations::RecentDurations;
use crate::decide::rollout::Rollout;
use crate::decide::room_lending::RoomLender;
use crate::decide::route_services::RouteServices;
use crate::decide::stream_versions::StreamVersions;
use crate::decide::suspects::SuspectTable;
use crate::decide::timely_answers::ProcessActivity;
use crate::decide::unread_orders::UnreadOrders;
use crate::decide::wanted_weights::WantedFreshness;
use crate::observe::{Event, EventLog, Metrics};
use crate::settings::{Bounds, RelaySettings};
use crate::site::RegionMap;

/// Implementations of the traits in `border`.
pub struct Borders {
    /// Decodes calls and encodes answers.
    pub calls: Box<dyn CallCodec>,
    /// Decodes the site's objects.
    pub site: Box<dyn SiteCodec>,
    /// The platform's object store.
    pub store: Arc<dyn ObjectStore>,
    /// Sends orders to engines and fetches their reports.
    pub engines: Box<dyn EngineControl>,
    /// Reads and frees prompt parts in part stores.
    pub part_stores: Box<dyn PartStoreControl>,
}

/// What pooled connections are kept apart by.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct PoolKey {
    endpoint: EndpointInstance,
    /// Whether another daemon forwards the connection.
    is_forwarded: bool,
}

pub(crate) struct Shared {
    pub(crate) settings: RelaySettings,
    /// Maps zones to regions.
    pub(crate) regions: RegionMap,
    /// Bounds of the deployment on which decisions depend.
    pub(crate) bounds: Bounds,
    pub(crate) clock: BootClock,
    pub(crate) incarnation: Incarnation,
    pub(crate) started_at_us: TimeUs,
    /// When the process has run.
    pub(crate) activity: Mutex<ProcessActivity>,
    pub(crate) borders: Borders,
    pub(crate) site: SiteState,
    /// Table of endpoints. Like all tables here, it is locked for one step at a time and never
    /// across an await.
    pub(crate) endpoints: Mutex<EndpointTable>,
    pub(crate) part_stores: Mutex<PartStores>,
    /// This daemon's permits for endpoints whose call rate is limited.
    pub(crate) permit_shares: Mutex<PermitShares>,
    pub(crate) crash_evidence: Mutex<CrashEvidence>,
    /// Notified when more is known of whether a process still runs.
    pub(crate) crash_evidence_changed: Notify,
    pub(crate) suspects: Mutex<SuspectTable>,
    /// Where streams began that may be resumed.
    pub(crate) stream_versions: Mutex<StreamVersions>,
    /// Services that the calls of each route have been sent to.
    pub(crate) route_services: Mutex<RouteServices>,
    pub(crate) blocked_requests: BlockedRequests,
    pub(crate) peers: PeerState,
    /// Pooled connections to endpoints, each to one instance.
    pub(crate) pool: ConnectionPool<PoolKey>,
    /// Which endpoints this daemon can connect to.
    pub(crate) links: Mutex<EndpointLinks>,
    /// Daemons that open connections for this one.
    pub(crate) forwarders: Mutex<Forwarders>,
    /// Engines whose memory this daemon follows on behalf of all daemons.
    pub(crate) followed_engines: Mutex<HashSet<EndpointInstance>>,
    /// Notified when an instance of an endpoint has ended.
    pub(crate) instance_ended: Notify,
    /// Loans of room at brittle endpoints for which this daemon counts the calls.
    pub(super) room_lender: Mutex<RoomLender>,
    /// Idle connections to daemons that lend room.
    pub(super) lender_connections: ConnectionPool<Ipv4Addr>,
    pub(crate) budgets: RetryBudgets,
    pub(crate) durations: CallDurations,
    /// How long the recent calls of each route took.
    pub(crate) recent_durations: Mutex<RecentDurations>,
    /// Work that callers ask for, and what each of them gets.
    pub(super) work: WorkState,
    pub(crate) watches: WatchStates,
    /// Compressed answers to peers that fetch objects.
    pub(super) object_answers: ObjectAnswers,
    pub(crate) leases: Mutex<LeaseTable>,
    pub(crate) rollout: Mutex<Rollout>,
    pub(crate) unread_orders: Mutex<UnreadOrders>,
    pub(crate) drain: Drain,
    /// Bytes of all request bodies that are buffered now.
    pub(crate) reserved_body_bytes: AtomicUsize,
    pub(crate) log: EventLog,
    pub(crate) metrics: Metrics,
}

impl Shared {
    /// Returns the phase that this daemon reports to others.
    pub(crate) fn phase(&self) -> MemberPhase {
        if self.drain.is_draining() {
            return MemberPhase::Draining;
        }
        match self.site.config().is_some() && self.watches.has_listed_all(&self.bounds) {
            true => MemberPhase::Ready,
            false => MemberPhase::Starting,
        }
    }

    /// Returns how fresh the known wanted weights are. Must be called before the versions are read, since
    /// what is learned in between would seem to have been known.
    pub(crate) fn wanted_freshness(&self) -> WantedFreshness {
        WantedFreshness {
            confirmed_as_of: self.watches.complete_as_of(ObjectRole::Weights),
            max_fetch_age_us: self.bounds.max_fetch_age(),
        }
    }

    /// Returns whether load is managed by learned rates.
    pub(crate) fn manages_load(&self) -> bool {
        let management = self.settings.load.management;
        let config = self.site.config();
        config.is_some_and(|config| management.applies_to(&config))
    }

    /// Reserves memory for `bytes` more of a body. Returns false if this would exceed the limit of
    /// all bodies.
    pub(crate) fn try_reserve_body_bytes(&self, bytes: usize) -> bool {
        let limit = self.settings.body_bytes();
        let reserved_before = self.reserved_body_bytes.fetch_add(bytes, Ordering::Relaxed);
        if reserved_before + bytes <= limit {
            return true;
        }
        self.reserved_body_bytes.fetch_sub(bytes, Ordering::Relaxed);
        false
    }

    /// Logs changes of endpoints and closes pooled connections to instances that have ended.
    pub(crate) fn record_endpoint_changes(&self, changes: Vec<EndpointChange>, revision: u64) {
        for change in changes {
            let (instance, change) = match change {
                EndpointChange::Added(instance) => (instance, "seen"),
                EndpointChange::Draining(instance) => (instance, "draining"),
                EndpointChange::Lapsed(instance) => (instance, "lapsed"),
                EndpointChange::Unreadable(instance) => (instance, "unreadable"),
                EndpointChange::HeldBack(instance) => (instance, "held_back"),
                EndpointChange::Displaced(instance) => {
                    self.close_connections(&instance);
                    on_crash(self, &instance, EvidenceKind::Replaced);
                    (instance, "displaced")
                }
                EndpointChange::Ended(instance) => {
                    self.close_connections(&instance);
                    on_crash(self, &instance, EvidenceKind::Replaced);
                    self.instance_ended.notify_waiters();
                    (instance, "ended")
                }
                EndpointChange::Removed(instance) => {
                    self.close_connections(&instance);
                    (instance, "gone")
                }
            };
            let service = {
                let endpoints = self.endpoints.lock();
                let row = endpoints.get(&instance);
                row.map_or(String::new(), |row| row.endpoint.service.to_string())
            };
            self.log.write(&Event::EndpointChanged {
                endpoint: instance.to_string(),
                change,
                service,
                revision,
            });
        }
    }

    /// Returns a pooled connection to an endpoint that was idle for at most `max_idle`, if one may be
    /// used.
    pub(crate) async fn checkout_connection(
        &self,
        endpoint: &EndpointInstance,
        max_idle: Duration,
    ) -> Option<Connection> {
        let key = |is_forwarded| PoolKey {
            endpoint: endpoint.clone(),
            is_forwarded,
        };
        let (uses_open, path) = {
            let endpoints = self.endpoints.lock();
            let row = endpoints.get(endpoint)?;
            let (service, short_name) = (&row.endpoint.service, row.short_name);
            let mut links = self.links.lock();
            let path = links.path(service, short_name, self.now());
            (links.may_use_open_connections(service), path)
        };
        if uses_open {
            let direct = self.pool.checkout(&key(false), max_idle).await;
            if direct.is_some() || path == ConnectionPath::Direct {
                return direct;
            }
        }
        loop {
            let forwarded = self.pool.checkout(&key(true), max_idle).await?;
            let is_ready = forwarded.forwarder().is_some_and(|forwarder| {
                let IpAddr::V4(ip) = forwarder.ip() else {
                    return false;
                };
                let phase = self.peers.table().member_phase(ip, self.now());
                phase == Some(MemberPhase::Ready)
            });
            if is_ready {
                return Some(forwarded);
            }
        }
    }

    /// Returns a connection to the pool. Its last answer must have been read to its end.
    pub(crate) fn return_connection(&self, endpoint: &EndpointInstance, connection: Connection) {
        let key = PoolKey {
            endpoint: endpoint.clone(),
            is_forwarded: connection.forwarder().is_some(),
        };
        self.pool.check_in(&key, connection);
    }

    /// Closes all idle connections to an endpoint.
    fn close_connections(&self, endpoint: &EndpointInstance) {
        for is_forwarded in [false, true] {
            self.pool.close_idle(&PoolKey {
                endpoint: endpoint.clone(),
                is_forwarded,
            });
        }
    }

    /// Records that an endpoint has answered on a connection.
    pub(crate) fn record_answer_on(&self, endpoint: &EndpointInstance, connection: &Connection) {
        if connection.forwarder().is_some() {
            return;
        }
        let endpoints = self.endpoints.lock();
        if let Some(row) = endpoints.get(endpoint) {
            let now = self.now();
            self.links.lock().record_answer(&row.endpoint.service, now);
        }
    }

    /// Waits until the instance of an endpoint is known to have ended.
    ///
    /// A process that crashed behind a network partition closes no connection. A call there would
    /// wait until its own deadline although a new instance has already registered,
    /// and its caller would get a failure that could have been reported much earlier.
    pub(crate) async fn wait_for_instance_end(&self, instance: &EndpointInstance) {
        loop {
            let ended = self.instance_ended.notified();
            if self.endpoints.lock().has_ended(instance) {
                return;
            }
            ended.await;
        }
    }

    /// Returns the rate of the VM's link in Mbit/s, as it is reported to other daemons.
    pub(crate) fn link_mbps(&self) -> u16 {
        self.settings
            .limits
            .link_mbps
            .clamp(1.0, f64::from(u16::MAX)) as u16
    }

    pub(crate) fn now(&self) -> TimeUs {
        self.clock.now()
    }
}
