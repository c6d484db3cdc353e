//! The known objects of the platform's store, and how fresh they are.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;
use std::ops::Bound;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use wisteriahitch_types::{ByteCount, DurationUs, TimeUs};
use wisteriahitch_wire::object_store::{ObjectRole, Reception, Revision, StoreEpoch, StoredObject};
use wisteriahitch_wire::transfer::TransferProgress;

use super::peer_answer::PeerAnswer;
use super::site_state::ReplacementAges;
use crate::decide::gossip_message::KindUpdate;
use crate::decide::object_sources::{ObjectSources, StoreAnswer};
use crate::decide::staleness::StalenessLimits;
use crate::decide::store_outages::{AbsenceCause, StoreOutages};
use crate::settings::Bounds;

/// Roles of the objects that daemons watch.
pub(crate) const WATCHED_ROLES: [ObjectRole; 4] = [
    ObjectRole::Endpoints,
    ObjectRole::Configuration,
    ObjectRole::Weights,
    ObjectRole::Evacuations,
];

/// Maximum number of remembered deletions. A peer that has missed more gets the names of all
/// objects.
const MAX_RECENT_DELETIONS: usize = 1_000;

/// Size of all objects of a role from which on it matters whether they are read once or several times.
const LARGE_LISTING_BYTES: ByteCount = ByteCount::new(64 * 1024);

/// Time for which a peer counts as having the same objects unless it says so again.
const HOLDER_TTL_US: DurationUs = DurationUs::from_ms(600);

/// Source of an update, as it appears in the log.
pub(super) const STORE: &str = "store";
pub(super) const PEER: &str = "peer";

/// A daemon that may have newer objects.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ObjectPeer {
    /// Address.
    pub(crate) ip: Ipv4Addr,
    /// Rate of its VM's link in Mbit/s.
    pub(crate) link_mbps: u16,
}

/// Known objects of one role.
#[derive(Debug, Default)]
pub(crate) struct WatchState {
    /// Revision to continue the watch from.
    pub(super) watch_revision: Revision,
    /// Revision of the last known change.
    pub(super) last_change: Revision,
    /// When a complete listing was first applied, from the store or from a peer.
    pub(super) listed_at_us: Option<TimeUs>,
    /// Since when this daemon has learned of every change. Objects that came and went before it may be
    /// unknown.
    pub(super) followed_since_us: Option<TimeUs>,
    /// When the store stopped answering this daemon; `None` while it answers.
    pub(super) failing_since_us: Option<TimeUs>,
    /// When the store last answered this daemon.
    pub(super) answered_at_us: Option<TimeUs>,
    /// Time as of which all objects are known, confirmed by the store to this daemon or to a peer.
    pub(super) complete_as_of_us: Option<TimeUs>,
    /// When the store last answered a watch without delay, so that all objects were known at that time
    /// unless the delay of its answer remained unnoticed.
    pub(super) timely_at_us: Option<TimeUs>,
    /// Who confirmed them last, as it appears in the log.
    pub(super) confirmed_by: &'static str,
    /// Whether the log says that they are confirmed.
    pub(super) is_logged_as_confirmed: bool,
    /// When the store is called again after a failure.
    pub(super) next_call_at_us: Option<TimeUs>,
    /// Known objects by name.
    pub(super) objects: BTreeMap<String, StoredObject>,
    /// Names of objects that the store has lost, and until when they count as existing.
    pub(super) lost: BTreeMap<String, TimeUs>,
    /// Recently deleted objects, newest last.
    pub(super) recent_deletions: VecDeque<(Revision, String)>,
    /// Deletions up to this revision may be missing, because they were pruned or preceded a
    /// listing.
    pub(super) deletions_lost_up_to: Revision,
    /// Peers that have newer objects.
    pub(super) sources: ObjectSources,
    /// Peers that have the same objects, and when they last said so.
    holders: BTreeMap<Ipv4Addr, TimeUs>,
    /// Whether objects are being fetched from a peer.
    pub(super) catching_up: watch::Sender<bool>,
    /// Progress of the current peer's answer.
    pub(super) peer_answer: TransferProgress,
    /// What has arrived of a peer's answer whose transfer broke off.
    pub(super) partial_answer: PeerAnswer,
    /// Progress of the store's current answer.
    pub(super) store_answer: TransferProgress,
    /// Whether the last fetch from a peer failed, and the store hasn't answered since.
    pub(super) is_catch_up_failing: bool,
}

