//! Following the store's objects.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use wisteriahitch_types::{DurationUs, TimeUs};
use wisteriahitch_wire::object_store::{
    Change, Listing, ObjectRole, Revision, Skipped, StoredObject, UnreadableKind, Watched,
};
use wisteriahitch_wire::platform::{PlatformError, PlatformErrorKind};

use super::part_news::run_part_news;
use super::shared::Shared;
use super::watch_state::{Delta, WatchState, kind_name};
use crate::decide::endpoint_table::{Absence, REGISTER_AGAIN_US, Registration};
use crate::decide::staleness::answered_as_of;
use crate::decide::store_retry::retry_pause;
use crate::observe::Event;

/// Where news comes from, for the log.
const STORE: &str = "store";
const PEER: &str = "peer";

/// Wait of the first watch after a failure. With the usual wait a daemon would count as cut off
/// from the store for as long after its return: it would refuse unknown keys, take no lease, and let
/// its peers ask elsewhere.
const RETURN_WAIT: Duration = Duration::from_millis(300);

/// Time between two looks whether this daemon is to ask the store itself.
const ROLE_INTERVAL: Duration = Duration::from_millis(250);

/// Longest text of others in a log line. Who can write an entry could else fill the log with it.
const MAX_TOLD_CHARS: usize = 200;

/// Follows one kind of objects for as long as the process lives.
pub(crate) async fn run_watch(shared: Arc<Shared>, role: ObjectRole) {
    let mut failures = 0;
    let mut is_history_gone = true;
    loop {
        if hears_instead(&shared, role) {
            tokio::time::sleep(ROLE_INTERVAL).await;
            continue;
        }
        let step = match is_history_gone {
            true => list(&shared, role).await,
            false => watch_once(&shared, role).await,
        };
        match step {
            Ok(gone) => {
                failures = 0;
                is_history_gone = gone;
            }
            Err(error) => {
                let pause = pause_after_failure(&shared, role, failures);
                failures += 1;
                note_failure(&shared, role, &error);
                tokio::time::sleep(pause.mul_f64(rand::random_range(0.8..1.2))).await;
            }
        }
    }
}

/// Returns whether this daemon hears of the kind from others and need not ask the store.
///
/// In a large fleet few ask: each change would else cost a call of every daemon, and the store's
/// rates grow more slowly than fleets do.
fn hears_instead(shared: &Shared, role: ObjectRole) -> bool {
    let is_listed = shared.watches.of(role).lock().is_listed;
    let me = shared.settings.ip;
    if !is_listed || shared.peers.follows_stores() {
        return false;
    }
    let now = shared.now();
    let limits = shared.bounds.staleness(role);
    // One that follows the store may be asking it anew at this moment, and will be heard of in time.
    let is_confirmed = limits.is_final(shared.watches.as_of(role), now);
    is_confirmed || shared.peers.hears_of_store(me, now)
}

/// Returns how long to wait before the store is asked again.
fn pause_after_failure(shared: &Shared, role: ObjectRole, failures: usize) -> Duration {
    let is_listed = shared.watches.of(role).lock().is_listed;
    let hears = is_listed && !shared.peers.follows_stores();
    retry_pause(failures, hears, shared.peers.daemons()).into()
}

async fn list(shared: &Arc<Shared>, role: ObjectRole) -> Result<bool, PlatformError> {
    let asked_at = shared.now();
    let listing = shared.borders.store.list(role, false).await;
    count(shared, role, listing.is_ok());
    let listing = listing?;
    note_answer(shared, role);
    note_skipped(shared, role, &listing.skipped);
    apply_listing(shared, role, listing, STORE);
    shared.watches.confirm(role, asked_at);
    Ok(false)
}

