//! Requests under which endpoints crash.
//!
//! Load pattern: a request that ends each endpoint which begins to run it is sent again and again, by its caller, at
//! any daemon. With each endpoint go all that run there, some fifteen others, and its kept parts; a fleet of nine
//! engines lost 31 of them in 35 s. Nothing in one crash says which of the requests on board did it, so all are
//! suspects, and what is known of them is added up over all daemons:
//!
//! - A whole answer of any endpoint clears a request: one that ends whoever runs it never has one.
//! - A request under which [`CRASHES_TO_BLOCK`] endpoints have crashed is blocked: no daemon sends it to an
//!   endpoint any more.
//! - What one request is blocked for is held against no other that was on board with it.
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

/// Crashes after which a request is blocked. The users allow three, and fewer would blame more innocents: one that
/// is sent again after each of two crashes nobody caused has seen two.
pub const CRASHES_TO_BLOCK: usize = 3;

/// Crashes from which a request gets an endpoint with as little to lose as there is. All that were on board of one
/// crash have seen one; hardly an innocent sees two without an answer in between.
const CRASHES_TO_ISOLATE: usize = 2;

/// Time for which an answer speaks for a request. A popular look-up is under way at all endpoints at once, and a
/// loss of power of a third of them would be held against it thrice.
const CLEARED_TTL_US: DurationUs = DurationUs::from_ms(60_000);

/// Time after which what is held against a request is forgotten, and after which one that is blocked and no longer
/// comes is sent again. A caller that repeats for longer than an hour has paused by then; should the request end an
/// endpoint again, three are lost in an hour.
const RECORD_TTL_US: DurationUs = DurationUs::from_ms(3_600_000);

/// Time for which a lifted block isn't taken over again from daemons that haven't heard of it.
const LIFTED_TTL_US: DurationUs = DurationUs::from_ms(10_000);

/// Suspects that are remembered: all that were on board of thirty in a hundred of 1,200 engines with ten requests
/// each. Of more, those with the fewest crashes are forgotten, the oldest first.
const MAX_SUSPECTS: usize = 4_096;

/// Requests that are blocked. Of more, the one that hasn't come for longest is sent again.
const MAX_BLOCKED: usize = 256;

/// Requests that are remembered as answered: half a minute of a busy daemon.
const MAX_ANSWERED: NonZeroUsize = match NonZeroUsize::new(4_096) {
    Some(most) => most,
    None => NonZeroUsize::MIN,
};

/// Crashes that are remembered as explained.
const MAX_EXPLAINED_CRASHES: usize = 1_024;

/// What is held against one request.
#[derive(Debug, Default)]
pub(super) struct Suspect {
    /// Short names of the lives that ended while it was under way there.
    pub(super) crashes: BTreeSet<u32>,
    /// Whether a call of this daemon was one of them.
    is_direct: bool,
    last_crash_us: TimeUs,
}

/// A request that no endpoint gets.
#[derive(Clone, Copy, Debug)]
pub(super) struct Blocked {
    pub(super) blocked_at_us: TimeUs,
    pub(super) last_seen_us: TimeUs,
}

/// What follows from a crash.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashVerdict {
    /// Nothing is to be done. It may be held against the request, or was known, or has another cause.
    NoAction,
    /// The request is blocked from now on. Whether a call of this daemon is part of the proof says who writes it
    /// down.
    Blocked {
        /// Whether this daemon saw one of the crashes itself.
        is_direct: bool,
    },
}

/// What a message of another daemon changed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestChanges {
    /// Requests that are blocked now, and whether this daemon saw one of the crashes itself.
    pub blocked: Vec<(RequestFingerprint, bool)>,
    /// Requests that aren't any more.
    pub unblocked: Vec<RequestFingerprint>,
}

/// All suspects and blocked requests.
#[derive(Debug)]
pub struct SuspectTable {
    pub(super) suspects: HashMap<RequestFingerprint, Suspect>,
    pub(super) blocked: HashMap<RequestFingerprint, Blocked>,
    answered: LruCache<RequestFingerprint, TimeUs>,
    pub(super) lifted: HashMap<RequestFingerprint, TimeUs>,
    /// Crashes that a blocked request was on board of, the oldest first.
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
    /// Notes that a life of an endpoint crashed with a request on board, as this daemon saw (`is_own`) or was told.
    pub fn record_request_crash(
        &mut self,
        request: RequestFingerprint,
        instance: u32,
        is_direct: bool,
        now: TimeUs,
    ) -> CrashVerdict {
        if self.is_cleared(request, now) {
            // Whoever suspects it hasn't heard of the answer.
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

    /// Notes a whole answer, which clears a request of what is held against it, and returns whether that ends a
    /// block.
    pub fn record_answer(&mut self, request: RequestFingerprint, now: TimeUs) -> bool {
        self.answered.put(request, now);
        let was_suspect = self.suspects.remove(&request).is_some();
        let was_blocked = self.blocked.remove(&request).is_some();
        if was_suspect || was_blocked {
            self.recent_cleared.add(request, now);
        }
        was_blocked
    }

    /// Returns how many endpoints crashed under a request elsewhere than at this life.
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

    /// Returns whether a request goes where little is lost with it.
    pub fn needs_isolation(&self, request: RequestFingerprint) -> bool {
        let suspect = self.suspects.get(&request);
        suspect.is_some_and(|suspect| suspect.crashes.len() >= CRASHES_TO_ISOLATE)
    }

    /// Returns whether a request is blocked.
    pub fn is_blocked(&self, request: RequestFingerprint) -> bool {
        self.blocked.contains_key(&request)
    }

    /// Notes that a request has come, and returns whether it is blocked.
    pub fn record_arrival(&mut self, request: RequestFingerprint, now: TimeUs) -> bool {
        let blocked = self.blocked.get_mut(&request);
        blocked.is_some_and(|blocked| {
            blocked.last_seen_us = now;
            true
        })
    }

    /// Takes over a block that was written down, and returns whether that is new.
    pub fn restore_block(&mut self, request: RequestFingerprint, now: TimeUs) -> bool {
        if self.is_blocked(request) || self.is_cleared(request, now) {
            return false;
        }
        self.block(request, now, now);
        true
    }

    /// Ends a block by an operator's order, and returns whether there was one.
    ///
    /// What was held against the request so far no longer counts.
    pub fn lift_block(&mut self, request: RequestFingerprint, now: TimeUs) -> bool {
        self.suspects.remove(&request);
        self.lifted.insert(request, now + LIFTED_TTL_US);
        self.recent_lifted.add(request, now);
        self.blocked.remove(&request).is_some()
    }

    /// Ends what is too old, and returns the requests that are no longer blocked.
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

    /// Blocks a request, and holds what it is blocked for against no other.
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

    /// Forgets a quarter of the suspects where there are too many.
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

    /// Returns the blocked requests, and for how long each hasn't come.
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

    /// Returns how many requests are blocked.
    pub fn blocked_count(&self) -> usize {
        self.blocked.len()
    }

    /// Returns how many requests something is held against.
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }
}
