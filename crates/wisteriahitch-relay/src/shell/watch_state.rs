//! What is known of the store's objects, and how fresh that is.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use wisteriahitch_types::{DurationUs, TimeUs};
use wisteriahitch_wire::object_store::{ObjectRole, Revision, StoredObject};

use crate::decide::gossip_message::KindUpdate;
use crate::decide::staleness::StalenessLimits;
use crate::settings::Bounds;

/// Kinds of objects that every daemon follows.
pub(crate) const WATCHED: [ObjectRole; 4] = [
    ObjectRole::Endpoints,
    ObjectRole::Configuration,
    ObjectRole::Weights,
    ObjectRole::Evacuations,
];

/// Deletions that are remembered for peers; one that has missed more is told everything.
const REMEMBERED_DELETIONS: usize = 1_000;

/// What is known of one kind of objects.
#[derive(Debug, Default)]
pub(crate) struct WatchState {
    /// Revision to watch from.
    pub(super) revision: Revision,
    /// Revision at which something last changed.
    pub(super) changed: Revision,
    pub(super) is_listed: bool,
    pub(super) failing_since_us: Option<TimeUs>,
    pub(super) recovered_at_us: Option<TimeUs>,
    pub(super) answered_at_us: Option<TimeUs>,
    /// As of when everything is known, by the store's word to this daemon or to another.
    pub(super) as_of_us: Option<TimeUs>,
    pub(super) objects: BTreeMap<String, StoredObject>,
    /// Names of deleted objects, the newest last.
    pub(super) deleted: VecDeque<(Revision, String)>,
    /// Up to this revision deletions may be missing: they were forgotten, or came before a listing.
    pub(super) forgotten: Revision,
    /// Since when a peer has been known to know more.
    pub(super) behind: Option<(TimeUs, Ipv4Addr)>,
    /// Whether a peer is being asked. Asked again by each of its messages, one that answers late
    /// would have to answer ever more.
    pub(super) is_catching_up: bool,
}

/// The state of all followed kinds, in the order of [`WATCHED`].
#[derive(Debug, Default)]
pub(crate) struct WatchStates([Mutex<WatchState>; WATCHED.len()]);

impl WatchStates {
    pub(super) fn of(&self, role: ObjectRole) -> &Mutex<WatchState> {
        let index = WATCHED.iter().position(|watched| *watched == role);
        &self.0[index.unwrap_or(0)]
    }

    /// Returns whether every kind that `bounds` have daemons follow was listed at least once.
    pub(crate) fn has_listed_all(&self, bounds: &Bounds) -> bool {
        let mut followed = WATCHED.iter().filter(|role| bounds.is_watched(**role));
        followed.all(|role| self.of(*role).lock().is_listed)
    }

    /// Returns whether what the configuration doesn't hold may be called unknown.
    pub(crate) fn is_final(&self, limits: &StalenessLimits, now: TimeUs) -> bool {
        let state = self.of(ObjectRole::Configuration).lock();
        let is_newest_known = state.behind.is_none() && !state.is_catching_up;
        // While the store turns this daemon away, others may confirm what it knows.
        let is_confirmed = state
            .failing_since_us
            .is_none_or(|since| state.as_of_us > Some(since));
        is_newest_known && is_confirmed && limits.is_final(state.as_of_us, now)
    }

    /// Notes as of when everything of a kind is known, once what the store told has been taken over.
    pub(super) fn confirm(&self, role: ObjectRole, as_of: TimeUs) {
        self.of(role).lock().confirm(as_of);
    }

    /// Returns as of when everything of a kind is known.
    pub(crate) fn as_of(&self, role: ObjectRole) -> Option<TimeUs> {
        self.of(role).lock().as_of_us
    }

    /// Returns the time since then, in milliseconds.
    pub(crate) fn age_ms(&self, role: ObjectRole, now: TimeUs) -> Option<u64> {
        let as_of = self.as_of(role);
        as_of.map(|as_of| now.since(as_of).as_ms())
    }

    /// Returns whether the store answers.
    pub(crate) fn is_store_reachable(&self) -> bool {
        self.0
            .iter()
            .all(|state| state.lock().failing_since_us.is_none())
    }

    /// Returns what is known of each kind, for the other daemons.
    pub(crate) fn news(&self, now: TimeUs) -> Vec<KindUpdate> {
        let news = |state: &Mutex<WatchState>| {
            let state = state.lock();
            let age_ms = state.as_of_us.map(|as_of| now.since(as_of).as_ms());
            KindUpdate {
                revision: state.changed.0,
                age_ms: age_ms.and_then(|age_ms| u32::try_from(age_ms).ok()),
            }
        };
        self.0.iter().map(news).collect()
    }

