//! Detects requests that crash endpoints, and blocks them.
//!
//! Load pattern: a request that crashes each endpoint which begins to run it is sent again and
//! again by its caller, to any daemon. With each endpoint all requests that run there, about
//! fifteen others, and its cached parts are lost; a fleet of nine engines lost 31 of them in 35 s.
//! A single crash does not show which of the running requests caused it, so all are suspects, and
//! the evidence is added up over all daemons:
//!
//! - A complete answer of any endpoint clears a request: one that crashes every endpoint never gets
//!   one.
//! - A request under which [`CRASHES_TO_BLOCK`] endpoints have crashed is blocked: no daemon sends
//!   it to an endpoint any more.
//! - Crashes that are explained by a blocked request no longer count against other requests that
//!   were running at the same time.
//!
//! `docs/design/crashing-requests.md` gives the reasons of each limit.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::num::NonZeroUsize;

use lru::LruCache;
use wisteriahitch_types::{DurationUs, TimeUs};

use super::gossip_message::CrashUpdate;
use super::recent_updates::RecentUpdates;
use super::suspect_gossip::crash_priority;
use crate::site::RequestFingerprint;

/// Number of crashes after which a request is blocked. The users allow three, and fewer would block
/// more innocent requests: one that is retried after each of two unrelated crashes has seen two.
pub const CRASHES_TO_BLOCK: usize = 3;

/// Number of crashes from which on a request is sent to the endpoint with the fewest running
/// requests. All requests that ran during one crash have seen one; an innocent one hardly ever sees
/// two without an answer in between.
const CRASHES_TO_ISOLATE: usize = 2;

/// Time for which an answer clears a request. A popular request runs at all endpoints at once, and
/// a power loss of a third of them would otherwise count as three crashes against it.
const CLEARED_TTL_US: DurationUs = DurationUs::from_ms(60_000);

/// Time after which the crashes of a request expire, and after which a blocked request that no
/// longer arrives is unblocked. A caller that repeats for longer than an hour has paused by then;
/// if the request crashes endpoints again, three are lost per hour.
const RECORD_TTL_US: DurationUs = DurationUs::from_ms(3_600_000);

/// Time for which a lifted block is not applied again from daemons that have not yet received the
/// lift.
const LIFTED_TTL_US: DurationUs = DurationUs::from_ms(10_000);

/// Maximum number of suspects: all requests that run on 30% of 1,200 engines with ten requests
/// each. Beyond that, those with the fewest crashes are evicted, the oldest first.
const MAX_SUSPECTS: usize = 4_096;

/// Maximum number of blocked requests. Beyond that, the one that has not arrived for longest is
/// unblocked.
const MAX_BLOCKED: usize = 256;

/// Maximum number of recorded answers: half a minute of a busy daemon.
const MAX_ANSWERED: NonZeroUsize = match NonZeroUsize::new(4_096) {
    Some(max) => max,
    None => NonZeroUsize::MIN,
};

/// Maximum number of crashes recorded as explained by a blocked request.
const MAX_EXPLAINED_CRASHES: usize = 1_024;

/// Crashes that count against one request.
#[derive(Debug, Default)]
pub(super) struct Suspect {
    /// Short names of the endpoint instances that crashed while the request was running there.
    pub(super) crashes: BTreeSet<u32>,
    /// Whether this daemon observed one of the crashes itself.
    is_direct: bool,
    last_crash_us: TimeUs,
}

/// A request that no endpoint gets.
#[derive(Clone, Copy, Debug)]
pub(super) struct Blocked {
    pub(super) blocked_at_us: TimeUs,
    pub(super) last_seen_us: TimeUs,
}

/// Result of recording a crash.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashVerdict {
    /// Nothing is to be done: the crash may count against the request, was already known, or is
    /// explained by another request.
    NoAction,
    /// The request is blocked from now on.
    Blocked {
        /// Whether this daemon observed one of the crashes itself, which decides who stores the
        /// block.
        is_direct: bool,
    },
}

/// Blocks and unblocks that an update of another daemon caused.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestChanges {
    /// Requests that are blocked now, and whether this daemon observed one of the crashes itself.
    pub blocked: Vec<(RequestFingerprint, bool)>,
    /// Requests that are no longer blocked.
    pub unblocked: Vec<RequestFingerprint>,
}