/// Known objects of all watched roles.
#[derive(Debug)]
pub(crate) struct WatchStates {
    /// In the order of [`WATCHED_ROLES`].
    by_role: [Mutex<WatchState>; WATCHED_ROLES.len()],
    /// Latest known epoch of the store.
    epoch: watch::Sender<StoreEpoch>,
    /// Outages of the store in which registrations may have lapsed, by its answers of any role.
    outages: Mutex<StoreOutages>,
    /// Held during a call that asks the store to confirm the known objects, so that there is one at a time
    /// for each role. In the order of [`WATCHED_ROLES`].
    confirmations: [tokio::sync::Mutex<()>; WATCHED_ROLES.len()],
}

impl WatchStates {
    /// Creates the state of a daemon that knows no objects.
    pub(crate) fn new(bounds: &Bounds) -> Self {
        Self {
            by_role: Default::default(),
            epoch: watch::Sender::default(),
            outages: Mutex::new(StoreOutages::new(bounds.shortest_lapse())),
            confirmations: Default::default(),
        }
    }

    /// Returns the latest known epoch of the store.
    pub(super) fn epoch(&self) -> StoreEpoch {
        *self.epoch.borrow()
    }

    /// Records an epoch of the store. Returns the previous one if this is a later one.
    pub(super) fn raise_epoch(&self, epoch: StoreEpoch, now: TimeUs) -> Option<StoreEpoch> {
        let mut previous = None;
        self.epoch.send_if_modified(|known| {
            let is_later = epoch > *known;
            if is_later {
                previous = Some(std::mem::replace(known, epoch));
            }
            is_later
        });
        // A daemon that has listed nothing misses no registration.
        if previous.is_some() && self.state_of(ObjectRole::Endpoints).lock().is_listed() {
            self.outages.lock().record_restoration(now);
        }
        previous
    }

    /// Waits until the store is known to be in a later epoch than `epoch`.
    pub(super) async fn wait_for_epoch_after(&self, epoch: StoreEpoch) {
        let mut epochs = self.epoch.subscribe();
        // `wait_for` fails only after the sender was dropped, and this state owns the sender.
        let _ = epochs.wait_for(|known| *known > epoch).await;
    }

    /// Returns why a registration is absent of which this daemon learns now.
    pub(super) fn absence_cause(&self, now: TimeUs) -> AbsenceCause {
        self.outages.lock().absence_cause(now)
    }

