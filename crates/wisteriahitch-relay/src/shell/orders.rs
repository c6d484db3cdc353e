//! Giving orders for new weights, under a lease.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use wisteriahitch_core::fleet::{LeaseEvent, LeaseGroup, Membership, Rendezvous};
use wisteriahitch_types::{DurationUs, EndpointInstance, Incarnation, TimeUs};

use super::lease::{call, lone_member};
use super::shared::Shared;
use crate::border::{OrderOutcome, WeightOrder};
use crate::decide::endpoint_row::EndpointRow;
use crate::decide::rollout::{RolloutRow, RolloutStep};
use crate::observe::Event;

/// Time between two looks while orders are to be given.
const BUSY_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two looks while nothing is to be done.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which an engine that this daemon has taken out gets none of its calls: a few looks at what
/// is due, so that a busy daemon doesn't let go of it in between.
const OWN_RESERVED_US: DurationUs = DurationUs::from_ms(200);

/// Daemons that try to hold the lease: the first by hash, and one that already watches it when the
/// first falls silent.
const CANDIDATES: usize = 2;

/// Longest wait for an engine's report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// The one group of orders: few daemons and engines, and the bound on loads at once then needs no
/// agreement of its own.
const GROUP: LeaseGroup = LeaseGroup::RolloutSlot(0);

/// Gives orders while they are wanted, for as long as the process lives.
pub(crate) async fn run_orders(shared: Arc<Shared>) {
    let members = Arc::new(lone_member(&shared));
    let mut phase = String::new();
    let mut is_late = false;
    loop {
        let behind = behind(&shared);
        let has_lease = shared.leases.lock().held_groups().next().is_some();
        let is_busy = !behind.is_empty() || has_lease;
        if is_busy {
            step(&shared, &members, &behind);
            note_phase(&shared, &mut phase);
        }
        note_overrun(&shared, &behind, has_lease, &mut is_late);
        let interval = if is_busy {
            BUSY_INTERVAL
        } else {
            IDLE_INTERVAL
        };
        tokio::time::sleep(interval).await;
    }
}

/// Lists the engines whose weights are older than wanted.
fn behind(shared: &Shared) -> Vec<RolloutRow> {
    let wanted = shared.site.all_wanted();
    if wanted.is_empty() {
        return Vec::new();
    }
    let endpoints = shared.endpoints.lock();
    let stays = |row: &&EndpointRow| {
        row.takes_requests() && !row.is_displaced && endpoints.has_known_service(row)
    };
    let mut behind = Vec::new();
    for row in endpoints.iter().filter(stays) {
        for (model, has) in &row.endpoint.weights {
            let Some(versions) = wanted.get(model) else {
                continue;
            };
            let (Some(newest), Some(replaced_at_us)) =
                (versions.newest(), versions.replaced_at(*has))
            else {
                continue;
            };
            behind.push(RolloutRow {
                endpoint: row.instance().clone(),
                model: model.clone(),
                has: *has,
                wanted: newest,
                replaced_at_us,
                running: row.load().running,
            });
        }
    }
    behind
}

/// Returns how many engines there are.
fn engines(shared: &Shared) -> usize {
    let endpoints = shared.endpoints.lock();
    endpoints
        .iter()
        .filter(|row| !row.endpoint.weights.is_empty())
        .count()
}

fn step(shared: &Arc<Shared>, members: &Arc<Membership>, behind: &[RolloutRow]) {
    let now = shared.now();
    let commands = {
        let mut leases = shared.leases.lock();
        // A holder keeps the lease as long as there is work, whoever would be the first now, and
        // also while it leaves: each change of hands costs seconds in which no order may be given,
        // and it serves for some more seconds in any case.
        let is_held = leases.held_groups().next().is_some();
        let is_candidate = candidates(shared, now).contains(&shared.incarnation);
        let is_mine = !behind.is_empty() && (is_held || is_candidate);
        let wanted = is_mine.then_some(GROUP);
        leases.set_groups(wanted);
        leases.set_rollout_owner(is_mine.then_some(shared.incarnation));
        leases.handle(LeaseEvent::Tick, now, members)
    };
    for command in commands {
        tokio::spawn(call(Arc::clone(shared), Arc::clone(members), command));
    }
    let is_held = shared.leases.lock().held_groups().next().is_some();
    if !is_held {
        shared.rollout.lock().clear();
        return;
    }
    let steps = shared.rollout.lock().tick(behind, engines(shared), now);
    reserve_own(shared, now);
    if !steps.is_empty() {
        shared.peers.hurry.notify_one();
    }
    for step in steps {
        tokio::spawn(carry_out(Arc::clone(shared), Arc::clone(members), step));
    }
}

/// Keeps this daemon's own calls from the engines that it has taken out.
///
/// The others hear of them by its messages, which it doesn't send to itself. Without this it goes on
/// sending to engines that load, which refuse: one would notice by refusals of calls that may be sent
/// once only, all of them at one daemon, while other engines are idle.
fn reserve_own(shared: &Shared, now: TimeUs) {
    let reserved: Vec<EndpointInstance> = shared.rollout.lock().reserved().cloned().collect();
    let mut endpoints = shared.endpoints.lock();
    for endpoint in reserved {
        if let Some(short_name) = endpoints.get(&endpoint).map(|row| row.short_name) {
            endpoints.reserve(short_name, now + OWN_RESERVED_US, now);
        }
    }
}

