//! Orders engines to load new weights, while holding the lease.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use wisteriahitch_core::fleet::{LeaseEvent, LeaseGroup, Membership, Rendezvous};
use wisteriahitch_types::{DurationUs, EndpointInstance, Incarnation, TimeUs};
use wisteriahitch_wire::http_client::{HttpError, HttpErrorKind};

use super::endpoint_connections::{
    is_partitioned_from_engines, is_service_reached, record_direct_outcome,
};
use super::lease::{run_lease_command, standalone_membership};
use super::shared::Shared;
use crate::border::{EngineReport, OrderOutcome, OrderPermit, WeightOrder};
use crate::decide::endpoint_row::EndpointRow;
use crate::decide::rollout::{RolloutRow, RolloutStep};
use crate::observe::Event;

/// Time between two steps of a rollout in progress.
const BUSY_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two checks for outdated engines.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which an engine that this daemon has reserved gets none of its calls. It spans a few
/// ticks, so that a busy daemon doesn't release the engine between two of them.
const LOCAL_RESERVATION_TTL_US: DurationUs = DurationUs::from_ms(200);

/// Number of daemons that try to acquire the lease: the first by hash, and a second one that
/// already watches the lease in case the first fails.
const MAX_LEASE_CANDIDATES: usize = 2;

/// Maximum wait for an engine's report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// The only lease group. There are few daemons and engines, and with a single holder the limit on
/// concurrent weight loads needs no coordination.
const LEASE_GROUP: LeaseGroup = LeaseGroup::RolloutSlot(0);

/// Runs rollouts of new weights, for as long as the process runs.
pub(crate) async fn run_weight_orders(shared: Arc<Shared>) {
    let members = Arc::new(standalone_membership(&shared));
    let mut phase = String::new();
    let mut is_late = false;
    loop {
        let outdated = outdated_engines(&shared);
        let is_busy = !outdated.is_empty() || is_lease_holder(&shared);
        if is_busy {
            advance_rollout(&shared, &members, &outdated);
            log_phase_change(&shared, &mut phase);
        }
        report_overrun(&shared, &outdated, &mut is_late);
        let interval = if is_busy {
            BUSY_TICK_INTERVAL
        } else {
            IDLE_TICK_INTERVAL
        };
        tokio::time::sleep(interval).await;
    }
}

/// Returns whether this daemon has the lease, also while it still waits for orders of the previous
/// holder.
fn is_lease_holder(shared: &Shared) -> bool {
    shared.leases.lock().is_holder(&LEASE_GROUP)
}

/// Returns whether this daemon may give orders.
fn may_give_orders(shared: &Shared) -> bool {
    shared.leases.lock().held_groups().next().is_some()
}

/// Returns the engines whose weights are older than wanted.
fn outdated_engines(shared: &Shared) -> Vec<RolloutRow> {
    let wanted = shared.site.all_wanted_versions();
    if wanted.is_empty() {
        return Vec::new();
    }
    let endpoints = shared.endpoints.lock();
    let is_eligible = |row: &&EndpointRow| {
        row.accepts_requests() && !row.is_displaced && endpoints.has_known_service(row)
    };
    let mut outdated = Vec::new();
    for row in endpoints.iter().filter(is_eligible) {
        for (model, has) in row.endpoint.weights.iter() {
            let Some(versions) = wanted.get(model) else {
                continue;
            };
            let (Some(newest), Some(replaced_at_us)) =
                (versions.newest(), versions.replaced_at(has))
            else {
                continue;
            };
            outdated.push(RolloutRow {
                endpoint: row.instance().clone(),
                model: model.clone(),
                current: has,
                wanted: newest,
                replaced_at_us,
                dispatch_deadline_us: versions.dispatch_deadline(has),
                running: row.load().running,
            });
        }
    }
    outdated
}

/// Returns the number of engines, that is, of endpoints with weights.
fn engine_count(shared: &Shared) -> usize {
    let endpoints = shared.endpoints.lock();
    endpoints
        .iter()
        .filter(|row| !row.endpoint.weights.is_empty())
        .count()
}