    /// Waits until no other call to confirm the known objects of a role is in progress, and prevents
    /// further ones while the guard is held.
    pub(super) async fn lock_confirmation(
        &self,
        role: ObjectRole,
    ) -> tokio::sync::MutexGuard<'_, ()> {
        self.confirmations[index_of(role)].lock().await
    }

    /// Records that the store answered this daemon.
    pub(super) fn record_store_answer(&self, now: TimeUs) {
        self.outages.lock().record_answer(now);
    }

    /// Records that a call of this daemon to the store failed.
    pub(super) fn record_store_failure(&self, now: TimeUs) {
        self.outages.lock().record_failure(now);
    }

    /// Returns the state of a watched role.
    pub(super) fn state_of(&self, role: ObjectRole) -> &Mutex<WatchState> {
        &self.by_role[index_of(role)]
    }

    /// Returns whether all objects of each watched role were listed at least once.
    pub(crate) fn has_listed_all(&self, bounds: &Bounds) -> bool {
        let mut watched = WATCHED_ROLES
            .iter()
            .filter(|role| bounds.is_watched(**role));
        watched.all(|role| self.state_of(*role).lock().is_listed())
    }

    /// Returns whether a route or key that the configuration lacks may be reported as unknown to
    /// callers.
    pub(crate) fn is_configuration_final(&self, limits: &StalenessLimits, now: TimeUs) -> bool {
        let state = self.state_of(ObjectRole::Configuration).lock();
        let is_newest_known = state.sources.newer_since(now).is_none() && !state.is_catching_up();
        // While the store refuses this daemon, others may confirm the objects.
        let is_confirmed = state
            .failing_since_us
            .is_none_or(|since| state.complete_as_of_us > Some(since));
        is_newest_known && is_confirmed && limits.is_final(state.complete_as_of_us, now)
    }

    /// Returns whether this daemon has learned of every change of a role's objects since `since`.
    pub(super) fn is_followed_since(&self, role: ObjectRole, since: TimeUs) -> bool {
        let state = self.state_of(role).lock();
        state.followed_since_us.is_some_and(|at| at <= since)
    }

    /// Records that all objects of a role as of `as_of` are known. Must be called after applying
    /// them.
    pub(super) fn confirm_complete(&self, role: ObjectRole, as_of: TimeUs) {
        self.state_of(role).lock().confirm(as_of, STORE);
    }

    /// Returns the time as of which all objects of a role are known.
    pub(crate) fn complete_as_of(&self, role: ObjectRole) -> Option<TimeUs> {
        self.state_of(role).lock().complete_as_of_us
    }

    /// Returns the age of the known objects of a role, in milliseconds.
    pub(crate) fn age_ms(&self, role: ObjectRole, now: TimeUs) -> Option<u64> {
        self.state_of(role).lock().age_ms(now)
    }

    /// Returns whether no watch is failing.
    pub(crate) fn is_store_reachable(&self) -> bool {
        self.by_role
            .iter()
            .all(|state| state.lock().failing_since_us.is_none())
    }

    /// Returns the revision and age of each role's objects, for gossip.
    pub(crate) fn kind_updates(&self, now: TimeUs) -> Vec<KindUpdate> {
        let update_of = |state: &Mutex<WatchState>| {
            let state = state.lock();
            KindUpdate {
                revision: state.last_change.get(),
                age_ms: state
                    .age_ms(now)
                    .and_then(|age_ms| u32::try_from(age_ms).ok()),
            }
        };
        self.by_role.iter().map(update_of).collect()
    }

    /// Applies the revisions and ages that `peer` reports. Returns whether it is the first peer with newer
    /// objects of some role. `held_up_us` is how long its message was delayed.
    pub(crate) fn apply_peer_kinds(
        &self,
        peer: &ObjectPeer,
        kinds: &[KindUpdate],
        held_up_us: DurationUs,
        now: TimeUs,
    ) -> bool {
        let mut is_behind = false;
        for update in kinds {
            if let Some(age_ms) = update.age_ms {
                let age_us = DurationUs::from_ms(u64::from(age_ms)) + held_up_us;
                let answered_at = TimeUs::new(now.get().saturating_sub(age_us.get()));
                self.outages.lock().record_answer(answered_at);
            }
        }
        for (state, update) in self.by_role.iter().zip(kinds) {
            let mut state = state.lock();
            let revision = Revision::from_u64(update.revision);
            if revision <= state.last_change {
                state.confirm_by_peer(update, held_up_us, now);
                match revision == state.last_change {
                    true => state.holders.insert(peer.ip, now),
                    false => state.holders.remove(&peer.ip),
                };
                continue;
            }
            let is_first = state.sources.record(peer.ip, revision, peer.link_mbps, now);
            is_behind |= is_first && !state.is_catching_up();
        }
        is_behind
    }

    /// Returns the roles of which a peer has had newer objects for at least `delay_us`, with the peer
    /// that this daemon, `me`, should fetch them from, and marks them as being caught up.
    ///
    /// A role of which the store's answer arrives fast is left out.
    pub(crate) fn begin_due_catch_ups(
        &self,
        me: Ipv4Addr,
        delay_us: DurationUs,
        now: TimeUs,
    ) -> Vec<(ObjectRole, Ipv4Addr)> {
        let mut due = Vec::new();
        for (role, state) in WATCHED_ROLES.iter().zip(&self.by_role) {
            let mut state = state.lock();
            let newer_since = state.sources.newer_since(now);
            let is_due = newer_since.is_some_and(|since| now.since(since) >= delay_us);
            if !is_due || state.is_catching_up() || state.waits_for_store() {
                continue;
            }
            let best = match state.store_answer.is_receiving() {
                true => state.sources.best_in_place_of_store(me, now),
                false => state.sources.best_to_begin(me, now),
            };
            if let Some(ip) = best {
                state.peer_answer = TransferProgress::default();
                state.catching_up.send_replace(true);
                due.push((*role, ip));
            }
        }
        due
    }

    /// Returns the peers that have the same objects of a role as this daemon.
    pub(super) fn holders(&self, role: ObjectRole, now: TimeUs) -> Vec<Ipv4Addr> {
        let mut state = self.state_of(role).lock();
        state
            .holders
            .retain(|_, said_at| now.since(*said_at) < HOLDER_TTL_US);
        state.holders.keys().copied().collect()
    }

    /// Records that a fetch from a peer failed, and returns the next one to ask.
    pub(crate) fn next_source(
        &self,
        role: ObjectRole,
        failed: Ipv4Addr,
        me: Ipv4Addr,
        now: TimeUs,
    ) -> Option<Ipv4Addr> {
        let mut state = self.state_of(role).lock();
        state.sources.record_failure(failed, now);
        state.peer_answer = TransferProgress::default();
        state.sources.best(me, now)
    }

    /// Takes what has arrived of a peer's answer to a question; nothing if it answers another one.
    pub(super) fn take_partial_answer(&self, role: ObjectRole, path: &str) -> PeerAnswer {
        let mut state = self.state_of(role).lock();
        let partial = std::mem::take(&mut state.partial_answer);
        match partial.path() == path {
            true => partial,
            false => PeerAnswer::new(path),
        }
    }

    /// Keeps what has arrived of a peer's answer for the next attempt.
    pub(super) fn keep_partial_answer(&self, role: ObjectRole, partial: PeerAnswer) {
        self.state_of(role).lock().partial_answer = partial;
    }

    /// Returns the peer that this daemon, `me`, should fetch objects of a role from.
    pub(super) fn best_source(
        &self,
        role: ObjectRole,
        me: Ipv4Addr,
        now: TimeUs,
    ) -> Option<Ipv4Addr> {
        self.state_of(role).lock().sources.best(me, now)
    }

    /// Marks a catch-up as finished.
    pub(crate) fn finish_catch_up(&self, role: ObjectRole, is_ok: bool) {
        let mut state = self.state_of(role).lock();
        state.is_catch_up_failing = !is_ok;
        state.catching_up.send_replace(false);
    }

    /// Returns how the next answer of the store is received.
    ///
    /// An answer with all changes may be larger than a listing, which has each object once.
    pub(super) fn begin_reception(&self, role: ObjectRole) -> Reception {
        let mut state = self.state_of(role).lock();
        let known_bytes: usize = state.objects.values().map(|o| o.content.len()).sum();
        let known_bytes = ByteCount::new(u64::try_from(known_bytes).unwrap_or(u64::MAX));
        let mut reception = Reception::default();
        if known_bytes >= LARGE_LISTING_BYTES {
            let half = ByteCount::new(known_bytes.get() / 2);
            reception.max_bytes = known_bytes + half + LARGE_LISTING_BYTES;
        }
        state.store_answer = reception.progress.clone();
        reception
    }

    /// Waits until objects of a role are being fetched from a peer (`expected` is true) or are not.
    pub(super) async fn wait_for_catch_up(&self, role: ObjectRole, expected: bool) {
        let mut catching_up = self.state_of(role).lock().catching_up.subscribe();
        // `wait_for` fails only after the sender was dropped, and the state owns the sender.
        let _ = catching_up.wait_for(|is_open| *is_open == expected).await;
    }

    /// Returns the revision of the last known change of a role.
    pub(crate) fn changed_revision(&self, role: ObjectRole) -> Revision {
        self.state_of(role).lock().last_change
    }

    /// Returns a page of all objects of a role for a peer: the first `max` objects whose names come
    /// after `after`.
    ///
    /// The peer uses the revision of the first page, so it receives the changes made between two
    /// pages afterwards.
    pub(crate) fn page(
        &self,
        role: ObjectRole,
        after: Option<&str>,
        max: usize,
        now: TimeUs,
    ) -> ObjectDelta {
        let state = self.state_of(role).lock();
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut rest = state.objects.range::<str, _>((start, Bound::Unbounded));
        let objects: Vec<StoredObject> = rest.by_ref().take(max).map(|(_, o)| o.clone()).collect();
        ObjectDelta {
            revision: state.last_change,
            age_ms: state.age_ms(now),
            is_full: true,
            has_more: rest.next().is_some(),
            objects,
            deleted: Vec::new(),
            names: None,
            replacement_ages: ReplacementAges::new(),
        }
    }

    /// Returns the changes of a role since a revision, for a peer. At revision 0, returns all
    /// objects. If some deletions since the revision are unknown, includes the names of all
    /// existing objects.
    pub(crate) fn delta(&self, role: ObjectRole, since: Revision, now: TimeUs) -> ObjectDelta {
        let state = self.state_of(role).lock();
        let is_full = since == Revision::default();
        let misses_deletions = !is_full && since < state.deletions_lost_up_to;
        let is_new = |object: &&StoredObject| is_full || object.revision > since;
        let deletions = state
            .recent_deletions
            .iter()
            .filter(|(revision, _)| !is_full && *revision > since);
        let names = || state.objects.keys().cloned().collect();
        ObjectDelta {
            revision: state.last_change,
            age_ms: state.age_ms(now),
            is_full,
            has_more: false,
            names: misses_deletions.then(names),
            objects: state.objects.values().filter(is_new).cloned().collect(),
            deleted: deletions
                .map(|(revision, name)| (name.clone(), *revision))
                .collect(),
            replacement_ages: ReplacementAges::new(),
        }
    }
}