/// Waits for changes once, and returns whether the history is gone.
async fn watch_once(shared: &Arc<Shared>, role: ObjectRole) -> Result<bool, PlatformError> {
    let asked_at = shared.now();
    let (after, wait) = next_watch(shared, role, asked_at);
    let watched = tokio::select! {
        watched = shared.borders.store.watch(role, after, wait) => watched,
        () = nothing_is_confirmed(shared, role, asked_at) => Err(unconfirmed()),
    };
    count(shared, role, watched.is_ok());
    let watched = watched?;
    note_answer(shared, role);
    match watched {
        Watched::Changes {
            changes,
            skipped,
            revision,
        } => {
            let has_changes = !changes.is_empty() || !skipped.is_empty();
            let as_of = answered_as_of(asked_at, wait.into(), has_changes, shared.now());
            note_skipped(shared, role, &skipped);
            apply_changes(shared, role, changes, revision, STORE);
            shared.watches.confirm(role, as_of);
            Ok(false)
        }
        Watched::HistoryGone => Ok(true),
    }
}

/// Returns the revision to watch from, and how long the store may keep the watch waiting.
fn next_watch(shared: &Shared, role: ObjectRole, now: TimeUs) -> (Revision, Duration) {
    let place = shared.peers.place_in_turn(role, shared.settings.ip, now);
    let state = shared.watches.of(role).lock();
    // Only an answer shows that the store is back, and a watch is answered when it is over.
    let wait = match state.failing_since_us {
        Some(_) => RETURN_WAIT,
        None => {
            let limits = shared.bounds.staleness(role);
            limits.wait(place, state.as_of, now).into()
        }
    };
    (state.revision, wait)
}

/// Waits until it is this daemon's turn to ask anew because nobody confirms any more what is known.
async fn nothing_is_confirmed(shared: &Shared, role: ObjectRole, asked_at: TimeUs) {
    let limits = shared.bounds.staleness(role);
    loop {
        let now = shared.now();
        let place = shared.peers.place_in_turn(role, shared.settings.ip, now);
        let give_up_at = limits.give_up_at(place, shared.watches.as_of(role), asked_at);
        if give_up_at <= now {
            return;
        }
        tokio::time::sleep(give_up_at.since(now).into()).await;
    }
}

fn unconfirmed() -> PlatformError {
    let detail = "the watch says nothing, and nobody confirms what is known";
    PlatformError::new(PlatformErrorKind::AnswerLost, detail)
}

fn count(shared: &Shared, role: ObjectRole, is_ok: bool) {
    let result = if is_ok { "ok" } else { "failed" };
    let labels = [kind_name(role), result];
    shared.metrics.store_calls.with_label_values(&labels).inc();
}

fn note_answer(shared: &Shared, role: ObjectRole) {
    let now = shared.now();
    let mut state = shared.watches.of(role).lock();
    let silent_ms = state.silent_ms(now);
    state.answered_at_us = Some(now);
    if state.failing_since_us.take().is_none() {
        return;
    }
    state.recovered_at_us = Some(now);
    drop(state);
    shared.log.write(&Event::StoreReachable {
        kind: kind_name(role),
        is_reachable: true,
        silent_ms,
        detail: String::new(),
    });
}

fn note_failure(shared: &Shared, role: ObjectRole, error: &PlatformError) {
    let now = shared.now();
    let mut state = shared.watches.of(role).lock();
    if state.failing_since_us.is_some() {
        return;
    }
    state.failing_since_us = Some(now);
    let silent_ms = state.silent_ms(now);
    drop(state);
    shared.log.write(&Event::StoreReachable {
        kind: kind_name(role),
        is_reachable: false,
        silent_ms,
        detail: error.to_string(),
    });
}

/// Says what an absence means now: right after an outage registrations may only have lapsed.
fn absence(state: &WatchState, now: TimeUs) -> Absence {
    let is_recent = |at: TimeUs| now.since(at) < REGISTER_AGAIN_US;
    let is_after_outage = state.recovered_at_us.is_some_and(is_recent);
    match state.failing_since_us.is_some() || is_after_outage {
        true => Absence::MayHaveLapsed,
        false => Absence::Left,
    }
}

