//! State that a daemon keeps about its peers and its gossip.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use parking_lot::{Mutex, MutexGuard};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use wisteriahitch_types::TimeUs;
use wisteriahitch_wire::object_store::ObjectRole;

use super::watch_state::kind_name;

use crate::decide::gossip_message::PartUpdate;
use crate::decide::gossip_schedule::GossipSchedule;
use crate::decide::hubs::HubPlan;
use crate::decide::members::PeerTable;
use crate::decide::staleness::QueryRank;
use crate::decide::stream_versions::StreamRecord;
use crate::settings::RelaySettings;

/// Maximum wait after the start for the list of the other daemons. The store answers within a
/// second.
const PEER_LIST_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Time in which gossip of all known daemons arrives: each sends at least every 0.2 s, and updates
/// relayed by hubs take three hops.
const GOSSIP_SETTLE_TIME: Duration = Duration::from_millis(700);

/// Maximum number of part updates that wait for the next message. A dropped update costs processing
/// a prompt again.
const MAX_QUEUED_PARTS: usize = 400;

/// Delay of a timer, in milliseconds, at which a daemon reports half of its capacity.
const HALF_CAPACITY_LAG_MS: f64 = 60.0;

/// Weight of the newest sample in the moving average of the timer delay.
const LAG_EWMA_WEIGHT: f64 = 0.2;

/// State that a daemon keeps about its peers and its gossip.
#[derive(Default)]
pub(crate) struct PeerState {
    table: Mutex<PeerTable>,
    /// The hubs of the fleet, as of the last gossip round.
    pub(super) current_hub_plan: Mutex<HubPlan>,
    /// Whether this daemon watches the stores itself.
    pub(super) follows_stores: AtomicBool,
    /// Estimated number of daemons, this one included; 0 before the first gossip round.
    pub(super) daemon_count: AtomicUsize,
    /// Cancelled once the registered daemons are known.
    pub(super) peers_listed: CancellationToken,
    /// Updates of cached parts from this daemon, or from the daemons that it serves as a hub.
    pub(super) local_parts: Mutex<Vec<PartUpdate>>,
    /// Updates of cached parts from other hubs.
    pub(super) remote_parts: Mutex<Vec<PartUpdate>>,
    /// Part stores whose contents are being fetched from a peer.
    pub(super) pending_store_fetches: Mutex<Vec<SocketAddr>>,
    next_message: AtomicU64,
    next_round: AtomicU64,
    /// Moving average of the timer delay, in milliseconds.
    lag_ms: Mutex<f64>,
    /// Wakes the gossip sender to send a message without waiting for the interval.
    pub(crate) wake_sender: Notify,
    /// Socket of the gossip, once it is bound.
    pub(super) gossip_socket: OnceLock<Arc<UdpSocket>>,
    /// Decides when the next message is due.
    pub(super) gossip_schedule: Mutex<GossipSchedule>,
}