/// Changes of one role's objects that a daemon sends to a peer.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ObjectDelta {
    /// Revision up to which the changes are complete.
    pub(crate) revision: Revision,
    /// Time since the sender's objects were confirmed to be complete, in milliseconds; `None` if they
    /// never were.
    #[serde(default)]
    pub(super) age_ms: Option<u64>,
    /// Whether `objects` contains all objects instead of the changes.
    pub(super) is_full: bool,
    /// Whether more objects follow on the next page.
    #[serde(default)]
    pub(super) has_more: bool,
    pub(super) objects: Vec<StoredObject>,
    /// Names of deleted objects, with the revisions of their deletion.
    pub(super) deleted: Vec<(String, Revision)>,
    /// Names of all existing objects, if some deletions are unknown to the sender. A listing
    /// doesn't show which objects existed before it. With changes alone, a receiver that knows such
    /// a deleted object would keep it for good.
    pub(super) names: Option<BTreeSet<String>>,
    /// With weights, how old the replacements are that the sender knows. Older daemons send none.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub(super) replacement_ages: ReplacementAges,
}

impl WatchState {
    /// Returns whether objects are being fetched from a peer.
    pub(super) fn is_catching_up(&self) -> bool {
        *self.catching_up.borrow()
    }

    /// Returns whether the store's answer is arriving fast enough to be waited for.
    fn waits_for_store(&self) -> bool {
        self.store_answer.is_receiving() && !self.is_store_answer_slow()
    }

