//! Applies listings and changes of the store's objects, received from the store or from a peer.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use wisteriahitch_types::{AvailabilityZone, DurationUs, ServiceName, TimeUs};
use wisteriahitch_wire::object_store::{
    Change, Listing, ObjectRole, Revision, SkippedObject, StoredObject, UnreadableKind,
};

use super::part_store_watch::run_part_store_watch;
use super::shared::Shared;
use super::store_epoch::record_store_epoch;
use super::watch_state::{ObjectDelta, PEER, STORE, WatchState, kind_name};
use crate::decide::endpoint_admission::ServiceColdLimit;
use crate::decide::endpoint_table::Registration;
use crate::decide::evacuated_zones::ZoneChange;
use crate::decide::rate_limit::RateLimit;
use crate::decide::shared_names::SharedNames;
use crate::observe::Event;
use crate::site::SiteConfig;

/// Maximum length of foreign text in a log line. Without it, anyone who can write an object could
/// fill the log.
const MAX_LOGGED_CHARS: usize = 200;

/// Time for which an evacuation stays in force that a restored store lacks. Operators write it again, and
/// calls to a zone that is being emptied would be lost meanwhile.
const LOST_EVACUATION_RETENTION_US: DurationUs = DurationUs::from_ms(30_000);

/// Applies a complete listing, from the store or from a peer with newer objects.
///
/// A listing of all endpoints is the largest thing that a daemon holds. Its objects are moved, and
/// decoded before that, so that no name is held twice at the peak.
pub(super) fn apply_listing(
    shared: &Arc<Shared>,
    role: ObjectRole,
    listing: Listing,
    source: &str,
) {
    let now = shared.now();
    let Listing {
        revision, objects, ..
    } = listing;
    let known_revision = shared.watches.changed_revision(role);
    if revision < known_revision {
        shared.log.write(&Event::OutdatedAnswer {
            kind: kind_name(role),
            source: source.to_owned(),
            revision: revision.number(),
            known_revision: known_revision.number(),
        });
        return;
    }
    match role {
        ObjectRole::Endpoints => {
            let registrations = decode_registrations(shared, &objects);
            if keep_listed(shared, role, revision, objects, now).is_none() {
                return;
            }
            let absence = shared.watches.absence_cause(now);
            let changes = shared
                .endpoints
                .lock()
                .apply_listing(registrations, absence, now);
            shared.record_endpoint_changes(changes, revision.number());
        }
        _ => {
            let listed = objects.clone();
            let Some(written_after) = keep_listed(shared, role, revision, objects, now) else {
                return;
            };
            if role == ObjectRole::Evacuations {
                return apply_evacuations(shared, source);
            }
            for object in &listed {
                apply_put(shared, role, object, source, written_after);
            }
        }
    }
}

/// Keeps the objects of a listing as the known ones. Returns the earliest time at which an unknown one
/// can have been written, or `None` if newer objects are known meanwhile.
fn keep_listed(
    shared: &Shared,
    role: ObjectRole,
    revision: Revision,
    objects: Vec<StoredObject>,
    now: TimeUs,
) -> Option<TimeUs> {
    let mut state = shared.watches.state_of(role).lock();
    if revision < state.last_change {
        return None;
    }
    let by_name = |object: StoredObject| (object.name.clone(), object);
    let known = std::mem::replace(
        &mut state.objects,
        objects.into_iter().map(by_name).collect(),
    );
    if may_have_lost(&state, role, revision) {
        let names = known.into_keys();
        let lost: Vec<String> = names
            .filter(|name| !state.objects.contains_key(name))
            .collect();
        keep_lost(&mut state, lost, now);
    }
    // A listing doesn't contain earlier deletions.
    state.deletions_lost_up_to = state.deletions_lost_up_to.max(revision);
    // This must be set even if the listing equals the known objects. Otherwise its sender would
    // seem to have newer objects forever.
    state.last_change = revision;
    state.watch_revision = state.watch_revision.max(revision);
    let was_listed = state.is_listed();
    state.listed_at_us.get_or_insert(now);
    state.followed_since_us = Some(now);
    state.sources.discard_up_to(revision);
    Some(match was_listed {
        true => written_after(shared, &state, now),
        false => assumed_initial_time(shared, now),
    })
}

/// Returns whether what is known and absent as of `revision` may have been lost by a restored store, and
/// counts as existing for a while.
fn may_have_lost(state: &WatchState, role: ObjectRole, revision: Revision) -> bool {
    role == ObjectRole::Evacuations && revision.epoch() > state.last_change.epoch()
}

fn keep_lost(state: &mut WatchState, names: Vec<String>, now: TimeUs) {
    let until = now + LOST_EVACUATION_RETENTION_US;
    for name in names {
        state.objects.remove(&name);
        state.lost.insert(name, until);
    }
}