impl PeerState {
    /// Locks the table of peers. The lock must not be held across an await.
    pub(crate) fn table(&self) -> MutexGuard<'_, PeerTable> {
        self.table.lock()
    }

    /// Returns whether this daemon watches the platform's store and the part stores itself instead
    /// of learning their contents by gossip.
    pub(crate) fn follows_stores(&self) -> bool {
        self.follows_stores.load(Ordering::Relaxed)
    }

    /// Waits for the list of the other daemons, and returns whether it arrived in time.
    pub(super) async fn wait_for_peer_list(&self) -> bool {
        let listed = self.peers_listed.cancelled();
        tokio::time::timeout(PEER_LIST_TIMEOUT, listed)
            .await
            .is_ok()
    }

    /// Waits until gossip of all known daemons should have arrived.
    pub(super) async fn wait_for_gossip(&self) {
        tokio::time::sleep(GOSSIP_SETTLE_TIME).await;
    }

    /// Returns the estimated number of daemons, this one included.
    pub(crate) fn daemon_count(&self) -> usize {
        self.daemon_count.load(Ordering::Relaxed).max(1)
    }

    /// Returns whether gossip shows a hub that reaches the store.
    pub(crate) fn hub_reaches_store(&self, me: Ipv4Addr, now: TimeUs) -> bool {
        let table = self.table.lock();
        let is_hub = self.current_hub_plan.lock().is_hub(me);
        let mut hubs = table.upstream_hubs(is_hub, now);
        hubs.any(|hub| hub.is_store_reachable)
    }

    /// Returns the number of hubs from which this daemon receives updates about the store.
    pub(super) fn upstream_hub_count(&self, me: Ipv4Addr, now: TimeUs) -> usize {
        let table = self.table.lock();
        let is_hub = self.current_hub_plan.lock().is_hub(me);
        table.upstream_hubs(is_hub, now).count()
    }

    /// Returns this daemon's place in the order in which daemons ask the store for objects of a
    /// role.
    pub(super) fn query_rank(&self, role: ObjectRole, me: Ipv4Addr, now: TimeUs) -> QueryRank {
        let table = self.table.lock();
        table.query_rank(kind_name(role), me, self.follows_stores(), now)
    }

    /// Sends the record of a stream to other daemons.
    pub(super) fn send_record(
        &self,
        record: &StreamRecord,
        replicas: &[Ipv4Addr],
        settings: &RelaySettings,
    ) {
        let Some(socket) = self.gossip_socket.get() else {
            return;
        };
        let datagram = record.encode();
        for ip in replicas {
            let to = SocketAddr::from((*ip, settings.listen.peer_port));
            // A record that can't be sent counts as lost. The other replicas keep it too.
            let _ = socket.try_send_to(&datagram, to);
        }
    }

    /// Records a call that was sent, and wakes the sender if the others must learn of it at once.
    pub(crate) fn record_sent_call(&self, unread_tokens: u64) {
        if self.gossip_schedule.lock().record_dispatch(unread_tokens) {
            self.wake_sender.notify_one();
        }
    }

    /// Queues updates of cached parts for the next messages.
    pub(crate) fn queue_part_updates(&self, updates: Vec<PartUpdate>) {
        enqueue_parts(&self.local_parts, updates);
    }

    /// Returns the number of the next message.
    pub(super) fn next_message_number(&self) -> u64 {
        self.next_message.fetch_add(1, Ordering::Relaxed)
    }

    /// Starts a gossip round and returns its number.
    pub(super) fn next_round_number(&self) -> u64 {
        self.next_round.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns this daemon's capacity in thousandths of a core, reduced if its timers fire late.
    ///
    /// A VM that has become slow looks healthy to itself and to others, but callers that are sent
    /// to it wait. The delay of its own timers shows this first.
    pub(super) fn capacity(&self, cores: f64) -> u16 {
        let responsiveness = 1.0 / (1.0 + *self.lag_ms.lock() / HALF_CAPACITY_LAG_MS);
        (cores * 1_000.0 * responsiveness).clamp(1.0, f64::from(u16::MAX)) as u16
    }

    /// Adds a sample to the moving average of the timer delay.
    pub(super) fn record_timer_lag(&self, lag: Duration) {
        let mut mean_ms = self.lag_ms.lock();
        *mean_ms += (lag.as_secs_f64() * 1_000.0 - *mean_ms) * LAG_EWMA_WEIGHT;
    }
}

/// Appends updates to a queue and drops the oldest ones beyond [`MAX_QUEUED_PARTS`].
pub(super) fn enqueue_parts(queue: &Mutex<Vec<PartUpdate>>, updates: Vec<PartUpdate>) {
    let mut queue = queue.lock();
    queue.extend(updates);
    let overflow = queue.len().saturating_sub(MAX_QUEUED_PARTS);
    queue.drain(..overflow);
}
