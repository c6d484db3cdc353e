//! What all tasks of a daemon share.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use parking_lot::Mutex;
use tokio::sync::Notify;
use wisteriahitch_core::fleet::LeaseTable;
use wisteriahitch_types::{EndpointInstance, Incarnation, TimeUs};
use wisteriahitch_wire::connection_pool::ConnectionPool;
use wisteriahitch_wire::object_store::ObjectStore;

use super::blocked_requests::BlockedRequests;
use super::budgets::Budgets;
use super::crashes::{Proof, note_crash};
use super::drain::Drain;
use super::durations::Durations;
use super::peer_state::PeerState;
use super::site_state::SiteState;
use super::watch_state::WatchStates;
use crate::border::{CallCodec, EngineControl, PartStoreControl, SiteCodec};
use crate::clock::BootClock;
use crate::decide::crash_evidence::CrashEvidence;
use crate::decide::endpoint_table::{EndpointChange, EndpointTable};
use crate::decide::gossip_message::MemberPhase;
use crate::decide::part_stores::PartStores;
use crate::decide::permit_shares::PermitShares;
use crate::decide::rollout::Rollout;
use crate::decide::suspects::SuspectTable;
use crate::observe::{Event, EventLog, Metrics};
use crate::settings::{Bounds, RelaySettings};
use crate::site::RegionMap;

/// The implementations of the traits of `border`.
pub struct Borders {
    /// Calls and answers.
    pub calls: Box<dyn CallCodec>,
    /// Objects.
    pub site: Box<dyn SiteCodec>,
    /// The platform's store.
    pub store: Arc<dyn ObjectStore>,
    /// Engines' orders and reports.
    pub engines: Box<dyn EngineControl>,
    /// Stores of prompt parts.
    pub part_stores: Box<dyn PartStoreControl>,
}

pub(crate) struct Shared {
    pub(crate) settings: RelaySettings,
    /// Regions of the zones.
    pub(crate) regions: RegionMap,
    /// What decisions take from the deployment's bounds.
    pub(crate) bounds: Bounds,
    pub(crate) clock: BootClock,
    pub(crate) incarnation: Incarnation,
    pub(crate) started_at_us: TimeUs,
    pub(crate) borders: Borders,
    pub(crate) site: SiteState,
    /// Locked for one step at a time and never across an await, as every table here.
    pub(crate) endpoints: Mutex<EndpointTable>,
    pub(crate) part_stores: Mutex<PartStores>,
    /// Which permits of endpoints whose calls are bounded this daemon holds.
    pub(crate) permit_shares: Mutex<PermitShares>,
    pub(crate) crash_evidence: Mutex<CrashEvidence>,
    pub(crate) suspects: Mutex<SuspectTable>,
    pub(crate) blocked_requests: BlockedRequests,
    pub(crate) peers: PeerState,
    /// Connections to endpoints, each to one life.
    pub(crate) pool: ConnectionPool<EndpointInstance>,
    /// Engines whose memory this daemon follows for all.
    pub(crate) followed_engines: Mutex<HashSet<EndpointInstance>>,
    /// Wakes those who wait for the end of an endpoint's life.
    pub(crate) life_ended: Notify,
    pub(crate) budgets: Budgets,
    pub(crate) durations: Durations,
    pub(crate) watches: WatchStates,
    pub(crate) leases: Mutex<LeaseTable>,
    pub(crate) rollout: Mutex<Rollout>,
    pub(crate) drain: Drain,
    /// Bytes of requests' bodies that are held now.
    pub(crate) body_bytes: AtomicUsize,
    pub(crate) log: EventLog,
    pub(crate) metrics: Metrics,
}

impl Shared {
    /// Returns what this daemon tells of itself.
    pub(crate) fn phase(&self) -> MemberPhase {
        if self.drain.is_draining() {
            return MemberPhase::Draining;
        }
        match self.site.config().is_some() && self.watches.has_listed_all(&self.bounds) {
            true => MemberPhase::Ready,
            false => MemberPhase::Starting,
        }
    }

    /// Takes room for a body, or returns false where too many are held.
    pub(crate) fn try_hold_body(&self, bytes: usize) -> bool {
        let limit = self.settings.body_bytes();
        let held = self.body_bytes.fetch_add(bytes, Ordering::Relaxed);
        if held + bytes <= limit {
            return true;
        }
        self.body_bytes.fetch_sub(bytes, Ordering::Relaxed);
        false
    }

    /// Logs changes of endpoints and closes the connections of those that are gone.
    pub(crate) fn note_changes(&self, changes: Vec<EndpointChange>, revision: u64) {
        for change in changes {
            let (instance, change) = match change {
                EndpointChange::Added(instance) => (instance, "seen"),
                EndpointChange::Draining(instance) => (instance, "draining"),
                EndpointChange::Lapsed(instance) => (instance, "lapsed"),
                EndpointChange::Unreadable(instance) => (instance, "unreadable"),
                EndpointChange::Displaced(instance) => {
                    self.pool.forget(&instance);
                    note_crash(self, &instance, Proof::Replaced);
                    (instance, "displaced")
                }
                EndpointChange::Ended(instance) => {
                    self.pool.forget(&instance);
                    note_crash(self, &instance, Proof::Replaced);
                    self.life_ended.notify_waiters();
                    (instance, "ended")
                }
                EndpointChange::Removed(instance) => {
                    self.pool.forget(&instance);
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

    /// Returns whether this daemon follows an engine's memory for all.
    pub(crate) fn follows_engine(&self, instance: &EndpointInstance) -> bool {
        self.followed_engines.lock().contains(instance)
    }

    /// Waits until the life of an endpoint that a call was sent to is known to have ended.
    ///
    /// A process that crashed behind a partition closes no connection: a call there would hang until
    /// its own deadline although the next life of the endpoint has registered, and its caller would be
    /// told nothing that wasn't known long before.
    pub(crate) async fn life_over(&self, instance: &EndpointInstance) {
        loop {
            let ended = self.life_ended.notified();
            if self.endpoints.lock().has_ended(instance) {
                return;
            }
            ended.await;
        }
    }

    /// Returns the rate of the VM's link, as it is told to others.
    pub(crate) fn link_mbps(&self) -> u16 {
        self.settings
            .limits
            .link_mbps
            .clamp(1.0, f64::from(u16::MAX)) as u16
    }

    /// Returns the time now.
    pub(crate) fn now(&self) -> TimeUs {
        self.clock.now()
    }
}
