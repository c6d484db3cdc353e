//! Watches the objects of the platform's store.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use wisteriahitch_types::{ByteCount, DurationUs, TimeUs};
use wisteriahitch_wire::object_store::{Listing, ObjectRole, Reception, Revision, WatchOutcome};
use wisteriahitch_wire::platform::{PlatformError, PlatformErrorKind};
use wisteriahitch_wire::transfer::TransferProgress;

use super::compression::MIN_COMPRESSED_LEN;
use super::shared::Shared;
use super::store_epoch::record_store_epoch;
use super::store_updates::{apply_changes, apply_listing, log_skipped_objects};
use super::watch_state::{STORE, WATCHED_ROLES, kind_name};
use crate::decide::hubs::SMALL_FLEET_MAX_SIZE;
use crate::decide::staleness::{QueryRank, answered_as_of};
use crate::decide::store_retry::{BACKOFF_JITTER, store_retry_backoff};
use crate::decide::timely_answers::WatchAnswer;
use crate::observe::Event;

/// Wait of the first watch after a failure. With the usual wait, a daemon would count as
/// disconnected from the store for that long after the store is back. It would refuse unknown keys,
/// acquire no lease and make its peers ask elsewhere.
const RECOVERY_WATCH_WAIT: Duration = Duration::from_millis(300);

/// Pause after an answer with endpoint changes before the next watch starts. When endpoints load
/// new weights they change one after the other, and each change would otherwise end the watch of
/// every daemon that watches endpoints. The daemons don't ask at the same time, so some daemon
/// learns of a change long before its own pause ends.
pub const ENDPOINT_CHANGES_DEBOUNCE: Duration = Duration::from_millis(250);

/// Minimum time for which a daemon of a large fleet waits for its hub's objects at the start: about a
/// second for the listing by a few daemons, and another one for each of two hops.
const PEER_LISTING_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum size of a first page that every daemon reads at the start: a page of a few hundred endpoints.
const MAX_START_PAGE_BYTES: ByteCount = ByteCount::new(256 * 1024);

/// Wait of a watch that asks only whether anything has changed: the shortest that the protocol can
/// express.
const CONFIRMATION_WAIT: Duration = Duration::from_millis(1);

/// Time between two checks of whether a peer's objects have arrived.
const PEER_LISTING_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two checks of whether this daemon must ask the store itself.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time between a watch that can't be read and the listing in its place, so that a store that sends only
/// such answers isn't asked without a pause.
const MALFORMED_WATCH_BACKOFF: Duration = Duration::from_millis(250);

/// Time between two checks of which of two answers should be waited for.
const SUPERSEDED_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Watches the objects of one role, for as long as the process runs.
pub(crate) async fn run_watch(shared: Arc<Shared>, role: ObjectRole) {
    let mut failures = 0;
    let mut needs_listing = true;
    let mut is_first = true;
    loop {
        let idle_time = time_to_query(&shared, role);
        if !idle_time.is_zero() {
            tokio::time::sleep(idle_time.min(ROLE_CHECK_INTERVAL)).await;
            continue;
        }
        let step = match needs_listing {
            true if is_first => list_at_start(&shared, role).await,
            true => list_objects(&shared, role).await,
            false => watch_once(&shared, role).await,
        };
        match step {
            Ok(is_history_gone) => {
                failures = 0;
                needs_listing = is_history_gone;
                if std::mem::take(&mut is_first) {
                    wait_for_role(&shared).await;
                }
            }
            Err(error) => {
                record_failure(&shared, role, &error);
                wait_after_failure(&shared, role, failures).await;
                failures += 1;
            }
        }
    }
}

/// Waits until it is known whether another daemon watches the store for this one.
///
/// In a small fleet every daemon watches it. In a large fleet most don't, and without this wait
/// each of them would ask once for changes of every role, also when all start at the same time.
async fn wait_for_role(shared: &Shared) {
    let is_listed = shared.peers.wait_for_peer_list().await;
    if is_listed && shared.peers.table().registered_count() >= SMALL_FLEET_MAX_SIZE {
        shared.peers.wait_for_gossip().await;
    }
}

