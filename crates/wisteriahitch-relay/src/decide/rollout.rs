//! Brings engines to the wanted weights, a few at a time.
//!
//! The daemon that holds the rollout lease runs it. An engine is first announced to the other
//! daemons as reserved, so that they send it no calls; then it gets the order, finishes its running
//! calls and loads the weights.
//!
//! Load pattern: newer weights are named while callers go on. Engines that still have the replaced
//! ones when these go out of use get no more calls, so holding them back protects no capacity:
//! they get their orders at once, beyond the limit on concurrent loads. An engine refuses from its
//! order on whatever it has not started, so that nothing starts late there, not even a call that
//! was delayed on its way.

use std::collections::BTreeMap;

use wisteriahitch_types::{DurationUs, EndpointInstance, ModelName, TimeUs, WeightNumber};

use super::rollout_concurrency::{ConcurrencyOptions, Overrun, Remaining, RolloutConcurrency};
use crate::border::{EngineReport, OrderOutcome};

/// Time between the announcement and the order in a small fleet: the interval until the other
/// daemons' next messages. The engine refuses requests that cross the order.
const ANNOUNCE_DELAY_US: DurationUs = DurationUs::from_ms(150);
/// Time between the announcement and the order in a large fleet, where gossip takes three hops.
const LARGE_FLEET_ANNOUNCE_DELAY_US: DurationUs = DurationUs::from_ms(600);
/// Number of engines above which a fleet counts as large here.
const LARGE_FLEET_ENGINES: usize = 30;
/// Interval between two reads of the report of an engine that loads. Reports lag by some hundred
/// milliseconds.
const REPORT_INTERVAL_US: DurationUs = DurationUs::from_ms(200);
/// Time after which an accepted order without effect is given again.
const LOAD_TIMEOUT_US: DurationUs = DurationUs::from_ms(4_000);
/// Backoff after a failure.
const RETRY_BACKOFF_US: DurationUs = DurationUs::from_ms(300);
/// Time for which an unreachable engine yields to others. Engines that crash are back within one or
/// two seconds, mostly under another name; the registration of one that does not return lapses
/// after three to four seconds.
const UNREACHABLE_BACKOFF_US: DurationUs = DurationUs::from_ms(1_000);

/// Maximum number of reports and orders in progress at once. Each needs a connection of the
/// daemon's VM, and a small VM has 4,100 descriptors for all its connections.
const MAX_PENDING_STEPS: usize = 1_024;

/// An engine whose weights are older than wanted.
#[derive(Clone, Debug)]
pub struct RolloutRow {
    /// Endpoint instance. Orders that were given to one instance say nothing about the next.
    pub endpoint: EndpointInstance,
    /// Model that the weights belong to.
    pub model: ModelName,
    /// Weights that the engine has.
    pub current: WeightNumber,
    /// Weights that the engine is to load.
    pub wanted: WeightNumber,
    /// Time at which newer weights than its current ones were named.
    pub replaced_at_us: TimeUs,
    /// Time from which no daemon sends calls to an engine with its current weights, if known.
    pub dispatch_deadline_us: Option<TimeUs>,
    /// Number of requests that it runs.
    pub running: u32,
}

impl RolloutRow {
    /// Returns whether daemons may still send calls to the engine on its current weights.
    fn is_in_service(&self, now: TimeUs) -> bool {
        self.dispatch_deadline_us
            .is_none_or(|deadline_us| now < deadline_us)
    }
}

/// An action for the shell to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RolloutStep {
    /// Read an engine's report and pass it to [`Rollout::apply_report`].
    ReadReport(EndpointInstance),
    /// Give an order, if the lease allows it now, and pass the outcome to
    /// [`Rollout::record_order_outcome`].
    GiveOrder {
        /// Endpoint instance.
        endpoint: EndpointInstance,
        /// Model whose weights are to be loaded.
        model: ModelName,
        /// Version to load.
        version: WeightNumber,
        /// Number of orders that the engine has accepted so far.
        expected_orders: u64,
    },
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum Phase {
    /// The next report is to be read at this time.
    ReportDueAt(TimeUs),
    ReportPending,
    /// The order may be given; the engine has accepted this many orders so far.
    OrderAllowed(u64),
    OrderPending,
}

#[derive(Clone, Debug)]
struct ActiveEngine {
    model: ModelName,
    wanted: WeightNumber,
    /// Version in the last order that was given.
    ordered_version: WeightNumber,
    phase: Phase,
    /// Time at which the engine was reserved.
    started_at_us: TimeUs,
    /// Version in the last order that the engine accepted, and when.
    accepted: Option<(WeightNumber, TimeUs)>,
    /// Whether it has accepted an order and has no requests left, so that it is loading.
    is_loading: bool,
    /// Whether it is announced as reserved. No daemon sends calls to an engine whose weights are out
    /// of use, so such an engine needs no announcement.
    is_announced: bool,
}