/// All suspects and blocked requests.
#[derive(Debug)]
pub struct SuspectTable {
    pub(super) suspects: HashMap<RequestFingerprint, Suspect>,
    pub(super) blocked: HashMap<RequestFingerprint, Blocked>,
    answered: LruCache<RequestFingerprint, TimeUs>,
    pub(super) lifted: HashMap<RequestFingerprint, TimeUs>,
    /// Crashes that are explained by a blocked request, oldest first.
    explained: VecDeque<u32>,
    pub(super) recent_crashes: RecentUpdates<CrashUpdate>,
    pub(super) recent_cleared: RecentUpdates<RequestFingerprint>,
    pub(super) recent_lifted: RecentUpdates<RequestFingerprint>,
}

impl Default for SuspectTable {
    fn default() -> Self {
        Self {
            suspects: HashMap::new(),
            blocked: HashMap::new(),
            answered: LruCache::new(MAX_ANSWERED),
            lifted: HashMap::new(),
            explained: VecDeque::new(),
            recent_crashes: RecentUpdates::default(),
            recent_cleared: RecentUpdates::default(),
            recent_lifted: RecentUpdates::default(),
        }
    }
}

impl SuspectTable {
    /// Records that an endpoint instance crashed while a request was running there. `is_direct`
    /// says whether this daemon observed the crash itself or another daemon reported it.
    pub fn record_request_crash(
        &mut self,
        request: RequestFingerprint,
        instance: u32,
        is_direct: bool,
        now: TimeUs,
    ) -> CrashVerdict {
        if self.is_cleared(request, now) {
            // A daemon that still suspects the request has not received the answer.
            self.recent_cleared.add(request, now);
            return CrashVerdict::NoAction;
        }
        if self.blocked.contains_key(&request) || self.explained.contains(&instance) {
            return CrashVerdict::NoAction;
        }
        self.evict_suspects();
        let suspect = self.suspects.entry(request).or_default();
        if now.since(suspect.last_crash_us) > RECORD_TTL_US {
            *suspect = Suspect::default();
        }
        suspect.is_direct |= is_direct;
        suspect.last_crash_us = now;
        if !suspect.crashes.insert(instance) {
            return CrashVerdict::NoAction;
        }
        let (crashes, is_direct) = (suspect.crashes.len(), suspect.is_direct);
        let update = CrashUpdate {
            request,
            endpoint: instance,
        };
        if self.recent_crashes.is_full() {
            self.recent_crashes
                .remove_least_important(|update| crash_priority(&self.suspects, update));
        }
        self.recent_crashes.add(update, now);
        if crashes < CRASHES_TO_BLOCK {
            return CrashVerdict::NoAction;
        }
        self.block(request, now, now);
        CrashVerdict::Blocked { is_direct }
    }

    /// Records a complete answer, which clears a request of all its crashes. Returns whether that
    /// ends a block.
    pub fn record_answer(&mut self, request: RequestFingerprint, now: TimeUs) -> bool {
        self.answered.put(request, now);
        let was_suspect = self.suspects.remove(&request).is_some();
        let was_blocked = self.blocked.remove(&request).is_some();
        if was_suspect || was_blocked {
            self.recent_cleared.add(request, now);
        }
        was_blocked
    }

    /// Returns how many endpoint instances other than this one crashed under a request.
    pub fn crashes_elsewhere(&self, request: RequestFingerprint, instance: u32) -> usize {
        let suspect = self.suspects.get(&request);
        suspect.map_or(0, |suspect| {
            suspect
                .crashes
                .iter()
                .filter(|crashed| **crashed != instance)
                .count()
        })
    }

    /// Returns whether a request is to be sent to the endpoint with the fewest running requests.
    pub fn needs_isolation(&self, request: RequestFingerprint) -> bool {
        let suspect = self.suspects.get(&request);
        suspect.is_some_and(|suspect| suspect.crashes.len() >= CRASHES_TO_ISOLATE)
    }

    /// Returns whether a request is blocked.
    pub fn is_blocked(&self, request: RequestFingerprint) -> bool {
        self.blocked.contains_key(&request)
    }