/// Returns how long gossip may be relied on before this daemon queries the store for the objects of a
/// role; zero if it watches the store or the query is due.
///
/// In a large fleet only a few daemons watch the store. Otherwise each change would cost a call by
/// every daemon, and the store's rate limits grow more slowly than fleets do.
fn time_to_query(shared: &Shared, role: ObjectRole) -> Duration {
    if shared.peers.follows_stores() {
        return Duration::ZERO;
    }
    let as_of = {
        let state = shared.watches.state_of(role).lock();
        // One source at a time: a second transfer over the same link would delay the first one. After
        // a fetch has failed, the next one may fail too.
        if state.is_listed() && state.is_catching_up() && !state.is_catch_up_failing {
            return ROLE_CHECK_INTERVAL;
        }
        // A peer's listing is confirmed by its next message.
        let as_of = state.complete_as_of_us.or(state.listed_at_us);
        as_of.filter(|_| state.is_listed() && !state.is_catch_up_failing)
    };
    let Some(as_of) = as_of else {
        return Duration::ZERO;
    };
    let now = shared.now();
    let limits = shared.bounds.staleness_limits(role);
    let earliest = limits.query_at(QueryRank::FIRST, as_of);
    if earliest > now {
        // The rank depends on all members, and isn't needed as long as gossip confirms the objects.
        return earliest.since(now).into();
    }
    let rank = shared.peers.query_rank(role, shared.settings.ip, now);
    limits.query_at(rank, as_of).since(now).into()
}

/// Waits until the store may be called again after a failure. The backoff becomes shorter while
/// waiting if this daemon no longer receives updates from a hub.
async fn wait_after_failure(shared: &Shared, role: ObjectRole, failures: usize) {
    let failed_at = shared.now();
    let jitter = rand::random_range(BACKOFF_JITTER);
    loop {
        let now = shared.now();
        let backoff = Duration::from(failure_backoff(shared, role, failures, now)).mul_f64(jitter);
        let next_call_at = failed_at + backoff.into();
        let left = Duration::from(next_call_at.since(now));
        let is_due = left.is_zero();
        shared.watches.state_of(role).lock().next_call_at_us = (!is_due).then_some(next_call_at);
        if is_due {
            return;
        }
        tokio::time::sleep(left.min(ROLE_CHECK_INTERVAL)).await;
    }
}

/// Returns how long to wait after a failure before the store is asked again.
fn failure_backoff(shared: &Shared, role: ObjectRole, failures: usize, now: TimeUs) -> DurationUs {
    let is_listed = shared.watches.state_of(role).lock().is_listed();
    let me = shared.settings.ip;
    let receives_updates =
        is_listed && !shared.peers.follows_stores() && shared.peers.upstream_hub_count(me, now) > 0;
    store_retry_backoff(failures, receives_updates, shared.peers.daemon_count())
}

/// Obtains all objects of a role at the start, from the store or from a peer.
///
/// Load pattern: a thousand daemons start at the same time, and a listing of the endpoints has fifty
/// pages; a configuration may have a megabyte. If each daemon listed them, the store's link would be
/// saturated for half a minute. If a listing is larger than a page of endpoints and the fleet is
/// large, only the daemons that watch the store read all of it; the others fetch the objects from
/// their hub, and read on only if none arrive in time.
async fn list_at_start(shared: &Arc<Shared>, role: ObjectRole) -> Result<bool, PlatformError> {
    let request = ListRequest::now(shared, role);
    let reception = Reception {
        max_bytes: MAX_START_PAGE_BYTES,
        progress: shared.watches.begin_reception(role).progress,
    };
    let first_page = shared.borders.store.list_first_page(role, &reception).await;
    count_store_call(shared, role, call_result(&first_page));
    let is_too_large = |error: &PlatformError| error.kind() == PlatformErrorKind::AnswerTooLarge;
    if first_page.as_ref().is_err_and(is_too_large) {
        record_answer(shared, role);
        wait_for_role(shared).await;
        return match wait_for_peer_objects(shared, role).await {
            true => Ok(false),
            false => list_objects(shared, role).await,
        };
    }
    let listing = first_page?;
    if listing.next_after.is_none() {
        apply_store_listing(shared, role, listing, &request)?;
        return Ok(false);
    }
    record_answer(shared, role);
    wait_for_role(shared).await;
    if wait_for_peer_objects(shared, role).await {
        return Ok(false);
    }
    let listing = shared.borders.store.list_remaining(role, listing).await;
    count_store_call(shared, role, call_result(&listing));
    apply_store_listing(shared, role, listing?, &request)?;
    Ok(false)
}