/// Takes over a whole listing, from the store or from a peer that knows more.
pub(crate) fn apply_listing(
    shared: &Arc<Shared>,
    role: ObjectRole,
    listing: Listing,
    source: &str,
) {
    let now = shared.now();
    let (absence, age_us) = {
        let mut state = shared.watches.of(role).lock();
        if listing.revision < state.changed {
            return;
        }
        let named = |object: &StoredObject| (object.name.clone(), object.clone());
        let objects: BTreeMap<String, StoredObject> = listing.objects.iter().map(named).collect();
        state.objects = objects;
        // Even without a difference: the one who told it would else seem to know more for ever.
        state.changed = listing.revision;
        state.revision = state.revision.max(listing.revision);
        let was_listed = std::mem::replace(&mut state.is_listed, true);
        state.behind = None;
        let age_us = if was_listed {
            DurationUs::ZERO
        } else {
            shared.bounds.first_age()
        };
        (absence(&state, now), age_us)
    };
    match role {
        ObjectRole::Endpoints => {
            let objects = listing.objects.iter();
            let registrations = objects.filter_map(|object| registration(shared, object));
            let registrations = registrations.collect();
            let changes = shared.endpoints.lock().listed(registrations, absence, now);
            shared.note_changes(changes, listing.revision.0);
        }
        _ => {
            for object in &listing.objects {
                put(shared, role, object, source, age_us);
            }
        }
    }
}

fn apply_changes(
    shared: &Arc<Shared>,
    role: ObjectRole,
    changes: Vec<Change>,
    revision: Revision,
    source: &str,
) {
    for change in changes {
        let absence = {
            let mut state = shared.watches.of(role).lock();
            if !is_news(&state, &change) {
                continue;
            }
            match &change {
                Change::Put(object) => {
                    state.changed = state.changed.max(object.revision);
                    state.objects.insert(object.name.clone(), object.clone());
                }
                Change::Deleted(name, deleted_at) => {
                    state.changed = state.changed.max(*deleted_at);
                    state.objects.remove(name);
                    state.note_deleted(name.clone(), *deleted_at);
                }
            }
            absence(&state, shared.now())
        };
        match change {
            Change::Put(object) => put(shared, role, &object, source, DurationUs::ZERO),
            Change::Deleted(name, deleted_at) => {
                deleted(shared, role, &name, absence, deleted_at);
            }
        }
    }
    let mut state = shared.watches.of(role).lock();
    state.revision = state.revision.max(revision);
    if state.revision >= state.changed {
        state.behind = None;
    }
}

/// Takes over what a peer tells.
pub(crate) fn apply_delta(shared: &Arc<Shared>, role: ObjectRole, delta: Delta) {
    if delta.is_full {
        let listing = Listing {
            revision: delta.revision,
            objects: delta.objects,
            skipped: Vec::new(),
        };
        apply_listing(shared, role, listing, PEER);
        return;
    }
    let puts = delta.objects.into_iter().map(Change::Put);
    let gone = delta.deleted.into_iter();
    let gone = gone.map(|(name, revision)| Change::Deleted(name, revision));
    apply_changes(
        shared,
        role,
        puts.chain(gone).collect(),
        delta.revision,
        PEER,
    );
    let mut state = shared.watches.of(role).lock();
    state.changed = state.changed.max(delta.revision);
}

/// Returns whether a change says more than what is known, which a peer may have told before.
fn is_news(state: &WatchState, change: &Change) -> bool {
    match change {
        Change::Put(object) => {
            let known = state.objects.get(&object.name);
            known.is_none_or(|known| object.revision > known.revision)
        }
        // One that was created again since is still there, whichever news comes last.
        Change::Deleted(name, revision) => {
            let known = state.objects.get(name);
            known.is_some_and(|known| known.revision <= *revision)
        }
    }
}