/// Advances leases and rollout by one step, and spawns the operations that follow from it.
fn advance_rollout(shared: &Arc<Shared>, members: &Arc<Membership>, outdated: &[RolloutRow]) {
    let now = shared.now();
    let is_holder = is_lease_holder(shared);
    let is_candidate = lease_candidates(shared, now).contains(&shared.incarnation);
    // A holder keeps the lease as long as there is work, even if another daemon ranks first by hash
    // now, and also while it shuts down. Each handover costs seconds in which no order may be given,
    // and the daemon serves for a few more seconds in any case. It gives the lease up if it can't
    // connect to the engines, since an order must not go through another daemon.
    let is_mine = outdated
        .first()
        .filter(|_| is_holder || is_candidate)
        .is_some_and(|row| reaches_engines_of(shared, row, is_holder));
    let commands = {
        let mut leases = shared.leases.lock();
        let wanted = is_mine.then_some(LEASE_GROUP);
        leases.set_groups(wanted);
        leases.set_rollout_owner(is_mine.then_some(shared.incarnation));
        leases.handle(LeaseEvent::Tick, now, members)
    };
    for command in commands {
        tokio::spawn(run_lease_command(
            Arc::clone(shared),
            Arc::clone(members),
            command,
        ));
    }
    if is_lease_holder(shared) {
        ask_for_signs_of_life(shared, now);
    }
    if !may_give_orders(shared) {
        shared.rollout.lock().clear();
        return;
    }
    let steps = shared
        .rollout
        .lock()
        .tick(outdated, engine_count(shared), now);
    reserve_locally(shared, now);
    if !steps.is_empty() {
        shared.peers.wake_sender.notify_one();
    }
    for step in steps {
        tokio::spawn(execute_step(Arc::clone(shared), Arc::clone(members), step));
    }
}

/// Asks engines at which an order of the previous holder may be unread, until they answer.
fn ask_for_signs_of_life(shared: &Arc<Shared>, now: TimeUs) {
    let wait_until = shared.leases.lock().wait_until(&LEASE_GROUP);
    if shared.unread_orders.lock().is_new_wait(wait_until) {
        let engines: Vec<EndpointInstance> = {
            let endpoints = shared.endpoints.lock();
            let rows = endpoints.iter();
            rows.filter(|row| !row.endpoint.weights.is_empty())
                .map(|row| row.instance().clone())
                .collect()
        };
        shared.unread_orders.lock().record_wait(wait_until, engines);
    }
    let due = shared.unread_orders.lock().due_questions(now);
    for endpoint in due {
        let shared = Arc::clone(shared);
        tokio::spawn(async move {
            match address_of(&shared, &endpoint) {
                Some(address) => {
                    // The answer and its absence are recorded where it is requested.
                    let _ = request_report(&shared, &endpoint, address).await;
                }
                None => shared.unread_orders.lock().remove(&endpoint),
            }
        });
    }
}

/// Excludes the engines that this daemon has reserved from its own calls.
///
/// The other daemons learn of them by gossip, which a daemon doesn't send to itself. Without this,
/// it keeps sending to engines that are loading weights and that refuse: calls that may be sent
/// only once fail, all of them at one daemon, while other engines are idle.
fn reserve_locally(shared: &Shared, now: TimeUs) {
    let reserved: Vec<EndpointInstance> = shared.rollout.lock().reserved().cloned().collect();
    let mut endpoints = shared.endpoints.lock();
    for endpoint in reserved {
        if let Some(short_name) = endpoints.get(&endpoint).map(|row| row.short_name) {
            endpoints.reserve(short_name, now + LOCAL_RESERVATION_TTL_US, now);
        }
    }
}

/// Returns whether this daemon can connect to the engines of the outdated one's service. The holder
/// of the lease notices by its connections if it no longer can; any other daemon checks it before it
/// acquires the lease. A holder that has opened no connection lately may still reach them.
fn reaches_engines_of(shared: &Arc<Shared>, outdated: &RolloutRow, is_holder: bool) -> bool {
    let service = {
        let endpoints = shared.endpoints.lock();
        let row = endpoints.get(&outdated.endpoint);
        row.map(|row| row.endpoint.service.clone())
    };
    let Some(service) = service else {
        return true;
    };
    match is_holder {
        true => !shared.links.lock().is_partitioned(&service),
        false => is_service_reached(shared, &service),
    }
}