/// Lists all objects of a role. Returns `false`: the history covers the listing's revision.
async fn list_objects(shared: &Arc<Shared>, role: ObjectRole) -> Result<bool, PlatformError> {
    let request = ListRequest::now(shared, role);
    let reception = Reception {
        progress: shared.watches.begin_reception(role).progress,
        ..Reception::default()
    };
    let list = shared.borders.store.list(role, false, &reception);
    let listed = receive_unless_superseded(shared, role, &reception.progress, list).await;
    let Some(listing) = listed? else {
        return Ok(shared.watches.state_of(role).lock().is_catch_up_failing);
    };
    apply_store_listing(shared, role, listing, &request)?;
    Ok(false)
}

/// Receives an answer of the store. Returns `None` if the objects were fetched from a peer instead, once
/// that has ended.
async fn receive_unless_superseded<T>(
    shared: &Shared,
    role: ObjectRole,
    progress: &TransferProgress,
    call: impl Future<Output = Result<T, PlatformError>>,
) -> Result<Option<T>, PlatformError> {
    let answer = tokio::select! {
        biased;
        answer = call => answer,
        () = superseded(shared, role, progress) => {
            count_store_call(shared, role, "superseded");
            shared.watches.wait_for_catch_up(role, false).await;
            return Ok(None);
        }
    };
    count_store_call(shared, role, call_result(&answer));
    let bytes = usize::try_from(progress.received_bytes()).unwrap_or(usize::MAX);
    if answer.is_ok() && bytes >= MIN_COMPRESSED_LEN {
        let elapsed = DurationUs::from(progress.elapsed());
        shared.log.write(&Event::ObjectsReceived {
            kind: kind_name(role),
            from: STORE.to_owned(),
            bytes,
            resumed_at: 0,
            elapsed_ms: elapsed.as_ms(),
        });
    }
    answer.map(Some)
}

/// Waits until a peer's answer arrives while the store's arrives slowly.
async fn superseded(shared: &Shared, role: ObjectRole, progress: &TransferProgress) {
    progress.begun().await;
    loop {
        shared.watches.wait_for_catch_up(role, true).await;
        if shared.watches.state_of(role).lock().is_store_superseded() {
            return;
        }
        tokio::time::sleep(SUPERSEDED_CHECK_INTERVAL).await;
    }
}

/// Waits until a peer's objects were applied. Returns `false` if this daemon has to list them itself,
/// because it watches the store or none have arrived in time.
async fn wait_for_peer_objects(shared: &Shared, role: ObjectRole) -> bool {
    // The random factor spreads the daemons that read on.
    let timeout = PEER_LISTING_TIMEOUT.mul_f64(rand::random_range(1.0..2.0));
    let give_up_at = Instant::now() + timeout;
    while !shared.peers.follows_stores() && Instant::now() < give_up_at {
        if shared.watches.state_of(role).lock().is_listed() {
            return true;
        }
        tokio::time::sleep(PEER_LISTING_CHECK_INTERVAL).await;
    }
    false
}

/// Applies a listing that was requested as in `request`.
///
/// # Errors
///
/// Fails if the listing is older than what was known when it was requested. It doesn't confirm what is
/// known then: the store has lost it, or the listing was held up since before a change of its epoch.
fn apply_store_listing(
    shared: &Arc<Shared>,
    role: ObjectRole,
    listing: Listing,
    request: &ListRequest,
) -> Result<(), PlatformError> {
    record_store_epoch(shared, shared.borders.store.epoch(), STORE);
    let revision = listing.revision;
    let known_revision = request.known_revision;
    if revision < known_revision || revision.epoch() < shared.watches.epoch() {
        shared.log.write(&Event::OutdatedAnswer {
            kind: kind_name(role),
            source: STORE.to_owned(),
            revision: revision.number(),
            known_revision: known_revision.number(),
        });
        return Err(outdated_error(revision, known_revision));
    }
    record_answer(shared, role);
    log_skipped_objects(shared, role, &listing.skipped);
    apply_listing(shared, role, listing, STORE);
    shared.watches.confirm_complete(role, request.asked_at);
    Ok(())
}

/// When a listing was requested, and what was known then.
struct ListRequest {
    asked_at: TimeUs,
    known_revision: Revision,
}

impl ListRequest {
    fn now(shared: &Shared, role: ObjectRole) -> Self {
        Self {
            asked_at: shared.now(),
            known_revision: shared.watches.changed_revision(role),
        }
    }
}

fn outdated_error(revision: Revision, known_revision: Revision) -> PlatformError {
    let detail =
        format!("the answer is of revision {revision}, but {known_revision} was known before");
    PlatformError::new(PlatformErrorKind::Malformed, detail)
}

