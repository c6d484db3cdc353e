//! What a daemon keeps of its peers.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use parking_lot::{Mutex, MutexGuard};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use wisteriahitch_types::TimeUs;
use wisteriahitch_wire::object_store::ObjectRole;

use super::watch_state::kind_name;

use crate::decide::gossip_message::PartUpdate;
use crate::decide::gossip_schedule::GossipSchedule;
use crate::decide::hubs::HubPlan;
use crate::decide::members::{PeerRow, PeerTable};

/// Longest wait after the start for the list of the other daemons; the store answers within a second.
const LISTED_WITHIN: Duration = Duration::from_millis(3_000);

/// Time in which daemons that are known are heard: they tell something at least every 0.2 s, and what
/// hubs tell on takes three steps.
const HEARD_WITHIN: Duration = Duration::from_millis(700);

/// Most parts that wait to be told. Parts that are never told cost a prompt that is read again.
const MAX_WAITING_PARTS: usize = 400;

/// Lateness of a timer, in milliseconds, at which a daemon counts as half as strong as it is.
const HALF_STRENGTH_LAG_MS: f64 = 60.0;

/// Weight of the newest lateness in its moving mean.
const LAG_WEIGHT: f64 = 0.2;

/// What a daemon keeps of its peers.
#[derive(Default)]
pub(crate) struct PeerState {
    table: Mutex<PeerTable>,
    pub(super) plan: Mutex<HubPlan>,
    pub(super) follows_stores: AtomicBool,
    pub(super) daemons: AtomicUsize,
    /// Cancelled once the registered daemons are known.
    pub(super) others_listed: CancellationToken,
    /// Parts that were read for this daemon, or told by daemons whose hub it is.
    pub(super) near_parts: Mutex<Vec<PartUpdate>>,
    /// Parts that other hubs have told.
    pub(super) far_parts: Mutex<Vec<PartUpdate>>,
    /// Part stores whose contents are being asked for.
    pub(super) asked_stores: Mutex<Vec<SocketAddr>>,
    number: AtomicU64,
    rounds: AtomicU64,
    lag_ms: Mutex<f64>,
    /// Sends a message at once.
    pub(crate) hurry: Notify,
    pub(super) pace: Mutex<GossipSchedule>,
}

impl PeerState {
    /// Locks the table of peers for one step.
    pub(crate) fn table(&self) -> MutexGuard<'_, PeerTable> {
        self.table.lock()
    }

    /// Returns whether this daemon follows the stores itself instead of hearing of them.
    pub(crate) fn follows_stores(&self) -> bool {
        self.follows_stores.load(Ordering::Relaxed)
    }

    /// Waits for the list of the other daemons, and returns whether it came in time.
    pub(super) async fn others_are_listed(&self) -> bool {
        let listed = self.others_listed.cancelled();
        tokio::time::timeout(LISTED_WITHIN, listed).await.is_ok()
    }

    /// Waits until daemons that are known would have been heard.
    pub(super) async fn others_are_heard(&self) {
        tokio::time::sleep(HEARD_WITHIN).await;
    }

    /// Returns how many daemons there seem to be, this one included.
    pub(crate) fn daemons(&self) -> usize {
        self.daemons.load(Ordering::Relaxed).max(1)
    }

    /// Returns whether a daemon that the store answers is heard, so that this one need not ask.
    pub(crate) fn hears_of_store(&self, me: Ipv4Addr, now: TimeUs) -> bool {
        let table = self.table.lock();
        let is_hub = self.plan.lock().is_hub(me);
        // Hubs believe only those who ask the store: two that believed each other would go on for
        // ever after the store has gone.
        let counts = |peer: &PeerRow| peer.is_hub && (!is_hub || peer.follows_stores);
        table
            .alive(now)
            .any(|peer| counts(peer) && peer.is_store_reachable)
    }

    /// Returns how many daemons ask the store for a kind of object before this one does.
    pub(super) fn place_in_turn(&self, role: ObjectRole, me: Ipv4Addr, now: TimeUs) -> usize {
        let table = self.table.lock();
        table.confirmation_rank(kind_name(role), me, self.follows_stores(), now)
    }

    /// Notes a call that was sent, which the others may have to hear of at once.
    pub(crate) fn sent(&self, unread_tokens: u64) {
        if self.pace.lock().record_dispatch(unread_tokens) {
            self.hurry.notify_one();
        }
    }

    /// Tells parts that were read with the next messages.
    pub(crate) fn tell_parts(&self, news: Vec<PartUpdate>) {
        add_parts(&self.near_parts, news);
    }

    /// Returns the number of the next message.
    pub(super) fn next_number(&self) -> u64 {
        self.number.fetch_add(1, Ordering::Relaxed)
    }

    /// Begins a round of messages, and returns its number.
    pub(super) fn round(&self) -> u64 {
        self.rounds.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns how strong this daemon is, in thousandths of a core: less where its timers fire late.
    ///
    /// A VM that has turned slow looks healthy to itself and to others; callers that are sent to it
    /// wait. Its own lateness shows it first.
    pub(super) fn capacity(&self, cores: f64) -> u16 {
        let strength = 1.0 / (1.0 + *self.lag_ms.lock() / HALF_STRENGTH_LAG_MS);
        (cores * 1_000.0 * strength).clamp(1.0, f64::from(u16::MAX)) as u16
    }

    pub(super) fn note_lag(&self, lag: Duration) {
        let mut mean = self.lag_ms.lock();
        *mean += (lag.as_secs_f64() * 1_000.0 - *mean) * LAG_WEIGHT;
    }
}

pub(super) fn add_parts(waiting: &Mutex<Vec<PartUpdate>>, news: Vec<PartUpdate>) {
    let mut waiting = waiting.lock();
    waiting.extend(news);
    let overflow = waiting.len().saturating_sub(MAX_WAITING_PARTS);
    waiting.drain(..overflow);
}