    /// Notes what a peer knows, and returns whether that is more. Its message was held up for so long.
    pub(crate) fn peer_knows(
        &self,
        ip: Ipv4Addr,
        kinds: &[KindUpdate],
        held_up_us: DurationUs,
        now: TimeUs,
    ) -> bool {
        let mut is_behind = false;
        for (state, news) in self.0.iter().zip(kinds) {
            let mut state = state.lock();
            let is_free = state.behind.is_none() && !state.is_catching_up;
            if news.revision <= state.changed.0 {
                state.confirm_by_peer(news, held_up_us, now);
            } else if is_free {
                state.behind = Some((now, ip));
                is_behind = true;
            }
        }
        is_behind
    }

    /// Returns the kinds of which a peer has known more for `patience`, and that peer.
    pub(crate) fn behind(&self, patience: DurationUs, now: TimeUs) -> Vec<(ObjectRole, Ipv4Addr)> {
        let mut behind = Vec::new();
        for (role, state) in WATCHED.iter().zip(&self.0) {
            let mut state = state.lock();
            let is_due = |(since, _): &mut (TimeUs, Ipv4Addr)| now.since(*since) >= patience;
            if let Some((_, ip)) = state.behind.take_if(is_due) {
                state.is_catching_up = true;
                behind.push((*role, ip));
            }
        }
        behind
    }

    /// Notes that a peer has answered, or won't.
    pub(crate) fn caught_up(&self, role: ObjectRole) {
        self.of(role).lock().is_catching_up = false;
    }

    /// Returns the revision of the last known change of a kind.
    pub(crate) fn changed_revision(&self, role: ObjectRole) -> Revision {
        self.of(role).lock().changed
    }

    /// Returns what has changed of a kind since a revision, for a peer.
    pub(crate) fn delta(&self, role: ObjectRole, since: Revision) -> Delta {
        let state = self.of(role).lock();
        let is_full = since == Revision::default();
        let misses_deletions = !is_full && since < state.forgotten;
        let is_new = |object: &&StoredObject| is_full || object.revision > since;
        let gone = state
            .deleted
            .iter()
            .filter(|(revision, _)| !is_full && *revision > since);
        let names = || state.objects.keys().cloned().collect();
        Delta {
            revision: state.changed,
            is_full,
            names: misses_deletions.then(names),
            objects: state.objects.values().filter(is_new).cloned().collect(),
            deleted: gone
                .map(|(revision, name)| (name.clone(), *revision))
                .collect(),
        }
    }
}

/// What one daemon tells another of a kind of objects.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Delta {
    /// Revision up to which it tells.
    pub(crate) revision: Revision,
    /// Whether it holds all objects instead of the changes.
    pub(super) is_full: bool,
    pub(super) objects: Vec<StoredObject>,
    /// Names of deleted objects, and when they were.
    pub(super) deleted: Vec<(String, Revision)>,
    /// Names of all objects, where not all deletions are known. What a listing doesn't hold may have been
    /// there before it: told as a change like any other, nothing would be said of it, and a daemon
    /// that knows it would keep it for good.
    pub(super) names: Option<BTreeSet<String>>,
}

impl WatchState {
    fn confirm(&mut self, as_of: TimeUs) {
        self.as_of_us = self.as_of_us.max(Some(as_of));
    }

    fn confirm_by_peer(&mut self, news: &KindUpdate, held_up_us: DurationUs, now: TimeUs) {
        let Some(age_ms) = news.age_ms else { return };
        let age_us = DurationUs::from_ms(u64::from(age_ms)) + held_up_us;
        self.confirm(TimeUs::new(now.get().saturating_sub(age_us.get())));
    }

    /// Returns the time since the store last answered, in milliseconds.
    pub(super) fn silent_ms(&self, now: TimeUs) -> Option<u64> {
        self.answered_at_us.map(|at| now.since(at).as_ms())
    }

    /// Remembers a deletion for peers, also of an object that was never known here: they may know it.
    pub(super) fn note_deleted(&mut self, name: String, revision: Revision) {
        let deletion = (revision, name);
        if self.deleted.contains(&deletion) {
            return;
        }
        self.deleted.push_back(deletion);
        let is_full = self.deleted.len() > REMEMBERED_DELETIONS;
        let oldest = is_full.then(|| self.deleted.pop_front()).flatten();
        if let Some((revision, _)) = oldest {
            self.forgotten = self.forgotten.max(revision);
        }
    }

    /// Returns the names of known objects that are not among all those there are.
    pub(super) fn missing_from(&self, names: &BTreeSet<String>) -> Vec<String> {
        let known = self.objects.keys();
        known
            .filter(|name| !names.contains(*name))
            .cloned()
            .collect()
    }
}

/// Returns the word for logs, metrics and paths between daemons.
pub(crate) const fn kind_name(role: ObjectRole) -> &'static str {
    match role {
        ObjectRole::Endpoints => "endpoints",
        ObjectRole::Configuration => "configuration",
        ObjectRole::Weights => "weights",
        ObjectRole::Members => "members",
        ObjectRole::Leases => "leases",
        ObjectRole::BlockedRequests => "blocked_requests",
        ObjectRole::Evacuations => "evacuations",
    }
}