/// Returns the daemons that should hold the lease: the first by hash among those that serve and
/// reach the store.
fn candidates(shared: &Shared, now: TimeUs) -> Vec<Incarnation> {
    let table = shared.peers.table();
    let peers = table
        .ready(now)
        .filter(|peer| peer.follows_stores && peer.is_store_reachable);
    let mut all: Vec<Incarnation> = peers.map(|peer| peer.incarnation).collect();
    let may_hold = shared.peers.follows_stores() && shared.watches.is_store_reachable();
    if may_hold && !shared.drain.is_draining() {
        all.push(shared.incarnation);
    }
    let rank = Rendezvous::new("orders", "");
    rank.top(all, CANDIDATES, |incarnation| {
        incarnation.get().to_le_bytes().to_vec()
    })
}

fn note_phase(shared: &Shared, known: &mut String) {
    let status = shared.leases.lock().status();
    let Some(lease) = status.first() else { return };
    let phase = format!("{:?}", lease.phase).to_lowercase();
    if phase != *known {
        known.clone_from(&phase);
        shared.log.write(&Event::LeaseChanged {
            phase,
            fence: lease.fence.get(),
        });
    }
}

/// Tells once of each rollout that its holder doesn't expect to end in time.
fn note_overrun(shared: &Shared, behind: &[RolloutRow], is_holder: bool, is_late: &mut bool) {
    let overrun = match is_holder {
        true => shared
            .rollout
            .lock()
            .overrun(behind, engines(shared), shared.now()),
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

async fn carry_out(shared: Arc<Shared>, members: Arc<Membership>, step: RolloutStep) {
    match step {
        RolloutStep::Report(endpoint) => report(&shared, &endpoint).await,
        RolloutStep::Order {
            endpoint,
            model,
            version,
            expected_orders,
        } => {
            let order = |address, fence| WeightOrder {
                endpoint: endpoint.id.clone(),
                address,
                model,
                version,
                holder: shared.settings.id.to_string(),
                fence,
                expected_orders,
            };
            give(&shared, &members, &endpoint, order).await;
        }
    }
}

fn address_of(shared: &Shared, endpoint: &EndpointInstance) -> Option<std::net::SocketAddr> {
    let endpoints = shared.endpoints.lock();
    endpoints.get(endpoint).map(|row| row.endpoint.address)
}

async fn report(shared: &Shared, endpoint: &EndpointInstance) {
    let address = address_of(shared, endpoint);
    let report = match address {
        Some(address) => {
            let engines = &shared.borders.engines;
            let report = engines.report(&endpoint.id, address, REPORT_TIMEOUT).await;
            if let Err(error) = &report {
                shared.log.write(&Event::Failure {
                    what: "reading an engine's report",
                    detail: format!("{endpoint}: {error}"),
                });
            }
            // Another life's report counts its own orders. By its numbers an order that was decided
            // for this one could be carried out there, or never.
            report.ok().filter(|report| report.is_of(endpoint))
        }
        None => None,
    };
    if let Some(report) = &report {
        let mut endpoints = shared.endpoints.lock();
        for (model, version) in &report.weights {
            endpoints.saw_weights(endpoint, model, *version);
        }
    }
    let now = shared.now();
    shared
        .rollout
        .lock()
        .reported(endpoint, report.as_ref(), now);
}

async fn give(
    shared: &Shared,
    members: &Membership,
    endpoint: &EndpointInstance,
    order: impl FnOnce(std::net::SocketAddr, wisteriahitch_types::FenceNumber) -> WeightOrder,
) {
    let address = address_of(shared, endpoint);
    // This grant numbers the order; the one that counts is asked for once the connection is open.
    let grant = shared.leases.lock().try_grant_order(&GROUP, shared.now());
    let (Some(address), Ok(grant)) = (address, grant) else {
        shared.rollout.lock().withheld(endpoint, shared.now());
        return;
    };
    let order = order(address, grant.fence);
    let permit = || {
        let mut leases = shared.leases.lock();
        let again = leases.try_grant_order(&GROUP, shared.now()).ok()?;
        leases.handle(LeaseEvent::OrderDone(GROUP), shared.now(), members);
        (again.fence >= grant.fence).then(|| Duration::from(again.timeout_us))
    };
    let outcome = shared.borders.engines.order(&order, &permit).await;
    let now = shared.now();
    shared
        .leases
        .lock()
        .handle(LeaseEvent::OrderDone(GROUP), now, members);
    shared.rollout.lock().ordered(endpoint, &outcome, now);
    let label = outcome_label(&outcome);
    shared.metrics.orders.with_label_values(&[label]).inc();
    shared.log.write(&Event::OrderGiven {
        endpoint: endpoint.to_string(),
        model: order.model.to_string(),
        version: order.version.get(),
        expected_orders: order.expected_orders,
        fence: order.fence.get(),
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

/// Shows the wanted weights, for the dump.
pub(crate) fn wanted_snapshot(shared: &Shared) -> BTreeMap<String, u64> {
    let wanted = shared.site.all_wanted();
    let shown = wanted
        .iter()
        .filter_map(|(model, versions)| Some((model.to_string(), versions.newest()?.get())));
    shown.collect()
}