    /// Returns whether a peer's answer is arriving that replaces the store's.
    pub(super) fn is_store_superseded(&self) -> bool {
        self.peer_answer.is_receiving() && self.is_store_answer_slow()
    }

    /// Returns whether the store's answer is arriving so slowly that a peer should be asked instead.
    fn is_store_answer_slow(&self) -> bool {
        let progress = &self.store_answer;
        let answer = StoreAnswer {
            received_bytes: progress.received_bytes(),
            missing_bytes: progress.missing_bytes(),
            elapsed_us: progress.elapsed().into(),
        };
        progress.is_receiving() && answer.is_slow()
    }

    fn confirm(&mut self, as_of: TimeUs, source: &'static str) {
        if self.complete_as_of_us < Some(as_of) {
            self.complete_as_of_us = Some(as_of);
            self.confirmed_by = source;
        }
    }

    fn confirm_by_peer(&mut self, update: &KindUpdate, held_up_us: DurationUs, now: TimeUs) {
        let Some(age_ms) = update.age_ms else { return };
        let age_us = DurationUs::from_ms(u64::from(age_ms)) + held_up_us;
        self.confirm_age(age_us, now);
    }

    /// Records that a peer confirmed the known objects `age_us` before `at`.
    pub(super) fn confirm_age(&mut self, age_us: DurationUs, at: TimeUs) {
        let as_of = TimeUs::new(at.get().saturating_sub(age_us.get()));
        self.confirm(as_of, PEER);
    }