/// Waits for changes once, and returns whether the store's history no longer covers the revision.
async fn watch_once(shared: &Arc<Shared>, role: ObjectRole) -> Result<bool, PlatformError> {
    let asked_at = shared.now();
    let known_revision = shared.watches.changed_revision(role);
    let (after, wait) = next_watch(shared, role, asked_at);
    let reception = shared.watches.begin_reception(role);
    let progress = &reception.progress;
    let watch = async {
        tokio::select! {
            watched = shared.borders.store.watch(role, after, wait, &reception) => watched,
            () = confirmation_overdue(shared, role, asked_at, progress) => Err(unconfirmed_error()),
        }
    };
    let watched = tokio::select! {
        watched = receive_unless_superseded(shared, role, progress, watch) => watched?,
        () = shared.watches.wait_for_epoch_after(after.epoch()) => return Ok(true),
    };
    let Some(watched) = watched else {
        return Ok(false);
    };
    record_answer(shared, role);
    match watched {
        WatchOutcome::Changes {
            changes,
            skipped,
            revision,
        } => {
            if revision < known_revision {
                return Err(outdated_error(revision, known_revision));
            }
            let has_changes = !changes.is_empty() || !skipped.is_empty();
            let as_of = answered_as_of(asked_at, wait.into(), has_changes, shared.now());
            log_skipped_objects(shared, role, &skipped);
            if has_changes {
                record_timeliness(shared, role, asked_at, wait);
            }
            apply_changes(shared, role, changes, revision, STORE);
            shared.watches.confirm_complete(role, as_of);
            if has_changes && role == ObjectRole::Endpoints {
                tokio::time::sleep(ENDPOINT_CHANGES_DEBOUNCE).await;
            }
            Ok(false)
        }
        WatchOutcome::HistoryExpired | WatchOutcome::TooLarge => Ok(true),
        WatchOutcome::Malformed(error) => {
            log_malformed_watch(shared, &error);
            tokio::time::sleep(MALFORMED_WATCH_BACKOFF).await;
            Ok(true)
        }
    }
}

/// Makes sure that all objects of a role as of `asked_at` or later are known. Returns whether they are.
///
/// Concurrent callers share one call to the store. Callers that arrive during a call share the next one,
/// since the answer may be older than their `asked_at`.
pub(super) async fn confirm_as_of(
    shared: &Arc<Shared>,
    role: ObjectRole,
    asked_at: TimeUs,
) -> bool {
    let _guard = shared.watches.lock_confirmation(role).await;
    if shared.watches.complete_as_of(role) >= Some(asked_at) {
        return true;
    }
    let called_at = shared.now();
    let known_revision = shared.watches.changed_revision(role);
    let after = shared.watches.state_of(role).lock().watch_revision;
    let reception = Reception::default();
    let store = &shared.borders.store;
    let watched = store
        .watch(role, after, CONFIRMATION_WAIT, &reception)
        .await;
    count_store_call(shared, role, call_result(&watched));
    match watched {
        Ok(WatchOutcome::Changes {
            changes,
            skipped,
            revision,
        }) if revision >= known_revision => {
            log_skipped_objects(shared, role, &skipped);
            apply_changes(shared, role, changes, revision, STORE);
            shared.watches.confirm_complete(role, called_at);
            true
        }
        Ok(
            WatchOutcome::Changes { .. } | WatchOutcome::HistoryExpired | WatchOutcome::TooLarge,
        ) => false,
        Ok(WatchOutcome::Malformed(error)) => {
            log_malformed_watch(shared, &error);
            false
        }
        Err(error) => {
            shared.log.write(&Event::Failure {
                what: "confirming the known objects",
                detail: error.to_string(),
            });
            false
        }
    }
}

fn log_malformed_watch(shared: &Shared, error: &PlatformError) {
    shared.log.write(&Event::Failure {
        what: "watching the store",
        detail: error.to_string(),
    });
}

/// Records whether changes that a watch reports were just written. Must be called before applying
/// them.
fn record_timeliness(shared: &Shared, role: ObjectRole, asked_at: TimeUs, wait: Duration) {
    let now = shared.now();
    let mut state = shared.watches.state_of(role).lock();
    let answer = WatchAnswer {
        asked_at,
        wait_us: wait.into(),
        newer_at_peer_since: state.sources.newer_since(now),
        activity: *shared.activity.lock(),
    };
    if answer.is_timely(now) {
        state.timely_at_us = Some(now);
    }
}