/// Returns the daemons that should acquire the lease: the first by hash among those that are ready
/// and reach the store and the endpoints.
fn lease_candidates(shared: &Shared, now: TimeUs) -> Vec<Incarnation> {
    let table = shared.peers.table();
    let peers = table
        .ready(now)
        .filter(|peer| peer.follows_stores && peer.is_store_reachable && !peer.is_partitioned);
    let mut all: Vec<Incarnation> = peers.map(|peer| peer.incarnation).collect();
    let may_hold = shared.peers.follows_stores() && shared.watches.is_store_reachable();
    if may_hold && !is_partitioned_from_engines(shared) && !shared.drain.is_draining() {
        all.push(shared.incarnation);
    }
    let rank = Rendezvous::new("orders", "");
    rank.top(all, MAX_LEASE_CANDIDATES, |incarnation| {
        incarnation.get().to_le_bytes().to_vec()
    })
}

/// Logs the phase of the lease whenever it changes.
fn log_phase_change(shared: &Shared, last_logged: &mut String) {
    let status = shared.leases.lock().status();
    let Some(lease) = status.first() else { return };
    let phase = format!("{:?}", lease.phase).to_lowercase();
    if phase != *last_logged {
        last_logged.clone_from(&phase);
        shared.log.write(&Event::LeaseChanged {
            phase,
            fence: lease.fence.get(),
        });
    }
}

/// Logs once per rollout that the holder doesn't expect it to finish in time.
fn report_overrun(shared: &Shared, outdated: &[RolloutRow], is_late: &mut bool) {
    let overrun = match may_give_orders(shared) {
        true => shared
            .rollout
            .lock()
            .overrun(outdated, engine_count(shared), shared.now()),
        false => None,
    };
    let late_us = overrun.map_or(DurationUs::ZERO, |o| o.needed_us - o.left_us);
    shared.metrics.rollout_late_s.set(late_us.as_secs_f64());
    let was_late = std::mem::replace(is_late, overrun.is_some());
    let Some(overrun) = overrun.filter(|_| !was_late) else {
        return;
    };
    shared.log.write(&Event::RolloutLate {
        behind: overrun.behind,
        parallel: overrun.parallel,
        turnaround_ms: overrun.turnaround_us.as_ms(),
        left_ms: overrun.left_us.as_ms(),
        needed_ms: overrun.needed_us.as_ms(),
    });
}

async fn execute_step(shared: Arc<Shared>, members: Arc<Membership>, step: RolloutStep) {
    match step {
        RolloutStep::ReadReport(endpoint) => fetch_report(&shared, &endpoint).await,
        RolloutStep::GiveOrder {
            endpoint,
            model,
            version,
            expected_orders,
        } => {
            let order = |address| WeightOrder {
                endpoint: endpoint.id.clone(),
                address,
                model,
                version,
                holder: shared.settings.id.to_string(),
                expected_orders,
            };
            send_order(&shared, &members, &endpoint, order).await;
        }
    }
}

fn address_of(shared: &Shared, endpoint: &EndpointInstance) -> Option<std::net::SocketAddr> {
    let endpoints = shared.endpoints.lock();
    endpoints.get(endpoint).map(|row| row.endpoint.address)
}

/// Fetches an engine's report and passes it to the rollout.
async fn fetch_report(shared: &Shared, endpoint: &EndpointInstance) {
    let address = address_of(shared, endpoint);
    let report = match address {
        Some(address) => {
            let report = request_report(shared, endpoint, address).await;
            let is_unsent = |error: &HttpError| error.kind() == HttpErrorKind::NotSent;
            let is_open = !report.as_ref().is_err_and(is_unsent);
            record_direct_outcome(shared, endpoint, is_open);
            // The report of another instance counts that instance's own orders. With its numbers,
            // an order meant for this instance could be executed there, or never.
            report
                .ok()
                .filter(|report| report.matches_instance(endpoint))
        }
        None => None,
    };
    if let Some(report) = &report {
        let mut endpoints = shared.endpoints.lock();
        for (model, version) in &report.weights {
            endpoints.record_weights(endpoint, model, *version);
        }
    }
    let now = shared.now();
    shared
        .rollout
        .lock()
        .apply_report(endpoint, report.as_ref(), now);
}