    /// Returns the earliest time at which an object that isn't known yet can have been written.
    pub(super) fn unknown_written_after(&self) -> Option<TimeUs> {
        self.complete_as_of_us.max(self.timely_at_us)
    }

    /// Returns whether all objects were listed at least once.
    pub(super) fn is_listed(&self) -> bool {
        self.listed_at_us.is_some()
    }

    /// Returns the age of the known objects, in milliseconds.
    fn age_ms(&self, now: TimeUs) -> Option<u64> {
        self.complete_as_of_us.map(|as_of| now.since(as_of).as_ms())
    }

    /// Returns the time since the store last answered, in milliseconds.
    pub(super) fn silent_ms(&self, now: TimeUs) -> Option<u64> {
        self.answered_at_us.map(|at| now.since(at).as_ms())
    }

    /// Remembers a deletion for peers, even of an object that was never known here, because peers
    /// may know it.
    pub(super) fn remember_deletion(&mut self, name: String, revision: Revision) {
        let deletion = (revision, name);
        if self.recent_deletions.contains(&deletion) {
            return;
        }
        self.recent_deletions.push_back(deletion);
        let is_full = self.recent_deletions.len() > MAX_RECENT_DELETIONS;
        let oldest = is_full.then(|| self.recent_deletions.pop_front()).flatten();
        if let Some((revision, _)) = oldest {
            self.deletions_lost_up_to = self.deletions_lost_up_to.max(revision);
        }
    }

    /// Returns the names of the known objects that `names`, the set of all existing objects, lacks.
    pub(super) fn objects_missing_from(&self, names: &BTreeSet<String>) -> Vec<String> {
        let known = self.objects.keys();
        known
            .filter(|name| !names.contains(*name))
            .cloned()
            .collect()
    }
}

/// Returns the index of a watched role in [`WATCHED_ROLES`].
fn index_of(role: ObjectRole) -> usize {
    let index = WATCHED_ROLES.iter().position(|watched| *watched == role);
    index.unwrap_or(0)
}

/// Returns the name of a role in logs, metrics and paths between daemons.
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
