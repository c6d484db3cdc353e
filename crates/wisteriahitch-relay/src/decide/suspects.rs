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

use super::gossip_message::{BlockedUpdate, CrashUpdate, RequestUpdate};
use super::recent_updates::{RecentUpdates, TOLD_FOR_US};
use crate::site::RequestFingerprint;

/// Crashes after which a request is blocked. The users allow three, and fewer would blame more innocents: one that
/// is sent again after each of two crashes nobody caused has seen two.
pub const CRASHES_TO_BLOCK: usize = 3;

/// Crashes from which a request gets an endpoint with as little to lose as there is. All that were on board of one
/// crash have seen one; hardly an innocent sees two without an answer in between.
const CRASHES_TO_ISOLATE: usize = 2;

/// Time for which an answer speaks for a request. A popular look-up is under way at all endpoints at once, and a
/// loss of power of a third of them would be held against it thrice.
const CLEARED_FOR_US: DurationUs = DurationUs::from_ms(60_000);

/// Time after which what is held against a request is forgotten, and after which one that is blocked and no longer
/// comes is sent again. A caller that repeats for longer than an hour has paused by then; should the request end an
/// endpoint again, three are lost in an hour.
const REMEMBERED_FOR_US: DurationUs = DurationUs::from_ms(3_600_000);

/// Messages of which one names the blocked requests again. A daemon that starts, or was cut off, hears of them within a
/// second from each hub on the way; in every message 32 of them would cost a fleet of twelve 50 KB a second.
const REMIND_EVERY: u64 = 5;

/// Time for which a lifted block isn't taken over again from daemons that haven't heard of it.
const LIFTED_FOR_US: DurationUs = DurationUs::from_ms(10_000);

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
const MAX_EXPLAINED: usize = 1_024;

/// Most crashes in a message; the most suspect requests go first.
const MAX_CRASHES_TOLD: usize = 48;

/// Most blocked requests in a message; messages take turns with more.
const MAX_BLOCKED_TOLD: usize = 32;

/// What is held against one request.
#[derive(Debug, Default)]
struct Suspect {
    /// Short names of the lives that ended while it was under way there.
    crashes: BTreeSet<u32>,
    /// Whether a call of this daemon was one of them.
    is_own: bool,
    last_at_us: TimeUs,
}

/// A request that no endpoint gets.
#[derive(Clone, Copy, Debug)]
struct Blocked {
    learnt_at_us: TimeUs,
    last_came_at_us: TimeUs,
}

/// Returns how much a crash matters to the others: as many as its request has seen. Those of a blocked one are told
/// with the block.
fn weight(suspects: &HashMap<RequestFingerprint, Suspect>, news: &CrashUpdate) -> usize {
    let suspect = suspects.get(&news.request);
    suspect.map_or(0, |suspect| suspect.crashes.len())
}

/// What follows from a crash.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashVerdict {
    /// Nothing is to be done. It may be held against the request, or was known, or has another cause.
    Nothing,
    /// The request is blocked from now on. Whether a call of this daemon is part of the proof says who writes it
    /// down.
    Blocked {
        /// Whether this daemon saw one of the crashes itself.
        is_own: bool,
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
    suspects: HashMap<RequestFingerprint, Suspect>,
    blocked: HashMap<RequestFingerprint, Blocked>,
    answered: LruCache<RequestFingerprint, TimeUs>,
    lifted: HashMap<RequestFingerprint, TimeUs>,
    /// Crashes that a blocked request was on board of, the oldest first.
    explained: VecDeque<u32>,
    fresh_crashes: RecentUpdates<CrashUpdate>,
    fresh_cleared: RecentUpdates<RequestFingerprint>,
    fresh_lifted: RecentUpdates<RequestFingerprint>,
}

impl Default for SuspectTable {
    fn default() -> Self {
        Self {
            suspects: HashMap::new(),
            blocked: HashMap::new(),
            answered: LruCache::new(MAX_ANSWERED),
            lifted: HashMap::new(),
            explained: VecDeque::new(),
            fresh_crashes: RecentUpdates::default(),
            fresh_cleared: RecentUpdates::default(),
            fresh_lifted: RecentUpdates::default(),
        }
    }
}