fn decode_registrations(shared: &Shared, objects: &[StoredObject]) -> Vec<Registration> {
    let mut names = SharedNames::default();
    let registrations = objects.iter().filter_map(|object| {
        let mut registration = decode_registration(shared, object)?;
        if let Registration::Valid(endpoint) = &mut registration {
            names.share(endpoint);
        }
        Some(registration)
    });
    registrations.collect()
}

/// Returns the earliest time at which an object that isn't known yet can have been written.
fn written_after(shared: &Shared, state: &WatchState, now: TimeUs) -> TimeUs {
    let known_as_of = state.unknown_written_after();
    known_as_of.unwrap_or_else(|| assumed_initial_time(shared, now))
}

/// Returns the time at which objects are assumed to have been written before anything was known.
fn assumed_initial_time(shared: &Shared, now: TimeUs) -> TimeUs {
    let age_us = shared.bounds.assumed_initial_age();
    TimeUs::new(now.get().saturating_sub(age_us.get()))
}

/// Applies changes that complete the known objects up to `revision`, from the store or from a peer.
pub(super) fn apply_changes(
    shared: &Arc<Shared>,
    role: ObjectRole,
    changes: Vec<Change>,
    revision: Revision,
    source: &str,
) {
    let known_up_to = shared.watches.changed_revision(role);
    let has_changes = !changes.is_empty();
    for change in changes {
        let written_after = {
            let mut state = shared.watches.state_of(role).lock();
            if !is_new_change(&state, &change, known_up_to) {
                if let Change::Deleted(name, deletion_revision) = change {
                    if deletion_revision > known_up_to && !state.objects.contains_key(&name) {
                        state.followed_since_us = Some(shared.now());
                    }
                    state.last_change = state.last_change.max(deletion_revision);
                    state.remember_deletion(name, deletion_revision);
                }
                continue;
            }
            match &change {
                Change::Put(object) => {
                    state.last_change = state.last_change.max(object.revision);
                    state.objects.insert(object.name.clone(), object.clone());
                }
                Change::Deleted(name, deletion_revision) => {
                    state.last_change = state.last_change.max(*deletion_revision);
                    state.objects.remove(name);
                    state.lost.remove(name);
                    state.remember_deletion(name.clone(), *deletion_revision);
                }
            }
            written_after(shared, &state, shared.now())
        };
        match change {
            Change::Put(object) => apply_put(shared, role, &object, source, written_after),
            Change::Deleted(name, deletion_revision) => {
                apply_deletion(shared, role, &name, deletion_revision);
            }
        }
    }
    if has_changes && role == ObjectRole::Evacuations {
        apply_evacuations(shared, source);
    }
    let mut state = shared.watches.state_of(role).lock();
    state.watch_revision = state.watch_revision.max(revision);
    let known = state.last_change.max(revision);
    state.sources.discard_up_to(known);
}

/// Applies changes that were requested from a peer at `asked_at`, and their confirmation.
pub(super) fn apply_delta(
    shared: &Arc<Shared>,
    role: ObjectRole,
    mut delta: ObjectDelta,
    asked_at: TimeUs,
) {
    record_store_epoch(shared, delta.revision.epoch(), PEER);
    let age_ms = delta.age_ms;
    let replacement_ages = std::mem::take(&mut delta.replacement_ages);
    shared
        .site
        .record_replacement_ages(replacement_ages, asked_at);
    apply_peer_objects(shared, role, delta);
    if let Some(age_ms) = age_ms {
        let age_us = DurationUs::from_ms(age_ms);
        let mut state = shared.watches.state_of(role).lock();
        state.confirm_age(age_us, asked_at);
    }
}

fn apply_peer_objects(shared: &Arc<Shared>, role: ObjectRole, delta: ObjectDelta) {
    if delta.is_full {
        let listing = Listing {
            revision: delta.revision,
            objects: delta.objects,
            skipped: Vec::new(),
            next_after: None,
        };
        apply_listing(shared, role, listing, PEER);
        return;
    }
    let missing = {
        let mut state = shared.watches.state_of(role).lock();
        let names = delta.names.as_ref();
        if names.is_some() {
            state.followed_since_us = Some(shared.now());
            state.deletions_lost_up_to = state.deletions_lost_up_to.max(delta.revision);
        }
        let missing = names.map_or(Vec::new(), |names| state.objects_missing_from(names));
        match may_have_lost(&state, role, delta.revision) {
            true => {
                keep_lost(&mut state, missing, shared.now());
                Vec::new()
            }
            false => missing,
        }
    };
    let missing = missing.into_iter().map(|name| (name, delta.revision));
    let deletions = delta.deleted.into_iter().chain(missing);
    let deletions = deletions.map(|(name, revision)| Change::Deleted(name, revision));
    let puts = delta.objects.into_iter().map(Change::Put);
    apply_changes(
        shared,
        role,
        puts.chain(deletions).collect(),
        delta.revision,
        PEER,
    );
    let mut state = shared.watches.state_of(role).lock();
    state.last_change = state.last_change.max(delta.revision);
    let known = state.last_change;
    state.sources.discard_up_to(known);
}