impl ActiveEngine {
    /// Starts the step that is due: the order if it may be given, and the report otherwise.
    fn next_step(&mut self, endpoint: &EndpointInstance) -> RolloutStep {
        let Phase::OrderAllowed(expected_orders) = self.phase else {
            self.phase = Phase::ReportPending;
            return RolloutStep::ReadReport(endpoint.clone());
        };
        self.phase = Phase::OrderPending;
        self.ordered_version = self.wanted;
        RolloutStep::GiveOrder {
            endpoint: endpoint.clone(),
            model: self.model.clone(),
            version: self.wanted,
            expected_orders,
        }
    }

    /// Returns the version that the engine has accepted and may still be loading.
    fn loading_version(&self, now: TimeUs) -> Option<WeightNumber> {
        let accepted = self.accepted;
        let accepted = accepted.filter(|(_, at)| now.since(*at) < LOAD_TIMEOUT_US);
        accepted.map(|(version, _)| version)
    }
}

/// State of a rollout: the engines that are being brought to the wanted weights.
#[derive(Clone, Debug)]
pub struct Rollout {
    concurrency: RolloutConcurrency,
    active: BTreeMap<EndpointInstance, ActiveEngine>,
    /// Oldest weights among the engines that wait for a slot.
    oldest_waiting: Option<WeightNumber>,
    /// Unreachable engines, and until when they yield to others.
    backed_off: BTreeMap<EndpointInstance, TimeUs>,
}

impl Rollout {
    /// Creates a rollout with no engines in progress.
    pub fn new(options: ConcurrencyOptions) -> Self {
        Self {
            concurrency: RolloutConcurrency::new(options),
            active: BTreeMap::new(),
            oldest_waiting: None,
            backed_off: BTreeMap::new(),
        }
    }

    /// Returns the engines that must get no calls because of the rollout, though calls may be sent
    /// to engines with their weights.
    pub fn reserved(&self) -> impl Iterator<Item = &EndpointInstance> {
        let announced = self.active.iter().filter(|(_, active)| active.is_announced);
        announced.map(|(endpoint, _)| endpoint)
    }

    /// Returns why the rollout cannot end in time; `None` if it is expected to.
    pub fn overrun(&self, behind: &[RolloutRow], engines: usize, now: TimeUs) -> Option<Overrun> {
        self.concurrency.overrun(remaining(behind, engines)?, now)
    }

    /// Returns whether no engine is in progress.
    pub fn is_idle(&self) -> bool {
        self.active.is_empty()
    }

    /// Drops all state, since another daemon holds the lease.
    pub fn clear(&mut self) {
        self.active.clear();
    }

    /// Updates the state with the engines that are behind, out of `engines` in total. Returns the
    /// actions that are due: orders first, then the reports that have been due for longest.
    pub fn tick(&mut self, behind: &[RolloutRow], engines: usize, now: TimeUs) -> Vec<RolloutStep> {
        self.update_active(behind, now);
        self.start_next(behind, engines, now);
        let is_pending = |active: &&ActiveEngine| {
            matches!(active.phase, Phase::ReportPending | Phase::OrderPending)
        };
        let pending = self.active.values().filter(is_pending).count();
        let mut due: Vec<(TimeUs, &EndpointInstance, &mut ActiveEngine)> = Vec::new();
        for (endpoint, active) in &mut self.active {
            match active.phase {
                Phase::ReportDueAt(at) if at <= now => due.push((at, endpoint, active)),
                Phase::OrderAllowed(_) => due.push((TimeUs::ZERO, endpoint, active)),
                _ => {}
            }
        }
        due.sort_by_key(|(at, ..)| *at);
        let due = due
            .into_iter()
            .take(MAX_PENDING_STEPS.saturating_sub(pending));
        due.map(|(_, endpoint, active)| active.next_step(endpoint))
            .collect()
    }

    /// Applies an engine's report; `None` if it could not be read.
    pub fn apply_report(
        &mut self,
        endpoint: &EndpointInstance,
        report: Option<&EngineReport>,
        now: TimeUs,
    ) {
        let Some(active) = self.active.get_mut(endpoint) else {
            return;
        };
        let Some(report) = report else {
            match active.loading_version(now) {
                Some(_) => active.phase = Phase::ReportDueAt(now + RETRY_BACKOFF_US),
                None => self.back_off(endpoint, now),
            }
            return;
        };
        let current = report
            .weights
            .get(&active.model)
            .copied()
            .unwrap_or_default();
        if current >= active.wanted {
            self.concurrency
                .record_turnaround(now.since(active.started_at_us));
            self.active.remove(endpoint);
            return;
        }
        // Another version may have been named since the order. It can be ordered next, unless
        // engines with still older weights wait: their time runs out first.
        let has_loaded = active
            .accepted
            .is_some_and(|(ordered, _)| current >= ordered);
        if has_loaded && self.oldest_waiting.is_some_and(|oldest| oldest < current) {
            self.concurrency
                .record_turnaround(now.since(active.started_at_us));
            self.active.remove(endpoint);
            return;
        }
        let is_loading = active
            .loading_version(now)
            .is_some_and(|ordered| current < ordered);
        active.is_loading = is_loading && report.running == 0 && report.waiting == 0;
        active.phase = match is_loading || report.is_busy {
            true => Phase::ReportDueAt(now + REPORT_INTERVAL_US),
            false => Phase::OrderAllowed(report.accepted_orders),
        };
    }