impl SuspectTable {
    /// Notes that a life of an endpoint crashed with a request on board, as this daemon saw (`is_own`) or was told.
    pub fn crashed(
        &mut self,
        request: RequestFingerprint,
        life: u32,
        is_own: bool,
        now: TimeUs,
    ) -> CrashVerdict {
        if self.is_cleared(request, now) {
            // Whoever suspects it hasn't heard of the answer.
            self.fresh_cleared.add(request, now);
            return CrashVerdict::Nothing;
        }
        if self.blocked.contains_key(&request) || self.explained.contains(&life) {
            return CrashVerdict::Nothing;
        }
        self.make_room();
        let suspect = self.suspects.entry(request).or_default();
        if now.since(suspect.last_at_us) > REMEMBERED_FOR_US {
            *suspect = Suspect::default();
        }
        suspect.is_own |= is_own;
        suspect.last_at_us = now;
        if !suspect.crashes.insert(life) {
            return CrashVerdict::Nothing;
        }
        let (crashes, is_own) = (suspect.crashes.len(), suspect.is_own);
        let news = CrashUpdate {
            request,
            endpoint: life,
        };
        if self.fresh_crashes.is_full() {
            self.fresh_crashes
                .drop_least(|news| weight(&self.suspects, news));
        }
        self.fresh_crashes.add(news, now);
        if crashes < CRASHES_TO_BLOCK {
            return CrashVerdict::Nothing;
        }
        self.block(request, now, now);
        CrashVerdict::Blocked { is_own }
    }

    /// Notes a whole answer, which clears a request of what is held against it, and returns whether that ends a
    /// block.
    pub fn answered(&mut self, request: RequestFingerprint, now: TimeUs) -> bool {
        self.answered.put(request, now);
        let was_suspect = self.suspects.remove(&request).is_some();
        let was_blocked = self.blocked.remove(&request).is_some();
        if was_suspect || was_blocked {
            self.fresh_cleared.add(request, now);
        }
        was_blocked
    }

    /// Returns how many endpoints crashed under a request elsewhere than at this life.
    pub fn crashes_elsewhere(&self, request: RequestFingerprint, life: u32) -> usize {
        let suspect = self.suspects.get(&request);
        suspect.map_or(0, |suspect| {
            suspect.crashes.iter().filter(|l| **l != life).count()
        })
    }

    /// Returns whether a request goes where little is lost with it.
    pub fn is_isolated(&self, request: RequestFingerprint) -> bool {
        let suspect = self.suspects.get(&request);
        suspect.is_some_and(|suspect| suspect.crashes.len() >= CRASHES_TO_ISOLATE)
    }

    /// Returns whether a request is blocked.
    pub fn is_blocked(&self, request: RequestFingerprint) -> bool {
        self.blocked.contains_key(&request)
    }

    /// Notes that a request has come, and returns whether it is blocked.
    pub fn came(&mut self, request: RequestFingerprint, now: TimeUs) -> bool {
        let blocked = self.blocked.get_mut(&request);
        blocked.is_some_and(|blocked| {
            blocked.last_came_at_us = now;
            true
        })
    }

    /// Takes over a block that was written down, and returns whether that is new.
    pub fn restored(&mut self, request: RequestFingerprint, now: TimeUs) -> bool {
        if self.is_blocked(request) || self.is_cleared(request, now) {
            return false;
        }
        self.block(request, now, now);
        true
    }

    /// Ends a block by an operator's order, and returns whether there was one.
    ///
    /// What was held against the request so far no longer counts.
    pub fn lift(&mut self, request: RequestFingerprint, now: TimeUs) -> bool {
        self.suspects.remove(&request);
        self.lifted.insert(request, now + LIFTED_FOR_US);
        self.fresh_lifted.add(request, now);
        self.blocked.remove(&request).is_some()
    }

    /// Ends what is too old, and returns the requests that are no longer blocked.
    pub fn tick(&mut self, now: TimeUs) -> Vec<RequestFingerprint> {
        self.lifted.retain(|_, until| *until > now);
        let is_over = |blocked: &Blocked| now.since(blocked.last_came_at_us) > REMEMBERED_FOR_US;
        let over = self.blocked.iter().filter(|(_, b)| is_over(b));
        let over: Vec<RequestFingerprint> = over.map(|(request, _)| *request).collect();
        for request in &over {
            self.blocked.remove(request);
        }
        over
    }

    /// Returns what to tell the others in the message with this number.
    pub fn news(&mut self, number: u64, now: TimeUs) -> RequestUpdate {
        RequestUpdate {
            crashes: self.crashes_to_tell(now),
            blocked: self.blocked_to_tell(number, now),
            cleared: self.fresh_cleared.told_at(now).collect(),
            lifted: self.fresh_lifted.told_at(now).collect(),
        }
    }

    fn crashes_to_tell(&mut self, now: TimeUs) -> Vec<CrashUpdate> {
        let mut crashes: Vec<CrashUpdate> = self.fresh_crashes.told_at(now).collect();
        crashes.sort_by_key(|news| std::cmp::Reverse(weight(&self.suspects, news)));
        crashes.truncate(MAX_CRASHES_TOLD);
        crashes
    }