    /// Records that a request has arrived. Returns whether it is blocked.
    pub fn record_arrival(&mut self, request: RequestFingerprint, now: TimeUs) -> bool {
        let blocked = self.blocked.get_mut(&request);
        blocked.is_some_and(|blocked| {
            blocked.last_seen_us = now;
            true
        })
    }

    /// Restores a block from persistent storage. Returns whether it is new.
    pub fn restore_block(&mut self, request: RequestFingerprint, now: TimeUs) -> bool {
        if self.is_blocked(request) || self.is_cleared(request, now) {
            return false;
        }
        self.block(request, now, now);
        true
    }

    /// Ends a block by an operator's order. Returns whether there was one.
    ///
    /// Crashes recorded for the request so far no longer count.
    pub fn lift_block(&mut self, request: RequestFingerprint, now: TimeUs) -> bool {
        self.suspects.remove(&request);
        self.lifted.insert(request, now + LIFTED_TTL_US);
        self.recent_lifted.add(request, now);
        self.blocked.remove(&request).is_some()
    }

    /// Removes expired records, and returns the requests that are no longer blocked.
    pub fn tick(&mut self, now: TimeUs) -> Vec<RequestFingerprint> {
        self.lifted.retain(|_, until| *until > now);
        let is_expired = |blocked: &Blocked| now.since(blocked.last_seen_us) > RECORD_TTL_US;
        let expired = self.blocked.iter().filter(|(_, b)| is_expired(b));
        let expired: Vec<RequestFingerprint> = expired.map(|(request, _)| *request).collect();
        for request in &expired {
            self.blocked.remove(request);
        }
        expired
    }

    /// Blocks a request, and removes the crashes that this explains from all other suspects.
    pub(super) fn block(&mut self, request: RequestFingerprint, seen_at_us: TimeUs, now: TimeUs) {
        let crashes = self.suspects.remove(&request).unwrap_or_default().crashes;
        for suspect in self.suspects.values_mut() {
            suspect
                .crashes
                .retain(|instance| !crashes.contains(instance));
        }
        self.suspects
            .retain(|_, suspect| !suspect.crashes.is_empty());
        self.explained.extend(crashes);
        let surplus = self.explained.len().saturating_sub(MAX_EXPLAINED_CRASHES);
        self.explained.drain(..surplus);
        if self.blocked.len() >= MAX_BLOCKED {
            let oldest = self.blocked.iter().min_by_key(|(_, b)| b.last_seen_us);
            if let Some(oldest) = oldest.map(|(request, _)| *request) {
                self.blocked.remove(&oldest);
            }
        }
        let blocked = Blocked {
            blocked_at_us: now,
            last_seen_us: seen_at_us,
        };
        self.blocked.insert(request, blocked);
    }

    pub(super) fn is_cleared(&self, request: RequestFingerprint, now: TimeUs) -> bool {
        let answered_at = self.answered.peek(&request);
        answered_at.is_some_and(|at| now.since(*at) <= CLEARED_TTL_US)
    }

    /// Evicts a quarter of the suspects if there are too many.
    fn evict_suspects(&mut self) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let mut ranked: Vec<_> = self
            .suspects
            .iter()
            .map(|(request, suspect)| (suspect.crashes.len(), suspect.last_crash_us, *request))
            .collect();
        ranked.sort_unstable();
        for (_, _, request) in ranked.into_iter().take(MAX_SUSPECTS / 4) {
            self.suspects.remove(&request);
        }
    }

    /// Returns the blocked requests, and the time since each last arrived.
    pub fn blocked(&self, now: TimeUs) -> Vec<(RequestFingerprint, DurationUs)> {
        let absent = |blocked: &Blocked| now.since(blocked.last_seen_us);
        let mut blocked: Vec<_> = self
            .blocked
            .iter()
            .map(|(request, blocked)| (*request, absent(blocked)))
            .collect();
        blocked.sort_unstable();
        blocked
    }

    /// Returns the number of blocked requests.
    pub fn blocked_count(&self) -> usize {
        self.blocked.len()
    }

    /// Returns the number of suspects.
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }
}