/// Returns the revision to watch from, and how long the store may keep the watch open.
fn next_watch(shared: &Shared, role: ObjectRole, now: TimeUs) -> (Revision, Duration) {
    // A daemon that doesn't watch the store gets here only if its objects are unconfirmed, so its
    // answer must arrive soon.
    let rank = match shared.peers.follows_stores() {
        true => shared.peers.query_rank(role, shared.settings.ip, now),
        false => QueryRank::FIRST,
    };
    let state = shared.watches.state_of(role).lock();
    // Only an answer shows that the store is back, and a watch without changes is answered only at
    // its end.
    let wait = match state.failing_since_us {
        Some(_) => RECOVERY_WATCH_WAIT,
        None => {
            let limits = shared.bounds.staleness_limits(role);
            limits.wait(rank, state.complete_as_of_us, now).into()
        }
    };
    (state.watch_revision, wait)
}

/// Waits until it is this daemon's turn to ask again because no daemon confirms the known objects. Never
/// ends once the answer has begun, which shows that its connection works.
async fn confirmation_overdue(
    shared: &Shared,
    role: ObjectRole,
    asked_at: TimeUs,
    progress: &TransferProgress,
) {
    let limits = shared.bounds.staleness_limits(role);
    loop {
        let now = shared.now();
        let rank = shared.peers.query_rank(role, shared.settings.ip, now);
        let give_up_at = limits.give_up_at(rank, shared.watches.complete_as_of(role), asked_at);
        if progress.has_begun() {
            return std::future::pending().await;
        }
        if give_up_at <= now {
            return;
        }
        tokio::time::sleep(give_up_at.since(now).into()).await;
    }
}

fn unconfirmed_error() -> PlatformError {
    let detail = "the watch returned nothing, and nobody confirms the known objects";
    PlatformError::new(PlatformErrorKind::AnswerLost, detail)
}

/// Logs for each kind of object when its age passes the limit up to which others may be reported as
/// unknown, and when it is confirmed again.
pub(super) fn log_confirmations(shared: &Shared, now: TimeUs) {
    let watched = WATCHED_ROLES
        .iter()
        .filter(|role| shared.bounds.is_watched(**role));
    for role in watched {
        let limits = shared.bounds.staleness_limits(*role);
        let mut state = shared.watches.state_of(*role).lock();
        let is_confirmed = limits.is_final(state.complete_as_of_us, now);
        if is_confirmed == state.is_logged_as_confirmed {
            continue;
        }
        state.is_logged_as_confirmed = is_confirmed;
        let age_us = state.complete_as_of_us.map(|as_of| now.since(as_of));
        let next_call_us = state.next_call_at_us.map(|at| at.since(now));
        let source = state.confirmed_by;
        drop(state);
        shared.log.write(&Event::ObjectsConfirmed {
            kind: kind_name(*role),
            is_confirmed,
            age_ms: age_us.map(DurationUs::as_ms),
            source,
            hubs: shared.peers.upstream_hub_count(shared.settings.ip, now),
            is_watching: shared.peers.follows_stores(),
            next_call_ms: next_call_us.map(DurationUs::as_ms),
        });
    }
}

/// Returns the outcome of a call, as it appears in the metrics.
fn call_result<T>(answer: &Result<T, PlatformError>) -> &'static str {
    if answer.is_ok() { "ok" } else { "failed" }
}

fn count_store_call(shared: &Shared, role: ObjectRole, result: &str) {
    let labels = [kind_name(role), result];
    shared.metrics.store_calls.with_label_values(&labels).inc();
}

/// Records that the store answered, and logs its recovery after a failure.
fn record_answer(shared: &Shared, role: ObjectRole) {
    let now = shared.now();
    record_store_epoch(shared, shared.borders.store.epoch(), STORE);
    shared.watches.record_store_answer(now);
    let mut state = shared.watches.state_of(role).lock();
    let silent_ms = state.silent_ms(now);
    state.answered_at_us = Some(now);
    state.is_catch_up_failing = false;
    if state.failing_since_us.take().is_none() {
        return;
    }
    drop(state);
    shared.log.write(&Event::StoreReachable {
        kind: kind_name(role),
        is_reachable: true,
        silent_ms,
        detail: String::new(),
    });
}

/// Records that the store didn't answer, and logs the first failure in a row.
fn record_failure(shared: &Shared, role: ObjectRole, error: &PlatformError) {
    let now = shared.now();
    shared.watches.record_store_failure(now);
    let mut state = shared.watches.state_of(role).lock();
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