/// Requests an engine's report, and records that the engine runs if there is one.
async fn request_report(
    shared: &Shared,
    endpoint: &EndpointInstance,
    address: std::net::SocketAddr,
) -> Result<EngineReport, HttpError> {
    let asked_at = shared.now();
    let engines = &shared.borders.engines;
    let report = engines
        .fetch_report(&endpoint.id, address, REPORT_TIMEOUT)
        .await;
    match &report {
        Ok(_) => {
            let mut unread = shared.unread_orders.lock();
            unread.record_answer(endpoint, asked_at, shared.now());
        }
        Err(error) => shared.log.write(&Event::Failure {
            what: "reading an engine's report",
            detail: format!("{endpoint}: {error}"),
        }),
    }
    report
}

/// Sends an order to an engine if the lease permits it, and records the outcome.
async fn send_order(
    shared: &Shared,
    members: &Membership,
    endpoint: &EndpointInstance,
    order: impl FnOnce(std::net::SocketAddr) -> WeightOrder,
) {
    let may_be_unread = shared
        .unread_orders
        .lock()
        .may_exist_at(endpoint, shared.now());
    let address = address_of(shared, endpoint).filter(|_| !may_be_unread);
    // The grant that counts is requested once the connection is open. This one spares a connection,
    // and keeps the lease from being released meanwhile.
    let granted = address.and_then(|address| {
        let mut leases = shared.leases.lock();
        let grant = leases.try_grant_order(&LEASE_GROUP, shared.now()).ok()?;
        Some((address, grant))
    });
    let Some((address, grant)) = granted else {
        shared
            .rollout
            .lock()
            .record_withheld_order(endpoint, shared.now());
        return;
    };
    let order = order(address);
    let fence = AtomicU64::new(grant.fence.get());
    let permit = || {
        let mut leases = shared.leases.lock();
        let now = shared.now();
        let grant = leases.try_grant_order(&LEASE_GROUP, now).ok()?;
        leases.handle(LeaseEvent::OrderDone(LEASE_GROUP), now, members);
        fence.store(grant.fence.get(), Ordering::Relaxed);
        Some(OrderPermit {
            fence: grant.fence,
            expires_at_us: now + grant.timeout_us,
        })
    };
    let outcome = shared.borders.engines.send_order(&order, &permit).await;
    if matches!(outcome, OrderOutcome::NotSent(_)) {
        record_direct_outcome(shared, endpoint, false);
    }
    let now = shared.now();
    shared
        .leases
        .lock()
        .handle(LeaseEvent::OrderDone(LEASE_GROUP), now, members);
    shared
        .rollout
        .lock()
        .record_order_outcome(endpoint, &outcome, now);
    let label = outcome_label(&outcome);
    shared.metrics.orders.with_label_values(&[label]).inc();
    shared.log.write(&Event::OrderGiven {
        endpoint: endpoint.to_string(),
        model: order.model.to_string(),
        version: order.version.get(),
        expected_orders: order.expected_orders,
        fence: fence.into_inner(),
        outcome: format!("{outcome:?}"),
    });
}

const fn outcome_label(outcome: &OrderOutcome) -> &'static str {
    match outcome {
        OrderOutcome::Accepted => "accepted",
        OrderOutcome::AlreadyDone => "already_done",
        OrderOutcome::Conflict => "conflict",
        OrderOutcome::Fenced => "fenced",
        OrderOutcome::Refused(_) => "refused",
        OrderOutcome::NotSent(_) => "not_sent",
        OrderOutcome::Unknown(_) => "unknown",
    }
}

/// Returns the newest wanted weight version of each model, for the state dump.
pub(crate) fn wanted_weights_snapshot(shared: &Shared) -> BTreeMap<String, u64> {
    let wanted = shared.site.all_wanted_versions();
    let snapshot = wanted
        .iter()
        .filter_map(|(model, versions)| Some((model.to_string(), versions.newest()?.get())));
    snapshot.collect()
}