/// Returns whether a change is newer than the known objects, which may already include it from a
/// peer.
///
/// All changes up to `known_up_to` are known. An unknown object with an earlier revision was
/// deleted since, and applying a late answer that contains it would restore it for good.
fn is_new_change(state: &WatchState, change: &Change, known_up_to: Revision) -> bool {
    match change {
        Change::Put(object) => match state.objects.get(&object.name) {
            Some(known) => object.revision > known.revision,
            None => object.revision > known_up_to,
        },
        // An object that was created again after its deletion stays, whichever change arrives last.
        Change::Deleted(name, revision) => {
            let known = state.objects.get(name);
            known.is_some_and(|known| known.revision <= *revision)
        }
    }
}

/// Applies a new or changed object, which was written at `written_after` or later.
fn apply_put(
    shared: &Arc<Shared>,
    role: ObjectRole,
    object: &StoredObject,
    source: &str,
    written_after: TimeUs,
) {
    let site = &shared.borders.site;
    let now = shared.now();
    match role {
        ObjectRole::Endpoints => {
            if let Some(registration) = decode_registration(shared, object) {
                let changes = shared
                    .endpoints
                    .lock()
                    .apply_registration(registration, now);
                shared.record_endpoint_changes(changes, object.revision.number());
            }
        }
        ObjectRole::Configuration => {
            let config = decoded_or_logged(shared, role, object, site.decode_configuration(object));
            if let Some(config) = config {
                adopt_config(shared, config, object, source);
            }
        }
        ObjectRole::Weights => {
            let wanted = decoded_or_logged(shared, role, object, site.decode_weights(object));
            let Some(wanted) = wanted else { return };
            let (model, version) = (wanted.model.to_string(), wanted.version.get());
            if shared.site.record_wanted(wanted, written_after, now) {
                shared.log.write(&Event::WeightsWanted {
                    model,
                    version,
                    max_age_ms: now.since(written_after).as_ms(),
                });
            }
        }
        // Evacuations are applied all together; the other roles aren't watched.
        ObjectRole::Members
        | ObjectRole::Leases
        | ObjectRole::BlockedRequests
        | ObjectRole::Evacuations => {}
    }
}

/// Applies the set of evacuated zones that is known now.
///
/// Only the existence of an entry matters, so an entry with unreadable content is in force like any
/// other. An entry whose name isn't a valid zone is ignored.
fn apply_evacuations(shared: &Shared, source: &str) {
    let role = ObjectRole::Evacuations;
    let names: BTreeSet<String> = {
        let state = shared.watches.state_of(role).lock();
        let names = state.objects.keys().chain(state.lost.keys());
        names.cloned().collect()
    };
    let mut zones = BTreeSet::new();
    for name in names {
        match name.parse::<AvailabilityZone>() {
            Ok(zone) => {
                zones.insert(zone);
            }
            Err(error) => {
                log_unreadable_object(shared, role, &name, UnreadableKind::Name, error.to_string());
            }
        }
    }
    let count = i64::try_from(zones.len()).unwrap_or(i64::MAX);
    shared.metrics.evacuated_zones.set(count);
    let changes = shared
        .endpoints
        .lock()
        .set_evacuated_zones(zones, shared.now());
    for change in changes {
        let (zone, is_evacuated) = match change {
            ZoneChange::Evacuated(zone) => (zone, true),
            ZoneChange::Restored(zone) => (zone, false),
        };
        shared.log.write(&Event::EvacuationChanged {
            zone: zone.to_string(),
            is_evacuated,
            source: source.to_owned(),
        });
    }
}

/// Ends evacuations that the store has lost and that were not written again in time.
pub(super) fn expire_lost_evacuations(shared: &Shared) {
    let now = shared.now();
    {
        let mut state = shared.watches.state_of(ObjectRole::Evacuations).lock();
        let known = state.lost.len();
        state.lost.retain(|_, until| now < *until);
        if state.lost.len() == known {
            return;
        }
    }
    apply_evacuations(shared, STORE);
}

/// Applies the deletion of an object. Only deleted endpoints have an effect.
fn apply_deletion(shared: &Arc<Shared>, role: ObjectRole, name: &str, revision: Revision) {
    let ObjectRole::Endpoints = role else { return };
    let Ok(id) = name.parse() else { return };
    let now = shared.now();
    let absence = shared.watches.absence_cause(now);
    let change = shared
        .endpoints
        .lock()
        .apply_unregistration(&id, absence, now);
    shared.record_endpoint_changes(change.into_iter().collect(), revision.number());
}