    fn blocked_to_tell(&self, number: u64, now: TimeUs) -> Vec<BlockedUpdate> {
        let is_reminder = number.is_multiple_of(REMIND_EVERY);
        let is_told =
            |blocked: &Blocked| is_reminder || now.since(blocked.learnt_at_us) < TOLD_FOR_US;
        let told = self.blocked.iter().filter(|(_, b)| is_told(b));
        let mut blocked: Vec<_> = told.collect();
        let pages = blocked.len().div_ceil(MAX_BLOCKED_TOLD).max(1);
        let page = usize::try_from(number / REMIND_EVERY).unwrap_or(0) % pages;
        blocked.sort_by_key(|(request, _)| **request);
        let told = blocked
            .into_iter()
            .skip(page * MAX_BLOCKED_TOLD)
            .take(MAX_BLOCKED_TOLD);
        let news = |(request, blocked): (&RequestFingerprint, &Blocked)| BlockedUpdate {
            request: *request,
            absent_ms: now.since(blocked.last_came_at_us).as_ms(),
        };
        told.map(news).collect()
    }

    /// Takes over what another daemon tells.
    pub fn told(&mut self, news: &RequestUpdate, now: TimeUs) -> RequestChanges {
        let mut changes = RequestChanges::default();
        for request in &news.cleared {
            if self.told_cleared(*request, now) {
                changes.unblocked.push(*request);
            }
        }
        for request in &news.lifted {
            let is_known = self.lifted.contains_key(request);
            if !is_known && self.lift(*request, now) {
                changes.unblocked.push(*request);
            }
        }
        for crash in &news.crashes {
            let verdict = self.crashed(crash.request, crash.endpoint, false, now);
            if let CrashVerdict::Blocked { is_own } = verdict {
                changes.blocked.push((crash.request, is_own));
            }
        }
        for blocked in &news.blocked {
            if self.told_blocked(*blocked, now) {
                changes.blocked.push((blocked.request, false));
            }
        }
        changes
    }

    /// Takes over that a request was answered, and returns whether that ends a block.
    fn told_cleared(&mut self, request: RequestFingerprint, now: TimeUs) -> bool {
        let is_known = self.suspects.contains_key(&request) || self.is_blocked(request);
        is_known && self.answered(request, now)
    }

    fn told_blocked(&mut self, news: BlockedUpdate, now: TimeUs) -> bool {
        let came_at_us = now
            .get()
            .saturating_sub(DurationUs::from_ms(news.absent_ms).get());
        let came_at_us = TimeUs::new(came_at_us);
        if let Some(known) = self.blocked.get_mut(&news.request) {
            known.last_came_at_us = known.last_came_at_us.max(came_at_us);
            return false;
        }
        if self.is_cleared(news.request, now) {
            self.fresh_cleared.add(news.request, now);
            return false;
        }
        if self.lifted.contains_key(&news.request) {
            self.fresh_lifted.add(news.request, now);
            return false;
        }
        self.block(news.request, came_at_us, now);
        true
    }

    /// Blocks a request, and holds what it is blocked for against no other.
    fn block(&mut self, request: RequestFingerprint, came_at_us: TimeUs, now: TimeUs) {
        let crashes = self.suspects.remove(&request).unwrap_or_default().crashes;
        for suspect in self.suspects.values_mut() {
            suspect.crashes.retain(|life| !crashes.contains(life));
        }
        self.suspects
            .retain(|_, suspect| !suspect.crashes.is_empty());
        self.explained.extend(crashes);
        let surplus = self.explained.len().saturating_sub(MAX_EXPLAINED);
        self.explained.drain(..surplus);
        if self.blocked.len() >= MAX_BLOCKED {
            let oldest = self.blocked.iter().min_by_key(|(_, b)| b.last_came_at_us);
            if let Some(oldest) = oldest.map(|(request, _)| *request) {
                self.blocked.remove(&oldest);
            }
        }
        let blocked = Blocked {
            learnt_at_us: now,
            last_came_at_us: came_at_us,
        };
        self.blocked.insert(request, blocked);
    }

    fn is_cleared(&self, request: RequestFingerprint, now: TimeUs) -> bool {
        let answered_at = self.answered.peek(&request);
        answered_at.is_some_and(|at| now.since(*at) <= CLEARED_FOR_US)
    }

    /// Forgets a quarter of the suspects where there are too many.
    fn make_room(&mut self) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let mut known: Vec<_> = self
            .suspects
            .iter()
            .map(|(request, suspect)| (suspect.crashes.len(), suspect.last_at_us, *request))
            .collect();
        known.sort_unstable();
        for (_, _, request) in known.into_iter().take(MAX_SUSPECTS / 4) {
            self.suspects.remove(&request);
        }
    }

    /// Returns the blocked requests, and for how long each hasn't come.
    pub fn blocked(&self, now: TimeUs) -> Vec<(RequestFingerprint, DurationUs)> {
        let absent = |blocked: &Blocked| now.since(blocked.last_came_at_us);
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