    /// Records the outcome of an order.
    pub fn record_order_outcome(
        &mut self,
        endpoint: &EndpointInstance,
        outcome: &OrderOutcome,
        now: TimeUs,
    ) {
        let Some(active) = self.active.get_mut(endpoint) else {
            return;
        };
        match outcome {
            OrderOutcome::Accepted => {
                active.accepted = Some((active.ordered_version, now));
                active.phase = Phase::ReportDueAt(now + REPORT_INTERVAL_US);
            }
            OrderOutcome::AlreadyDone => {
                self.active.remove(endpoint);
            }
            OrderOutcome::NotSent(_) | OrderOutcome::Refused(_) => self.back_off(endpoint, now),
            // The next order repeats the expected order number, so that only one of the two is
            // carried out, whichever the engine receives first.
            _ => active.phase = Phase::ReportDueAt(now + RETRY_BACKOFF_US),
        }
    }

    /// Records that an order was not given because the lease does not allow it now.
    pub fn record_withheld_order(&mut self, endpoint: &EndpointInstance, now: TimeUs) {
        if let Some(active) = self.active.get_mut(endpoint) {
            active.phase = Phase::ReportDueAt(now + RETRY_BACKOFF_US);
        }
    }

    /// Gives the slot of an unreachable engine to another one for a while.
    ///
    /// Only few engines are reserved at once. If unreachable engines kept their slots, the others
    /// would stay on weights that go out of use. The symptom is calls that all engines refuse,
    /// seconds after new weights were named. An engine whose weights are out of use takes no slot
    /// from others, and is tried again soon: it may only have been silent for a moment.
    fn back_off(&mut self, endpoint: &EndpointInstance, now: TimeUs) {
        let active = self.active.remove(endpoint);
        let backoff_us = match active.is_some_and(|active| active.is_announced) {
            true => UNREACHABLE_BACKOFF_US,
            false => RETRY_BACKOFF_US,
        };
        self.backed_off.insert(endpoint.clone(), now + backoff_us);
    }

    /// Drops the engines that are no longer behind, and updates the others.
    fn update_active(&mut self, behind: &[RolloutRow], now: TimeUs) {
        let rows: BTreeMap<&EndpointInstance, &RolloutRow> =
            behind.iter().map(|row| (&row.endpoint, row)).collect();
        self.active.retain(|endpoint, active| {
            let row = rows.get(endpoint);
            if let Some(row) = row {
                active.wanted = row.wanted;
                active.is_announced |= row.is_in_service(now);
            }
            row.is_some()
        });
    }

    /// Reserves the next engines: all whose weights are out of use, and as many of the others as
    /// the limit allows, those with the oldest weights first, and among them those with the fewest
    /// running requests, since these finish soonest.
    fn start_next(&mut self, behind: &[RolloutRow], engines: usize, now: TimeUs) {
        self.backed_off.retain(|_, until| *until > now);
        let is_free = |row: &&RolloutRow| {
            !self.active.contains_key(&row.endpoint) && !self.backed_off.contains_key(&row.endpoint)
        };
        let (mut in_service, out_of_service): (Vec<&RolloutRow>, Vec<&RolloutRow>) = behind
            .iter()
            .filter(is_free)
            .partition(|row| row.is_in_service(now));
        in_service.sort_by_key(|row| (row.current, row.running));
        let announce_delay_us = match engines > LARGE_FLEET_ENGINES {
            true => LARGE_FLEET_ANNOUNCE_DELAY_US,
            false => ANNOUNCE_DELAY_US,
        };
        for row in out_of_service {
            // The calls that were sent last are given the same time to arrive.
            let deadline_us = row.dispatch_deadline_us.unwrap_or(now);
            let order_at_us = deadline_us + announce_delay_us;
            self.start(row, order_at_us.max(now), now);
        }
        // Engines that are out of service already count, since the others do their work.
        let loading = self.active.values().filter(|active| active.is_loading);
        let free = self
            .concurrency
            .free_places(engines, self.active.len(), loading.count());
        self.oldest_waiting = in_service.get(free).map(|row| row.current);
        for row in in_service.into_iter().take(free) {
            self.start(row, now + announce_delay_us, now);
        }
    }

    /// Reserves an engine. Its report is read at `order_at_us`; the order follows.
    fn start(&mut self, row: &RolloutRow, order_at_us: TimeUs, now: TimeUs) {
        let active = ActiveEngine {
            model: row.model.clone(),
            wanted: row.wanted,
            phase: Phase::ReportDueAt(order_at_us),
            started_at_us: now,
            ordered_version: row.wanted,
            accepted: None,
            is_loading: false,
            is_announced: row.is_in_service(now),
        };
        self.active.insert(row.endpoint.clone(), active);
    }
}

fn remaining(behind: &[RolloutRow], engines: usize) -> Option<Remaining> {
    let replaced_at_us = behind.iter().map(|row| row.replaced_at_us).min()?;
    Some(Remaining {
        behind: behind.len(),
        engines,
        replaced_at_us,
    })
}