/// Puts a configuration in force if it is newer, and starts watches of its new part stores.
fn adopt_config(shared: &Arc<Shared>, config: SiteConfig, object: &StoredObject, source: &str) {
    let version = config.version;
    let routes = config.routes.iter().count();
    let engines = config.services.values().filter_map(|service| {
        let engine = service.engine.as_ref()?;
        Some((service.name.clone(), engine.memory_tokens.get()))
    });
    let memory_tokens = engines.collect();
    let services = config.services.keys().cloned().collect();
    let cold_limits = cold_limits(shared, &config);
    let is_managed = shared.settings.load.management.applies_to(&config);
    let stores: Vec<_> = config
        .services
        .values()
        .filter_map(|s| s.store.clone())
        .collect();
    let table: Vec<_> = config.routes.iter().cloned().collect();
    {
        // A call that finds its route in the new configuration must find the change here.
        let mut route_services = shared.route_services.lock();
        let lost_version = shared.site.lost_version();
        let is_adopted = shared.site.adopt(config, object.revision.epoch());
        log_lost_config(shared, lost_version, version.get());
        if !is_adopted {
            return;
        }
        route_services.apply(table, shared.now());
    }
    {
        let mut endpoints = shared.endpoints.lock();
        endpoints.set_services(services, memory_tokens);
        endpoints.set_cold_limits(cold_limits);
        endpoints.set_load_managed(is_managed);
    }
    let new_stores = shared.part_stores.lock().configure(stores.into_iter());
    for store in new_stores {
        tokio::spawn(run_part_store_watch(Arc::clone(shared), store));
    }
    let gauge = i64::try_from(version.get()).unwrap_or(i64::MAX);
    shared.metrics.config_version.set(gauge);
    shared.log.write(&Event::ConfigAdopted {
        version: version.get(),
        revision: object.revision.number(),
        source: source.to_owned(),
        routes,
        bytes: object.content.len(),
    });
}

/// Logs that the store has lost the configuration in force, or has it again; `before` is the version that
/// it had lost before its configuration was read.
fn log_lost_config(shared: &Shared, before: Option<u64>, store_version: u64) {
    let lost = shared.site.lost_version();
    if lost.is_some() == before.is_some() {
        return;
    }
    shared.log.write(&Event::ConfigLost {
        is_lost: lost.is_some(),
        version: lost.or(before).unwrap_or_default(),
        store_version,
    });
}

/// Returns the limits for cold endpoints of each service. Both the service and the deployment must
/// define one.
fn cold_limits(shared: &Shared, config: &SiteConfig) -> HashMap<ServiceName, ServiceColdLimit> {
    let Some(bound) = shared.settings.cold.bound() else {
        return HashMap::new();
    };
    let limits = config.services.values().filter_map(|service| {
        let cold = service.cold?;
        let coldness = ServiceColdLimit {
            limit: RateLimit::new(cold.calls_per_s, bound),
            cold_period_us: cold.start_us,
        };
        Some((service.name.clone(), coldness))
    });
    limits.collect()
}

/// Decodes an endpoint's registration. An unreadable one still shows that the endpoint's previous
/// registration is no longer valid. Returns `None` if the name isn't a valid endpoint id.
fn decode_registration(shared: &Shared, object: &StoredObject) -> Option<Registration> {
    let endpoint = shared.borders.site.decode_endpoint(object);
    match decoded_or_logged(shared, ObjectRole::Endpoints, object, endpoint) {
        Some(endpoint) => Some(Registration::Valid(endpoint)),
        None => {
            let id = object.name.parse().ok()?;
            Some(Registration::Unreadable(id, object.revision))
        }
    }
}

/// Returns the decoded value, or logs the error and returns `None`.
fn decoded_or_logged<T>(
    shared: &Shared,
    role: ObjectRole,
    object: &StoredObject,
    decoded: Result<T, crate::border::DecodeError>,
) -> Option<T> {
    match decoded {
        Ok(value) => Some(value),
        Err(error) => {
            log_unreadable_object(shared, role, &object.name, error.kind, error.reason);
            None
        }
    }
}

/// Logs objects that were skipped in an answer of the store.
pub(super) fn log_skipped_objects(shared: &Shared, role: ObjectRole, skipped: &[SkippedObject]) {
    for skipped in skipped {
        log_unreadable_object(shared, role, "", skipped.kind, skipped.detail.clone());
    }
}

/// Counts an unreadable object, and logs it with texts of bounded length.
pub(super) fn log_unreadable_object(
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
        name: name.chars().take(MAX_LOGGED_CHARS).collect(),
        reason: kind.label(),
        detail: detail.chars().take(MAX_LOGGED_CHARS).collect(),
    });
}