fn put(
    shared: &Arc<Shared>,
    role: ObjectRole,
    object: &StoredObject,
    source: &str,
    age_us: DurationUs,
) {
    let site = &shared.borders.site;
    let now = shared.now();
    match role {
        ObjectRole::Endpoints => {
            if let Some(registration) = registration(shared, object) {
                let changes = shared.endpoints.lock().registered(registration);
                shared.note_changes(changes, object.revision.0);
            }
        }
        ObjectRole::Configuration => {
            let config = readable(shared, role, object, site.configuration(object));
            if let Some(config) = config {
                adopt(shared, config, object.revision, source);
            }
        }
        ObjectRole::Weights => {
            let wanted = readable(shared, role, object, site.weights(object));
            let Some(wanted) = wanted else { return };
            let (model, version) = (wanted.model.to_string(), wanted.version.get());
            if shared.site.want(wanted, age_us, now) {
                shared.log.write(&Event::WeightsWanted { model, version });
            }
        }
        ObjectRole::Members | ObjectRole::Leases => {}
    }
}

fn deleted(
    shared: &Arc<Shared>,
    role: ObjectRole,
    name: &str,
    absence: Absence,
    revision: Revision,
) {
    let ObjectRole::Endpoints = role else { return };
    let Ok(id) = name.parse() else { return };
    let change = shared
        .endpoints
        .lock()
        .unregistered(&id, absence, shared.now());
    shared.note_changes(change.into_iter().collect(), revision.0);
}

fn adopt(shared: &Arc<Shared>, config: crate::site::SiteConfig, revision: Revision, source: &str) {
    let version = config.version;
    let routes = config.routes.iter().count();
    let engines = config.services.values().filter_map(|service| {
        let engine = service.engine.as_ref()?;
        Some((service.name.clone(), engine.memory_tokens.get()))
    });
    let memory_tokens = engines.collect();
    let services = config.services.keys().cloned().collect();
    let stores: Vec<_> = config
        .services
        .values()
        .filter_map(|s| s.store.clone())
        .collect();
    if !shared.site.adopt(config) {
        return;
    }
    shared
        .endpoints
        .lock()
        .set_services(services, memory_tokens);
    let new_stores = shared.part_stores.lock().configured(stores.into_iter());
    for store in new_stores {
        tokio::spawn(run_part_news(Arc::clone(shared), store));
    }
    let gauge = i64::try_from(version.get()).unwrap_or(i64::MAX);
    shared.metrics.config_version.set(gauge);
    shared.log.write(&Event::ConfigAdopted {
        version: version.get(),
        revision: revision.0,
        source: source.to_owned(),
        routes,
    });
}

/// Reads a registration. One that can't be read still tells that the endpoint of its name is no
/// longer registered as it was; one under a name that no endpoint can have tells nothing.
fn registration(shared: &Shared, object: &StoredObject) -> Option<Registration> {
    let endpoint = shared.borders.site.endpoint(object);
    match readable(shared, ObjectRole::Endpoints, object, endpoint) {
        Some(endpoint) => Some(Registration::Good(endpoint)),
        None => {
            let id = object.name.parse().ok()?;
            Some(Registration::Unreadable(id, object.revision))
        }
    }
}

/// Passes on what could be read, and tells of the rest.
fn readable<T>(
    shared: &Shared,
    role: ObjectRole,
    object: &StoredObject,
    decoded: Result<T, crate::border::DecodeError>,
) -> Option<T> {
    match decoded {
        Ok(value) => Some(value),
        Err(error) => {
            note_unreadable(shared, role, &object.name, error.kind, error.reason);
            None
        }
    }
}

/// Tells of objects that were passed over in an answer of the store.
pub(super) fn note_skipped(shared: &Shared, role: ObjectRole, skipped: &[Skipped]) {
    for skipped in skipped {
        note_unreadable(shared, role, "", skipped.kind, skipped.detail.clone());
    }
}

/// Counts an object that can't be read, and writes a line of bounded length.
pub(super) fn note_unreadable(
    shared: &Shared,
    role: ObjectRole,
    name: &str,
    kind: UnreadableKind,
    detail: String,
) {
    let labels = [kind_name(role), kind.label()];
    let counter = &shared.metrics.unreadable_objects;
    counter.with_label_values(&labels).inc();
    shared.log.write(&Event::ObjectUnreadable {
        kind: kind_name(role),
        name: name.chars().take(MAX_TOLD_CHARS).collect(),
        reason: kind.label(),
        detail: detail.chars().take(MAX_TOLD_CHARS).collect(),
    });
}
